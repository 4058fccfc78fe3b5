import * as fc from "fast-check";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { AnnouncedWaits } from "./announced_waits.ts";
import { Coordinator } from "./coordinator.ts";
import { RankShares } from "./rank_shares.ts";
import { askOf, boardOf } from "./routing_test_support.ts";
import type { AskDecision } from "./work_ask.ts";

const BOUNDS = {
  retryBudget: { ratio: 0.2, slack: 5, windowS: 10 },
  allotmentTolerance: { windowMs: 8000, overage: 0, slack: 0 },
};
const HEARTBEAT_INTERVAL_MS = 220;
const REPORT_INTERVAL_MS = 250;
const TICK_MS = 10;
const SLOTS = 20;

/** Constant load of one kind of request. */
interface Load {
  readonly rank: number;
  /** Ratio of its work to the capacity of the pool. */
  readonly ratio: number;
  readonly holdMs: number;
  readonly patienceLeftMs: number;
  readonly objectiveLeftMs: number;
  readonly deadlineLeftMs: number;
}

const LOAD = fc.record({
  rank: fc.nat(2),
  ratio: fc.double({ min: 0.1, max: 5, noNaN: true }),
  holdMs: fc.integer({ min: 20, max: 600 }),
  patienceLeftMs: fc.integer({ min: 50, max: 2500 }),
  objectiveLeftMs: fc.integer({ min: 100, max: 2000 }),
  deadlineLeftMs: fc.integer({ min: 400, max: 6000 }),
});

/** A pool under constant load, and a holder that gets its forecasts. */
class LoadedPool {
  readonly placedByRank = [0, 0, 0];
  refusedByHolder = 0;
  /** Asks that the coordinator placed although a holder would refuse them. */
  refusedWrongly = 0;
  /** The same, of ranks that the coordinator had promoted as starved. */
  refusedWhilePromoted = 0;
  readonly #coordinator = new Coordinator(
    boardOf(Array.from({ length: SLOTS / 2 }, (_, index) => `t${index}`)),
    BOUNDS,
  );
  readonly #announced = new AnnouncedWaits();
  readonly #shares = new RankShares();
  readonly #starvedAtMs = [-Infinity, -Infinity, -Infinity];
  readonly #running: { askId: string; targetId: string; endsAtMs: number }[] =
    [];
  readonly #asks = new Map<
    string,
    { load: Load; isRefused: boolean; atMs: number }
  >();
  readonly #unreported = new Map<number, number>();

  /**
   * @param holderRefuses Whether asks that the holder refuses don't reach the
   * coordinator; otherwise they do, and the load stays the same.
   */
  constructor(readonly holderRefuses: boolean) {}

  run(loads: readonly Load[], untilMs: number): this {
    const due = loads.map(() => 0);
    for (let nowMs = 0; nowMs < untilMs; nowMs += TICK_MS) {
      this.#endWork(nowMs);
      if (nowMs % HEARTBEAT_INTERVAL_MS === 0) {
        const forecasts = this.#coordinator.admissionForecasts(nowMs);
        this.#announced.record("c", forecasts, nowMs);
      }
      if (nowMs % REPORT_INTERVAL_MS === 0) {
        this.#report(nowMs);
      }
      loads.forEach((load, index) => {
        due[index]! += load.ratio * SLOTS * TICK_MS / load.holdMs;
        for (; due[index]! >= 1; due[index]!--) {
          this.#ask(load, nowMs);
        }
      });
      this.#apply(this.#coordinator.tick(nowMs), nowMs);
      this.#shares.starved(nowMs)
        .forEach((rank) => this.#starvedAtMs[rank] = nowMs);
    }
    return this;
  }

  #ask(load: Load, nowMs: number): void {
    const { ratio: _ratio, holdMs: _holdMs, ...fields } = load;
    const askId = `a${this.#asks.size}`;
    const ask = askOf(askId, { promptTokens: 0, ...fields });
    const of = { coordinatorId: "c", nowMs };
    const isRefused = this.#announced.refusalFor(ask, of) !== undefined;
    this.#asks.set(askId, { load, isRefused, atMs: nowMs });
    this.refusedByHolder += Number(isRefused);
    if (isRefused && this.holderRefuses) {
      const count = this.#unreported.get(ask.rank) ?? 0;
      this.#unreported.set(ask.rank, count + 1);
      return;
    }
    const scope = { share: 1, reportedShare: 1, uptimeMs: Infinity, nowMs };
    this.#apply(this.#coordinator.ask(ask, scope), nowMs);
  }

  #report(nowMs: number): void {
    const refused = [...this.#unreported]
      .map(([rank, count]) => ({ pool: "p", rank, count, callHashes: [] }));
    this.#unreported.clear();
    const none = { running: [], waiting: [], spent: [] };
    this.#coordinator.report({ holderId: "i2", ...none, refused }, nowMs);
  }

  #endWork(nowMs: number): void {
    const end = { pool: "p", promptTokens: 0, failed: false };
    for (const work of this.#running.filter((w) => w.endsAtMs <= nowMs)) {
      this.#running.splice(this.#running.indexOf(work), 1);
      const { askId, targetId } = work;
      const { load: { rank }, atMs } = this.#asks.get(askId)!;
      this.#shares.recordDuration(rank, nowMs - atMs, nowMs);
      const ended = { ...end, askId, targetId };
      this.#apply(this.#coordinator.ended(ended, nowMs), nowMs);
    }
  }

  #apply(decisions: readonly AskDecision[], nowMs: number): void {
    for (const decision of decisions) {
      const { askId } = decision;
      const { load: { rank, holdMs }, isRefused } = this.#asks.get(askId)!;
      const isPlaced = "targetId" in decision;
      this.#shares.recordOutcome(rank, isPlaced, nowMs);
      if (isPlaced) {
        const { targetId } = decision;
        this.#running.push({ askId, targetId, endsAtMs: nowMs + holdMs });
        this.placedByRank[rank]!++;
        const mayBePromoted = this.#shares.starved(nowMs).has(rank) ||
          nowMs - this.#starvedAtMs[rank]! <= HEARTBEAT_INTERVAL_MS;
        this.refusedWrongly += Number(isRefused && !mayBePromoted);
        this.refusedWhilePromoted += Number(isRefused && mayBePromoted);
      }
    }
  }
}

// Guards against holders that refuse asks which the coordinator would place.
// Only ranks that were starved since the forecast may be promoted meanwhile.
test("the coordinator refuses whatever a holder refuses by its forecasts", () => {
  let refused = 0;
  let whilePromoted = 0;
  fc.assert(
    fc.property(fc.array(LOAD, { minLength: 1, maxLength: 4 }), (loads) => {
      const pool = new LoadedPool(false).run(loads, 2000);
      refused += pool.refusedByHolder;
      whilePromoted += pool.refusedWhilePromoted;
      assert.is(pool.refusedWrongly, 0);
    }),
    { seed: 1, numRuns: 40 },
  );
  assert.ok(refused > 1000, String(refused));
  assert.ok(whilePromoted < 0.1 * refused, `${whilePromoted} of ${refused}`);
});

// Guards against forecasts that keep work from low ranks, which the coordinator
// would have promoted.
test("holders refuse many asks, and each rank is served as before", () => {
  const kind = { holdMs: 200, objectiveLeftMs: 800, deadlineLeftMs: 10_000 };
  const loads = [1, 4, 5].map((ratio, rank) => ({
    ...kind,
    rank,
    ratio,
    patienceLeftMs: 1500,
  }));
  const before = new LoadedPool(false).run(loads, 6000);
  const after = new LoadedPool(true).run(loads, 6000);
  const asked = loads.reduce((sum, { ratio }) => sum + ratio, 0) *
    SLOTS * 6000 / kind.holdMs;
  assert.ok(after.refusedByHolder > 0.4 * asked, `${after.refusedByHolder}`);
  after.placedByRank.forEach((placed, rank) =>
    assert.ok(placed > 0.8 * before.placedByRank[rank]!, `${rank}: ${placed}`)
  );
});

test.run();
