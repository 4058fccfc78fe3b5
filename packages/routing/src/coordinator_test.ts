import { test } from "uvu";
import { RecordOutcome } from "./recorded_spending.ts";
import * as assert from "uvu/assert";
import { Coordinator } from "./coordinator.ts";
import type { FleetConfiguration } from "./fleet_configuration.ts";
import { askOf, boardOf } from "./routing_test_support.ts";
import { AskCause, type AskDecision, type WorkEnd } from "./work_ask.ts";

const BOUNDS = {
  retryBudget: { ratio: 0.2, slack: 5, windowS: 10 },
  allotmentTolerance: { windowMs: 8000, overage: 0, slack: 0 },
};

function coordinatorOf(
  targetIds: readonly string[],
  over: Partial<FleetConfiguration> = {},
): Coordinator {
  return new Coordinator(boardOf(targetIds, over), BOUNDS);
}

function scope(nowMs: number) {
  return { share: 1, reportedShare: 1, uptimeMs: Infinity, nowMs };
}

/** Lets the spending of workspace `w` be recorded up to an amount. */
function setRecorded(coordinator: Coordinator, spent: number): void {
  const byWorkspace = new Map([["w", spent]]);
  coordinator.spendingRecordFound({ share: 1, byWorkspace }, false);
}

function endOf(askId: string, targetId: string): WorkEnd {
  return { askId, targetId, pool: "p", promptTokens: 500, failed: false };
}

/** Formats decisions as `ask -> target` or `ask: refusal`. */
function summariesOf(decisions: readonly AskDecision[]): string[] {
  return decisions.map((d) =>
    "targetId" in d ? `${d.askId} -> ${d.targetId}` : `${d.askId}: ${d.refusal}`
  );
}

test("no target gets more work than it has slots; the rest is queued by rank", () => {
  const coordinator = coordinatorOf(["t1"]);
  const asks = [
    askOf("a1"),
    askOf("a2"),
    askOf("low", { rank: 2 }),
    askOf("high", { rank: 0 }),
  ];
  const decided = asks.flatMap((ask) => coordinator.ask(ask, scope(0)));
  assert.equal(summariesOf(decided), ["a1 -> t1", "a2 -> t1"]);
  assert.equal(summariesOf(coordinator.ended(endOf("a1", "t1"), 50)), [
    "high -> t1",
  ]);
  assert.equal(summariesOf(coordinator.ended(endOf("a2", "t1"), 60)), [
    "low -> t1",
  ]);
});

test("an ask that is sent again gets the same placement", () => {
  const coordinator = coordinatorOf(["t1", "t2"]);
  const first = coordinator.ask(askOf("a1"), scope(0));
  assert.equal(coordinator.ask(askOf("a1"), scope(40)), first);
  assert.equal(coordinator.load(), [{ pool: "p", waiting: 0, placed: 1 }]);
});

test("a long queue is reordered at intervals, and slots are filled whenever work ends", () => {
  const coordinator = coordinatorOf(["t1"]);
  const asks = Array.from(
    { length: 40 },
    (_, index) => askOf(`a${index}`, { rank: 1, patienceLeftMs: 60_000 }),
  );
  asks.forEach((ask) => coordinator.ask(ask, scope(0)));
  const late = askOf("late", { rank: 2, patienceLeftMs: 0 });
  assert.equal(summariesOf(coordinator.ask(late, scope(5))), []);
  assert.equal(summariesOf(coordinator.tick(20)), ["late: overload"]);
  coordinator.ask(askOf("high"), scope(25));
  assert.equal(summariesOf(coordinator.ended(endOf("a0", "t1"), 26)), [
    "high -> t1",
  ]);
});

test("a request whose predicted wait exceeds its caller's patience is refused at once", () => {
  const coordinator = coordinatorOf(["t1"]);
  coordinator.ask(askOf("a1"), scope(0));
  coordinator.ask(askOf("a2"), scope(0));
  const hasty = askOf("hasty", { patienceLeftMs: 100 });
  const [refusal] = coordinator.ask(hasty, scope(0));
  assert.equal(summariesOf([refusal!]), ["hasty: overload"]);
  assert.ok("retryAfterMs" in refusal! && refusal.retryAfterMs >= 500);
});

test("the request that needs more time before its deadline starts first", () => {
  const coordinator = coordinatorOf(["t1"]);
  const soon = { deadlineLeftMs: 3000 };
  const asks = [
    askOf("a1"),
    askOf("a2"),
    askOf("small", { ...soon, outputTokens: 20 }),
    askOf("large", { ...soon, outputTokens: 700 }),
  ];
  asks.forEach((ask, index) => coordinator.ask(ask, scope(index)));
  assert.equal(summariesOf(coordinator.ended(endOf("a1", "t1"), 50)), [
    "large -> t1",
  ]);
});

test("within a rank, a caller that was refused before goes after one that is still on time", () => {
  const coordinator = coordinatorOf(["t1"]);
  coordinator.ask(askOf("a1"), scope(0));
  coordinator.ask(askOf("a2"), scope(0));
  const again = { callHash: 7 };
  const first = askOf("first", { ...again, patienceLeftMs: 0 });
  assert.equal(summariesOf(coordinator.ask(first, scope(0))), [
    "first: overload",
  ]);
  coordinator.ask(askOf("second", again), scope(1000));
  coordinator.ask(askOf("new", { deadlineLeftMs: 8000 }), scope(1001));
  const decided = coordinator.ended(endOf("a1", "t1"), 1010);
  assert.equal(summariesOf(decided), ["new -> t1"]);
  const [late] = coordinator.ended(endOf("a2", "t1"), 1020);
  assert.equal(summariesOf([late!]), ["second -> t1"]);
  assert.is("targetId" in late! && late.cameBackMs, 1000);
});

test("a request of a higher rank displaces one of the lowest, and is not refused itself", () => {
  const coordinator = coordinatorOf(["t1"]);
  coordinator.ask(askOf("a1"), scope(0));
  coordinator.ask(askOf("a2"), scope(0));
  coordinator.ask(askOf("low", { rank: 2, patienceLeftMs: 400 }), scope(0));
  const high = askOf("high", { patienceLeftMs: 400 });
  assert.equal(summariesOf(coordinator.ask(high, scope(10))), [
    "low: overload",
  ]);
});

test("a starved rank of long work goes ahead for its share of time only", () => {
  // Short work of rank 0 fills all 20 slots; work of rank 2 occupies a slot ten
  // times as long.
  const targetIds = Array.from({ length: 10 }, (_, index) => `t${index}`);
  const coordinator = coordinatorOf(targetIds);
  const holdMs = { high: 100, low: 1000 };
  const timeMs = { high: 0, low: 0 };
  const running: { askId: string; endsAtMs: number }[] = [];
  let asked = 0;
  const take = (decisions: readonly AskDecision[], nowMs: number) => {
    for (const decision of decisions) {
      if ("targetId" in decision) {
        const { askId } = decision;
        const kind = askId.startsWith("low") ? "low" : "high";
        timeMs[kind] += holdMs[kind];
        running.push({ askId, endsAtMs: nowMs + holdMs[kind] });
      }
    }
  };
  for (let nowMs = 0; nowMs < 20_000; nowMs += 10) {
    const ended = running.filter(({ endsAtMs }) => endsAtMs <= nowMs);
    for (const work of ended) {
      running.splice(running.indexOf(work), 1);
      take(coordinator.ended(endOf(work.askId, "t1"), nowMs), nowMs);
    }
    for (
      const [kind, rank] of [["high", 0], ["high", 0], ["low", 2]] as const
    ) {
      const askId = `${kind}${asked++}`;
      const ask = askOf(askId, { rank, patienceLeftMs: 400 });
      take(coordinator.ask(ask, scope(nowMs)), nowMs);
    }
    take(coordinator.tick(nowMs), nowMs);
  }
  const share = timeMs.low / (timeMs.low + timeMs.high);
  assert.ok(share > 0.05 && share < 0.2, String(share));
});

/**
 * Coordinator of a fast target without a free slot and an idle one three times
 * as slow.
 */
function coordinatorOfBusyFastTarget(): Coordinator {
  const board = boardOf(["fast", "slow"]);
  for (let i = 0; i < 40; i++) {
    board.latencyModels.of("slow").recordFirstEvent(1000, 0, 180);
  }
  const coordinator = new Coordinator(board, BOUNDS);
  coordinator.ask(askOf("a1"), scope(0));
  coordinator.ask(askOf("a2"), scope(0));
  return coordinator;
}

test("a large prompt waits for a fast target if it would be late at a slow one", () => {
  const coordinator = coordinatorOfBusyFastTarget();
  const large = { promptTokens: 10_000, objectiveLeftMs: 400 };
  assert.equal(coordinator.ask(askOf("large", large), scope(0)), []);
  // Small prompts don't wait behind it and go to the free target.
  const small = askOf("small", { objectiveLeftMs: 400 });
  assert.equal(summariesOf(coordinator.ask(small, scope(0))), [
    "small -> slow",
  ]);
  assert.equal(summariesOf(coordinator.ended(endOf("a1", "fast"), 60)), [
    "large -> fast",
  ]);
});

test("a large prompt that is late anyway goes to the free target", () => {
  const coordinator = coordinatorOfBusyFastTarget();
  const late = askOf("late", { promptTokens: 10_000, objectiveLeftMs: 100 });
  assert.equal(summariesOf(coordinator.ask(late, scope(0))), ["late -> slow"]);
});

test("the memory of an engine is never oversubscribed", () => {
  const coordinator = coordinatorOf(["t1"]);
  const big = { promptTokens: 60_000, outputTokens: 1000 };
  assert.equal(summariesOf(coordinator.ask(askOf("b1", big), scope(0))), [
    "b1 -> t1",
  ]);
  assert.equal(coordinator.ask(askOf("b2", big), scope(0)), []);
});

test("a request is not placed again at a target that failed it", () => {
  const coordinator = coordinatorOf(["t1", "t2"]);
  const ask = askOf("a1", { excluded: ["t1"], cause: AskCause.Repeat });
  assert.equal(summariesOf(coordinator.ask(ask, scope(0))), ["a1 -> t2"]);
  const none = askOf("a2", { excluded: ["t1", "t2"] });
  assert.equal(summariesOf(coordinator.ask(none, scope(0))), ["a2: no_target"]);
});

test("repeats draw on the retry budget of the whole fleet", () => {
  const coordinator = coordinatorOf(["t1", "t2", "t3"]);
  const again = (id: string) =>
    summariesOf(
      coordinator.ask(askOf(id, { cause: AskCause.Repeat }), scope(0)),
    );
  assert.equal(
    [...again("r1"), ...again("r2"), ...again("r3"), ...again("r4")]
      .filter((text) => text.endsWith("retry_budget")),
    ["r4: retry_budget"],
  );
});

test("a holder's report releases work that it no longer lists and adds work that it does", () => {
  const coordinator = coordinatorOf(["t1"]);
  coordinator.ask(askOf("a1", { holderId: "i2" }), scope(0));
  const running = {
    askId: "b1",
    pool: "p",
    targetId: "t1",
    rank: 0,
    promptTokens: 500,
    outputTokens: 100,
    firstSeen: true,
  };
  const report = { holderId: "i2", running: [running], waiting: [], spent: [] };
  coordinator.report(report, 100);
  assert.equal(coordinator.load()[0], { pool: "p", waiting: 0, placed: 2 });
  coordinator.report({ ...report, running: [] }, 1000);
  assert.equal(coordinator.load()[0], { pool: "p", waiting: 0, placed: 0 });
});

test("the work of a holder that timed out is released", () => {
  const coordinator = coordinatorOf(["t1"]);
  coordinator.ask(askOf("a1", { holderId: "i2" }), scope(0));
  coordinator.ask(askOf("a2", { holderId: "i2" }), scope(0));
  assert.equal(coordinator.ask(askOf("a3"), scope(10)), []);
  coordinator.report(
    { holderId: "i1", running: [], waiting: ["a3"], spent: [] },
    1000,
  );
  assert.equal(summariesOf(coordinator.tick(1600)), ["a3 -> t1"]);
});

test("the work at a target that restarted is released", () => {
  const coordinator = coordinatorOf(["t1"]);
  coordinator.ask(askOf("a1"), scope(0));
  coordinator.ask(askOf("a2"), scope(0));
  assert.equal(coordinator.ask(askOf("a3"), scope(10)), []);
  coordinator.targetRestarted("t1");
  assert.equal(summariesOf(coordinator.tick(20)), ["a3 -> t1"]);
  // The holder reports the end later.
  coordinator.ended(endOf("a1", "t1"), 30);
  assert.is(coordinator.load()[0]!.placed, 1);
});

test("an allotment is charged once, and refunded for a request that never ran", () => {
  const allotment = { perS: 100, burst: 200, inTokens: true, plainTokens: 1 };
  const coordinator = coordinatorOf(["t1"], {
    workspaces: [{ name: "w", keys: [], allotment }],
  });
  setRecorded(coordinator, 1000);
  const ask = askOf("a1", { cost: 1000 });
  assert.equal(summariesOf(coordinator.ask(ask, scope(0))), ["a1 -> t1"]);
  coordinator.ask(ask, scope(40));
  const second = askOf("a2", { cost: 100 });
  assert.equal(summariesOf(coordinator.ask(second, scope(50))), [
    "a2: allotment",
  ]);
  coordinator.dropped("a1", 60);
  const third = askOf("a3", { cost: 100 });
  assert.equal(summariesOf(coordinator.ask(third, scope(70))), ["a3 -> t1"]);
});

// Guards against spending that a fleet would not know of if it lost all its
// instances: it was handed out although the store did not record it.
test("an ask beyond what is recorded waits for the record, or is refused", () => {
  const allotment = { perS: 100, burst: 200, inTokens: true, plainTokens: 1 };
  const coordinator = coordinatorOf(["t1"], {
    workspaces: [{ name: "w", keys: [], allotment }],
  });
  const askAt = (askId: string, nowMs: number, cost = 600) =>
    summariesOf(coordinator.ask(askOf(askId, { cost }), scope(nowMs)));
  assert.equal(askAt("a1", 0), ["a1: allotment"]);
  coordinator.setRecording(true);
  assert.equal(askAt("a2", 10), []);
  assert.equal(askAt("a2", 50), [], "sent again");
  assert.is(coordinator.load()[0]!.waiting, 1);
  assert.equal(coordinator.lookUp(["a2"], 60).unknownIds, []);
  const account = coordinator.nextSpendingRecord(70);
  assert.equal(account!.ahead, [{ workspace: "w", spent: 600 }]);
  assert.equal(summariesOf(coordinator.tick(80)), []);
  coordinator.spendingRecordEnded(RecordOutcome.Written);
  assert.equal(summariesOf(coordinator.tick(100)), ["a2 -> t1"]);
  assert.equal(askAt("a3", 9000, 700), [], "the record covers 600");
  assert.equal(summariesOf(coordinator.tick(9399)), []);
  assert.equal(summariesOf(coordinator.tick(9400)), ["a3: allotment"]);
});

// Guards against spending more than the bound after a partition: charges of
// queued requests were taken for spending that holders report, and hid as much
// of what was charged on the other side.
test("queued requests do not hide what was charged elsewhere", () => {
  const workspaces = [{
    name: "w",
    keys: [],
    allotment: { perS: 100, burst: 200, inTokens: true, plainTokens: 1 },
  }];
  const coordinator = coordinatorOf(["t1"], { workspaces });
  setRecorded(coordinator, 1000);
  const reportAt = (nowMs: number, placedIds: string[]) => {
    const work = { pool: "p", targetId: "t1", rank: 0, firstSeen: false };
    const tokens = { promptTokens: 500, outputTokens: 100 };
    coordinator.report({
      holderId: "i1",
      running: placedIds.map((askId) => ({ askId, ...work, ...tokens })),
      waiting: ["q2", "q3", "q4"],
      spent: [{ workspace: "w", spent: 100 * placedIds.length }],
    }, nowMs);
    const spent = [{ workspace: "w", spent: 300 }];
    coordinator.report(
      { holderId: "i2", running: [], waiting: [], spent },
      nowMs,
    );
  };
  const ask = (askId: string, nowMs: number) => {
    const work = askOf(askId, { cost: 100, patienceLeftMs: 60_000 });
    return summariesOf(coordinator.ask(work, scope(nowMs)));
  };
  reportAt(0, []);
  assert.equal(["q0", "q1"].flatMap((id) => ask(id, 10)), [
    "q0 -> t1",
    "q1 -> t1",
  ]);
  assert.equal(["q2", "q3", "q4"].flatMap((id) => ask(id, 20)), []);
  reportAt(900, ["q0", "q1"]);
  // 300 elsewhere, 200 placed and 300 queued of a bound of 1000.
  assert.equal(["q5", "q6"].flatMap((id) => ask(id, 910)), []);
  assert.equal(ask("q7", 920), ["q7: allotment"]);
});

test("a lost decision is sent to its holder again, one still in transit is not", () => {
  const coordinator = coordinatorOf(["t1"]);
  const [placed] = coordinator.ask(askOf("a1"), scope(0));
  assert.equal(coordinator.lookUp(["a1"], 100).decisions, []);
  assert.equal(coordinator.lookUp(["a1"], 200).decisions, [placed]);
});

test("unknown asks are reported to their holder", () => {
  const coordinator = coordinatorOf(["t1"]);
  ["a1", "a2", "a3"].forEach((id) => coordinator.ask(askOf(id), scope(0)));
  const { unknownIds } = coordinator.lookUp(["a1", "a3", "lost"], 200);
  assert.equal(unknownIds, ["lost"]);
});

test("between reorders of a long queue, free slots go to the next requests", () => {
  const coordinator = coordinatorOf(["t1"]);
  const waits = { rank: 1, patienceLeftMs: 60_000, deadlineLeftMs: 200_000 };
  for (let i = 0; i < 200; i++) {
    coordinator.ask(askOf(`a${i}`, waits), scope(0));
  }
  coordinator.tick(100);
  coordinator.ask(askOf("first", { ...waits, rank: 0 }), scope(101));
  const soonest = { ...waits, patienceLeftMs: 50_000 };
  coordinator.ask(askOf("soonest", soonest), scope(102));
  assert.equal(summariesOf(coordinator.ended(endOf("a0", "t1"), 103)), [
    "first -> t1",
  ]);
  assert.equal(summariesOf(coordinator.ended(endOf("a1", "t1"), 104)), [
    "soonest -> t1",
  ]);
});

test("a low rank is refused at once while the ranks above fill the pool", () => {
  const refusedAt = (higherPerS: number) => {
    const coordinator = coordinatorOf(["t1", "t2"]);
    for (let nowMs = 0; nowMs < 6000; nowMs += 1000 / higherPerS) {
      const askId = `h${nowMs}`;
      const decisions = coordinator.ask(askOf(askId), scope(nowMs));
      if (decisions.every(({ askId: id }) => id !== askId)) {
        coordinator.dropped(askId, nowMs);
      }
    }
    const low = askOf("low", { rank: 2, patienceLeftMs: 900 });
    return summariesOf(coordinator.ask(low, scope(6000)));
  };
  assert.equal(refusedAt(20), ["low: overload"]);
  assert.equal(refusedAt(1), []);
});

// Guards against a coordinator that takes load for less, and callers for new
// ones, because holders refused them.
test("refusals by holders count as those of the coordinator", () => {
  const coordinator = coordinatorOf(["t1"]);
  const none = { holderId: "i2", running: [], waiting: [], spent: [] };
  const refused = [{ pool: "p", rank: 0, count: 40, callHashes: [7] }];
  coordinator.ask(askOf("a1"), scope(0));
  coordinator.ask(askOf("a2"), scope(0));
  const low = { rank: 1, patienceLeftMs: 1000 };
  assert.equal(coordinator.ask(askOf("before", low), scope(0)), []);
  coordinator.report({ ...none, refused }, 100);
  assert.equal(
    summariesOf(coordinator.ask(askOf("after", low), scope(100))),
    ["before: overload", "after: overload"],
  );
  coordinator.ended(endOf("a1", "t1"), 300);
  const [again] = coordinator.ask(askOf("a3", { callHash: 7 }), scope(600));
  assert.ok(again !== undefined && "targetId" in again);
  assert.is(again.cameBackMs, 500);
});

test.run();
