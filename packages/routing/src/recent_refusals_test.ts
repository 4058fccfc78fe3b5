import { test } from "uvu";
import * as assert from "uvu/assert";
import { RecentRefusals, type Refusal } from "./recent_refusals.ts";
import { askOf } from "./routing_test_support.ts";
import { AskRefusal } from "./work_ask.ts";

function refusalOf(
  refusal: AskRefusal,
  over: Partial<Refusal> = {},
): Refusal {
  const figures = { waitMs: 900 };
  return {
    askId: "a0",
    holderId: "i1",
    refusal,
    retryAfterMs: 900,
    figures,
    ...over,
  };
}

/** Refuses one ask by its coordinator, and asks for others after a while. */
function afterRefusal(
  refusal: Refusal,
  refused: Parameters<typeof askOf>[1] = {},
) {
  const refusals = new RecentRefusals();
  refusals.record(askOf("a0", refused), refusal, 0);
  return (over: Parameters<typeof askOf>[1], nowMs: number) =>
    refusals.refusalFor(askOf("a1", over), nowMs)?.refusal;
}

test("what a full queue has just refused is refused again, for 100 ms", () => {
  const ask = afterRefusal(refusalOf(AskRefusal.Overload), { rank: 2 });
  assert.is(ask({ rank: 2 }, 99), AskRefusal.Overload);
  assert.is(ask({ rank: 3 }, 99), AskRefusal.Overload);
  assert.is(ask({ rank: 2 }, 100), undefined);
});

test("a higher rank, a longer patience or another pool is asked for", () => {
  const ask = afterRefusal(refusalOf(AskRefusal.Overload), { rank: 2 });
  assert.is(ask({ rank: 1 }, 10), undefined);
  assert.is(ask({ rank: 2, patienceLeftMs: 2001 }, 10), undefined);
  assert.is(ask({ rank: 2, pool: "other" }, 10), undefined);
});

test("a spent allotment refuses what costs as much, until it may free up", () => {
  const refusal = refusalOf(AskRefusal.Allotment, { retryAfterMs: 150 });
  const ask = afterRefusal(refusal, { cost: 100, rank: 1 });
  assert.is(ask({ cost: 100, rank: 1 }, 149), AskRefusal.Allotment);
  assert.is(ask({ cost: 99, rank: 1 }, 10), undefined);
  assert.is(ask({ cost: 100, rank: 0 }, 10), undefined);
  assert.is(ask({ cost: 100, rank: 1, workspace: "v" }, 10), undefined);
  assert.is(ask({ cost: 100, rank: 1 }, 150), undefined);
});

test("what says nothing of other asks is not remembered", () => {
  for (const refusal of [AskRefusal.NoTarget, AskRefusal.RetryBudget]) {
    assert.is(afterRefusal(refusalOf(refusal))({}, 1), undefined);
  }
});

test("the refusal is that of the new ask, and tells its age", () => {
  const refusals = new RecentRefusals();
  refusals.record(askOf("a0"), refusalOf(AskRefusal.Overload), 0);
  assert.equal(refusals.refusalFor(askOf("a1"), 40), {
    askId: "a1",
    holderId: "i1",
    refusal: AskRefusal.Overload,
    retryAfterMs: 900,
    figures: { waitMs: 900, rememberedMs: 40 },
  });
});

test.run();
