/** Answers of targets that are crossed, duplicated, late or cut off. */

import { CounterName } from "@chestnuthatch/core/effects";
import {
  type TargetFault,
  TargetFaultKind,
} from "@chestnuthatch/standins/target_faults";
import { ErrorKind, RunState } from "@chestnuthatch/wire/shared_types";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { engineRequest, serviceRequest } from "./fleet_requests.ts";
import { FleetPool } from "./fleet_settings.ts";
import {
  expectAnswer,
  expectRefusal,
  expectWholeStream,
} from "./outcome_checks.ts";
import {
  type ProcessFleet,
  type ProcessFleetOptions,
  withFleet,
} from "./process_fleet.ts";

const ENGINE_IDS = ["engine-1", "engine-2"];
const CALLER_COUNT = 4;
const OUTPUT_TOKENS = 40;
const SHORT_DEADLINE_MS = 1_000;
const ANSWER_DELAY_MS = 2_500;
const DEADLINE_EXCEEDED_MAY_HAVE_RUN = {
  error: ErrorKind.DeadlineExceeded,
  ran: RunState.MayHaveRun,
};

const FLEET: ProcessFleetOptions = {
  instances: [{ id: "njiro-1", failureDomain: "njiro-hall" }],
  targets: [
    ...ENGINE_IDS.map((id) => ({
      id,
      pool: FleetPool.Engines,
      failureDomain: "njiro-hall",
      slots: 8,
    })),
    {
      id: "desk-1",
      pool: FleetPool.Services,
      failureDomain: "njiro-hall",
      slots: 8,
    },
  ],
};

/** Fault of the engines' streams and the counter that shows it. */
interface StreamFault {
  readonly fault: TargetFault;
  /** Counter that is above 0 once the fault has occurred. */
  readonly counter: CounterName;
}

const STREAM_FAULTS: Record<string, StreamFault> = {
  "crossed": {
    fault: { kind: TargetFaultKind.CrossAnswers, times: CALLER_COUNT },
    counter: CounterName.StrayAnswersDropped,
  },
  "doubled at the end": {
    fault: { kind: TargetFaultKind.DuplicateEnd, times: CALLER_COUNT },
    counter: CounterName.StrayAnswersDropped,
  },
  "cut before the first token": cutAfter(0),
  "cut after the first token": cutAfter(1),
  "cut in the middle": cutAfter(OUTPUT_TOKENS / 2),
  "cut before the last token": cutAfter(OUTPUT_TOKENS - 1),
};

for (const [name, { fault, counter }] of Object.entries(STREAM_FAULTS)) {
  test(`should deliver complete streams that are ${name}`, () =>
    withFleet(FLEET, async (fleet) => {
      for (const id of ENGINE_IDS) {
        await fleet.setTargetFault(id, fault);
      }
      await expectAllComplete(fleet);
      assert.ok(await fleet.instance("njiro-1").readCounter(counter) > 0);
    }));
}

test("should refuse crossed answers of a service and deliver the others", () =>
  withFleet(FLEET, async (fleet) => {
    const instance = fleet.instance("njiro-1");
    await fleet.setTargetFault("desk-1", {
      kind: TargetFaultKind.CrossAnswers,
      times: 2,
    });
    const requests = Array.from(
      { length: CALLER_COUNT },
      () => serviceRequest(),
    );
    const outcomes = await Promise.all(
      requests.map((request) => instance.send(request)),
    );
    const refused = outcomes.filter((outcome) => "refusal" in outcome);
    assert.is(refused.length, 2);
    for (const [i, outcome] of outcomes.entries()) {
      if ("refusal" in outcome) {
        expectRefusal(outcome, {
          error: ErrorKind.TargetFailed,
          ran: RunState.MayHaveRun,
        });
      } else {
        expectAnswer(outcome, requests[i]);
      }
    }
    assert.is((await fleet.readCounts()).dispatches, CALLER_COUNT);
  }));

test("should return a late answer only under its own key", () =>
  withFleet(FLEET, async (fleet) => {
    const instance = fleet.instance("njiro-1");
    const late = serviceRequest({ deadlineMs: SHORT_DEADLINE_MS });
    await delayAnswers(fleet, ANSWER_DELAY_MS);
    const outcome = await instance.send(late);
    expectRefusal(outcome, DEADLINE_EXCEEDED_MAY_HAVE_RUN);
    await delayAnswers(fleet, 0);
    const others = Array.from({ length: CALLER_COUNT }, () => serviceRequest());
    for (const request of others) {
      expectAnswer(await instance.send(request), request);
    }
    expectAnswer(await instance.send({ ...late, deadlineMs: undefined }), late);
    const counts = await fleet.readCounts();
    assert.is(counts.runsOfKey(late.idempotencyKey), 1);
    assert.is(counts.dispatches, others.length + 1);
  }));

test("should refuse for the deadline when it passes in a call without a key", () =>
  withFleet(FLEET, async (fleet) => {
    const instance = fleet.instance("njiro-1");
    await delayAnswers(fleet, ANSWER_DELAY_MS);
    const late = serviceRequest({
      deadlineMs: SHORT_DEADLINE_MS,
      idempotencyKey: undefined,
    });
    expectRefusal(await instance.send(late), DEADLINE_EXCEEDED_MAY_HAVE_RUN);
    assert.is((await fleet.readCounts()).dispatches, 1);
  }));

function delayAnswers(fleet: ProcessFleet, delayMs: number): Promise<void> {
  return fleet.setTargetFault("desk-1", {
    kind: TargetFaultKind.DelayAnswers,
    delayMs,
  });
}

/**
 * Sends streamed and unstreamed requests to the engines, half of each. Every
 * caller must get its own complete answer.
 */
async function expectAllComplete(fleet: ProcessFleet): Promise<void> {
  const instance = fleet.instance("njiro-1");
  const streamed = makeEngineRequests().map((request) => ({
    request,
    call: instance.stream(request),
  }));
  const unstreamed = makeEngineRequests().map(async (request) =>
    expectAnswer(await instance.send(request), request)
  );
  await Promise.all(unstreamed);
  for (const { request, call } of streamed) {
    await call.ended;
    expectWholeStream(call, request);
  }
  const counts = await fleet.readCounts();
  assert.is(counts.dispatches, 2 * CALLER_COUNT);
  assert.is(counts.maxDispatchesPerRequest, 1);
}

function makeEngineRequests() {
  return Array.from(
    { length: CALLER_COUNT },
    () => engineRequest(OUTPUT_TOKENS),
  );
}

function cutAfter(afterTokens: number): StreamFault {
  const kind = TargetFaultKind.BreakStream as const;
  return {
    fault: { kind, times: CALLER_COUNT, afterTokens },
    counter: CounterName.StreamResumes,
  };
}

test.run();
