import { test } from "uvu";
import * as assert from "uvu/assert";
import { AllotmentLedger, type LedgerScope } from "./allotment_ledger.ts";
import {
  agedHistory,
  roundedUp,
  type SpendingHistory,
} from "./spending_log.ts";

const TOLERANCE = { windowMs: 8000, overage: 0.1, slack: 1010 };
const ALLOTMENT = { perS: 1000, burst: 500, inTokens: true, plainTokens: 10 };
/** (1000 × 8 + 500) × 1.075 + 757.5. */
const WHOLE_BOUND = 9895;

const CHARGE = { workspace: "w", cost: 0, holderId: "i2", chargedAtMs: 0 };

/** Reports the spending through holder `i2`. */
function report(ledger: AllotmentLedger, spent: number, nowMs: number): void {
  const spending = [{ workspace: "w", spent }];
  ledger.reported
    .reported("i2", { incarnation: 1, spent: spending }, nowMs);
}

function scope(nowMs: number, over: Partial<LedgerScope> = {}): LedgerScope {
  return { share: 1, nowMs, ...over };
}

function spendAll(ledger: AllotmentLedger, over: LedgerScope): number {
  let spent = 0;
  while (
    ledger.charge("w", ALLOTMENT, { cost: 5, rank: 0, scope: over }).allowed
  ) {
    spent += 5;
  }
  return spent;
}

test("a window allows the allotment and the used share of its tolerance", () => {
  const ledger = new AllotmentLedger(TOLERANCE);
  assert.is(spendAll(ledger, scope(0)), WHOLE_BOUND);
  assert.is(spendAll(ledger, scope(7999)), 0);
  assert.is(spendAll(ledger, scope(8300)), WHOLE_BOUND);
});

test("no sliding window exceeds the bound, however spending is timed", () => {
  const ledger = new AllotmentLedger(TOLERANCE);
  const charges: { atMs: number; cost: number }[] = [];
  for (let atMs = 0; atMs < 40_000; atMs += 37) {
    const cost = 40 + (atMs * 7919) % 400;
    const result = ledger.charge("w", ALLOTMENT, {
      cost,
      rank: 0,
      scope: scope(atMs),
    });
    if (result.allowed) {
      charges.push({ atMs, cost });
    }
  }
  for (const { atMs } of charges) {
    const inWindow = charges
      .filter((c) => c.atMs >= atMs && c.atMs <= atMs + TOLERANCE.windowMs)
      .reduce((sum, c) => sum + c.cost, 0);
    assert.ok(inWindow <= WHOLE_BOUND, `${inWindow} from ${atMs}`);
  }
});

test("a refusal contains the time until the charge would be allowed", () => {
  const ledger = new AllotmentLedger(TOLERANCE);
  spendAll(ledger, scope(0));
  const of = { cost: 5, rank: 0, scope: scope(2000) };
  const { allowed, retryAfterMs } = ledger.charge("w", ALLOTMENT, of);
  assert.is(allowed, false);
  const later = { cost: 5, rank: 0, scope: scope(2000 + retryAfterMs + 1) };
  assert.ok(ledger.charge("w", ALLOTMENT, later).allowed);
});

test("a partition of the fleet hands out only its share", () => {
  const ledger = new AllotmentLedger(TOLERANCE);
  const spent = spendAll(ledger, scope(0, { share: 0.25 }));
  assert.ok(spent <= WHOLE_BOUND / 4, String(spent));
});

test("a new coordinator counts what was charged elsewhere", () => {
  const ledger = new AllotmentLedger(TOLERANCE);
  report(ledger, WHOLE_BOUND - 100, 0);
  assert.is(spendAll(ledger, scope(0)), 100);
});

test("reports of charges that the ledger made itself change nothing", () => {
  const ledger = new AllotmentLedger(TOLERANCE);
  ledger.charge("w", ALLOTMENT, { cost: 4000, rank: 0, scope: scope(0) });
  ledger.placed({ ...CHARGE, cost: 4000 }, 20);
  report(ledger, 3900, 500);
  assert.is(spendAll(ledger, scope(500)), WHOLE_BOUND - 4000);
});

test("a fleet that lost its state hands out only the part of the bound that is not recorded", () => {
  const ledger = new AllotmentLedger(TOLERANCE);
  ledger.takeOver(0);
  ledger.importHistories([], 0);
  assert.is(spendAll(ledger, scope(0)), Math.floor(WHOLE_BOUND / 10) * 5);
});

test("spending near the bound is recorded, ahead of its growth", () => {
  const ledger = new AllotmentLedger(TOLERANCE);
  const spend = (cost: number) =>
    ledger.charge("w", ALLOTMENT, { cost, rank: 0, scope: scope(0) });
  spend(WHOLE_BOUND * 0.4);
  // The first record, which replaces that of an earlier ledger.
  assert.equal(ledger.spendingToRecord(0), []);
  assert.is(ledger.spendingToRecord(0), undefined);
  spend(WHOLE_BOUND * 0.2);
  const [record] = ledger.spendingToRecord(0)!;
  assert.ok(Math.abs(record!.spent - WHOLE_BOUND * 0.65) < 1);
  spend(WHOLE_BOUND * 0.03);
  assert.is(ledger.spendingToRecord(0), undefined);
  spend(WHOLE_BOUND * 0.03);
  assert.is(ledger.spendingToRecord(0)!.length, 1);
});

test("a record is never below the actual spending, and is cleared in the end", () => {
  const ledger = new AllotmentLedger(TOLERANCE);
  let recorded = 0;
  for (let atMs = 0; atMs < 30_000; atMs += 50) {
    const cost = atMs < 15_000 ? 60 : 5;
    const of = { cost, rank: 0, scope: scope(atMs) };
    ledger.charge("w", ALLOTMENT, of);
    const record = ledger.spendingToRecord(atMs);
    recorded = record === undefined ? recorded : record[0]?.spent ?? 0;
    const [spent] = ledger.spendingNearBound(atMs);
    assert.ok((spent?.spent ?? 0) <= recorded, `at ${atMs}`);
  }
  assert.is(recorded, 0);
});

test("a window keeps to its bound across the loss of all instances", () => {
  for (const part of [0.3, 0.5, 0.7, 1]) {
    const before = new AllotmentLedger(TOLERANCE);
    let spent = 0;
    let record: readonly SpendingHistory[] = [];
    while (spent < WHOLE_BOUND * part) {
      const of = { cost: 100, rank: 0, scope: scope(0) };
      if (!before.charge("w", ALLOTMENT, of).allowed) {
        break;
      }
      spent += 100;
      record = before.spendingToRecord(0) ?? record;
    }
    const after = new AllotmentLedger(TOLERANCE);
    after.takeOver(0);
    after.importHistories(record, 0);
    spent += spendAll(after, scope(0));
    assert.ok(spent <= WHOLE_BOUND + 100, `${part}: ${spent}`);
  }
});

test("a new coordinator continues from the account of its predecessor", () => {
  const before = new AllotmentLedger(TOLERANCE);
  for (let atMs = 0; atMs < 8000; atMs += 1000) {
    const of = { cost: 1000, rank: 0, scope: scope(atMs) };
    assert.ok(before.charge("w", ALLOTMENT, of).allowed);
  }
  const after = new AllotmentLedger(TOLERANCE);
  after.importHistories(before.spendingNearBound(7500), 7500);
  assert.is(spendAll(after, scope(7500)), WHOLE_BOUND - 8000);
  // The spending of each second leaves the window with that second.
  assert.is(spendAll(after, scope(9300)), 1000);
});

test("overlapping spending of two accounts counts once", () => {
  const first = new AllotmentLedger(TOLERANCE);
  const second = new AllotmentLedger(TOLERANCE);
  const record = [{ workspace: "w", spent: 6000, bySecond: [6000] }];
  first.importHistories(record, 0);
  second.importHistories(record, 0);
  const of = { cost: 2000, rank: 0, scope: scope(3000) };
  assert.ok(first.charge("w", ALLOTMENT, of).allowed);
  second.importHistories(first.spendingNearBound(3000), 3000);
  assert.is(spendAll(second, scope(3000)), WHOLE_BOUND - 8000);
});

test("a record that is several seconds old still counts in full", () => {
  const record = { workspace: "w", spent: 900, bySecond: [100, 200, 0, 600] };
  const aged = agedHistory(record, 1200);
  // Spending that was up to 1 s old is between 1.2 s and 2.2 s old now.
  assert.equal(aged, { ...record, bySecond: [600, 100, 200] });
});

test("spending is rounded up to whole units", () => {
  const history = { workspace: "w", spent: 3.3, bySecond: [1.2, 0, 2.1] };
  const rounded = roundedUp(history);
  assert.equal(rounded, { workspace: "w", spent: 5, bySecond: [2, 0, 3] });
});

test("the record of a workspace near its bound is rewritten every second", () => {
  const ledger = new AllotmentLedger(TOLERANCE);
  const of = { cost: WHOLE_BOUND * 0.6, rank: 0, scope: scope(0) };
  ledger.charge("w", ALLOTMENT, of);
  assert.is(ledger.spendingToRecord(0)!.length, 1);
  assert.is(ledger.spendingToRecord(900), undefined);
  assert.is(ledger.spendingToRecord(1000)!.length, 1);
});

test("a lowered limit also applies to earlier spending", () => {
  const ledger = new AllotmentLedger(TOLERANCE);
  spendAll(ledger, scope(0));
  const lower = { ...ALLOTMENT, perS: 100 };
  const of = { cost: 5, rank: 0, scope: scope(1000) };
  assert.is(ledger.charge("w", lower, of).allowed, false);
});

test("the least valuable work is refused first, and still gets the plain allotment", () => {
  const ledger = new AllotmentLedger(TOLERANCE);
  const spend = (rank: number) => {
    let spent = 0;
    const of = { cost: 10, rank, scope: scope(0) };
    while (ledger.charge("w", ALLOTMENT, of).allowed) {
      spent += 10;
    }
    return spent;
  };
  const low = spend(2);
  assert.ok(low > 8500 && low < WHOLE_BOUND * 0.91, String(low));
  const middle = spend(1);
  assert.ok(middle > WHOLE_BOUND * 0.04, String(middle));
  assert.ok(spend(0) > WHOLE_BOUND * 0.04);
});

test("a single request above the bound is allowed when nothing was spent", () => {
  const ledger = new AllotmentLedger(TOLERANCE);
  const of = { cost: WHOLE_BOUND * 2, rank: 0, scope: scope(0) };
  assert.ok(ledger.charge("w", ALLOTMENT, of).allowed);
  assert.is(ledger.charge("w", ALLOTMENT, of).allowed, false);
});

// Guards against spending more than the bound after refunds: taken from the
// time of the refund, they outlast the charges that they belong to.
test("a refund leaves the window together with its charge", () => {
  const ledger = new AllotmentLedger(TOLERANCE);
  const spent = spendAll(ledger, scope(0));
  ledger.refund({ ...CHARGE, cost: spent });
  assert.is(spendAll(ledger, scope(5000)), WHOLE_BOUND);
  assert.is(spendAll(ledger, scope(8300)), 0);
  assert.is(spendAll(ledger, scope(13_300)), WHOLE_BOUND);
});

test("a refund can be spent again", () => {
  const ledger = new AllotmentLedger(TOLERANCE);
  spendAll(ledger, scope(0));
  ledger.refund({ ...CHARGE, cost: 500 });
  assert.is(spendAll(ledger, scope(100)), 500);
});

test.run();
