import fc from "fast-check";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { Backlog } from "./backlog.ts";
import { inOrder, type KeyedWork } from "./queue_order.ts";
import { askOf } from "./routing_test_support.ts";
import { NONE_OVER_SHARE } from "./workspace_shares.ts";

function workOf(askId: string, waitingSinceMs: number, cameBackMs = 0) {
  return { ask: askOf(askId), waitingSinceMs, cameBackMs };
}

/** Records placements every 20 ms, each with the same wait. */
function recordWait(
  backlog: Backlog,
  waitMs: number,
  { fromMs, toMs }: { fromMs: number; toMs: number },
): void {
  for (let nowMs = fromMs; nowMs <= toMs; nowMs += 20) {
    const longest = workOf("a", nowMs - waitMs);
    backlog.recordPlaced(1, { count: 9, longest, nowMs });
  }
}

test("a backlog stands once waits are long for an objective, until they are short", () => {
  const backlog = new Backlog();
  recordWait(backlog, 210, { fromMs: 0, toMs: 780 });
  assert.equal(backlog.standing(780), []);
  recordWait(backlog, 210, { fromMs: 800, toMs: 1280 });
  assert.equal(backlog.standing(1280), [
    { rank: 1, beganAtMs: 800, minWaitMs: 210 },
  ]);
  recordWait(backlog, 110, { fromMs: 1300, toMs: 2000 });
  assert.is(backlog.ranks(2000).has(1), true);
  recordWait(backlog, 90, { fromMs: 2020, toMs: 2020 });
  assert.is(backlog.ranks(2020).has(1), false);
});

// Guards against an order that stays reversed in a rank without requests.
test("a backlog ends if nothing of its rank is placed for an objective", () => {
  const backlog = new Backlog();
  recordWait(backlog, 300, { fromMs: 0, toMs: 1000 });
  assert.is(backlog.ranks(1800).size, 1);
  assert.is(backlog.ranks(1801).size, 0);
});

// Guards against two orders that alternate and each undo the other's work.
test("whatever the waits, the order changes at most once in 500 ms", () => {
  const placement = fc.record({
    afterMs: fc.constantFrom(0, 10, 60, 240, 900),
    waitMs: fc.constantFrom(0, 6, 18, 30, 90),
    repeat: fc.integer({ min: 1, max: 30 }),
  });
  fc.assert(
    fc.property(fc.array(placement, { maxLength: 60 }), (placements) => {
      const backlog = new Backlog();
      let nowMs = 0;
      let changedAtMs = -Infinity;
      let isStanding = false;
      for (const { afterMs, waitMs, repeat } of placements) {
        for (let i = 0; i < repeat; i++) {
          nowMs += afterMs;
          const work = workOf("a", nowMs - waitMs);
          const ask = { ...work.ask, objectiveLeftMs: 100 };
          const longest = { ...work, ask };
          backlog.recordPlaced(1, { count: 9, longest, nowMs });
          if (backlog.ranks(nowMs).has(1) !== isStanding) {
            isStanding = !isStanding;
            assert.ok(nowMs - changedAtMs >= 500);
            changedAtMs = nowMs;
          }
        }
      }
    }),
    { seed: 4 },
  );
});

// Guards against promoted ranks whose requests compare in a circle.
test("newest first attempts go first in backlogged ranks, late requests by latest start", () => {
  const keyed = (
    askId: string,
    rank: number,
    [firstAttemptAtMs, latestOnTimeStartMs, latestStartMs]: number[],
  ): KeyedWork => ({
    work: {
      ask: askOf(askId, { rank }),
      waitingSinceMs: 90,
      cameBackMs: 90 - firstAttemptAtMs!,
    },
    key: {
      latestOnTimeStartMs: latestOnTimeStartMs!,
      latestStartMs: latestStartMs!,
    },
  });
  const queue = [
    keyed("late2", 1, [80, 99, 300]),
    keyed("late1", 1, [10, 99, 200]),
    keyed("old", 1, [20, 500, 400]),
    keyed("new", 1, [60, 500, 900]),
    keyed("other2", 2, [20, 500, 800]),
    keyed("other1", 2, [10, 500, 700]),
  ];
  const order = (promoted: number[], backlogged: number[]) =>
    inOrder(queue, {
      promoted: new Set(promoted),
      overShare: NONE_OVER_SHARE,
      backlogged: new Set(backlogged),
      overShareBacklogged: new Set(),
      nowMs: 100,
    }).map(({ work }) => work.ask.askId).join(" ");
  assert.is(order([], [1]), "new old late1 late2 other1 other2");
  assert.is(order([], []), "old new late1 late2 other1 other2");
  assert.is(order([1, 2], [1]), "other1 other2 new old late1 late2");
});

test.run();
