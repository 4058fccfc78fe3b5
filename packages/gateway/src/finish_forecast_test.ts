import { RequestKind } from "@chestnuthatch/routing/fleet_configuration";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { maySend, type PlannedRun } from "./finish_forecast.ts";
import { RunDurations } from "./run_durations.ts";

const RUN: PlannedRun = {
  kind: RequestKind.AtMostOnce,
  leftMs: 2000,
  deadlineLeftMs: 10_000,
  expectedMs: 2400,
  runCount: 0,
  hasBegun: false,
};

const CASES: readonly [string, Partial<PlannedRun>, boolean][] = [
  ["a run that would be cut is not begun", {}, false],
  ["an instance that does not stop sends", { leftMs: Infinity }, true],
  ["a short run is sent", { expectedMs: 100 }, true],
  ["a run that may not be repeated needs a reserve", {
    expectedMs: 1200,
  }, false],
  ["a run that may be repeated needs less of it", {
    kind: RequestKind.Repeatable,
    expectedMs: 1200,
  }, true],
  ["a deadline before the end of the stop suffices", {
    deadlineLeftMs: 1400,
  }, true],
  ["a begun stream goes on as long as it can", {
    kind: RequestKind.ResumableStream,
    runCount: 1,
    hasBegun: true,
  }, true],
  ["a stream that has not begun is not run again", {
    kind: RequestKind.ResumableStream,
    runCount: 1,
  }, false],
  ["a plain request that may have run is repeated", {
    kind: RequestKind.Repeatable,
    runCount: 1,
  }, true],
  ["without time left, nothing is sent", { leftMs: 0, expectedMs: 0 }, false],
];

for (const [name, of, isSent] of CASES) {
  test(name, () => assert.is(maySend({ ...RUN, ...of }), isSent));
}

test("the expected duration covers runs that differ, and follows the targets", () => {
  const durations = new RunDurations();
  const run = { route: "r", units: 1 };
  assert.is(durations.expectedMs(run), undefined);
  for (let i = 0; i < 40; i++) {
    durations.record(run, i % 2 === 0 ? 1000 : 2000);
  }
  assert.ok(durations.expectedMs(run)! >= 2000);
  for (let i = 0; i < 80; i++) {
    durations.record(run, 100);
  }
  assert.ok(durations.expectedMs(run)! < 200);
});

test.run();
