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

/**
 * Caches the refusal of one ask and returns a function that looks up others.
 */
function afterRefusal(
  refusal: Refusal,
  refused: Parameters<typeof askOf>[1] = {},
) {
  const refusals = new RecentRefusals();
  refusals.record(askOf("a0", refused), refusal, 0);
  return (over: Parameters<typeof askOf>[1], nowMs: number) =>
    refusals.refusalFor(askOf("a1", over), nowMs)?.refusal;
}

test("a refusal for overload is reused for 100 ms", () => {
  const ask = afterRefusal(refusalOf(AskRefusal.Overload), { rank: 2 });
  assert.is(ask({ rank: 2 }, 99), AskRefusal.Overload);
  assert.is(ask({ rank: 3 }, 99), AskRefusal.Overload);
  assert.is(ask({ rank: 2 }, 100), undefined);
});

test("a higher rank, a longer patience or another pool is not covered by it", () => {
  const ask = afterRefusal(refusalOf(AskRefusal.Overload), { rank: 2 });
  assert.is(ask({ rank: 1 }, 10), undefined);
  assert.is(ask({ rank: 2, patienceLeftMs: 2001 }, 10), undefined);
  assert.is(ask({ rank: 2, pool: "other" }, 10), undefined);
});

test("a refusal for a spent allotment covers equal costs until it may free up", () => {
  const refusal = refusalOf(AskRefusal.Allotment, { retryAfterMs: 150 });
  const ask = afterRefusal(refusal, { cost: 100, rank: 1 });
  assert.is(ask({ cost: 100, rank: 1 }, 149), AskRefusal.Allotment);
  assert.is(ask({ cost: 99, rank: 1 }, 10), undefined);
  assert.is(ask({ cost: 100, rank: 0 }, 10), undefined);
  assert.is(ask({ cost: 100, rank: 1, workspace: "v" }, 10), undefined);
  assert.is(ask({ cost: 100, rank: 1 }, 150), undefined);
});

test("refusals that do not apply to other asks are not cached", () => {
  for (const refusal of [AskRefusal.NoTarget, AskRefusal.RetryBudget]) {
    assert.is(afterRefusal(refusalOf(refusal))({}, 1), undefined);
  }
});

test("a reused refusal is that of the new ask, and contains its age", () => {
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
