/** What is kept of requests under which targets ended, and what follows on it. */

import { test } from "uvu";
import * as assert from "uvu/assert";
import { Coordinator } from "./coordinator.ts";
import { askOf, boardOf } from "./routing_test_support.ts";
import { SuspectRequests } from "./suspect_requests.ts";
import type { AskDecision, WorkEnd } from "./work_ask.ts";

const MINUTE_MS = 60_000;
const BOUNDS = {
  retryBudget: { ratio: 0.2, slack: 100, windowS: 10 },
  allotmentTolerance: { windowMs: 8000, overage: 0, slack: 0 },
};

function scope(nowMs: number) {
  return { share: 1, memoryMs: Infinity, nowMs };
}

/** A request that ended two targets. */
function suspectsOf(fingerprint: string): SuspectRequests {
  const suspects = new SuspectRequests();
  for (const process of ["t1", "t2"]) {
    suspects.targetEnded({ fingerprint, process, inTrial: false }, 0);
  }
  return suspects;
}

/** A coordinator that knows two requests under which two targets ended. */
function coordinatorOf(targetIds: readonly string[]): Coordinator {
  const board = boardOf(targetIds);
  for (const fingerprint of ["f", "g"]) {
    board.suspects.merge(suspectsOf(fingerprint).toTell(0), 0);
  }
  return new Coordinator(board, BOUNDS);
}

function endOf(askId: string, over: Partial<WorkEnd> = {}): WorkEnd {
  const end = { askId, targetId: "t3", pool: "p", promptTokens: 500 };
  return { ...end, failed: false, ...over };
}

function targetOf(decisions: readonly AskDecision[]): string | undefined {
  const [decision] = decisions;
  return decision !== undefined && "targetId" in decision
    ? decision.targetId
    : undefined;
}

function refusalOf(decisions: readonly AskDecision[]): AskDecision | undefined {
  return decisions.find((decision) => "refusal" in decision);
}

test("one ended target makes no suspect, two do, and neither is held back", () => {
  const suspects = new SuspectRequests();
  const end = { fingerprint: "f", inTrial: false };
  suspects.targetEnded({ ...end, process: "t1" }, 0);
  assert.not.ok(
    suspects.isAny,
    "no fingerprints are made in a fleet like this",
  );
  assert.equal(suspects.toTell(0), []);
  suspects.targetEnded({ ...end, process: "t2" }, 10);
  assert.ok(suspects.isSuspect("f"));
  assert.ok(suspects.isAny);
  assert.is(suspects.heldForMs("f", 10), 0);
});

test("a failed trial holds a request back, longer each time", () => {
  const suspects = suspectsOf("f");
  const heldMs = [1, 2, 3, 4].map((trial) => {
    const process = `trial-${trial}`;
    suspects.targetEnded({ fingerprint: "f", process, inTrial: true }, 0);
    return suspects.heldForMs("f", 0) / MINUTE_MS;
  });
  assert.equal(heldMs, [2, 20, 24 * 60, 24 * 60]);
  assert.is(suspects.heldForMs("f", 25 * 60 * MINUTE_MS), 0);
  assert.ok(suspects.isSuspect("f"), "its next run is a trial again");
});

test("instances that hear the same in another order come to the same", () => {
  const news = [
    { ended: ["t1"], endedInTrial: [], ageMs: 30 },
    { ended: ["t2", "t1"], endedInTrial: [], ageMs: 20 },
    { ended: ["t3"], endedInTrial: ["t3"], ageMs: 0 },
  ].map((each) => ({ fingerprint: "f", ...each }));
  const told = [news, news.toReversed(), [...news, ...news]].map((order) => {
    const suspects = new SuspectRequests();
    order.forEach((each) => suspects.merge([each], 100));
    const [one] = suspects.toTell(100);
    return { ...one, ended: one!.ended.toSorted() };
  });
  assert.equal(told[1], told[0]);
  assert.equal(told[2], told[0]);
});

test("a request that is served is cleared", () => {
  const coordinator = coordinatorOf(["t3", "t4"]);
  const ask = askOf("a1", { fingerprint: "f" });
  assert.ok(targetOf(coordinator.ask(ask, scope(0))));
  coordinator.ended(endOf("a1", { clearedFingerprint: "f", firstMs: 9 }), 50);
  const again = ["a2", "a3"].map((askId) =>
    targetOf(coordinator.ask(askOf(askId, { fingerprint: "f" }), scope(60)))
  );
  assert.ok(again.every((targetId) => targetId !== undefined));
});

/**
 * A plain call that many callers make alike runs at every target, and so under
 * all that a lost rack takes with it. It waits for its trial, and goes on.
 */
test("copies of a suspect wait for the one on trial", () => {
  const coordinator = coordinatorOf(["t3", "t4"]);
  const copy = { fingerprint: "f" };
  assert.ok(targetOf(coordinator.ask(askOf("a1", copy), scope(0))));
  assert.equal(coordinator.ask(askOf("a2", copy), scope(1)), []);
  const freed = coordinator.ended(
    endOf("a1", { clearedFingerprint: "f", firstMs: 9 }),
    10,
  );
  assert.equal(freed.map(({ askId }) => askId), ["a2"]);
});

test("no two suspects run on trial at one target, others beside them do", () => {
  const coordinator = coordinatorOf(["t3"]);
  const first = coordinator.ask(askOf("a1", { fingerprint: "f" }), scope(0));
  assert.is(targetOf(first), "t3");
  const second = askOf("a2", { fingerprint: "g" });
  assert.equal(coordinator.ask(second, scope(1)), []);
  const lookAlike = askOf("a3", { fingerprint: "of no suspect" });
  assert.is(targetOf(coordinator.ask(lookAlike, scope(2))), "t3");
});

test("a target that ends under a trial ends all further sends", () => {
  const coordinator = coordinatorOf(["t3", "t4"]);
  const copy = { fingerprint: "f" };
  coordinator.ask(askOf("a1", copy), scope(0));
  coordinator.ask(askOf("a2", copy), scope(1));
  const endedTarget = { fingerprint: "f", process: "t3 1", inTrial: true };
  const end = endOf("a1", { failed: true, endedTarget });
  const waiting = refusalOf(coordinator.ended(end, 100));
  const next = refusalOf(coordinator.ask(askOf("a3", copy), scope(101)));
  for (const refusal of [waiting, next]) {
    assert.match(JSON.stringify(refusal), /"refusal":"quarantined"/);
  }
  const other = askOf("a4", { fingerprint: "of no suspect" });
  assert.ok(targetOf(coordinator.ask(other, scope(102))));
});

test("a new coordinator goes on from what holders report", () => {
  const coordinator = new Coordinator(boardOf(["t3", "t4"]), BOUNDS);
  const suspects = suspectsOf("f").toTell(0);
  const trial = {
    askId: "a1",
    pool: "p",
    targetId: "t3",
    rank: 0,
    promptTokens: 500,
    outputTokens: 100,
    firstSeen: false,
    trialOf: "f",
  };
  const report = { holderId: "i1", running: [trial], waiting: [], spent: [] };
  coordinator.report({ ...report, suspects }, 0);
  const copy = askOf("a2", { fingerprint: "f" });
  assert.equal(coordinator.ask(copy, scope(1)), [], "it is on trial elsewhere");
});

test("one that failed a trial is told of before many that only ran beside it", () => {
  const suspects = suspectsOf("f");
  suspects.targetEnded({ fingerprint: "f", process: "t3", inTrial: true }, 0);
  for (let other = 0; other < 40; other++) {
    for (const process of ["t1", "t2"]) {
      const fingerprint = `bystander-${other}`;
      suspects.targetEnded(
        { fingerprint, process, inTrial: false },
        10 + other,
      );
    }
  }
  const told = suspects.toTell(100).map(({ fingerprint }) => fingerprint);
  assert.ok(told.includes("f"));
  assert.ok(told.length < 40, "a heartbeat has to fit a datagram");
});

test("what was noted long ago is forgotten", () => {
  const suspects = suspectsOf("f");
  suspects.forgetOld(11 * MINUTE_MS);
  assert.not.ok(suspects.isAny);
});

test.run();
