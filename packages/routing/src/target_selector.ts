/** Selects the target for a request among the usable targets of one pool. */

import { CandidateIndex, hasFreeSlot } from "./candidate_index.ts";
import type { PoolPolicy } from "./fleet_configuration.ts";
import type { RateLimiter } from "./rate_limiter.ts";
import type { RejectionLimiter } from "./rejection_limiter.ts";
import type { PlacedWorkIndex } from "./placed_work_index.ts";
import { onTimeDeadlineMs, type WaitingWork } from "./queue_order.ts";
import type { RoutingBoard } from "./routing_board.ts";
import {
  type Candidate,
  type Choice,
  chooseTarget,
  isWorthWaiting,
  type TargetUse,
} from "./target_choice.ts";
import type { KnownTarget } from "./target_directory.ts";
import type { Trials } from "./trials.ts";
import type { UnusableTargets } from "./unusable_targets.ts";
import { AskCause, type WorkAsk } from "./work_ask.ts";

/** The pool's usable targets at one moment. */
export interface TargetSnapshot {
  readonly nowMs: number;
  /** Targets that may be given new work. */
  readonly targets: CandidateIndex;
  /**
   * Targets of a new version with a free slot; empty unless the next request is
   * a canary request.
   */
  canary: readonly Candidate[];
  /** Sets of paused targets beside which no target has a free slot any more. */
  exhausted?: Set<ReadonlySet<string>>;
}

/** State that a target selector reads. */
export interface TargetSelectorParts {
  readonly board: RoutingBoard;
  readonly placed: PlacedWorkIndex;
  readonly trials: Trials;
  readonly limiter: RateLimiter;
  readonly rejections: RejectionLimiter;
  readonly unusable: UnusableTargets;
}

/** Selects targets of one pool. */
export class TargetSelector {
  readonly #pool: string;
  readonly #board: RoutingBoard;
  readonly #placed: PlacedWorkIndex;
  readonly #trials: Trials;
  readonly #limiter: RateLimiter;
  readonly #rejections: RejectionLimiter;
  readonly #unusable: UnusableTargets;
  #targets?: CandidateIndex;
  /** Targets that the index was built from. */
  #serving: readonly KnownTarget[] = [];
  #kvCapacityTokens?: number;

  /**
   * @param pool The pool's name.
   * @param parts State that the selector reads.
   */
  constructor(pool: string, parts: TargetSelectorParts) {
    this.#pool = pool;
    this.#board = parts.board;
    this.#placed = parts.placed;
    this.#trials = parts.trials;
    this.#limiter = parts.limiter;
    this.#rejections = parts.rejections;
    this.#unusable = parts.unusable;
  }

  /**
   * Updates the use of a target.
   *
   * @param targetId Id of the target.
   * @param use Sums over the work that runs there now.
   */
  updateUse(targetId: string, use: TargetUse): void {
    this.#targets?.updateUse(targetId, use);
  }

  /**
   * Returns the targets that may be given requests now.
   *
   * @param nowMs Current local time in milliseconds.
   * @returns The serving targets, and the canary targets if the next request is
   * a canary request.
   */
  snapshot(nowMs: number): TargetSnapshot {
    const { targets, rollouts } = this.#board;
    const { serving, canary } = rollouts
      .split(this.#pool, targets.usable(this.#pool, nowMs), nowMs);
    return {
      nowMs,
      targets: this.#index(serving),
      canary: this.#withinLimits(
        canary.map((target) => this.#candidate(target)).filter(hasFreeSlot),
        nowMs,
      ),
    };
  }

  #index(serving: readonly KnownTarget[]): CandidateIndex {
    const kvCapacityTokens = this.#policy()?.engine?.kvCapacityTokens;
    const isCurrent = serving === this.#serving &&
      kvCapacityTokens === this.#kvCapacityTokens;
    if (this.#targets === undefined || !isCurrent) {
      this.#serving = serving;
      this.#kvCapacityTokens = kvCapacityTokens;
      this.#targets = new CandidateIndex(
        serving.map((target) => this.#candidate(target)),
      );
    }
    return this.#targets;
  }

  /**
   * Chooses a canary target for a request. A request that a target has failed
   * already is not sent to a version under evaluation.
   *
   * @param waiting The request.
   * @param snapshot The pool's usable targets.
   * @returns A target of the new version; undefined if the request is to go to
   * the serving targets.
   */
  chooseCanary(
    waiting: WaitingWork,
    { canary, targets, nowMs }: TargetSnapshot,
  ): Choice | undefined {
    const { ask } = waiting;
    const mayTry = ask.cause !== AskCause.Repeat &&
      !this.#board.suspects.isSuspect(ask);
    const isHeld = targets.hasFree &&
      this.#withoutHeld(canary, nowMs).length === 0;
    return canary.length > 0 && mayTry && !isHeld
      ? this.#chooseFastest(waiting, canary, nowMs)
      : undefined;
  }

  /**
   * Chooses a serving target for a request.
   *
   * @param waiting The request.
   * @param snapshot The pool's usable targets.
   * @returns The chosen target, see {@link chooseTarget}; undefined where none
   * can take it now.
   */
  choose(waiting: WaitingWork, snapshot: TargetSnapshot): Choice | undefined {
    const { ask } = waiting;
    const { targets, nowMs } = snapshot;
    if (!targets.hasFree) {
      return undefined;
    }
    const paused = this.pausedFor(ask, snapshot);
    if (paused !== undefined && isExhausted(paused, snapshot)) {
      return undefined;
    }
    const chooseFrom = (free: readonly Candidate[]) =>
      this.#chooseFree(waiting, withoutPaused(free, paused), nowMs);
    if (this.#board.suspects.isSuspect(ask)) {
      return chooseFrom(targets.allFree());
    }
    const sampled = targets.sampleFree(ask.failureDomain);
    const choice = chooseFrom(sampled);
    return choice === undefined && sampled.length < targets.freeCount
      ? chooseFrom(targets.allFree())
      : choice;
  }

  /**
   * Checks whether any target can be given a request now.
   *
   * @param snapshot The pool's usable targets.
   * @returns Whether a target has a free slot that is not paused for all.
   */
  hasFree({ targets, nowMs }: TargetSnapshot): boolean {
    return targets.hasFree &&
      hasFreeBeside(this.#unusable.pausedForAll(nowMs), targets);
  }

  /**
   * Finds the targets that are to get no requests of the asking holder's
   * failure domain, as holders could not use them.
   *
   * @param ask The request.
   * @param snapshot The pool's usable targets.
   * @returns Ids of the targets, of all pools; undefined if there are none, or
   * if they are all that the request is not excluded from.
   */
  pausedFor(
    { failureDomain, excluded }: WorkAsk,
    { targets, nowMs }: TargetSnapshot,
  ): ReadonlySet<string> | undefined {
    const paused = this.#unusable.pausedFor(failureDomain, nowMs);
    if (
      paused === undefined || paused.size + excluded.length < targets.size
    ) {
      return paused;
    }
    const isAnyLeft = targets.all().some(({ target: { targetId } }) =>
      !paused.has(targetId) && !excluded.includes(targetId)
    );
    return isAnyLeft ? paused : undefined;
  }

  /**
   * Finds the targets of the version that began a stream. They may go on with
   * it whatever share of the pool's requests a roll-out gives them.
   *
   * @param ask The request, which names a version.
   * @param nowMs Current local time in milliseconds.
   * @returns Usable targets that the request is not excluded from; those that
   * are not paused if there are any.
   */
  ofVersion(
    { version, excluded, failureDomain }: WorkAsk,
    nowMs: number,
  ): readonly Candidate[] {
    const { targets, rollouts } = this.#board;
    const candidates = targets.usable(this.#pool, nowMs).filter((target) =>
      target.version === version && rollouts.mayServe(target) &&
      !excluded.includes(target.targetId)
    ).map((target) => this.#candidate(target));
    const paused = this.#unusable.pausedFor(failureDomain, nowMs);
    const others = withoutPaused(candidates, paused);
    return others.length > 0 ? others : candidates;
  }

  /**
   * Chooses among some targets for a request.
   *
   * @param waiting The request.
   * @param candidates Targets that may be given the request.
   * @param nowMs Current local time in milliseconds.
   * @returns The chosen target, see {@link chooseTarget}; undefined where none
   * can take it now.
   */
  chooseAmong(
    waiting: WaitingWork,
    candidates: readonly Candidate[],
    nowMs: number,
  ): Choice | undefined {
    return this.#chooseFree(waiting, candidates.filter(hasFreeSlot), nowMs);
  }

  #chooseFree(
    waiting: WaitingWork,
    free: readonly Candidate[],
    nowMs: number,
  ): Choice | undefined {
    const { ask } = waiting;
    const allowed = this.#board.suspects.isSuspect(ask)
      ? this.#trials.targetsForTrial(ask, free, nowMs)
      : this.#trials.targetsBesideTrials(free, nowMs);
    const withinLimits = this.#withinLimits(allowed, nowMs);
    return this.#chooseFastest(waiting, withinLimits, nowMs);
  }

  /** Chooses a target that is held back only if no other one is free. */
  #chooseFastest(
    waiting: WaitingWork,
    free: readonly Candidate[],
    nowMs: number,
  ): Choice | undefined {
    const { ask } = waiting;
    const { targetLoads, members } = this.#board;
    const of = {
      slowdownOf: targetLoads.slowdownsAt(nowMs),
      leftMs: members.isFullMesh
        ? undefined
        : onTimeDeadlineMs(waiting) - nowMs,
    };
    const preferred = this.#withoutHeld(free, nowMs);
    const choice = chooseTarget(ask, preferred, of);
    return choice === undefined && preferred.length < free.length
      ? chooseTarget(ask, free, of)
      : choice;
  }

  /** Leaves out targets at which requests of unknown origin wait. */
  #withoutHeld(
    candidates: readonly Candidate[],
    nowMs: number,
  ): readonly Candidate[] {
    const { targetLoads } = this.#board;
    return targetLoads.hasHeld
      ? candidates.filter(({ target }) =>
        !targetLoads.isHeld(target.targetId, nowMs)
      )
      : candidates;
  }

  /** Leaves out targets that must not be given another request now. */
  #withinLimits(
    candidates: readonly Candidate[],
    nowMs: number,
  ): readonly Candidate[] {
    const withinRates = this.#board.rateLimits.hasLimits
      ? candidates.filter(({ target }) =>
        this.#limiter.allows(target.targetId, nowMs)
      )
      : candidates;
    return this.#rejections.hasLimits
      ? withinRates.filter(({ target: { targetId } }) =>
        this.#rejections.allows(targetId, {
          outstanding: () => this.#placed.unconfirmedCount(targetId),
          nowMs,
        })
      )
      : withinRates;
  }

  /**
   * Decides whether a request should stay queued for a faster target.
   *
   * @param waiting The queued request.
   * @param choice The best target with a free slot.
   * @param snapshot The pool's usable targets.
   * @returns True if it would miss its objective at the free target and meet it
   * at a busy one.
   */
  isWorthWaiting(
    waiting: WaitingWork,
    choice: Choice,
    snapshot: TargetSnapshot,
  ): boolean {
    const { targets, nowMs } = snapshot;
    const leftMs = onTimeDeadlineMs(waiting) - nowMs;
    return isWorthWaiting(waiting.ask, choice, {
      candidates: () =>
        this.#withoutHeld(
          withoutPaused(
            this.#withinLimits(targets.all(), nowMs),
            this.pausedFor(waiting.ask, snapshot),
          ),
          nowMs,
        ),
      leftMs,
      slowdownOf: this.#board.targetLoads.slowdownsAt(nowMs),
    });
  }

  #candidate(target: KnownTarget): Candidate {
    const { targetId } = target;
    return {
      target,
      use: this.#placed.use(targetId),
      latencyModel: this.#board.latencyModels.of(targetId),
      kvCapacityTokens: this.#policy()?.engine?.kvCapacityTokens,
    };
  }

  #policy(): PoolPolicy | undefined {
    return this.#board.routes?.pool(this.#pool);
  }
}

function hasFreeBeside(
  paused: Iterable<string>,
  targets: CandidateIndex,
): boolean {
  let pausedCount = 0;
  for (const targetId of paused) {
    const candidate = targets.get(targetId);
    pausedCount += Number(candidate !== undefined && hasFreeSlot(candidate));
  }
  return targets.freeCount > pausedCount;
}

/** Checks that once a pass, in which free slots only become fewer. */
function isExhausted(
  paused: ReadonlySet<string>,
  snapshot: TargetSnapshot,
): boolean {
  snapshot.exhausted ??= new Set();
  if (!snapshot.exhausted.has(paused)) {
    if (hasFreeBeside(paused, snapshot.targets)) {
      return false;
    }
    snapshot.exhausted.add(paused);
  }
  return true;
}

function withoutPaused(
  candidates: readonly Candidate[],
  paused: ReadonlySet<string> | undefined,
): readonly Candidate[] {
  return paused === undefined
    ? candidates
    : candidates.filter(({ target }) => !paused.has(target.targetId));
}
