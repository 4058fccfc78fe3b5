/**
 * Scheduler of one pool: accounts for the work at each target and queues what
 * finds no free slot.
 *
 * Targets admit work in order of arrival and know no ranks, so the order is
 * established here: no target gets more work than it has slots, and the rest is
 * queued by rank. A request that would not start within its caller's patience
 * is refused as soon as that can be predicted.
 */

import { type AdmissionForecast, forecastsOf } from "./admission_forecast.ts";
import { adoptedWork } from "./adopted_work.ts";
import {
  decisionOf,
  noTargetRefusal,
  overloadRefusal,
  quarantineRefusal,
  versionRefusal,
} from "./ask_decisions.ts";
import type { StandingBacklog } from "./backlog.ts";
import type { CrashKeys } from "./crash_suspects.ts";
import type { RateLimiter } from "./rate_limiter.ts";
import type { RejectionLimiter } from "./rejection_limiter.ts";
import { type PlacedWork, PlacedWorkIndex } from "./placed_work_index.ts";
import { SlotEstimates, type SlotSnapshot } from "./slot_estimates.ts";
import { TargetSelector } from "./target_selector.ts";
import type { KeyedWork, OrderContext, WaitingWork } from "./queue_order.ts";
import { QueuePriorities } from "./queue_priorities.ts";
import { RecentAsks } from "./recent_asks.ts";
import type { RoutingBoard } from "./routing_board.ts";
import type { Choice } from "./target_choice.ts";
import { Trials } from "./trials.ts";
import type { UnusableTargets } from "./unusable_targets.ts";
import { WaitingQueue } from "./waiting_queue.ts";
import type { OverShare } from "./workspace_shares.ts";
import type { AskDecision, RunningWork, WorkAsk } from "./work_ask.ts";

/** Lower bound of the number of slots in wait estimates. */
const MIN_SLOTS = 0.1;

/** Upper bound of requests that are skipped while a free slot is filled. */
const MAX_SKIPPED_REQUESTS = 8;

/**
 * Age at which a decision counts as lost if its holder still waits for it.
 * Under load, reports are 100 ms old when they are processed.
 */
const LOST_DECISION_AGE_MS = 150;

/** State of one pass over the queue. */
interface SchedulingPass extends SlotSnapshot {
  /** Requests passed so far that stay queued ahead of the next one. */
  ahead: number;
}

/** Placed work and queue of one pool. */
export class PoolScheduler {
  readonly #board: RoutingBoard;
  readonly #limiter: RateLimiter;
  readonly #unusable: UnusableTargets;
  readonly #placed = new PlacedWorkIndex((targetId, use) =>
    this.#selector.updateUse(targetId, use)
  );
  readonly #trials: Trials;
  readonly #selector: TargetSelector;
  readonly #priorities: QueuePriorities;
  readonly #slots: SlotEstimates;
  readonly #waiting = new WaitingQueue((ask, change) =>
    this.#priorities.queueChanged(ask, change)
  );
  readonly #recentAsks = new RecentAsks();
  readonly #pool: string;

  /**
   * @param pool The pool's name.
   * @param parts Shared routing state of the instance, the limiters of the
   * rates of placements at targets and of their rejections, and the targets
   * that holders could not use.
   */
  constructor(
    pool: string,
    { board, limiter, rejections, unusable }: {
      board: RoutingBoard;
      limiter: RateLimiter;
      rejections: RejectionLimiter;
      unusable: UnusableTargets;
    },
  ) {
    this.#pool = pool;
    this.#board = board;
    this.#limiter = limiter;
    this.#unusable = unusable;
    this.#priorities = new QueuePriorities(board);
    const placed = this.#placed;
    this.#trials = new Trials(board.suspects, placed);
    this.#selector = new TargetSelector(pool, {
      board,
      placed,
      trials: this.#trials,
      limiter,
      rejections,
      unusable,
    });
    this.#slots = new SlotEstimates({
      board,
      limiter,
      selector: this.#selector,
      priorities: this.#priorities,
    });
  }

  /** Number of queued requests. */
  get waitingCount(): number {
    return this.#waiting.size;
  }

  /** Number of requests placed at targets. */
  get placedCount(): number {
    return this.#placed.size;
  }

  /**
   * Lists the ranks whose on-time requests are served newest first.
   *
   * @param nowMs Current local time in milliseconds.
   * @returns Their standing backlogs; none in a fleet with a full mesh.
   */
  standingBacklogs(nowMs: number): StandingBacklog[] {
    return this.#priorities.standingBacklogs(nowMs);
  }

  /**
   * Returns the placement of an ask.
   *
   * @param askId Id of the ask.
   * @returns The decision that placed it; undefined if it is not placed.
   */
  decisionFor(askId: string): AskDecision | undefined {
    const work = this.#placed.get(askId);
    return work && decisionOf(work);
  }

  /**
   * Returns the work that an ask was placed for.
   *
   * @param askId Id of the ask.
   * @returns The placed work; undefined if it is not placed.
   */
  workOf(askId: string): PlacedWork | undefined {
    return this.#placed.get(askId);
  }

  /**
   * Returns the placement of an ask if its holder should have received it by
   * now.
   *
   * @param askId Id of an ask that its holder still waits for.
   * @param nowMs Current local time in milliseconds.
   * @returns The decision to send again; undefined if it may still be in
   * transit or the ask is not placed.
   */
  lostDecisionFor(askId: string, nowMs: number): AskDecision | undefined {
    const work = this.#placed.get(askId);
    const isLost = work !== undefined &&
      nowMs - work.placedAtMs >= LOST_DECISION_AGE_MS;
    return isLost ? decisionOf(work) : undefined;
  }

  /**
   * @param askId Id of an ask.
   * @returns Whether it is queued.
   */
  isWaiting(askId: string): boolean {
    return this.#waiting.has(askId);
  }

  /**
   * Adds an ask, which is then placed, queued or refused.
   *
   * @param ask The ask.
   * @param of Time since the caller's first attempt, if that was refused, and
   * the current local time, both in milliseconds.
   * @returns Decisions on this ask and on others that it displaced. Those of a
   * long queue follow with its next full pass.
   */
  add(
    ask: WorkAsk,
    { cameBackMs, nowMs }: { cameBackMs: number; nowMs: number },
  ): AskDecision[] {
    const work = { ask, cameBackMs, waitingSinceMs: nowMs };
    this.#slots.recordAsks(ask.rank, 1, nowMs);
    const { key } = this.#waiting.add(work);
    const { rank, patienceLeftMs } = ask;
    const deadlineLeadMs = nowMs + patienceLeftMs - key.latestStartMs;
    this.#recentAsks.record({ rank, patienceLeftMs, deadlineLeadMs }, nowMs);
    return this.#processQueue(nowMs);
  }

  /**
   * Records asks that a holder refused by the forecasts of this scheduler, as
   * if it had refused them itself.
   *
   * @param rank Rank of the asks.
   * @param count Number of the asks.
   * @param nowMs Current local time in milliseconds.
   */
  recordRefusedByHolder(rank: number, count: number, nowMs: number): void {
    this.#slots.recordAsks(rank, count, nowMs);
    this.#priorities.recordRefusals(rank, count, nowMs);
    this.#recentAsks.recordRefusedByHolder(rank, nowMs);
  }

  /**
   * Predicts the waits for which new asks are refused.
   *
   * @param nowMs Current local time in milliseconds.
   * @returns Forecasts of ranks in which recent asks would be refused; none
   * while a target is free.
   */
  admissionForecasts(nowMs: number): AdmissionForecast[] {
    const pass = this.#beginPass(nowMs);
    const { targets, canary } = pass;
    if (targets.size === 0 || targets.hasFree || canary.length > 0) {
      return [];
    }
    const context = this.#priorities.orderContext(nowMs);
    const slots = Math.max(MIN_SLOTS, this.#slots.usable(pass));
    return forecastsOf(this.#pool, {
      kept: this.#keptWork(pass, context),
      startIntervalMs: (rank) =>
        this.#priorities.holdMs / this.#slots.available(rank, slots, nowMs),
      recentAsks: this.#recentAsks,
      context,
    });
  }

  /**
   * Finds queued work that a full pass would not refuse, while no target is
   * free. Work that only one version may run is left out: it may be placed at
   * targets that serve nothing else.
   */
  #keptWork(pass: SchedulingPass, context: OrderContext): KeyedWork[] {
    return this.#waiting.inOrder(context).filter(({ work }) => {
      const isKept = work.ask.version === undefined &&
        this.#decide(work, pass) === undefined;
      pass.ahead += Number(isKept);
      return isKept;
    });
  }

  /**
   * Refuses an ask for a version that no usable target has, before it draws on
   * the retry budget or an allotment.
   *
   * @param ask The ask.
   * @param nowMs Current local time in milliseconds.
   * @returns The refusal; undefined if a target may run it.
   */
  refusalByVersion(ask: WorkAsk, nowMs: number): AskDecision | undefined {
    const mayRun = ask.version === undefined ||
      this.#selector.ofVersion(ask, nowMs).length > 0;
    return mayRun ? undefined : versionRefusal(ask);
  }

  /**
   * Records that the prompt of a stream was processed, as its first event was
   * received.
   *
   * @param askId Id of the ask that the stream was placed by.
   * @param nowMs Current local time in milliseconds.
   * @returns The placed work; undefined if there is none.
   */
  firstSeen(askId: string, nowMs: number): PlacedWork | undefined {
    this.#placed.firstSeen(askId, nowMs);
    return this.#placed.get(askId);
  }

  /**
   * Lists requests on trial that did not crash their targets.
   *
   * @param nowMs Current local time in milliseconds.
   * @returns Keys of the requests.
   */
  survivors(nowMs: number): CrashKeys[] {
    return this.#trials.survivors(nowMs);
  }

  /**
   * Updates the prediction of start times from an observed latency.
   *
   * @param promptTokens Tokens of the request's prompt.
   * @param firstMs Time to the first event, or to the answer of a plain call.
   */
  recordFirstEvent(promptTokens: number, firstMs: number): void {
    this.#waiting.recordFirstEvent(promptTokens, firstMs);
  }

  /**
   * Removes an ask from the queue or frees its slot.
   *
   * @param askId Id of the ask.
   * @param nowMs Current local time in milliseconds.
   * @returns The placed work that was removed, if any, and decisions on queued
   * asks that the slot was given to.
   */
  release(
    askId: string,
    nowMs: number,
  ): { work?: PlacedWork; decisions: AskDecision[] } {
    this.#waiting.remove(askId);
    const work = this.#placed.remove(askId);
    if (work === undefined) {
      return { decisions: [] };
    }
    const durationMs = nowMs - work.placedAtMs;
    this.#priorities.recordDuration(work.rank, durationMs, nowMs);
    return { work, decisions: this.#processQueue(nowMs) };
  }

  /**
   * Accounts for work that another coordinator placed.
   *
   * @param holderId Id of the holder that reports the work.
   * @param running The work.
   * @param nowMs Current local time in milliseconds.
   */
  adopt(holderId: string, running: RunningWork, nowMs: number): void {
    const { askId, firstSeen } = running;
    if (this.#placed.get(askId) !== undefined) {
      if (firstSeen) {
        this.firstSeen(askId, nowMs);
      }
      return;
    }
    this.#waiting.remove(askId);
    this.#placed.put(adoptedWork(holderId, running, nowMs));
  }

  /**
   * Drops the work at a target whose process restarted. The work is lost; its
   * holders report its end separately.
   *
   * @param targetId Id of the target.
   */
  targetRestarted(targetId: string): void {
    for (const { askId } of this.#placed.workOfTarget(targetId)) {
      this.#placed.remove(askId);
    }
  }

  /**
   * Counts the requests that run at some of the pool's targets.
   *
   * @param targetIds Ids of the targets.
   * @returns Number of placed requests.
   */
  runningAt(targetIds: readonly string[]): number {
    return targetIds.map((targetId) => this.#placed.use(targetId).running)
      .reduce((sum, running) => sum + running, 0);
  }

  /**
   * Finds the asks of a holder, without those too recent to be in its last
   * report.
   *
   * @param holderId Id of the holder.
   * @param beforeMs Local time in milliseconds; asks that were placed or queued
   * at this time or later are left out.
   * @returns Ids of placed and queued asks.
   */
  askIdsOf(holderId: string, beforeMs: number): string[] {
    const placed = this.#placed.workOfHolder(holderId)
      .filter(({ placedAtMs }) => placedAtMs < beforeMs);
    return [
      ...placed.map(({ askId }) => askId),
      ...this.#waiting.askIdsOf(holderId, beforeMs),
    ];
  }

  /**
   * Lists the workspaces that were over their shares within the last second.
   *
   * @param nowMs Current local time in milliseconds.
   * @returns One entry for each workspace and rank.
   */
  overShares(nowMs: number): OverShare[] {
    return this.#priorities.overShares(nowMs);
  }

  /**
   * Processes the queue again, as time has passed or targets have changed.
   *
   * @param nowMs Current local time in milliseconds.
   * @returns Decisions on queued asks.
   */
  tick(nowMs: number): AskDecision[] {
    return this.#processQueue(nowMs);
  }

  #processQueue(nowMs: number): AskDecision[] {
    if (this.#waiting.size === 0) {
      return [];
    }
    return this.#waiting.isReorderDue(nowMs)
      ? this.#decideAll(nowMs)
      : this.#fillSlots(nowMs);
  }

  /** Orders the whole queue and decides every request that can be decided. */
  #decideAll(nowMs: number): AskDecision[] {
    const pass = this.#beginPass(nowMs);
    const context = this.#priorities.orderContext(nowMs);
    const decisions: AskDecision[] = [];
    const isSaturated = context.backlogged.size > 0 ||
      context.overShareBacklogged.size > 0;
    const typical = pass.targets.typical(nowMs, isSaturated);
    for (const waiting of this.#waiting.reorder(typical, context)) {
      const decision = this.#decide(waiting, pass);
      if (decision === undefined) {
        pass.ahead++;
      } else {
        this.#recordDecided(waiting, decision, context);
        decisions.push(decision);
      }
    }
    return decisions;
  }

  /** Fills free slots in the order of the last full pass. */
  #fillSlots(nowMs: number): AskDecision[] {
    const pass = this.#beginPass(nowMs);
    if (!this.#selector.hasFree(pass)) {
      return [];
    }
    const context = this.#priorities.orderContext(nowMs);
    const skipped = new Set<string>();
    const decisions: AskDecision[] = [];
    while (
      this.#selector.hasFree(pass) && skipped.size < MAX_SKIPPED_REQUESTS
    ) {
      const next = this.#waiting.next(context, skipped);
      if (next === undefined) {
        break;
      }
      const decision = this.#decide(next, pass);
      if (decision === undefined) {
        pass.ahead++;
        skipped.add(next.ask.askId);
      } else {
        this.#recordDecided(next, decision, context);
        decisions.push(decision);
      }
    }
    return decisions;
  }

  #recordDecided(
    { ask }: WaitingWork,
    decision: AskDecision,
    context: OrderContext,
  ): void {
    this.#priorities.recordDecided(ask, "targetId" in decision, {
      context,
      onTime: () => this.#waiting.onTime(ask, context),
    });
    this.#waiting.remove(ask.askId);
  }

  #beginPass(nowMs: number): SchedulingPass {
    return { ...this.#selector.snapshot(nowMs), ahead: 0 };
  }

  #decide(waiting: WaitingWork, pass: SchedulingPass): AskDecision | undefined {
    const { ask } = waiting;
    if (ask.version !== undefined) {
      return this.#decideAtVersion(waiting, pass);
    }
    const { targets } = pass;
    const excludedTargets = ask.excluded.flatMap((targetId) =>
      targets.get(targetId) ?? []
    );
    if (excludedTargets.length === targets.size) {
      return noTargetRefusal(ask, targets.size);
    }
    const { suspects } = this.#board;
    const heldForMs = suspects.quarantineLeftMs(ask, pass.nowMs);
    if (heldForMs > 0) {
      return quarantineRefusal(ask, heldForMs);
    }
    const canaryChoice = this.#selector.chooseCanary(waiting, pass);
    if (canaryChoice !== undefined) {
      pass.canary = [];
      return this.#placeAt(waiting, canaryChoice, pass);
    }
    const choice = this.#selector.choose(waiting, pass);
    if (choice !== undefined) {
      return this.#selector.isWorthWaiting(waiting, choice, pass)
        ? undefined
        : this.#placeAt(waiting, choice, pass);
    }
    const slots = this.#slots.usableFor(ask, excludedTargets, pass);
    return this.#refuseIfTooLate(waiting, {
      slots: Math.max(MIN_SLOTS, slots),
      ahead: pass.ahead,
      nowMs: pass.nowMs,
    });
  }

  /** Decides a request that only targets of one version may run. */
  #decideAtVersion(
    waiting: WaitingWork,
    pass: SchedulingPass,
  ): AskDecision | undefined {
    const { ask } = waiting;
    const { nowMs } = pass;
    const candidates = this.#selector.ofVersion(ask, nowMs);
    if (candidates.length === 0) {
      return versionRefusal(ask);
    }
    const { suspects } = this.#board;
    const heldForMs = suspects.quarantineLeftMs(ask, nowMs);
    if (heldForMs > 0) {
      return quarantineRefusal(ask, heldForMs);
    }
    const choice = this.#selector.chooseAmong(waiting, candidates, nowMs);
    if (choice !== undefined) {
      return this.#placeAt(waiting, choice, pass);
    }
    const slots = Math.max(MIN_SLOTS, this.#slots.ofAll(candidates));
    // Requests ahead can go to targets of other versions.
    return this.#refuseIfTooLate(waiting, { slots, ahead: 0, nowMs });
  }

  /** Refuses a request whose predicted wait exceeds its caller's patience. */
  #refuseIfTooLate(
    { ask, waitingSinceMs }: WaitingWork,
    { slots, ahead, nowMs }: { slots: number; ahead: number; nowMs: number },
  ): AskDecision | undefined {
    const available = this.#slots.available(ask.rank, slots, nowMs);
    const { holdMs } = this.#priorities;
    const waitMs = (ahead + 1) * holdMs / available;
    const leftMs = ask.patienceLeftMs - (nowMs - waitingSinceMs);
    if (waitMs <= leftMs) {
      return undefined;
    }
    const estimate = { ahead, slots, available, holdMs, waitMs, leftMs };
    return overloadRefusal(ask, estimate);
  }

  #placeAt(
    waiting: WaitingWork,
    choice: Choice,
    pass: SchedulingPass,
  ): AskDecision {
    const { ask, cameBackMs } = waiting;
    const { targetId } = choice.target;
    const { askId, holderId, rank, promptTokens, outputTokens } = ask;
    const work = {
      askId,
      holderId,
      targetId,
      rank,
      promptTokens,
      outputTokens,
      placedAtMs: pass.nowMs,
      tokensAhead: this.#placed.use(targetId).tokensAhead,
      expectedMs: choice.firstMs,
      cameBackMs,
      firstSeen: false,
      crashKeys: ask.fingerprint === undefined
        ? undefined
        : { fingerprint: ask.fingerprint, promptParts: ask.promptParts },
      ...(this.#board.suspects.isSuspect(ask)
        ? { isTrial: true as const }
        : undefined),
      streamKey: ask.streamKey,
      version: choice.target.version,
      route: ask.route,
    };
    this.#placed.put(work);
    this.#priorities.recordPlaced(ask, choice.slotMs, pass.nowMs);
    this.#limiter.consume(targetId, pass.nowMs);
    this.#unusable.placed(targetId, ask.failureDomain, pass.nowMs);
    this.#board.rollouts.placed(choice.target);
    return decisionOf(work);
  }
}
