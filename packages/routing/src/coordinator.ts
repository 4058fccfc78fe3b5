/**
 * Decides where the fleet's requests run. Every instance has one and serves any
 * ask that reaches it; the members agree on whose they ask by rendezvous
 * hashing. Its account is soft state that holders' reports renew.
 */

import { RateLimiter } from "./rate_limiter.ts";
import { PoolSchedule, quarantineRefusal } from "./pool_schedule.ts";
import { RetryBudget, type RetryBudgetBound } from "./retry_budget.ts";
import {
  AllotmentLedger,
  type AllotmentTolerance,
  type Charge,
  type LedgerScope,
} from "./allotment_ledger.ts";
import { ReportedSpending } from "./reported_spending.ts";
import type { SpendingHistory } from "./spending_log.ts";
import type { RoutingBoard } from "./routing_board.ts";
import {
  AskCause,
  type AskDecision,
  AskRefusal,
  type HolderReport,
  type RunningWork,
  type WorkAsk,
  type WorkEnd,
} from "./work_ask.ts";
import { routeRankOf } from "./ranks.ts";
import { RefusedCallers } from "./refused_callers.ts";
import {
  baselineFirstEventMs,
  INITIAL_CALL_MS,
  INITIAL_EVENT_GAP_MS,
} from "./target_pace.ts";

/**
 * Age below which work that a holder's report leaves out is kept: the report
 * may have been made before the grant reached the holder.
 */
const REPORT_LAG_MS = 400;

/** Silence after which the work of a holder is no longer counted. */
const HOLDER_TIMEOUT_MS = 1500;

const RETRY_BUDGET_RETRY_AFTER_MS = 1000;

/** Bounds that the operators set on the fleet as a whole. */
export interface FleetBounds {
  readonly retryBudget: RetryBudgetBound;
  readonly allotmentTolerance: AllotmentTolerance;
}

/** What is known of an ask that waits or was placed. */
interface OpenAsk {
  readonly pool: string;
  /** The same for all attempts of a caller at one request; 0 if unknown. */
  readonly callHash: number;
  /** When its caller first came with the request. */
  readonly firstAttemptAtMs: number;
  /** Absent where it cost nothing, or was charged by another coordinator. */
  readonly charge?: Charge;
}

/** Whether an ask may wait for a place. */
type AdmissionResult = { readonly refusal: AskDecision } | {
  readonly charge?: Charge;
};

/** Coordinates asks of all holders that reach this instance. */
export class Coordinator {
  readonly #board: RoutingBoard;
  readonly #pools = new Map<string, PoolSchedule>();
  readonly #budgets = new Map<string, RetryBudget>();
  readonly #allotmentLedger: AllotmentLedger;
  readonly #limiter: RateLimiter;
  #bounds: FleetBounds;
  readonly #openAsks = new Map<string, OpenAsk>();
  readonly #refusedCallers = new RefusedCallers();
  readonly #lastContactAtMs = new Map<string, number>();
  /** When each holder last told what was spent through it. */
  readonly #spendingReportedAtMs = new Map<string, number>();
  readonly #spending = new ReportedSpending();

  /**
   * @param board What the instance believes.
   * @param bounds Bounds that hold for the whole fleet.
   */
  constructor(board: RoutingBoard, bounds: FleetBounds) {
    this.#board = board;
    this.#bounds = bounds;
    this.#allotmentLedger = new AllotmentLedger(bounds.allotmentTolerance);
    this.#limiter = new RateLimiter(board.rateLimits);
  }

  /**
   * Takes in an ask. One that was sent again gets the same decision again.
   *
   * @param ask The ask.
   * @param scope What of the fleet's allotments, retry budgets and targets'
   * limits this instance may hand out, and the local time.
   * @returns Decisions, for this ask and for others; none for this one while
   * it waits.
   */
  ask(ask: WorkAsk, scope: LedgerScope): AskDecision[] {
    const schedule = this.#poolSchedule(ask.pool);
    this.#limiter.share = scope.share;
    this.#lastContactAtMs.set(ask.holderId, scope.nowMs);
    const decision = schedule.decisionOn(ask.askId);
    if (decision !== undefined) {
      return [decision];
    }
    if (schedule.isWaiting(ask.askId)) {
      return [];
    }
    const { askId, callHash } = ask;
    const { nowMs } = scope;
    const firstAttemptAtMs = this.#refusedCallers.firstAttemptAtMs(
      callHash,
      nowMs,
    );
    const admission = this.#admit(ask, scope);
    if ("refusal" in admission) {
      this.#refusedCallers.record(callHash, firstAttemptAtMs, nowMs);
      return [admission.refusal];
    }
    const { pool } = ask;
    const { charge } = admission;
    this.#openAsks.set(askId, { pool, callHash, firstAttemptAtMs, charge });
    const cameBackMs = nowMs - firstAttemptAtMs;
    return this.#applyRefusals(schedule.add(ask, { cameBackMs, nowMs }), nowMs);
  }

  /**
   * Notes that a stream's first event came.
   *
   * @param askId The ask it was placed by.
   */
  firstSeen(askId: string): void {
    this.#scheduleOf(askId)?.firstSeen(askId);
  }

  /**
   * Frees what ended work held, and learns from it.
   *
   * @param end How it ended.
   * @param nowMs The local time.
   * @returns Decisions on asks that waited.
   */
  ended(end: WorkEnd, nowMs: number): AskDecision[] {
    this.#updateSuspects(end, nowMs);
    const schedule = this.#poolSchedule(end.pool);
    const { work, decisions } = schedule.release(end.askId, nowMs);
    const isStream = this.#board.routes?.pool(end.pool)?.engine !== undefined;
    const tokensAhead = work?.tokensAhead ?? 0;
    this.#recordVersionAnswer(end, {
      isStream,
      tokensAhead,
      route: work?.route,
      nowMs,
    });
    this.#board.paces.learn(end, { isStream, tokensAhead });
    if (work !== undefined && !end.failed && end.firstMs !== undefined) {
      schedule.recordFirstEvent(end.promptTokens, end.firstMs);
    }
    this.#removeAsk(end.askId);
    return this.#applyRefusals(decisions, nowMs);
  }

  /**
   * Drops an ask whose caller has left or that was placed elsewhere.
   *
   * @param askId The ask.
   * @param nowMs The local time.
   * @returns Decisions on asks that waited.
   */
  dropped(askId: string, nowMs: number): AskDecision[] {
    const schedule = this.#scheduleOf(askId);
    if (schedule === undefined) {
      return [];
    }
    this.#refund(askId, nowMs);
    const { decisions } = schedule.release(askId, nowMs);
    this.#removeAsk(askId);
    return this.#applyRefusals(decisions, nowMs);
  }

  /**
   * Brings the account in line with what a holder has open and has spent.
   *
   * @param report The holder's report.
   * @param nowMs The local time.
   * @returns Decisions on asks that waited.
   */
  report(report: HolderReport, nowMs: number): AskDecision[] {
    this.#lastContactAtMs.set(report.holderId, nowMs);
    const previousReportAtMs = this.spendingReportedAtMs(report.holderId);
    if (nowMs - previousReportAtMs > HOLDER_TIMEOUT_MS) {
      this.#allotmentLedger.markIncomplete(nowMs);
    }
    this.#spendingReportedAtMs.set(report.holderId, nowMs);
    this.#spending.put(report.holderId, report.spent);
    this.#board.suspects.merge(report.suspects ?? [], nowMs);
    // Counts what all holders told that they spent, here or elsewhere.
    this.#allotmentLedger.setReportedTotals(this.#spending.totals(), nowMs);
    for (const running of report.running) {
      this.#recordAdopted(running, nowMs);
      this.#poolSchedule(running.pool).adopt(report.holderId, running, nowMs);
    }
    const open = new Set([
      ...report.running.map(({ askId }) => askId),
      ...report.waiting,
    ]);
    return this.#releaseUnlisted(report.holderId, open, nowMs);
  }

  /**
   * Looks up asks that their holder has no word of.
   *
   * @param askIds Asks that the holder waits for.
   * @param nowMs The local time.
   * @returns Decisions on those that were placed, unless they may still be on
   * their way, and which are not known here.
   */
  lookUp(
    askIds: readonly string[],
    nowMs: number,
  ): { decisions: AskDecision[]; unknownIds: string[] } {
    const decisions = askIds.flatMap((askId) =>
      this.#scheduleOf(askId)?.lostDecisionOn(askId, nowMs) ?? []
    );
    const unknownIds = askIds.filter((askId) => !this.#openAsks.has(askId));
    return { decisions, unknownIds };
  }

  /**
   * Lets time pass: waiting asks are looked at again, and the work of holders
   * that fell silent is no longer counted.
   *
   * @param nowMs The local time.
   * @returns Decisions on asks that waited.
   */
  tick(nowMs: number): AskDecision[] {
    this.#board.suspects.forgetOld(nowMs);
    this.#limiter.evictUnlimited();
    const decisions: AskDecision[] = [];
    for (const [holderId, contactAtMs] of this.#lastContactAtMs) {
      if (nowMs - contactAtMs > HOLDER_TIMEOUT_MS) {
        this.#lastContactAtMs.delete(holderId);
        this.#spending.put(holderId, []);
        decisions.push(...this.#releaseUnlisted(holderId, new Set(), nowMs));
      }
    }
    for (const schedule of this.#pools.values()) {
      decisions.push(...this.#applyRefusals(schedule.tick(nowMs), nowMs));
    }
    return decisions;
  }

  /**
   * @param nowMs The local time.
   * @returns Spending to be recorded in the platform's store, if any is.
   */
  spendingToRecord(nowMs: number): SpendingHistory[] | undefined {
    return this.#allotmentLedger.spendingToRecord(nowMs);
  }

  /**
   * @param nowMs The local time.
   * @returns Spending of workspaces near their bounds.
   */
  spendingNearBound(nowMs: number): SpendingHistory[] {
    return this.#allotmentLedger.spendingNearBound(nowMs);
  }

  /**
   * Goes on from what another coordinator counted, or the fleet recorded before
   * it lost its instances.
   *
   * @param histories What workspaces spent, and when.
   * @param atMs Local time that the ages in it count from.
   */
  importSpending(histories: readonly SpendingHistory[], atMs: number): void {
    this.#allotmentLedger.importHistories(histories, atMs);
  }

  /** Spending is to be recorded anew: another instance may have done so. */
  invalidateRecord(): void {
    this.#allotmentLedger.invalidateRecord();
  }

  /** @param bounds Bounds that hold from now on. */
  setBounds(bounds: FleetBounds): void {
    this.#bounds = bounds;
    this.#allotmentLedger.setTolerance(bounds.allotmentTolerance);
    for (const budget of this.#budgets.values()) {
      budget.setBound(bounds.retryBudget);
    }
  }

  /** @param targetId A target whose process started again under its id. */
  targetRestarted(targetId: string): void {
    for (const schedule of this.#pools.values()) {
      schedule.targetRestarted(targetId);
    }
  }

  /**
   * @param holderId A holder.
   * @returns When it last told here what was spent through it; -Infinity where it
   * never did.
   */
  spendingReportedAtMs(holderId: string): number {
    return this.#spendingReportedAtMs.get(holderId) ?? -Infinity;
  }

  /** Forgets all asks, after a pause in which holders went elsewhere. */
  clearAsks(): void {
    this.#pools.clear();
    this.#openAsks.clear();
    this.#lastContactAtMs.clear();
  }

  /** @returns Requests that wait and that run, by pool. */
  load(): { pool: string; waiting: number; placed: number }[] {
    return [...this.#pools].map(([pool, schedule]) => ({
      pool,
      waiting: schedule.waitingCount,
      placed: schedule.placedCount,
    }));
  }

  /**
   * @param pool A pool.
   * @param targetIds Targets of it.
   * @returns Requests that they work on.
   */
  runningAt(pool: string, targetIds: readonly string[]): number {
    return this.#poolSchedule(pool).runningAt(targetIds);
  }

  /** What came of work tells of the version of its target. */
  #recordVersionAnswer(
    end: WorkEnd,
    of: {
      isStream: boolean;
      tokensAhead: number;
      route?: string;
      nowMs: number;
    },
  ): void {
    const { rollouts, targets } = this.#board;
    if (!rollouts.isInProgress(end.pool)) {
      return;
    }
    const target = targets.get(end.targetId);
    const failed = end.answerFailed === true;
    const isAnswer = failed || end.firstMs !== undefined;
    if (!isAnswer || target === undefined) {
      return;
    }
    const isWarm = of.nowMs >= target.warmAtMs;
    rollouts.answered(target, {
      route: of.route ?? "",
      failed,
      slowness: failed || !isWarm ? undefined : slownessRatioOf(end, of),
    });
  }

  #updateSuspects(
    { endedTarget, clearedFingerprint }: WorkEnd,
    nowMs: number,
  ): void {
    const { suspects } = this.#board;
    if (endedTarget !== undefined) {
      suspects.targetEnded(endedTarget, nowMs);
    }
    if (clearedFingerprint !== undefined) {
      suspects.served(clearedFingerprint);
    }
  }

  #admit(ask: WorkAsk, scope: LedgerScope): AdmissionResult {
    const { askId, holderId, fingerprint } = ask;
    const { suspects } = this.#board;
    const heldForMs = suspects.heldForMs(fingerprint, scope.nowMs);
    if (heldForMs > 0) {
      return { refusal: quarantineRefusal(ask, heldForMs) };
    }
    const budget = this.#budget(ask.pool);
    if (
      ask.cause === AskCause.Repeat && !budget.tryTake(scope.share, scope.nowMs)
    ) {
      const refusal = {
        askId,
        holderId,
        refusal: AskRefusal.RetryBudget,
        retryAfterMs: RETRY_BUDGET_RETRY_AFTER_MS,
        figures: { share: scope.share },
      };
      return { refusal };
    }
    if (ask.cause === AskCause.First) {
      budget.recordFirst(scope.nowMs);
    }
    return this.#charge(ask, scope);
  }

  #charge(ask: WorkAsk, scope: LedgerScope): AdmissionResult {
    const { askId, holderId, workspace, cost } = ask;
    const allotment = this.#board.routes?.workspace(workspace)?.allotment;
    if (allotment === undefined || cost === 0) {
      return {};
    }
    const rank = routeRankOf(ask.rank);
    const result = this.#allotmentLedger
      .charge(workspace, allotment, { cost, rank, scope });
    if (result.allowed) {
      return { charge: { workspace, cost } };
    }
    const { retryAfterMs, spent, bound } = result;
    const refusal = {
      askId,
      holderId,
      refusal: AskRefusal.Allotment,
      retryAfterMs,
      figures: {
        cost,
        spent,
        bound: Math.round(bound),
        share: scope.share,
        memoryMs: Math.round(scope.memoryMs),
      },
    };
    return { refusal };
  }

  /** Work that another coordinator placed. */
  #recordAdopted({ askId, pool }: RunningWork, nowMs: number): void {
    if (!this.#openAsks.has(askId)) {
      this.#openAsks.set(askId, { pool, callHash: 0, firstAttemptAtMs: nowMs });
    }
  }

  #applyRefusals(decisions: AskDecision[], nowMs: number): AskDecision[] {
    for (const decision of decisions) {
      const { askId } = decision;
      if ("refusal" in decision) {
        this.#recordRefused(askId, nowMs);
        this.#refund(askId, nowMs);
        this.#removeAsk(askId);
      }
    }
    return decisions;
  }

  #releaseUnlisted(
    holderId: string,
    open: ReadonlySet<string>,
    nowMs: number,
  ): AskDecision[] {
    const decisions: AskDecision[] = [];
    for (const schedule of this.#pools.values()) {
      for (const askId of schedule.askIdsOf(holderId, nowMs - REPORT_LAG_MS)) {
        if (!open.has(askId)) {
          decisions.push(...schedule.release(askId, nowMs).decisions);
          this.#removeAsk(askId);
        }
      }
    }
    return this.#applyRefusals(decisions, nowMs);
  }

  #recordRefused(askId: string, nowMs: number): void {
    const open = this.#openAsks.get(askId);
    if (open !== undefined) {
      this.#refusedCallers.record(open.callHash, open.firstAttemptAtMs, nowMs);
    }
  }

  #refund(askId: string, nowMs: number): void {
    const charge = this.#openAsks.get(askId)?.charge;
    if (charge !== undefined) {
      this.#allotmentLedger.refund(charge, nowMs);
    }
  }

  #removeAsk(askId: string): void {
    this.#openAsks.delete(askId);
  }

  #scheduleOf(askId: string): PoolSchedule | undefined {
    const pool = this.#openAsks.get(askId)?.pool;
    return pool === undefined ? undefined : this.#pools.get(pool);
  }

  #poolSchedule(name: string): PoolSchedule {
    let schedule = this.#pools.get(name);
    if (schedule === undefined) {
      schedule = new PoolSchedule(name, {
        board: this.#board,
        limiter: this.#limiter,
      });
      this.#pools.set(name, schedule);
    }
    return schedule;
  }

  #budget(pool: string): RetryBudget {
    let budget = this.#budgets.get(pool);
    if (budget === undefined) {
      budget = new RetryBudget(this.#bounds.retryBudget);
      this.#budgets.set(pool, budget);
    }
    return budget;
  }
}

/** Time that work took, in parts of what is usual for its size. */
function slownessRatioOf(
  { firstMs, eventGapMs, promptTokens }: WorkEnd,
  { isStream, tokensAhead }: { isStream: boolean; tokensAhead: number },
): number {
  if (!isStream) {
    return firstMs! / INITIAL_CALL_MS;
  }
  return Math.max(
    firstMs! / baselineFirstEventMs(promptTokens, tokensAhead),
    (eventGapMs ?? 0) / INITIAL_EVENT_GAP_MS,
  );
}
