/** Suspect requests: their trials, their quarantine and its exchange. */

import { test } from "uvu";
import * as assert from "uvu/assert";
import { Coordinator } from "./coordinator.ts";
import { askOf, boardOf } from "./routing_test_support.ts";
import { CrashSuspects } from "./crash_suspects.ts";
import { SURVIVAL_MS } from "./trials.ts";
import type { AskDecision, WorkAsk, WorkEnd } from "./work_ask.ts";

const MINUTE_MS = 60_000;
const BOUNDS = {
  retryBudget: { ratio: 0.2, slack: 100, windowS: 10 },
  allotmentTolerance: { windowMs: 8000, overage: 0, slack: 0 },
};

function scope(nowMs: number) {
  return { share: 1, reportedShare: 1, uptimeMs: Infinity, nowMs };
}

/** A request that ended two targets. */
function suspectsOf(fingerprint: string): CrashSuspects {
  const suspects = new CrashSuspects();
  for (const process of ["t1", "t2"]) {
    suspects.targetEnded({ fingerprint, process, inTrial: false }, 0);
  }
  return suspects;
}

/** A coordinator that knows two requests under which two targets ended. */
function coordinatorOf(targetIds: readonly string[]): Coordinator {
  const board = boardOf(targetIds);
  for (const fingerprint of ["f", "g"]) {
    board.suspects.merge(suspectsOf(fingerprint).updatesToSend(0), 0);
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

test("two ended targets make a suspect, which is not quarantined yet", () => {
  const suspects = new CrashSuspects();
  const end = { fingerprint: "f", inTrial: false };
  suspects.targetEnded({ ...end, process: "t1" }, 0);
  assert.not.ok(
    suspects.hasSuspects,
    "fingerprints are only computed if there are suspects",
  );
  assert.equal(suspects.updatesToSend(0), []);
  suspects.targetEnded({ ...end, process: "t2" }, 10);
  assert.ok(suspects.isSuspect({ fingerprint: "f" }));
  assert.ok(suspects.hasSuspects);
  assert.is(suspects.quarantineLeftMs({ fingerprint: "f" }, 10), 0);
});

test("each failed trial quarantines a request, for a longer time", () => {
  const suspects = suspectsOf("f");
  const quarantineMinutes = [1, 2, 3, 4].map((trial) => {
    const process = `trial-${trial}`;
    suspects.targetEnded({ fingerprint: "f", process, inTrial: true }, 0);
    return suspects.quarantineLeftMs({ fingerprint: "f" }, 0) / MINUTE_MS;
  });
  assert.equal(quarantineMinutes, [2, 20, 24 * 60, 24 * 60]);
  assert.is(
    suspects.quarantineLeftMs({ fingerprint: "f" }, 25 * 60 * MINUTE_MS),
    0,
  );
  assert.ok(
    suspects.isSuspect({ fingerprint: "f" }),
    "the next run is a trial again",
  );
});

test("instances converge whatever the order of the updates", () => {
  const updates = [
    { ended: ["t1"], endedInTrial: [], ageMs: 30 },
    { ended: ["t2", "t1"], endedInTrial: [], ageMs: 20 },
    { ended: ["t3"], endedInTrial: ["t3"], ageMs: 0 },
  ].map((each) => ({ fingerprint: "f", ...each }));
  const merged = [updates, updates.toReversed(), [...updates, ...updates]].map(
    (order) => {
      const suspects = new CrashSuspects();
      order.forEach((each) => suspects.merge([each], 100));
      const [one] = suspects.updatesToSend(100);
      return { ...one, ended: one!.ended.toSorted() };
    },
  );
  assert.equal(merged[1], merged[0]);
  assert.equal(merged[2], merged[0]);
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
 * Guards against refusing a harmless request that many callers send: copies of
 * it run on all targets, so that the loss of a rack makes it a suspect. Its
 * copies wait for the end of the trial, and run then.
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

test("one suspect at a time runs on a target, along with other requests", () => {
  const coordinator = coordinatorOf(["t3"]);
  const first = coordinator.ask(askOf("a1", { fingerprint: "f" }), scope(0));
  assert.is(targetOf(first), "t3");
  const second = askOf("a2", { fingerprint: "g" });
  assert.equal(coordinator.ask(second, scope(1)), []);
  const unrelated = askOf("a3", { fingerprint: "of no suspect" });
  assert.is(targetOf(coordinator.ask(unrelated, scope(2))), "t3");
});

test("a failed trial refuses all waiting and further copies of a request", () => {
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

test("a new coordinator takes over trials from the reports of holders", () => {
  const coordinator = new Coordinator(boardOf(["t3", "t4"]), BOUNDS);
  const suspects = suspectsOf("f").updatesToSend(0);
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
  assert.equal(coordinator.ask(copy, scope(1)), [], "a trial is in progress");
});

test("a request that failed a trial takes precedence over newer suspects", () => {
  const suspects = suspectsOf("f");
  suspects.targetEnded({ fingerprint: "f", process: "t3", inTrial: true }, 0);
  for (let other = 0; other < 40; other++) {
    for (const process of [`a${other}`, `b${other}`]) {
      const fingerprint = `bystander-${other}`;
      suspects.targetEnded(
        { fingerprint, process, inTrial: false },
        10 + other,
      );
    }
  }
  const sent = suspects.updatesToSend(100).map(({ fingerprint }) =>
    fingerprint
  );
  assert.ok(sent.includes("f"));
  assert.ok(sent.length < 40, "a heartbeat has to fit into a datagram");
});

test("requests are evicted after their retention time", () => {
  const suspects = suspectsOf("f");
  suspects.evictExpired(11 * MINUTE_MS);
  assert.not.ok(suspects.hasSuspects);
});

/** Requests whose prompts share a part, beside sound ones with other parts. */
const BAD = { promptParts: ["shared", "bad"] };

/** A coordinator that knows of two crashes under requests like `BAD`. */
function coordinatorAfterCrashes(targetIds: readonly string[]): Coordinator {
  const board = boardOf(targetIds);
  for (const [index, process] of ["t1 1", "t2 1"].entries()) {
    board.suspects.targetEnded({
      fingerprint: `f${index}`,
      promptParts: [{ part: "shared", servedAgeMs: 5 }, { part: "bad" }],
      process,
      inTrial: false,
    }, 100 * index);
  }
  return new Coordinator(board, BOUNDS);
}

// Guards against targets that crash one after another under requests that have
// only a part of their prompts in common.
test("requests that share a part under which two targets ended are tried one at a time", () => {
  const coordinator = coordinatorAfterCrashes(["t3", "t4"]);
  const first = askOf("a1", { fingerprint: "f8", ...BAD });
  assert.ok(targetOf(coordinator.ask(first, scope(200))));
  const second = askOf("a2", { fingerprint: "f9", ...BAD });
  assert.equal(coordinator.ask(second, scope(201)), []);
  const endedTarget = {
    fingerprint: "f8",
    promptParts: [{ part: "shared", servedAgeMs: 5 }, { part: "bad" }],
    process: "t3 1",
    inTrial: true,
  };
  const end = endOf("a1", { failed: true, endedTarget });
  const refused = refusalOf(coordinator.ended(end, 300));
  assert.match(JSON.stringify(refused), /"refusal":"quarantined"/);
});

// Guards against refusing or delaying sound requests that share other parts
// with those that crash targets.
test("requests that share only other parts are placed at once", () => {
  const coordinator = coordinatorAfterCrashes(["t3"]);
  const sound = { promptParts: ["shared", "session"] };
  const decisions = coordinator
    .ask(askOf("a1", { fingerprint: "f8", ...sound }), scope(200));
  assert.ok(targetOf(decisions));
  assert.not.match(JSON.stringify(decisions), "isTrial");
});

// Guards against delaying requests with a sound part until a long stream on
// trial has ended.
test("a trial ends when its target has gone on for some time after the first event", () => {
  const coordinator = coordinatorAfterCrashes(["t3", "t4"]);
  coordinator.ask(askOf("a1", { fingerprint: "f8", ...BAD }), scope(200));
  coordinator.ask(askOf("a2", { fingerprint: "f9", ...BAD }), scope(201));
  coordinator.firstSeen("a1", 300);
  assert.equal(coordinator.tick(310), []);
  const placed = coordinator.tick(300 + SURVIVAL_MS);
  assert.equal(placed.map(({ askId }) => askId), ["a2"]);
});

// Guards against requests whose callers leave before a target that goes on with
// them crashes: nobody waits for their answers, so nobody tells of the crash.
test("requests that their callers abandoned shortly before a crash are implicated", () => {
  const coordinator = new Coordinator(boardOf(["t3", "t4"]), BOUNDS);
  for (const [turn, targetId] of ["t3", "t4"].entries()) {
    const excluded = targetId === "t4" ? ["t3"] : ["t4"];
    const place = (askId: string, over: Partial<WorkAsk>) =>
      coordinator.ask(askOf(askId, { excluded, ...over }), scope(100 * turn));
    const keys = { fingerprint: `f${turn}`, promptParts: ["bad"] };
    place(`left-${turn}`, keys);
    place(`lost-${turn}`, { fingerprint: `g${turn}` });
    coordinator.ended(endOf(`left-${turn}`, { targetId }), 100 * turn + 50);
    const endedTarget = {
      fingerprint: `g${turn}`,
      process: `${targetId} 1`,
      inTrial: false,
    };
    const end = endOf(`lost-${turn}`, { targetId, failed: true, endedTarget });
    coordinator.ended(end, 100 * turn + 60);
  }
  const again = askOf("a1", { fingerprint: "f9", promptParts: ["bad"] });
  const decisions = coordinator.ask(again, scope(200));
  assert.match(JSON.stringify(decisions), '"isTrial":true');
});

// Guards against suspects that come back with the repeated message of a holder
// after an answer has cleared them.
test("a repeated report of an end before the last answer suspects no key", () => {
  const suspects = suspectsOf("f");
  const repeated = suspects.updatesToSend(10);
  suspects.served({ fingerprint: "f" }, 50);
  suspects.merge(repeated.map((each) => ({ ...each, ageMs: 100 })), 100);
  assert.not.ok(suspects.hasSuspects);
});

// Guards against instances that keep a cleared suspect and restore it when they
// become the coordinator.
test("other instances learn of cleared suspects", () => {
  const suspects = suspectsOf("f");
  const other = new CrashSuspects();
  other.merge(suspects.updatesToSend(10), 10);
  assert.ok(other.isSuspect({ fingerprint: "f" }));
  suspects.served({ fingerprint: "f" }, 50);
  other.merge(suspects.updatesToSend(60), 60);
  assert.not.ok(other.hasSuspects);
});

// Guards against suspecting the parts beside the one that crashes targets once
// it has crashed so many that the first ones are forgotten.
test("many crashes of one part implicate no other part", () => {
  const suspects = new CrashSuspects();
  for (let crash = 0; crash < 40; crash++) {
    suspects.targetEnded({
      fingerprint: `f${crash}`,
      promptParts: [{ part: "bad" }, { part: `session-${crash % 4}` }],
      process: `p${crash}`,
      inTrial: false,
    }, 100 * crash);
  }
  const keys = { promptParts: ["bad", "session-0", "session-1"] };
  assert.equal(suspects.suspectKeysOf(keys), ["bad"]);
});

// Guards against writes to the store after each crash of a target.
test("crashes without a common key are not recorded", () => {
  const suspects = new CrashSuspects();
  const { version } = suspects;
  for (const process of ["t1", "t2"]) {
    const fingerprint = `of ${process}`;
    suspects.targetEnded({ fingerprint, process, inTrial: false }, 0);
  }
  assert.is(suspects.version, version);
});

test.run();
