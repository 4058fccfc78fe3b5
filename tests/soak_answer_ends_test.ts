/** Tests which ends of answers the soak reports as broken promises. */

import { test } from "uvu";
import * as assert from "uvu/assert";
import { CALL_KINDS, type CallRecord } from "./soak_callers.ts";
import { AnswerEndChecker } from "./soak_answer_ends.ts";
import type { ConfiguredMinimums, SoakTarget } from "./soak_fleet.ts";
import { GRACE_MS, type SoakInstance, type TimeSpan } from "./soak_instance.ts";

const [STREAM, , PLAIN] = CALL_KINDS;
const SIGNAL_AT_MS = 1000;
const STOPPING = { fromMs: SIGNAL_AT_MS, untilMs: SIGNAL_AT_MS + 4000 };

/** Records of one call; by default its instance stops, without other faults. */
interface Case {
  readonly record?: Partial<CallRecord>;
  readonly status?: number;
  readonly headers?: Record<string, string>;
  readonly reused?: boolean;
  readonly unavailableSpans?: readonly TimeSpan[];
  readonly pausedSpans?: readonly TimeSpan[];
  readonly cutSpans?: readonly TimeSpan[];
  readonly downSpans?: readonly TimeSpan[];
  readonly killedAtMs?: readonly number[];
  readonly logLines?: readonly string[];
  readonly isReceived?: boolean;
  /** Whether the answer was cut off while the target sent it. */
  readonly isCutOff?: boolean;
  readonly faultSpans?: readonly TimeSpan[];
  readonly idleReducedAtMs?: number;
}

const BROKEN: Readonly<Record<string, Case>> = {
  "an answer that broke off while its instance stopped": {},
  "a stream that broke off while its instance stopped": {
    record: { kind: STREAM },
  },
  "a plain answer that broke off, though its target was at fault": {
    faultSpans: [{ fromMs: 0, untilMs: Infinity }],
  },
  "no answer to a request that a target received": { status: 0 },
  "no answer to a request that the instance logged": {
    status: 0,
    isReceived: false,
    logLines: ['{"read":true,"requestId":"call"}'],
  },
  "no answer to a request sent well before its connection closed": {
    status: 0,
    isReceived: false,
    record: { startedAtMs: 2900 },
  },
  "no answer without any planned fault": {
    status: 0,
    isReceived: false,
    unavailableSpans: [],
    record: { startedAtMs: 3900 },
  },
  "a stream that its target had ended, cut at the end of the grace time": {
    record: { kind: STREAM, endedAtMs: SIGNAL_AT_MS + GRACE_MS - 500 },
    unavailableSpans: [{ fromMs: SIGNAL_AT_MS, untilMs: Infinity }],
  },
  "a stream cut well before the end of the grace time": {
    record: { kind: STREAM },
    isCutOff: true,
  },
  "a stream that broke off before its instance was cut off": {
    record: { kind: STREAM },
    cutSpans: [{ fromMs: 4001, untilMs: 5000 }],
  },
  "an answer that broke off before its instance was killed": {
    killedAtMs: [4001],
  },
};

const EXCUSED: Readonly<Record<string, Case>> = {
  "its caller disconnected": { record: { hasDisconnected: true } },
  "its instance was killed during the call": { killedAtMs: [3800] },
  "a stream's target was at fault during the call": {
    record: { kind: STREAM },
    faultSpans: [{ fromMs: 3500, untilMs: 3600 }],
  },
  "a stream's instance was cut off from its target": {
    record: { kind: STREAM },
    cutSpans: [{ fromMs: 3600, untilMs: 3700 }],
  },
  "a stream reached its deadline": {
    record: { kind: STREAM, startedAtMs: 0 },
  },
  "a stream outlasted a grace time in which its process was paused": {
    record: { kind: STREAM, endedAtMs: SIGNAL_AT_MS + GRACE_MS - 500 },
    unavailableSpans: [{ fromMs: SIGNAL_AT_MS, untilMs: Infinity }],
    pausedSpans: [{ fromMs: 3500, untilMs: 4500 }],
  },
  "a stream's target was still at work at the end of the grace time": {
    record: { kind: STREAM, endedAtMs: SIGNAL_AT_MS + GRACE_MS - 500 },
    unavailableSpans: [{ fromMs: SIGNAL_AT_MS, untilMs: Infinity }],
    isCutOff: true,
  },
  "no target received it, and its connection closed at once in a stop": {
    status: 0,
    isReceived: false,
    record: { startedAtMs: 3900 },
  },
  "no target received it, and its kept connection may have idled out": {
    status: 0,
    isReceived: false,
    unavailableSpans: [],
    reused: true,
    idleReducedAtMs: 100,
    record: { startedAtMs: 3900 },
  },
  "no target received it, and there was no process": {
    status: 0,
    isReceived: false,
    downSpans: [{ fromMs: 3000, untilMs: 5000 }],
  },
};

for (const [name, each] of Object.entries(BROKEN)) {
  test(`should report ${name}`, () => {
    assert.is(faultsIn(each).length, 1);
  });
}

for (const [name, each] of Object.entries(EXCUSED)) {
  test(`should report nothing where ${name}`, () => {
    assert.equal(faultsIn(each), []);
  });
}

const FAULT = { faultSpans: [{ fromMs: 3900, untilMs: 3950 }] };
const LENGTH = { "content-length": "5" };

// Guards against a check that excuses short answers which are framed as whole,
// or which no target has cut.
test("should excuse a short answer only if a fault cut it unframed", () => {
  assert.ok(mayBeShort(FAULT));
  assert.ok(mayBeShort({ killedAtMs: [3900] }));
  assert.not(mayBeShort({}));
  assert.not(mayBeShort({ ...FAULT, headers: LENGTH }));
  assert.not(
    mayBeShort({ ...FAULT, headers: { "transfer-encoding": "chunked" } }),
  );
  assert.not(mayBeShort({ killedAtMs: [3900], headers: LENGTH }));
});

function mayBeShort(of: Case): boolean {
  const { ends, record } = evidenceOf(of);
  return ends.mayBeShort(record);
}

function faultsIn(of: Case): string[] {
  const { ends, record } = evidenceOf(of);
  return ends.findFaults(record);
}

function evidenceOf(
  of: Case,
): { ends: AnswerEndChecker; record: CallRecord } {
  const instance = {
    id: "entry-0",
    unavailableSpans: of.unavailableSpans ?? [STOPPING],
    pausedSpans: of.pausedSpans ?? [],
    cutSpans: of.cutSpans ?? [],
    downSpans: of.downSpans ?? [],
    killedAtMs: of.killedAtMs ?? [],
    logLines: of.logLines ?? [],
  } as unknown as SoakInstance;
  const isCutOff = of.isCutOff ?? false;
  const receivedRequests = of.isReceived === false
    ? []
    : [{ requestId: "call", isCutOff }];
  const target = {
    target: { id: "target-0", receivedRequests },
    faultSpans: of.faultSpans ?? [],
  } as unknown as SoakTarget;
  const minimums: ConfiguredMinimums = {
    idleTimeoutMs: 150,
    idleReducedAtMs: of.idleReducedAtMs ?? Infinity,
    timeoutShare: 1,
  };
  const ends = new AnswerEndChecker({
    targets: [target],
    instances: [instance],
    minimums,
  });
  const record: CallRecord = {
    requestId: "call",
    kind: PLAIN!,
    instance,
    startedAtMs: 3500,
    endedAtMs: 4000,
    hasDisconnected: false,
    bodyBytes: 5,
    result: {
      status: of.status ?? 200,
      headers: of.headers ?? {},
      body: "answe",
      isWhole: false,
      reused: of.reused ?? false,
    },
    ...of.record,
  };
  return { ends, record };
}

test.run();
