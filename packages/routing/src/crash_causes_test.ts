/** Attribution of crashes to requests and to parts of their prompts. */

import { test } from "uvu";
import * as assert from "uvu/assert";
import { type CrashRecord, findCrashCauses } from "./crash_causes.ts";

/** Crashes under a key; a trailing `!` marks processes that ended in a trial. */
function recordOf(
  key: string,
  ended: readonly string[],
  servedAtMs = -Infinity,
): CrashRecord {
  const ends = ended.map((name, index) => {
    const inTrial = name.endsWith("!");
    return [name.replace("!", ""), { atMs: index, inTrial }] as const;
  });
  return { key, ended: new Map(ends), servedAtMs };
}

function causesOf(...records: CrashRecord[]): string[] {
  return [...findCrashCauses(records).keys()];
}

test("one crash has no cause", () => {
  assert.equal(causesOf(recordOf("bad", ["p1"])), []);
});

// Guards against suspecting streams that went on at a target that crashed, too.
test("crashes that the part of most crashes explains implicate no other key", () => {
  const causes = causesOf(
    recordOf("bad", ["p1", "p2", "p3"]),
    recordOf("stream lost twice", ["p1", "p2"]),
    recordOf("shared", ["p1", "p2", "p3"], 0),
  );
  assert.equal(causes, ["bad"]);
});

test("two parts that crash targets by themselves are both causes", () => {
  const causes = causesOf(
    recordOf("bad", ["p1", "p3", "p5"]),
    recordOf("worse", ["p2", "p3", "p4", "p6"]),
  );
  assert.equal(causes, ["worse", "bad"]);
});

test("keys that are equally likely are all causes", () => {
  const causes = causesOf(
    recordOf("bad", ["p1", "p2"]),
    recordOf("beside it", ["p1", "p2"]),
  );
  assert.equal(causes, ["bad", "beside it"]);
});

// Guards against putting the requests of a whole workspace on trial after the
// loss of some targets that had nothing to do with them.
test("a part that was answered needs more crashes in a row", () => {
  const processes = ["p1", "p2", "p3", "p4", "p5"];
  assert.equal(causesOf(recordOf("shared", processes.slice(1), 0)), []);
  assert.equal(causesOf(recordOf("shared", processes, 0)), ["shared"]);
});

// Guards against refusing sound requests for a part that they share with those
// that failed a trial.
test("only requests with the keys of all failed trials are like these", () => {
  const causes = findCrashCauses([
    recordOf("shared", ["p0", "p1", "p2", "p3!"]),
    recordOf("bad", ["p1", "p2", "p3!"]),
    recordOf("session", ["p3!"]),
  ]);
  assert.equal(causes.get("shared")?.requiredKeys, ["shared", "bad"]);
  const later = findCrashCauses([
    recordOf("shared", ["p0"]),
    recordOf("bad", ["p1", "p2", "p3!"]),
    recordOf("session", ["p3!"]),
  ]);
  assert.equal(later.get("bad")?.requiredKeys, ["bad"]);
  assert.is(later.get("bad")?.failedTrials, 1);
});

test.run();
