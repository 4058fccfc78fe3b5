import { test } from "uvu";
import * as assert from "uvu/assert";
import { ReportedSpending } from "./reported_spending.ts";

const WINDOW_MS = 8000;

function reportOf(
  spent: Readonly<Record<string, number>>,
  incarnation = 1,
): Parameters<ReportedSpending["reported"]>[1] {
  return {
    incarnation,
    spent: Object.entries(spent)
      .map(([workspace, cost]) => ({ workspace, spent: cost })),
  };
}

test("a holder's spending is that of its last report", () => {
  const reported = new ReportedSpending(WINDOW_MS);
  reported.reported("i1", reportOf({ a: 100 }), 0);
  reported.reported("i2", reportOf({ a: 20, b: 5 }), 0);
  reported.reported("i1", reportOf({ a: 40 }), 500);
  assert.is(reported.chargedElsewhere("a", 500), 60);
  assert.is(reported.chargedElsewhere("b", 500), 5);
  reported.reported("i1", reportOf({}), 1000);
  assert.is(reported.chargedElsewhere("a", 1000), 20);
});

test("charges made here are not counted as charged elsewhere", () => {
  const reported = new ReportedSpending(WINDOW_MS);
  reported.placed("i1", { workspace: "a", cost: 70 }, 100);
  reported.reported("i1", reportOf({ a: 100 }), 500);
  assert.is(reported.chargedElsewhere("a", 500), 30);
  reported.reported("i1", reportOf({ a: 60 }), 1000);
  assert.is(reported.chargedElsewhere("a", 1000), 0);
});

// Guards against overspending after a holder failed: charges of its requests
// were still subtracted from what the other holders reported.
test("charges of a holder that is gone hide no spending through others", () => {
  const reported = new ReportedSpending(WINDOW_MS);
  reported.placed("i1", { workspace: "a", cost: 100 }, 0);
  reported.reported("i1", reportOf({ a: 100 }), 500);
  reported.holderGone("i1", 2000);
  reported.reported("i2", reportOf({ a: 80 }), 2500);
  assert.is(reported.chargedElsewhere("a", 2500), 80);
});

test("spending through a holder that is gone or restarted counts for a window", () => {
  const reported = new ReportedSpending(WINDOW_MS);
  reported.reported("i1", reportOf({ a: 100 }), 0);
  reported.reported("i2", reportOf({ a: 20 }), 0);
  reported.holderGone("i1", 1500);
  assert.is(reported.chargedElsewhere("a", 1500), 120);
  reported.reported("i2", reportOf({ a: 3 }, 2), 2000);
  assert.is(reported.chargedElsewhere("a", 2000), 123);
  reported.reported("i2", reportOf({}, 2), 3000);
  assert.is(reported.chargedElsewhere("a", 9000), 120);
  assert.is(reported.chargedElsewhere("a", 10_500), 0);
});

// Guards against spending that counts twice after a holder turned to another
// coordinator for a while: once as that of a holder that is gone.
test("spending through a holder that is back counts once", () => {
  const reported = new ReportedSpending(WINDOW_MS);
  reported.reported("i1", reportOf({ a: 100 }), 0);
  for (const nowMs of [1500, 3500]) {
    reported.holderGone("i1", nowMs);
    assert.is(reported.chargedElsewhere("a", nowMs), 100);
    reported.reported("i1", reportOf({ a: 100 }), nowMs + 500);
    assert.is(reported.chargedElsewhere("a", nowMs + 500), 100);
  }
});

test("after a takeover, charges made before count as charged elsewhere", () => {
  const reported = new ReportedSpending(WINDOW_MS);
  reported.placed("i1", { workspace: "a", cost: 70 }, 0);
  reported.forgetPlaced(1000);
  reported.reported("i1", reportOf({ a: 70 }), 1500);
  assert.is(reported.chargedElsewhere("a", 1500), 70);
});

test.run();
