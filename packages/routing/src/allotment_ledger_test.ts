import { test } from "uvu";
import * as assert from "uvu/assert";
import {
  AllotmentLedger,
  ChargeOutcome,
  type LedgerScope,
  type RecordedAccount,
  type SpendingAccount,
} from "./allotment_ledger.ts";
import { NOTHING_RECORDED, RecordOutcome } from "./recorded_spending.ts";
import {
  agedHistory,
  mergedHistory,
  refilledHistory,
  roundedUp,
  type SpendingHistory,
  withRecentCost,
} from "./spending_log.ts";

const TOLERANCE = { windowMs: 8000, overage: 0.1, slack: 1010 };
const ALLOTMENT = { perS: 1000, burst: 500, inTokens: true, plainTokens: 10 };
/** (1000 × 8 + 500) × 1.05 + 505. */
const WHOLE_BOUND = 9430;
const PLAIN_BOUND = 8500;

const CHARGE = {
  workspace: "w",
  cost: 0,
  share: 1,
  holderId: "i2",
  chargedAtMs: 0,
};

/** Reports the spending through holder `i2`. */
function report(ledger: AllotmentLedger, spent: number, nowMs: number): void {
  const spending = [{ workspace: "w", spent }];
  ledger.reported
    .reported("i2", { incarnation: 1, spent: spending }, nowMs);
}

function scope(nowMs: number, over: Partial<LedgerScope> = {}): LedgerScope {
  return { share: 1, reportedShare: 1, nowMs, ...over };
}

/** Charges a request, once the store has recorded what the ledger asks for. */
function charge(
  ledger: AllotmentLedger,
  of: { cost: number; rank: number; scope: LedgerScope },
  allotment = ALLOTMENT,
): boolean {
  const { outcome } = ledger.charge("w", allotment, of);
  if (outcome !== ChargeOutcome.Unrecorded) {
    return outcome === ChargeOutcome.Allowed;
  }
  assert.ok(record(ledger, of.scope.nowMs));
  return ledger.charge("w", allotment, of).outcome === ChargeOutcome.Allowed;
}

/**
 * Writes the next record, if there is one.
 *
 * @returns Spending that it states, with what may be spent before the next.
 */
function record(
  ledger: AllotmentLedger,
  nowMs: number,
): SpendingHistory[] | undefined {
  const account = ledger.nextRecord(nowMs);
  if (account !== undefined) {
    ledger.recordEnded(RecordOutcome.Written);
  }
  return account && statedIn(account);
}

function statedIn({ layers, ahead }: RecordedAccount): SpendingHistory[] {
  const spending = spendingOf({ layers });
  return ahead.map(({ workspace, spent }) => {
    const history = spending.find((one) => one.workspace === workspace) ??
      { workspace, spent: 0, bySecond: [] };
    return withRecentCost(history, spent);
  });
}

/** Spending out of the whole of the allotments. */
function spendingOf({ layers }: SpendingAccount): readonly SpendingHistory[] {
  return layers.find(({ share }) => share === 1)?.spending ?? [];
}

function accountOf(spending: readonly SpendingHistory[]): SpendingAccount {
  return { layers: [{ share: 1, spending }] };
}

/** A ledger that takes over, and the record that it finds. */
function successor(
  found: readonly SpendingHistory[],
  nowMs = 0,
): AllotmentLedger {
  const ledger = new AllotmentLedger(TOLERANCE);
  const byWorkspace = new Map(
    found.map(({ workspace, spent }) => [workspace, spent] as const),
  );
  const announced = NOTHING_RECORDED;
  ledger.takeOver(announced, nowMs);
  ledger.import(accountOf(found), nowMs);
  ledger.recordFound({ share: 1, byWorkspace }, found.length > 0);
  return ledger;
}

function spendAll(ledger: AllotmentLedger, over: LedgerScope): number {
  let spent = 0;
  while (charge(ledger, { cost: 5, rank: 0, scope: over })) {
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
    if (charge(ledger, { cost, rank: 0, scope: scope(atMs) })) {
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
  const { outcome, retryAfterMs } = ledger.charge("w", ALLOTMENT, of);
  assert.is(outcome, ChargeOutcome.Exceeded);
  const later = { cost: 5, rank: 0, scope: scope(2000 + retryAfterMs + 1) };
  assert.ok(charge(ledger, later));
});

// Guards against callers that are told to come back a window later, although the
// predecessor's spending leaves it sooner.
test("a refusal after a takeover states when the inherited spending has left the window", () => {
  const ledger = successor([
    { workspace: "w", spent: 9000, bySecond: [0, 0, 0, 0, 0, 0, 9000] },
  ]);
  const { outcome, retryAfterMs } = ledger
    .charge("w", ALLOTMENT, { cost: 1000, rank: 0, scope: scope(0) });
  assert.is(outcome, ChargeOutcome.Exceeded);
  assert.is(retryAfterMs, 2250);
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
  assert.ok(charge(ledger, { cost: 4000, rank: 0, scope: scope(0) }));
  ledger.placed({ ...CHARGE, cost: 4000 }, 20);
  report(ledger, 3900, 500);
  assert.is(spendAll(ledger, scope(500)), WHOLE_BOUND - 4000);
});

test("a fleet that lost its state hands out only the part of the bound that is not recorded", () => {
  const ledger = successor([]);
  const spent = spendAll(ledger, scope(0));
  assert.ok(spent <= WHOLE_BOUND * 0.6 && spent > WHOLE_BOUND * 0.6 - 5);
});

test("spending is recorded before the unrecorded part of the bound is used up, ahead of its growth", () => {
  const ledger = new AllotmentLedger(TOLERANCE);
  const spend = (cost: number) =>
    assert.ok(charge(ledger, { cost, rank: 0, scope: scope(0) }));
  spend(WHOLE_BOUND * 0.25);
  assert.is(record(ledger, 0), undefined);
  spend(WHOLE_BOUND * 0.1);
  const [first] = record(ledger, 0)!;
  assert.ok(Math.abs(first!.spent - WHOLE_BOUND * 0.45) < 1);
  assert.is(record(ledger, 0), undefined);
  spend(WHOLE_BOUND * 0.04);
  assert.is(record(ledger, 0), undefined);
  spend(WHOLE_BOUND * 0.04);
  const [second] = record(ledger, 0)!;
  assert.ok(Math.abs(second!.spent - WHOLE_BOUND * 0.53) < 1);
});

test("a record is never below the actual spending, and is cleared in the end", () => {
  const ledger = new AllotmentLedger(TOLERANCE);
  let recorded = 0;
  for (let atMs = 0; atMs < 30_000; atMs += 50) {
    const cost = atMs < 15_000 ? 60 : 5;
    charge(ledger, { cost, rank: 0, scope: scope(atMs) });
    const spending = record(ledger, atMs);
    recorded = spending === undefined ? recorded : spending[0]?.spent ?? 0;
    const [spent] = spendingOf(ledger.announcedAccount(atMs));
    assert.ok((spent?.spent ?? 0) <= recorded, `at ${atMs}`);
  }
  assert.is(recorded, 0);
});

// Guards against spending the bound twice: what was handed out while the store
// did not answer is not known to a fleet that loses all its instances then.
test("nothing is handed out beyond what the store has recorded or half of the bound", () => {
  const ledger = new AllotmentLedger(TOLERANCE);
  const of = { cost: 5, rank: 0, scope: scope(0) };
  let spent = 0;
  for (const outcome of [RecordOutcome.Unknown, RecordOutcome.NotWritten]) {
    while (
      ledger.charge("w", ALLOTMENT, of).outcome === ChargeOutcome.Allowed
    ) {
      spent += 5;
    }
    assert.ok(spent <= WHOLE_BOUND / 2, String(spent));
    assert.is(ledger.nextRecord(0)!.ahead.length, 1);
    ledger.recordEnded(outcome);
  }
  record(ledger, 0);
  assert.ok(charge(ledger, of));
});

// Guards against relying on a record that a later one may have replaced.
test("a record whose replacement got no answer may hold either content", () => {
  const ledger = new AllotmentLedger(TOLERANCE);
  const half = { cost: WHOLE_BOUND / 2, rank: 0, scope: scope(0) };
  assert.ok(charge(ledger, half));
  const [first] = record(ledger, 0)!;
  // Its spending has left the window, so that the next record is empty.
  assert.equal(ledger.nextRecord(9000)!, { layers: [], ahead: [] });
  ledger.recordEnded(RecordOutcome.Unknown);
  const of = { cost: first!.spent, rank: 0, scope: scope(9000) };
  const { outcome } = ledger.charge("w", ALLOTMENT, of);
  assert.is(outcome, ChargeOutcome.Unrecorded);
});

test("a window keeps to its bound across losses of all instances in series", () => {
  for (const part of [0.3, 0.5, 0.7, 1]) {
    let found: readonly SpendingHistory[] = [];
    let spent = 0;
    for (let life = 0; life < 3; life++) {
      const ledger = successor(found);
      while (spent < WHOLE_BOUND * part * (life + 1)) {
        const of = { cost: 100, rank: 0, scope: scope(0) };
        const { outcome } = ledger.charge("w", ALLOTMENT, of);
        if (outcome === ChargeOutcome.Exceeded) {
          break;
        }
        spent += outcome === ChargeOutcome.Allowed ? 100 : 0;
        found = record(ledger, 0) ?? found;
      }
    }
    assert.ok(spent <= WHOLE_BOUND + 100, `${part}: ${spent}`);
  }
});

test("a new coordinator continues from the account of its predecessor", () => {
  const before = new AllotmentLedger(TOLERANCE);
  for (let atMs = 0; atMs < 8000; atMs += 1000) {
    assert.ok(charge(before, { cost: 1000, rank: 0, scope: scope(atMs) }));
  }
  const after = successor(spendingOf(before.announcedAccount(7500)), 7500);
  assert.is(spendAll(after, scope(7500)), WHOLE_BOUND - 8000);
  // The spending of each second leaves the window with that second.
  assert.is(spendAll(after, scope(9300)), 1000);
});

// Guards against refusals of what an allotment allows: what was only assumed to
// be spent at one takeover was passed on to the next ones.
test("accounts that an earlier takeover imported are imported anew", () => {
  const account = { workspace: "w", spent: 9000, bySecond: [9000] };
  const ledger = successor([account]);
  const full = { cost: 1000, rank: 0, scope: scope(0) };
  assert.is(charge(ledger, full), false);
  ledger.takeOver(NOTHING_RECORDED, 100);
  ledger.import(
    accountOf([{ ...account, spent: 3000, bySecond: [3000] }]),
    100,
  );
  assert.is(charge(ledger, { ...full, scope: scope(100) }), true);
});

test("overlapping spending of two accounts counts once", () => {
  const first = new AllotmentLedger(TOLERANCE);
  const second = new AllotmentLedger(TOLERANCE);
  const recorded = [{ workspace: "w", spent: 6000, bySecond: [6000] }];
  first.import(accountOf(recorded), 0);
  second.import(accountOf(recorded), 0);
  const of = { cost: 2000, rank: 0, scope: scope(3000) };
  assert.ok(charge(first, of));
  second.import(first.announcedAccount(3000), 3000);
  assert.is(spendAll(second, scope(3000)), WHOLE_BOUND - 8000);
});

// Guards against spending that counts once for each share of the fleet at which a
// coordinator passed it on: it exceeded the bound although hardly any was left.
test("spending that coordinators pass on counts once", () => {
  const first = new AllotmentLedger(TOLERANCE, "i1.1");
  for (const share of [0.25, 0.5, 0.75]) {
    const of = { cost: 1500, rank: 0, scope: scope(0, { share }) };
    assert.ok(charge(first, of));
  }
  const second = new AllotmentLedger(TOLERANCE, "i2.1");
  second.takeOver(NOTHING_RECORDED, 0);
  second.import(first.announcedAccount(0), 0);
  report(second, 4500, 0);
  for (const share of [0.55, 0.65, 0.85]) {
    second.charge("w", ALLOTMENT, {
      cost: WHOLE_BOUND,
      rank: 0,
      scope: scope(0, { share }),
    });
    first.import(second.announcedAccount(0), 0);
  }
  first.takeOver(NOTHING_RECORDED, 0);
  first.import(second.announcedAccount(0), 0);
  const { spent, unknown } = first.charge("w", ALLOTMENT, {
    cost: WHOLE_BOUND,
    rank: 0,
    scope: scope(0),
  });
  assert.ok(Math.abs(spent - unknown - 4500) < 1, `${spent - unknown} spent`);
});

// Guards against overspending after a coordinator derived something, lost its
// role, and got it back: its next account lacked what only others still knew.
test("what a coordinator derived stays known when it takes over again", () => {
  const first = new AllotmentLedger(TOLERANCE, "i1.1");
  const second = new AllotmentLedger(TOLERANCE, "i2.1");
  const part = scope(0, { share: 0.75 });
  const refused = { cost: WHOLE_BOUND, rank: 0, scope: part };
  first.import({ layers: [] }, 0);
  report(first, 4800, 0);
  first.charge("w", ALLOTMENT, refused);
  second.import(first.announcedAccount(0), 0);
  first.takeOver(NOTHING_RECORDED, 0);
  report(first, 0, 0);
  second.charge("w", ALLOTMENT, refused);
  first.import(second.announcedAccount(0), 0);
  first.charge("w", ALLOTMENT, refused);
  second.takeOver(NOTHING_RECORDED, 0);
  second.import(first.announcedAccount(0), 0);
  const { spent, unknown } = second.charge("w", ALLOTMENT, refused);
  assert.is(Math.round(spent - unknown), 3600);
});

// Guards against refusals by a coordinator that is not yet responsible for all
// holders whose reports it has.
test("of what more holders report, the share that is handed out counts", () => {
  const ledger = new AllotmentLedger(TOLERANCE, "i1.1");
  report(ledger, 4000, 0);
  const over = scope(0, { share: 0.25, reportedShare: 0.5 });
  const { spent } = ledger
    .charge("w", ALLOTMENT, { cost: 1, rank: 0, scope: over });
  assert.is(spent, 2000);
});

test("a record that is several seconds old still counts in full", () => {
  const record = { workspace: "w", spent: 900, bySecond: [100, 200, 0, 600] };
  const refilled = refilledHistory(record, 1200);
  // Spending that was up to 1 s old is between 1.2 s and 2.2 s old now.
  assert.equal(refilled, { ...record, bySecond: [600, 100, 200] });
  const aged = agedHistory(record, 1200);
  assert.equal(aged, { ...record, spent: 300, bySecond: [0, 100, 200] });
});

// Guards against an account that is larger in total but older, and therefore
// lacks the latest spending, which remains when the rest has left the window.
test("merged accounts hold at least what each of them knows of any last seconds", () => {
  const older = { workspace: "w", spent: 80, bySecond: [0, 20, 10, 50] };
  const recent = { workspace: "w", spent: 45, bySecond: [25, 10, 10, 0] };
  const merged = { workspace: "w", spent: 80, bySecond: [25, 10, 10, 35] };
  assert.equal(mergedHistory(older, recent), merged);
  assert.equal(mergedHistory(recent, older), merged);
});

test("spending is rounded up to whole units", () => {
  const history = { workspace: "w", spent: 3.3, bySecond: [1.2, 0, 2.1] };
  const rounded = roundedUp(history);
  assert.equal(rounded, { workspace: "w", spent: 5, bySecond: [2, 0, 3] });
});

test("the record of a workspace near its bound is rewritten every second", () => {
  const ledger = new AllotmentLedger(TOLERANCE);
  const cost = WHOLE_BOUND * 0.45;
  assert.ok(charge(ledger, { cost, rank: 0, scope: scope(0) }));
  assert.is(record(ledger, 0)!.length, 1);
  assert.is(record(ledger, 900), undefined);
  assert.is(record(ledger, 1000)!.length, 1);
});

test("a lowered limit also applies to earlier spending", () => {
  const ledger = new AllotmentLedger(TOLERANCE);
  spendAll(ledger, scope(0));
  const lower = { ...ALLOTMENT, perS: 100 };
  const of = { cost: 5, rank: 0, scope: scope(1000) };
  assert.not(charge(ledger, of, lower));
});

test("the least valuable work is refused first, and still gets the plain allotment", () => {
  const ledger = new AllotmentLedger(TOLERANCE);
  const spend = (rank: number) => {
    let spent = 0;
    const of = { cost: 10, rank, scope: scope(0) };
    while (charge(ledger, of)) {
      spent += 10;
    }
    return spent;
  };
  const low = spend(2);
  assert.ok(low >= PLAIN_BOUND && low < WHOLE_BOUND * 0.91, String(low));
  const middle = spend(1);
  assert.ok(middle > WHOLE_BOUND * 0.04, String(middle));
  assert.ok(spend(0) > WHOLE_BOUND * 0.04);
});

test("a single request above the bound is allowed when nothing was spent", () => {
  const ledger = new AllotmentLedger(TOLERANCE);
  const of = { cost: WHOLE_BOUND * 2, rank: 0, scope: scope(0) };
  assert.ok(charge(ledger, of));
  assert.not(charge(ledger, of));
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
