/** Tests that targets are not made to reject more than they withstand. */

import { test } from "uvu";
import * as assert from "uvu/assert";
import { Coordinator } from "./coordinator.ts";
import { askOf, boardOf } from "./routing_test_support.ts";
import type { AskDecision, WorkEnd } from "./work_ask.ts";

const BOUNDS = {
  retryBudget: { ratio: 0.2, slack: 5, windowS: 10 },
  allotmentTolerance: { windowMs: 8000, overage: 0, slack: 0 },
};
const TARGET_IDS = ["t1", "t2", "t3"];
const MAX_REJECTIONS_PER_S = 4;
const ASKS = 200;
const LENGTH_MS = 4000;
const WINDOW_MS = 1000;
/** Time from a placement to the target's rejection at the coordinator. */
const REJECTION_DELAY_MS = 5;

function endOf(
  askId: string,
  targetId: string,
  over: Partial<WorkEnd>,
): WorkEnd {
  return {
    askId,
    targetId,
    pool: "p",
    promptTokens: 500,
    failed: false,
    maxRejectionsPerS: MAX_REJECTIONS_PER_S,
    ...over,
  };
}

function placementsOf(decisions: readonly AskDecision[]) {
  return decisions.flatMap((decision) =>
    "targetId" in decision ? decision : []
  );
}

/** Largest number of entries within any window. */
function mostInWindow(atMs: readonly number[]): number {
  const counts = atMs.map((fromMs) =>
    atMs.filter((ms) => ms >= fromMs && ms < fromMs + WINDOW_MS).length
  );
  return Math.max(0, ...counts);
}

// Guards against the failure of targets that are full of work which their new
// coordinator does not know of yet: each rejection freed the slot in its
// accounting, and the next queued request followed at once.
test("a new coordinator does not exceed the rejections that full targets withstand", () => {
  const coordinator = new Coordinator(boardOf(TARGET_IDS), BOUNDS);
  for (const targetId of TARGET_IDS) {
    coordinator.ended(endOf("earlier", targetId, {}), 0);
  }
  coordinator.accountingBegan(0);
  const rejectedAtMs = new Map(TARGET_IDS.map((id) => [id, [] as number[]]));
  const pending: { askId: string; targetId: string; atMs: number }[] = [];
  const place = (decisions: readonly AskDecision[], nowMs: number) => {
    for (const { askId, targetId } of placementsOf(decisions)) {
      pending.push({ askId, targetId, atMs: nowMs + REJECTION_DELAY_MS });
    }
  };
  for (let nowMs = 0; nowMs < LENGTH_MS; nowMs++) {
    const scope = { share: 1, reportedShare: 1, uptimeMs: Infinity, nowMs };
    if (nowMs % (LENGTH_MS / ASKS) === 0) {
      place(coordinator.ask(askOf(`a${nowMs}`), scope), nowMs);
    }
    while (pending[0]?.atMs === nowMs) {
      const { askId, targetId } = pending.shift()!;
      rejectedAtMs.get(targetId)!.push(nowMs);
      const end = endOf(askId, targetId, { failed: true, isRejected: true });
      place(coordinator.ended(end, nowMs), nowMs);
    }
    if (nowMs % 20 === 0) {
      place(coordinator.tick(nowMs), nowMs);
    }
  }
  for (const atMs of rejectedAtMs.values()) {
    assert.ok(atMs.length > 0);
    assert.ok(mostInWindow(atMs) <= MAX_REJECTIONS_PER_S, `${atMs}`);
  }
});

test("a target that rejects nothing is used up to its slots", () => {
  const coordinator = new Coordinator(boardOf(["t1"]), BOUNDS);
  coordinator.ended(endOf("earlier", "t1", { maxRejectionsPerS: 1 }), 0);
  const scope = {
    share: 1,
    reportedShare: 1,
    uptimeMs: Infinity,
    nowMs: 10,
  };
  const decisions = ["a1", "a2"].flatMap((askId) =>
    coordinator.ask(askOf(askId), scope)
  );
  assert.is(placementsOf(decisions).length, 2);
});

test.run();
