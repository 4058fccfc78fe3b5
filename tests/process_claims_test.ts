/** Claims while the platform's table drops writes or answers, or is down. */

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

/** Number of faults that no test exhausts. */
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
    const loseWrites = (times: number) =>
      fleet.setPlatformFault({ kind: PlatformFaultKind.LoseWrites, times });
    await loseWrites(UNLIMITED_TIMES);
    const request = serviceRequest();
    await expectStoreUnavailable(
      fleet,
      await sendFirstAndRepeatedAttempt([first, second], request),
    );
    await loseWrites(0);
    expectAnswer(await second.send(request), request);
    await expectRuns(fleet, request, 1);
  }));

test("should refuse only requests that need a claim while the table is down", () =>
  withFleet(FLEET, async (fleet) => {
    const [first, second] = [...fleet.instances.values()];
    const setDown = (on: boolean) =>
      fleet.setPlatformFault({ kind: PlatformFaultKind.Down, on });
    await setDown(true);
    const request = serviceRequest();
    const attempts = sendFirstAndRepeatedAttempt([first, second], request);
    const idempotent = engineRequest(5, { idempotencyKey: "plan" });
    const keyless = serviceRequest({ idempotencyKey: undefined });
    expectAnswer(await first.send(idempotent), idempotent);
    expectAnswer(await first.send(keyless), keyless);
    await expectStoreUnavailable(fleet, await attempts);
    await setDown(false);
    expectAnswer(await first.send(request), request);
    await expectRuns(fleet, request, 1);
  }));

test("should refuse a key run elsewhere as possibly run when the table is down", () =>
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

test("should not run a key at another instance while its claim is in doubt", () =>
  withFleet(FLEET, async (fleet) => {
    const [first, second] = [...fleet.instances.values()];
    first.platformRelay.holdInbound();
    const request = serviceRequest();
    const claimKey = `claim/${request.workspace}/${request.idempotencyKey}`;
    const attempts = sendFirstAndRepeatedAttempt([first], request);
    await waitFor("the claim", () => fleet.hasRow(claimKey));
    expectRefusal(
      await second.send({ ...request, deadlineMs: SHORT_DEADLINE_MS }),
      { error: ErrorKind.DeadlineExceeded, ran: RunState.MayHaveRun },
    );
    await expectStoreUnavailable(fleet, await attempts);
    await first.platformRelay.heal();
    await waitFor(
      "the claim to be void",
      async () => !await fleet.hasRow(claimKey),
    );
    expectAnswer(await first.send(request), request);
    await expectRuns(fleet, request, 1);
  }));

/** A request sent while the table is unreachable, and its outcome. */
interface AttemptResult {
  readonly request: CallerRequest;
  readonly outcome: SentOutcome;
}

/**
 * Sends two requests to each instance, none of which can reach the table: one
 * marked as first attempt, and one under another key without that mark, which
 * stands for a call that may have been sent before.
 */
function sendFirstAndRepeatedAttempt(
  instances: readonly FleetInstance[],
  request: CallerRequest,
): Promise<AttemptResult[]> {
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
 * Expects refusals because the table is unreachable, not because the long
 * deadline has passed, which would be another error. A refusal states "not run"
 * only if the caller marks the request as its first attempt; otherwise an
 * earlier call under the key may have run.
 */
async function expectStoreUnavailable(
  fleet: ProcessFleet,
  attempts: readonly AttemptResult[],
): Promise<void> {
  for (const { request, outcome } of attempts) {
    const refusal = expectRefusal(outcome, {
      error: ErrorKind.StoreUnavailable,
      ran: request.firstAttempt ? RunState.NotRun : RunState.MayHaveRun,
    });
    assert.ok(refusal.mayRetry);
    assert.ok((refusal.retryAfterMs ?? 0) > 0, "no retry time in the refusal");
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
  assert.ok(counts.maxDispatchesPerRequest <= 1);
}

test.run();
