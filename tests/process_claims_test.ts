/** Claims while the platform's table loses writes, loses answers or is down. */

import type { SentOutcome } from "@chestnuthatch/cli/send_request";
import { PlatformFaultKind } from "@chestnuthatch/standins/platform_server";
import type { CallerRequest } from "@chestnuthatch/wire/caller_protocol";
import { ErrorKind, RunState } from "@chestnuthatch/wire/shared_types";
import { test } from "uvu";
import * as assert from "uvu/assert";
import type { FleetInstance } from "./fleet_instance.ts";
import { engineRequest, serviceRequest } from "./fleet_requests.ts";
import { FleetPool } from "./fleet_settings.ts";
import { expectAnswer, expectRefusal } from "./outcome_checks.ts";
import {
  type ProcessFleet,
  type ProcessFleetOptions,
  withFleet,
} from "./process_fleet.ts";
import { waitFor } from "./wait_for.ts";

const UNLIMITED_TIMES = 1_000_000;
const SHORT_DEADLINE_MS = 1_500;

const FLEET: ProcessFleetOptions = {
  instances: [
    { id: "njiro-1", failureDomain: "njiro-hall" },
    { id: "njiro-2", failureDomain: "njiro-hall" },
  ],
  targets: [
    {
      id: "desk-1",
      pool: FleetPool.Services,
      failureDomain: "njiro-hall",
      slots: 8,
    },
    {
      id: "engine-1",
      pool: FleetPool.Engines,
      failureDomain: "njiro-hall",
      slots: 8,
    },
  ],
};

test("should run once when the answer to the claim is lost", () =>
  withFleet(FLEET, async (fleet) => {
    const [first, second] = [...fleet.instances.values()];
    await fleet.setPlatformFault({
      kind: PlatformFaultKind.LoseAnswers,
      times: 1,
    });
    const request = serviceRequest();
    const answer = expectAnswer(await first.send(request), request);
    const again = expectAnswer(await second.send(request), request);
    assert.is(again.text, answer.text);
    await expectRuns(fleet, request, 1);
  }));

test("should run once when the claim itself is lost", () =>
  withFleet(FLEET, async (fleet) => {
    const [first, second] = [...fleet.instances.values()];
    await fleet.setPlatformFault({
      kind: PlatformFaultKind.LoseWrites,
      times: 1,
    });
    const request = serviceRequest();
    const answer = expectAnswer(await first.send(request), request);
    const again = expectAnswer(await second.send(request), request);
    assert.is(again.text, answer.text);
    await expectRuns(fleet, request, 1);
  }));

test("should refuse as not run when every claim is lost", () =>
  withFleet(FLEET, async (fleet) => {
    const [first, second] = [...fleet.instances.values()];
    const lose = (times: number) =>
      fleet.setPlatformFault({ kind: PlatformFaultKind.LoseWrites, times });
    await lose(UNLIMITED_TIMES);
    const request = serviceRequest();
    await expectStoreUnavailable(
      fleet,
      await sendFirstAndRepeatedAttempt([first, second], request),
    );
    await lose(0);
    expectAnswer(await second.send(request), request);
    await expectRuns(fleet, request, 1);
  }));

test("should refuse what needs a claim, and only that, with the table down", () =>
  withFleet(FLEET, async (fleet) => {
    const [first, second] = [...fleet.instances.values()];
    const setDown = (on: boolean) =>
      fleet.setPlatformFault({ kind: PlatformFaultKind.Down, on });
    await setDown(true);
    const request = serviceRequest();
    const tried = sendFirstAndRepeatedAttempt([first, second], request);
    const idempotent = engineRequest(5, { idempotencyKey: "plan" });
    const keyless = serviceRequest({ idempotencyKey: undefined });
    expectAnswer(await first.send(idempotent), idempotent);
    expectAnswer(await first.send(keyless), keyless);
    await expectStoreUnavailable(fleet, await tried);
    await setDown(false);
    expectAnswer(await first.send(request), request);
    await expectRuns(fleet, request, 1);
  }));

test("should not deny a run elsewhere when the table is down", () =>
  withFleet(FLEET, async (fleet) => {
    const [first, second] = [...fleet.instances.values()];
    const request = serviceRequest();
    expectAnswer(await first.send(request), request);
    await fleet.setPlatformFault({ kind: PlatformFaultKind.Down, on: true });
    expectRefusal(await second.send(request), {
      error: ErrorKind.StoreUnavailable,
      ran: RunState.MayHaveRun,
    });
    expectAnswer(await first.send(request), request);
    await expectRuns(fleet, request, 1);
  }));

test("should keep a claim in doubt from running at another instance", () =>
  withFleet(FLEET, async (fleet) => {
    const [first, second] = [...fleet.instances.values()];
    first.platformRelay.holdInbound();
    const request = serviceRequest();
    const claimKey = `claim/${request.workspace}/${request.idempotencyKey}`;
    const tried = sendFirstAndRepeatedAttempt([first], request);
    await waitFor("the claim", () => fleet.hasRow(claimKey));
    expectRefusal(
      await second.send({ ...request, deadlineMs: SHORT_DEADLINE_MS }),
      { error: ErrorKind.DeadlineExceeded, ran: RunState.MayHaveRun },
    );
    await expectStoreUnavailable(fleet, await tried);
    await first.platformRelay.heal();
    await waitFor(
      "the claim to be void",
      async () => !await fleet.hasRow(claimKey),
    );
    expectAnswer(await first.send(request), request);
    await expectRuns(fleet, request, 1);
  }));

/** One call while the table is away, and what came of it. */
interface AttemptOutcome {
  readonly request: CallerRequest;
  readonly outcome: SentOutcome;
}

/**
 * Sends a request to instances that cannot reach the table: once as a first
 * attempt, and once under another key as one that may have been sent before.
 */
function sendFirstAndRepeatedAttempt(
  instances: readonly FleetInstance[],
  request: CallerRequest,
): Promise<AttemptOutcome[]> {
  const idempotencyKey = `${request.idempotencyKey}-again`;
  const requests = [
    { ...request, firstAttempt: true },
    { ...request, idempotencyKey },
  ];
  return Promise.all(
    instances.flatMap((instance) =>
      requests.map(async (each) => ({
        request: each,
        outcome: await instance.send(each),
      }))
    ),
  );
}

/**
 * Expects refusals at once: the long deadline is far, and one held back for it
 * would be another error. "Not run" is told only where the caller states that
 * no earlier call under its key can have run.
 */
async function expectStoreUnavailable(
  fleet: ProcessFleet,
  tried: readonly AttemptOutcome[],
): Promise<void> {
  for (const { request, outcome } of tried) {
    const refusal = expectRefusal(outcome, {
      error: ErrorKind.StoreUnavailable,
      ran: request.firstAttempt ? RunState.NotRun : RunState.MayHaveRun,
    });
    assert.ok(refusal.mayRetry);
    assert.ok((refusal.retryAfterMs ?? 0) > 0, "no hint when to come back");
    await expectRuns(fleet, request, 0);
  }
}

async function expectRuns(
  fleet: ProcessFleet,
  request: CallerRequest,
  runs: number,
): Promise<void> {
  const counts = await fleet.readCounts();
  assert.is(counts.runsOfKey(request.idempotencyKey), runs);
  assert.ok(counts.mostDispatchesOfOne <= 1);
}

test.run();
