/**
 * Places the fleet's requests at targets. Every instance has a coordinator and
 * answers any ask that reaches it; the instances choose the acting one by
 * rendezvous hashing. Its accounting is soft state: the holders' periodic
 * reports rebuild it.
 */

import { type AdmissionForecast, longestWaits } from "./admission_forecast.ts";
import { quarantineRefusal } from "./ask_decisions.ts";
import type { StandingBacklog } from "./backlog.ts";
import { EndEvidence } from "./end_evidence.ts";
import { RateLimiter } from "./rate_limiter.ts";
import { RejectionLimiter } from "./rejection_limiter.ts";
import { PoolScheduler } from "./pool_scheduler.ts";
import {
  RetryBudget,
  type RetryBudgetBound,
  type RetryHistory,
} from "./retry_budget.ts";
import {
  AllotmentLedger,
  type AllotmentTolerance,
  type AnnouncedAccount,
  type Charge,
  ChargeOutcome,
  type ChargeResult,
  type LedgerScope,
  type RecordedAccount,
  type SpendingAccount,
} from "./allotment_ledger.ts";
import type { RecordOutcome, SpendingCoverage } from "./recorded_spending.ts";
import { recordLoad } from "./load_recording.ts";
import type { LoadReport } from "./load_report.ts";
import type { RoutingBoard } from "./routing_board.ts";
import {
  AskCause,
  type AskDecision,
  AskRefusal,
  type HolderReport,
  type RefusedByHolder,
  type RunningWork,
  type WorkAsk,
  type WorkEnd,
} from "./work_ask.ts";
import type { PlacedWork } from "./placed_work_index.ts";
import { routeRankOf } from "./ranks.ts";
import { returnWindowMs, type StreamOriginGroup } from "./stream_origins.ts";
import { type TakenUpStream, TakenUpStreams } from "./taken_up_streams.ts";
import { UnrecordedAsks } from "./unrecorded_asks.ts";
import { RefusedCallers } from "./refused_callers.ts";
import { type PausedTarget, UnusableTargets } from "./unusable_targets.ts";
import type { OverShare } from "./workspace_shares.ts";

/**
 * Minimum age of work that is released because a holder's report does not list
 * it: the report may have been made before the placement reached the holder.
 */
const REPORT_LAG_MS = 400;

/**
 * Time without an ask or a report after which a holder counts as failed and its
 * work is released.
 */
const HOLDER_TIMEOUT_MS = 1500;

const RETRY_BUDGET_RETRY_AFTER_MS = 1000;

/** Retry time of requests whose cost the platform's store did not record. */
const UNRECORDED_RETRY_AFTER_MS = 500;

/** Limits that the operators set for the fleet as a whole. */
export interface FleetBounds {
  readonly retryBudget: RetryBudgetBound;
  readonly allotmentTolerance: AllotmentTolerance;
}

/** An ask that is queued or placed. */
interface OpenAsk {
  readonly pool: string;
  /** Hash that all attempts of a caller at one request share; 0 if unknown. */
  readonly callHash: number;
  /** Local time of the caller's first attempt at the request. */
  readonly firstAttemptAtMs: number;
  /**
   * Charge to refund if the request never runs; absent where it cost nothing or
   * another coordinator charged it.
   */
  readonly charge?: Charge;
}

/** What an instance may hand out as coordinator, and its uptime. */
export interface PlacementScope extends LedgerScope {
  /** Time since this instance started, in milliseconds. */
  readonly uptimeMs: number;
}

/**
 * Result of charging an ask: a refusal, the charge that was made if it costs
 * anything, or that the ask waits for a record of the spending.
 */
type ChargedAsk =
  | { readonly refusal: AskDecision }
  | { readonly charge?: Charge }
  | { readonly isWaiting: true };

/**
 * Queues and places the asks of all holders that reach this instance.
 *
 * An ask is a holder's request for a slot at a target of a pool; a holder is
 * the instance that has the caller's connection.
 */
export class Coordinator {
  readonly #board: RoutingBoard;
  readonly #schedulers = new Map<string, PoolScheduler>();
  readonly #budgets = new Map<string, RetryBudget>();
  readonly #allotmentLedger: AllotmentLedger;
  readonly #limiter: RateLimiter;
  readonly #rejections = new RejectionLimiter();
  #bounds: FleetBounds;
  readonly #openAsks = new Map<string, OpenAsk>();
  readonly #refusedCallers = new RefusedCallers();
  readonly #lastContactAtMs = new Map<string, number>();
  /** Local time at which each holder last reported its spending. */
  readonly #spendingReportedAtMs = new Map<string, number>();
  readonly #takenUpStreams: TakenUpStreams;
  readonly #unrecordedAsks = new UnrecordedAsks();
  readonly #endEvidence: EndEvidence;
  readonly #unusable: UnusableTargets;
  /** Scope of the last ask, for asks that wait before they are queued. */
  #scope?: PlacementScope;

  /**
   * @param board Shared routing state of the instance.
   * @param bounds Limits that apply to the whole fleet.
   */
  constructor(board: RoutingBoard, bounds: FleetBounds) {
    this.#board = board;
    this.#bounds = bounds;
    const { selfId, selfIncarnation } = board.members;
    this.#allotmentLedger = new AllotmentLedger(
      bounds.allotmentTolerance,
      `${selfId}.${selfIncarnation}`,
    );
    this.#limiter = new RateLimiter(board.rateLimits);
    this.#takenUpStreams = new TakenUpStreams(board);
    this.#endEvidence = new EndEvidence(board);
    this.#unusable = new UnusableTargets(board.members);
  }

  /**
   * Handles an ask: places, queues or refuses it. Idempotent: an ask that was
   * sent again gets the same decision.
   *
   * @param ask The ask.
   * @param scope Share of the fleet's allotments, retry budgets and targets'
   * rate limits that this instance may hand out, and the current local time.
   * @returns Decisions on this ask and on others; none for this one while it is
   * queued.
   */
  ask(ask: WorkAsk, scope: PlacementScope): AskDecision[] {
    this.#lastContactAtMs.set(ask.holderId, scope.nowMs);
    this.#unusable.asked(ask.holderId, scope.nowMs);
    return this.#ask(ask, scope);
  }

  #ask(ask: WorkAsk, scope: PlacementScope): AskDecision[] {
    const scheduler = this.#poolScheduler(ask.pool);
    this.#scope = scope;
    this.#limiter.share = scope.share;
    const decision = scheduler.decisionFor(ask.askId);
    if (decision !== undefined) {
      return [decision];
    }
    if (
      scheduler.isWaiting(ask.askId) || this.#unrecordedAsks.has(ask.askId)
    ) {
      return [];
    }
    const resolved = this.#takenUpStreams.resolve(ask, scope.nowMs);
    if (resolved === undefined) {
      return [];
    }
    if ("refusal" in resolved || "targetId" in resolved) {
      return [resolved];
    }
    const refusal = scheduler.refusalByVersion(resolved, scope.nowMs);
    return refusal === undefined ? this.#place(resolved, scope) : [refusal];
  }

  /** Admits an ask, and places or queues it. */
  #place(ask: WorkAsk, scope: PlacementScope): AskDecision[] {
    const refusal = this.#admit(ask, scope);
    return refusal === undefined
      ? this.#chargeAndQueue(ask, scope)
      : this.#refused(ask, refusal, scope.nowMs);
  }

  #refused(
    { callHash }: WorkAsk,
    refusal: AskDecision,
    nowMs: number,
  ): AskDecision[] {
    const firstAttemptAtMs = this.#refusedCallers
      .firstAttemptAtMs(callHash, nowMs);
    this.#refusedCallers.record(callHash, firstAttemptAtMs, nowMs);
    return [refusal];
  }

  /** Charges an ask, and places or queues it. */
  #chargeAndQueue(ask: WorkAsk, scope: PlacementScope): AskDecision[] {
    const { nowMs } = scope;
    const charged = this.#charge(ask, scope);
    if ("isWaiting" in charged) {
      return [];
    }
    if ("refusal" in charged) {
      return this.#refused(ask, charged.refusal, nowMs);
    }
    const { askId, callHash, pool } = ask;
    const { charge } = charged;
    const firstAttemptAtMs = this.#refusedCallers
      .firstAttemptAtMs(callHash, nowMs);
    this.#openAsks.set(askId, { pool, callHash, firstAttemptAtMs, charge });
    const cameBackMs = nowMs - firstAttemptAtMs;
    const scheduler = this.#poolScheduler(pool);
    return this.#applyDecisions(
      scheduler.add(ask, { cameBackMs, nowMs }),
      nowMs,
    );
  }

  /**
   * Records that the first event of a stream was received.
   *
   * @param askId Id of the ask that the stream was placed by.
   * @param nowMs Current local time in milliseconds.
   * @param of Load that the target reported with the answer, if it did.
   */
  firstSeen(
    askId: string,
    nowMs: number,
    { load }: { load?: LoadReport } = {},
  ): void {
    const scheduler = this.#schedulerOf(askId);
    recordLoad(this.#board, scheduler, { askId, load, nowMs });
    const work = scheduler?.firstSeen(askId, nowMs);
    if (work !== undefined) {
      this.#unusable.reached(work);
      this.#recordOrigin(work, this.#openAsks.get(askId)!.pool, nowMs);
    }
  }

  /** While targets of one version serve, streams need no record. */
  #recordOrigin(
    { streamKey, version }: PlacedWork,
    pool: string,
    nowMs: number,
  ): void {
    const { routes, targets, streamOrigins } = this.#board;
    const windowMs = returnWindowMs(routes);
    const versions = targets.versionsWithin(pool, { windowMs, nowMs });
    if (
      streamKey !== undefined && version !== undefined && versions.length > 1
    ) {
      streamOrigins.record(streamKey, { pool, version }, { nowMs, windowMs });
    }
  }

  /**
   * Releases the slot of work that ended, and updates the estimates from it.
   *
   * @param end Outcome of the work.
   * @param nowMs Current local time in milliseconds.
   * @returns Decisions on queued asks.
   */
  ended(end: WorkEnd, nowMs: number): AskDecision[] {
    this.#endEvidence.updateSuspects(end, nowMs);
    this.#rejections.recordEnd(end, nowMs);
    const scheduler = this.#poolScheduler(end.pool);
    const { askId, load } = end;
    recordLoad(this.#board, scheduler, { askId, load, nowMs });
    // The slot is given to the next request at once, unless this pauses it.
    this.#unusable.ended(end, { work: scheduler.workOf(end.askId), nowMs });
    const { work, decisions } = scheduler.release(end.askId, nowMs);
    this.#endEvidence.recordAbandoned(end, work, nowMs);
    if (work?.streamKey !== undefined && end.isStreamCompleted === true) {
      this.#board.streamOrigins.completed(work.streamKey, nowMs);
    }
    const isStream = this.#board.routes?.pool(end.pool)?.engine !== undefined;
    const tokensAhead = work?.tokensAhead ?? 0;
    this.#endEvidence.recordVersionAnswer(end, {
      isStream,
      tokensAhead,
      route: work?.route,
      nowMs,
    });
    this.#board.latencyModels.recordEnd(end, { isStream, tokensAhead });
    if (work !== undefined && !end.failed && end.firstMs !== undefined) {
      scheduler.recordFirstEvent(end.promptTokens, end.firstMs);
    }
    this.#removeAsk(end.askId);
    return this.#applyDecisions(decisions, nowMs);
  }

  /**
   * Records that a holder returns a placement, as it knows the target as
   * removed or leaving. The withdrawal of the ask follows.
   *
   * @param askId Id of the ask.
   * @param of Id of the target, and the current local time in milliseconds.
   */
  placementReturned(
    askId: string,
    { targetId, nowMs }: { targetId: string; nowMs: number },
  ): void {
    const work = this.#schedulerOf(askId)?.workOf(askId);
    if (work?.targetId === targetId) {
      this.#unusable.returned(work, nowMs);
    }
  }

  /**
   * Withdraws an ask whose caller has left or that was placed elsewhere, and
   * refunds its charge.
   *
   * @param askId Id of the ask.
   * @param nowMs Current local time in milliseconds.
   * @returns Decisions on queued asks.
   */
  dropped(askId: string, nowMs: number): AskDecision[] {
    this.#takenUpStreams.drop(askId);
    this.#unrecordedAsks.drop(askId);
    const scheduler = this.#schedulerOf(askId);
    if (scheduler === undefined) {
      return [];
    }
    this.#refund(askId);
    const { decisions } = scheduler.release(askId, nowMs);
    this.#removeAsk(askId);
    return this.#applyDecisions(decisions, nowMs);
  }

  /**
   * Reconciles the accounting with a holder's report of its open work and its
   * spending.
   *
   * @param report The holder's report.
   * @param nowMs Current local time in milliseconds.
   * @returns Decisions on queued asks.
   */
  report(report: HolderReport, nowMs: number): AskDecision[] {
    this.#lastContactAtMs.set(report.holderId, nowMs);
    const previousReportAtMs = this.spendingReportedAtMs(report.holderId);
    const { reported } = this.#allotmentLedger;
    if (nowMs - previousReportAtMs > HOLDER_TIMEOUT_MS) {
      reported.markIncomplete(nowMs);
    }
    this.#spendingReportedAtMs.set(report.holderId, nowMs);
    const { holderId, incarnation = 0, spent } = report;
    reported.reported(holderId, { incarnation, spent }, nowMs);
    this.#board.suspects.merge(report.suspects ?? [], nowMs);
    this.importStreams(report.streams ?? [], nowMs);
    this.#recordRefusedByHolder(report.refused ?? [], nowMs);
    for (const running of report.running) {
      this.#recordAdopted(running, nowMs);
      this.#poolScheduler(running.pool).adopt(report.holderId, running, nowMs);
    }
    const open = new Set([
      ...report.running.map(({ askId }) => askId),
      ...report.waiting,
    ]);
    return this.#releaseUnlisted(report.holderId, open, nowMs);
  }

  /** Retry budgets and allotments are not charged, as nothing is placed. */
  #recordRefusedByHolder(
    refused: readonly RefusedByHolder[],
    nowMs: number,
  ): void {
    for (const { pool, rank, count, callHashes } of refused) {
      this.#poolScheduler(pool).recordRefusedByHolder(rank, count, nowMs);
      for (const callHash of callHashes) {
        const firstAttemptAtMs = this.#refusedCallers
          .firstAttemptAtMs(callHash, nowMs);
        this.#refusedCallers.record(callHash, firstAttemptAtMs, nowMs);
      }
    }
  }

  /**
   * Predicts the waits for which this coordinator refuses new asks, for holders
   * to refuse them without asking.
   *
   * @param nowMs Current local time in milliseconds.
   * @returns Forecasts by pool and rank, the longest waits first.
   */
  admissionForecasts(nowMs: number): AdmissionForecast[] {
    const schedulers = [...this.#schedulers.values()];
    return longestWaits(
      schedulers.flatMap((scheduler) => scheduler.admissionForecasts(nowMs)),
    );
  }

  /**
   * Looks up asks for which a holder has received no decision.
   *
   * @param askIds Ids of the asks that the holder waits for.
   * @param nowMs Current local time in milliseconds.
   * @returns The placements to send again, without those that may still be in
   * transit, and the ids of asks that this coordinator does not know.
   */
  lookUp(
    askIds: readonly string[],
    nowMs: number,
  ): { decisions: AskDecision[]; unknownIds: string[] } {
    const decisions = askIds.flatMap((askId) =>
      this.#schedulerOf(askId)?.lostDecisionFor(askId, nowMs) ?? []
    );
    const unknownIds = askIds.filter((askId) =>
      !this.#openAsks.has(askId) && !this.#unrecordedAsks.has(askId)
    );
    return { decisions, unknownIds };
  }

  /**
   * Runs periodic work: processes the queues again, releases the work of
   * holders that timed out, and drops expired state.
   *
   * @param nowMs Current local time in milliseconds.
   * @returns Decisions on queued asks.
   */
  tick(nowMs: number): AskDecision[] {
    this.#board.suspects.evictExpired(nowMs);
    this.#board.targetLoads.evictExpired(nowMs);
    this.#limiter.evictUnlimited();
    this.#unusable.evictExpired(this.#board.targets, nowMs);
    this.#allotmentLedger.reported.evictExpired(nowMs);
    const decisions = [
      ...this.#resolveWaiting(nowMs),
      ...this.#chargeUnrecorded(nowMs),
    ];
    for (const [holderId, contactAtMs] of this.#lastContactAtMs) {
      if (nowMs - contactAtMs > HOLDER_TIMEOUT_MS) {
        this.#lastContactAtMs.delete(holderId);
        this.#allotmentLedger.reported.holderGone(holderId, nowMs);
        decisions.push(...this.#releaseUnlisted(holderId, new Set(), nowMs));
      }
    }
    for (const scheduler of this.#schedulers.values()) {
      scheduler.survivors(nowMs)
        .forEach((keys) => this.#board.suspects.served(keys, nowMs));
      decisions.push(...this.#applyDecisions(scheduler.tick(nowMs), nowMs));
    }
    return decisions;
  }

  /**
   * Records that this instance began to assign requests, so that its accounting
   * may lack work that others have placed.
   *
   * @param nowMs Current local time in milliseconds.
   */
  accountingBegan(nowMs: number): void {
    this.#rejections.accountingBegan(nowMs);
    this.#takenUpStreams.accountingBegan(nowMs);
  }

  /**
   * Records whether this instance is the coordinator, to which holders report.
   *
   * @param isCoordinator Whether it is from now on.
   * @param nowMs Current local time in milliseconds.
   */
  setRole(isCoordinator: boolean, nowMs: number): void {
    this.#takenUpStreams.setRole(isCoordinator);
    if (isCoordinator) {
      this.accountingBegan(nowMs);
    }
  }

  /**
   * Checks whether this instance can place an ask, as far as the version of its
   * stream matters.
   *
   * @param ask The ask.
   * @param nowMs Current local time in milliseconds.
   * @returns False if it takes up a stream whose version is not known here.
   */
  knowsVersionOf(ask: WorkAsk, nowMs: number): boolean {
    return this.#takenUpStreams.knowsVersionOf(ask, nowMs);
  }

  /** Whether asks wait for the origin of the stream that they take up. */
  get awaitsStreams(): boolean {
    return this.#takenUpStreams.awaitsOrigins;
  }

  /**
   * @returns How the versions of streams that callers took up were found, since
   * the last call.
   */
  takeTakenUpStreams(): readonly TakenUpStream[] {
    return this.#takenUpStreams.takeResults();
  }

  /**
   * Imports streams that began at another instance.
   *
   * @param groups The streams by origin.
   * @param nowMs Current local time in milliseconds.
   */
  importStreams(groups: readonly StreamOriginGroup[], nowMs: number): void {
    const { routes, targets, streamOrigins } = this.#board;
    streamOrigins.merge(groups, { nowMs, windowMs: returnWindowMs(routes) });
    for (const { pool, version } of groups) {
      targets.recordVersion(pool, version, nowMs);
    }
  }

  /**
   * Imports streams that the fleet recorded. Versions that are not known as
   * recent ones may have served until all instances were lost.
   *
   * @param groups The streams by origin.
   * @param nowMs Current local time in milliseconds.
   */
  restoreStreams(groups: readonly StreamOriginGroup[], nowMs: number): void {
    const { routes, targets, streamOrigins } = this.#board;
    const windowMs = returnWindowMs(routes);
    streamOrigins.merge(groups, { nowMs, windowMs });
    groups.filter(({ pool, version }) =>
      !targets.versionsWithin(pool, { windowMs, nowMs }).includes(version)
    ).forEach(({ pool, version }) =>
      targets.recordVersion(pool, version, nowMs)
    );
  }

  #resolveWaiting(nowMs: number): AskDecision[] {
    return this.#takenUpStreams.waiting
      .flatMap((ask) => this.#ask(ask, { ...this.#scope!, nowMs }));
  }

  /** Charges asks again that wait for a record of their workspace's spending. */
  #chargeUnrecorded(nowMs: number): AskDecision[] {
    return this.#unrecordedAsks.all().flatMap((ask) => {
      const decisions = this.#chargeAndQueue(ask, { ...this.#scope!, nowMs });
      if (this.#openAsks.has(ask.askId) || decisions.length > 0) {
        this.#unrecordedAsks.drop(ask.askId);
      }
      return decisions;
    });
  }

  /**
   * Returns the spending record to write to the platform's store.
   *
   * @param nowMs Current local time in milliseconds.
   * @returns Spending of workspaces near their bounds; undefined while the last
   * record is sufficient.
   */
  nextSpendingRecord(nowMs: number): RecordedAccount | undefined {
    return this.#allotmentLedger.nextRecord(nowMs);
  }

  /**
   * Records the outcome of writing the last spending record.
   *
   * @param outcome Whether the platform's store replaced its record.
   */
  spendingRecordEnded(outcome: RecordOutcome): void {
    this.#allotmentLedger.recordEnded(outcome);
  }

  /**
   * Replaces what is known of the spending record in the platform's store.
   *
   * @param coverage Spending that it states.
   * @param mustReplace Whether to replace it in any case, as it would be taken
   * for recent spending later.
   */
  spendingRecordFound(coverage: SpendingCoverage, mustReplace: boolean): void {
    this.#allotmentLedger.recordFound(coverage, mustReplace);
  }

  /**
   * Returns the spending of workspaces near their bounds.
   *
   * @param nowMs Current local time in milliseconds.
   * @returns The account of these workspaces.
   */
  announcedSpending(nowMs: number): AnnouncedAccount {
    return this.#allotmentLedger.announcedAccount(nowMs);
  }

  /**
   * Records that this instance begins to assign requests in place of another,
   * so that its account of spending may be incomplete.
   *
   * @param announced The record as the predecessor announced it.
   * @param nowMs Current local time in milliseconds.
   */
  takeOverSpending(announced: SpendingCoverage, nowMs: number): void {
    this.#allotmentLedger.takeOver(announced, nowMs);
  }

  /**
   * Imports spending that another coordinator accounted for, or that the fleet
   * recorded before all its instances stopped.
   *
   * @param account Spending of all workspaces near their bounds by age.
   * @param atMs Local time in milliseconds that the ages count from.
   */
  importSpending(account: SpendingAccount, atMs: number): void {
    this.#allotmentLedger.import(account, atMs);
  }

  /**
   * Records whether asks may wait for the next spending record.
   *
   * @param isRecording Whether this instance records spending, and the
   * platform's store answers.
   */
  setRecording(isRecording: boolean): void {
    this.#allotmentLedger.isRecording = isRecording;
  }

  /** The spending record may be lost from the platform's store. */
  spendingRecordLost(): void {
    this.#allotmentLedger.recordLost();
  }

  /**
   * Returns the use of the retry budgets, for the next coordinator.
   *
   * @param nowMs Current local time in milliseconds.
   * @returns Sends of each pool within the window.
   */
  retryHistories(nowMs: number): RetryHistory[] {
    return [...this.#budgets]
      .map(([pool, budget]) => budget.history(pool, nowMs));
  }

  /**
   * Imports the use of the retry budgets that another coordinator granted.
   *
   * @param histories Sends of pools by age.
   * @param nowMs Local time in milliseconds that the ages count from.
   */
  importRetries(histories: readonly RetryHistory[], nowMs: number): void {
    for (const history of histories) {
      this.#budget(history.pool).importHistory(history, nowMs);
    }
  }

  /**
   * Replaces the fleet's limits.
   *
   * @param bounds Limits that apply from now on.
   */
  setBounds(bounds: FleetBounds): void {
    this.#bounds = bounds;
    this.#allotmentLedger.setTolerance(bounds.allotmentTolerance);
    for (const budget of this.#budgets.values()) {
      budget.setBound(bounds.retryBudget);
    }
  }

  /**
   * Releases the work at a target that restarted.
   *
   * @param targetId Target whose process started again under the same id.
   */
  targetRestarted(targetId: string): void {
    this.#unusable.restarted(targetId);
    for (const scheduler of this.#schedulers.values()) {
      scheduler.targetRestarted(targetId);
    }
  }

  /**
   * Returns when a holder last sent an ask or a report to this instance.
   *
   * @param holderId Id of the holder.
   * @returns Local time in milliseconds; -Infinity if it has not lately.
   */
  contactedAtMs(holderId: string): number {
    return this.#lastContactAtMs.get(holderId) ?? -Infinity;
  }

  /**
   * Returns when a holder last reported its spending to this instance.
   *
   * @param holderId Id of the holder.
   * @returns Local time in milliseconds; -Infinity if it never did.
   */
  spendingReportedAtMs(holderId: string): number {
    return this.#spendingReportedAtMs.get(holderId) ?? -Infinity;
  }

  /**
   * @param holderId Id of the holder.
   * @returns Whether spending that it reported counts here.
   */
  countsSpendingOf(holderId: string): boolean {
    return this.#allotmentLedger.reported.covers(holderId);
  }

  /**
   * Drops all asks, after a pause of this process in which the holders turned
   * to another coordinator.
   */
  clearAsks(): void {
    this.#schedulers.clear();
    this.#takenUpStreams.clear();
    this.#unrecordedAsks.clear();
    this.#openAsks.clear();
    this.#lastContactAtMs.clear();
  }

  /** @returns Numbers of queued and of placed requests, by pool. */
  load(): { pool: string; waiting: number; placed: number }[] {
    const takingUp = this.#takenUpStreams.waiting;
    return [...this.#schedulers].map(([pool, scheduler]) => ({
      pool,
      waiting: scheduler.waitingCount + this.#unrecordedAsks.countOf(pool) +
        takingUp.filter((ask) => ask.pool === pool).length,
      placed: scheduler.placedCount,
    }));
  }

  /**
   * Lists the workspaces that were over their shares within the last second.
   *
   * @param nowMs Current local time in milliseconds.
   * @returns One entry for each pool, workspace and rank.
   */
  overShares(nowMs: number): (OverShare & { pool: string })[] {
    return [...this.#schedulers].flatMap(([pool, scheduler]) =>
      scheduler.overShares(nowMs).map((share) => ({ ...share, pool }))
    );
  }

  /** @returns Targets that get no requests, as holders could not use them. */
  pausedTargets(): PausedTarget[] {
    return this.#unusable.paused();
  }

  /**
   * Lists the standing backlogs of all pools.
   *
   * @param nowMs Current local time in milliseconds.
   * @returns One for each pool and rank that has one.
   */
  standingBacklogs(nowMs: number): (StandingBacklog & { pool: string })[] {
    return [...this.#schedulers].flatMap(([pool, scheduler]) =>
      scheduler.standingBacklogs(nowMs).map((backlog) => ({ pool, ...backlog }))
    );
  }

  /**
   * Counts the requests that run at some of a pool's targets.
   *
   * @param pool Name of the pool.
   * @param targetIds Ids of the targets.
   * @returns Number of placed requests.
   */
  runningAt(pool: string, targetIds: readonly string[]): number {
    return this.#poolScheduler(pool).runningAt(targetIds);
  }

  /** Refuses quarantined asks, and repeats beyond the retry budget. */
  #admit(ask: WorkAsk, scope: PlacementScope): AskDecision | undefined {
    const { askId, holderId } = ask;
    const { suspects } = this.#board;
    const heldForMs = suspects.quarantineLeftMs(ask, scope.nowMs);
    if (heldForMs > 0) {
      return quarantineRefusal(ask, heldForMs);
    }
    const budget = this.#budget(ask.pool);
    if (
      ask.cause === AskCause.Repeat &&
      !budget.tryConsume(scope)
    ) {
      return {
        askId,
        holderId,
        refusal: AskRefusal.RetryBudget,
        retryAfterMs: RETRY_BUDGET_RETRY_AFTER_MS,
        figures: { share: scope.share },
      };
    }
    if (ask.cause === AskCause.First) {
      budget.recordFirst(scope.nowMs);
    }
    return undefined;
  }

  #charge(ask: WorkAsk, scope: LedgerScope): ChargedAsk {
    const { holderId, workspace, cost } = ask;
    const allotment = this.#board.routes?.workspace(workspace)?.allotment;
    if (allotment === undefined || cost === 0) {
      return {};
    }
    const rank = routeRankOf(ask.rank);
    const result = this.#allotmentLedger
      .charge(workspace, allotment, { cost, rank, scope });
    const { nowMs } = scope;
    switch (result.outcome) {
      case ChargeOutcome.Allowed:
        return {
          charge: {
            workspace,
            cost,
            share: scope.share,
            holderId,
            chargedAtMs: nowMs,
          },
        };
      case ChargeOutcome.Exceeded:
        return { refusal: allotmentRefusal(ask, result, scope) };
      case ChargeOutcome.Unrecorded:
        return this.#allotmentLedger.isRecording &&
            this.#unrecordedAsks.hold(ask, nowMs)
          ? { isWaiting: true }
          : { refusal: allotmentRefusal(ask, result, scope) };
    }
  }

  /** Registers work that another coordinator placed. */
  #recordAdopted({ askId, pool }: RunningWork, nowMs: number): void {
    if (!this.#openAsks.has(askId)) {
      this.#openAsks.set(askId, { pool, callHash: 0, firstAttemptAtMs: nowMs });
    }
  }

  #applyDecisions(decisions: AskDecision[], nowMs: number): AskDecision[] {
    for (const decision of decisions) {
      const { askId } = decision;
      if ("refusal" in decision) {
        this.#recordRefused(askId, nowMs);
        this.#refund(askId);
        this.#removeAsk(askId);
      } else {
        this.#recordPlaced(askId, nowMs);
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
    for (const scheduler of this.#schedulers.values()) {
      for (const askId of scheduler.askIdsOf(holderId, nowMs - REPORT_LAG_MS)) {
        if (!open.has(askId)) {
          decisions.push(...scheduler.release(askId, nowMs).decisions);
          this.#removeAsk(askId);
        }
      }
    }
    return this.#applyDecisions(decisions, nowMs);
  }

  #recordRefused(askId: string, nowMs: number): void {
    const open = this.#openAsks.get(askId);
    if (open !== undefined) {
      this.#refusedCallers.record(open.callHash, open.firstAttemptAtMs, nowMs);
    }
  }

  #recordPlaced(askId: string, nowMs: number): void {
    const charge = this.#openAsks.get(askId)?.charge;
    if (charge !== undefined) {
      this.#allotmentLedger.placed(charge, nowMs);
    }
  }

  #refund(askId: string): void {
    const charge = this.#openAsks.get(askId)?.charge;
    if (charge !== undefined) {
      this.#allotmentLedger.refund(charge);
    }
  }

  #removeAsk(askId: string): void {
    this.#openAsks.delete(askId);
  }

  #schedulerOf(askId: string): PoolScheduler | undefined {
    const pool = this.#openAsks.get(askId)?.pool;
    return pool === undefined ? undefined : this.#schedulers.get(pool);
  }

  #poolScheduler(name: string): PoolScheduler {
    let scheduler = this.#schedulers.get(name);
    if (scheduler === undefined) {
      scheduler = new PoolScheduler(name, {
        board: this.#board,
        limiter: this.#limiter,
        rejections: this.#rejections,
        unusable: this.#unusable,
      });
      this.#schedulers.set(name, scheduler);
    }
    return scheduler;
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

function allotmentRefusal(
  { askId, holderId, cost }: WorkAsk,
  result: ChargeResult,
  { share }: LedgerScope,
): AskDecision {
  const { outcome, retryAfterMs, spent, unknown, bound, recorded } = result;
  const isExceeded = outcome === ChargeOutcome.Exceeded;
  return {
    askId,
    holderId,
    refusal: AskRefusal.Allotment,
    retryAfterMs: isExceeded ? retryAfterMs : UNRECORDED_RETRY_AFTER_MS,
    figures: {
      cost,
      spent: Math.round(spent),
      unknown: Math.round(unknown),
      bound: Math.round(bound),
      ...(isExceeded ? undefined : { recorded: Math.round(recorded) }),
      share,
    },
  };
}
