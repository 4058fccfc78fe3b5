/** Duplicate requests under one key, at two instances and after a kill. */

import type { SentOutcome } from "@chestnuthatch/cli/send_request";
import type { CallerRequest } from "@chestnuthatch/wire/caller_protocol";
import { ErrorKind, RunState } from "@chestnuthatch/wire/shared_types";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { serviceRequest } from "./fleet_requests.ts";
import { FleetPool } from "./fleet_settings.ts";
import { expectAnswer, expectRefusal } from "./outcome_checks.ts";
import { type ProcessFleetOptions, withFleet } from "./process_fleet.ts";

const KEY_COUNT = 8;
const SHORT_DEADLINE_MS = 1_000;

const HELD_ELSEWHERE = {
  error: ErrorKind.ClaimHeldElsewhere,
  ran: RunState.MayHaveRun,
};

test("should run duplicates at two instances once", () =>
  withFleet(makeFleetOptions({ callMs: 200 }), async (fleet) => {
    const instances = [...fleet.instances.values()];
    const sends = Array.from({ length: KEY_COUNT }, async () => {
      const request = serviceRequest();
      const outcomes = await Promise.all(
        [...instances, ...instances].map((each) => each.send(request)),
      );
      return { request, outcomes };
    });
    for (const { request, outcomes } of await Promise.all(sends)) {
      const answers = outcomes.filter((outcome) => "answer" in outcome);
      const texts = answers.map((each) => expectAnswer(each, request).text);
      assert.is(new Set(texts).size, 1, JSON.stringify(outcomes));
      outcomes.filter((outcome) => !("answer" in outcome))
        .forEach(expectRefusedAsPossiblyRun);
      const counts = await fleet.readCounts();
      assert.is(counts.runsOfKey(request.idempotencyKey), 1);
    }
    assert.is((await fleet.readCounts()).dispatches, KEY_COUNT);
  }));

test("should not run a key again after its holder was killed during the run", () =>
  withFleet(makeFleetOptions({ callMs: 1500 }), async (fleet) => {
    const [first, second] = [...fleet.instances.values()];
    const request = serviceRequest();
    const interrupted = first.send(request);
    await fleet.waitForCounts(
      "the run",
      (counts) => counts.runsOfKey(request.idempotencyKey) === 1,
    );
    await first.kill();
    assert.ok("broken" in await interrupted);
    expectRefusal(await second.send(request), HELD_ELSEWHERE);
    await first.start();
    await fleet.waitUntilReady();
    expectRefusal(await first.send(request), HELD_ELSEWHERE);
    expectRefusal(await second.send(request), HELD_ELSEWHERE);
    assert.is((await fleet.readCounts()).dispatches, 1);
  }));

test("should return the kept answer of a holder that was killed afterwards", () =>
  withFleet(makeFleetOptions({ callMs: 100 }), async (fleet) => {
    const [first, second] = [...fleet.instances.values()];
    const request = serviceRequest();
    const answer = expectAnswer(await first.send(request), request);
    await fleet.waitForObject(answerKey(request));
    await first.kill();
    const again = expectAnswer(await second.send(request), request);
    assert.is(again.text, answer.text);
    assert.is((await fleet.readCounts()).dispatches, 1);
  }));

test("should return the kept answer to a caller that retries", () =>
  withFleet(makeFleetOptions({ callMs: 2500 }), async (fleet) => {
    const [first, second] = [...fleet.instances.values()];
    const request = serviceRequest();
    const running = first.send(request);
    await fleet.waitForCounts(
      "the run",
      (counts) => counts.runsOfKey(request.idempotencyKey) === 1,
    );
    expectRefusal(
      await second.send({ ...request, deadlineMs: SHORT_DEADLINE_MS }),
      { error: ErrorKind.DeadlineExceeded, ran: RunState.MayHaveRun },
    );
    const answer = expectAnswer(await running, request);
    await fleet.waitForObject(answerKey(request));
    const again = expectAnswer(await second.send(request), request);
    assert.is(again.text, answer.text);
    assert.is((await fleet.readCounts()).dispatches, 1);
  }));

function makeFleetOptions({ callMs }: { callMs: number }): ProcessFleetOptions {
  const service = { pool: FleetPool.Services, slots: 8, callMs };
  return {
    instances: [
      { id: "njiro-1", failureDomain: "njiro-hall" },
      { id: "sakina-1", failureDomain: "sakina-hall" },
    ],
    targets: [
      { ...service, id: "desk-1", failureDomain: "njiro-hall" },
      { ...service, id: "desk-2", failureDomain: "sakina-hall" },
    ],
  };
}

function answerKey({ workspace, idempotencyKey }: CallerRequest): string {
  return `answer/${workspace}/${idempotencyKey}`;
}

/** Expects a refusal that does not state "not run", as the key has run. */
function expectRefusedAsPossiblyRun(outcome: SentOutcome): void {
  assert.ok("refusal" in outcome, JSON.stringify(outcome));
  const { refusal } = outcome as Extract<SentOutcome, { refusal: unknown }>;
  assert.is.not(refusal.ran, RunState.NotRun, refusal.message);
}

test.run();
