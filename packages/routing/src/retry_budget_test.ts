import { test } from "uvu";
import * as assert from "uvu/assert";
import { RetryBudget, takenOverHistory } from "./retry_budget.ts";

const BOUND = { ratio: 0.2, slack: 100, windowS: 10 };

/** Consumes repeats until none is left, and returns their number. */
function consumeAll(
  budget: RetryBudget,
  scope: { share?: number; uptimeMs?: number; nowMs: number },
): number {
  let consumed = 0;
  while (budget.tryConsume({ share: 1, uptimeMs: Infinity, ...scope })) {
    consumed++;
  }
  return consumed;
}

// Guards against a whole slack for each restart of all instances, of which none
// knows what was repeated before.
test("the slack grows with the uptime until a window has passed", () => {
  const consumed = [0, 2500, 5000, 10_000, 60_000].map((uptimeMs) =>
    consumeAll(new RetryBudget(BOUND), { uptimeMs, nowMs: 0 })
  );
  assert.equal(consumed, [6, 15, 30, 60, 60]);
});

test("imported repeats count until they leave the window", () => {
  const former = new RetryBudget(BOUND);
  consumeAll(former, { nowMs: 0 });
  const successor = new RetryBudget(BOUND);
  successor.importHistory(former.history("p", 3000), 3000);
  assert.is(consumeAll(successor, { nowMs: 3000 }), 0);
  assert.is(consumeAll(successor, { nowMs: 9900 }), 0);
  assert.is(consumeAll(successor, { nowMs: 11_000 }), 60);
});

test("imported first sends raise the bound as those counted here do", () => {
  const former = new RetryBudget(BOUND);
  for (let sends = 0; sends < 500; sends++) {
    former.recordFirst(0);
  }
  const successor = new RetryBudget(BOUND);
  successor.importHistory(former.history("p", 1000), 1000);
  assert.is(consumeAll(successor, { nowMs: 1000 }), 120);
});

test("sends that are known already count once", () => {
  const budget = new RetryBudget(BOUND);
  assert.is(consumeAll(budget, { share: 0.5, nowMs: 0 }), 30);
  budget.importHistory(budget.history("p", 0), 0);
  assert.is(consumeAll(budget, { nowMs: 0 }), 30);
});

// Guards against first sends that count again each time when they are reported,
// which would raise the bound.
test("first sends that are reported for the next second count once", () => {
  const budget = new RetryBudget(BOUND);
  for (let sends = 0; sends < 500; sends++) {
    budget.recordFirst(900);
  }
  for (let nowMs = 1000; nowMs < 3000; nowMs += 250) {
    const firstSends = nowMs < 2000 ? [500, 0, 0] : [0, 500, 0];
    const history = { pool: "p", firstSends, repeats: [0, 0, 0] };
    budget.importHistory(history, nowMs);
  }
  assert.is(consumeAll(budget, { nowMs: 3000 }), 120);
});

test("a share of a history is taken over by its age now", () => {
  const history = { pool: "p", firstSends: [10, 0], repeats: [4, 2] };
  assert.equal(takenOverHistory(history, { ageMs: 1900, share: 0.5 }), {
    pool: "p",
    firstSends: [0, 5, 0],
    repeats: [0, 2, 1],
  });
});

test.run();
