/** Which targets of one pool a request may go to now, and which suits it best. */

import { CandidateIndex, hasFreeSlot } from "./candidate_index.ts";
import type { PoolPolicy } from "./fleet_configuration.ts";
import type { RateLimiter } from "./rate_limiter.ts";
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
import { AskCause, type WorkAsk } from "./work_ask.ts";

/** The pool's targets at one moment. */
export interface TargetSnapshot {
  readonly nowMs: number;
  /** Targets that may get new work. */
  readonly targets: CandidateIndex;
  /** Targets of a new version for the next request, where it is to get one. */
  canary: readonly Candidate[];
}

/** What choices depend on. */
export interface TargetSelectorParts {
  readonly board: RoutingBoard;
  readonly placed: PlacedWorkIndex;
  readonly limiter: RateLimiter;
}

/** Chooses among the targets of one pool. */
export class TargetSelector {
  readonly #pool: string;
  readonly #board: RoutingBoard;
  readonly #placed: PlacedWorkIndex;
  readonly #limiter: RateLimiter;
  #targets?: CandidateIndex;
  /** What the index was made from. */
  #serving: readonly KnownTarget[] = [];
  #kvCapacityTokens?: number;

  /**
   * @param pool The pool's name.
   * @param parts What choices depend on.
   */
  constructor(pool: string, parts: TargetSelectorParts) {
    this.#pool = pool;
    this.#board = parts.board;
    this.#placed = parts.placed;
    this.#limiter = parts.limiter;
  }

  /**
   * @param targetId A target.
   * @param use What runs there by now.
   */
  updateUse(targetId: string, use: TargetUse): void {
    this.#targets?.updateUse(targetId, use);
  }

  /**
   * @param nowMs The local time.
   * @returns The targets that may get requests now.
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
   * What a target has failed already is not tried on a version on trial.
   *
   * @param ask A request.
   * @param look The targets.
   * @returns A target of the new version, where the request is to go there.
   */
  chooseCanary(
    ask: WorkAsk,
    { canary }: TargetSnapshot,
  ): Choice | undefined {
    const mayTry = ask.cause !== AskCause.Repeat &&
      !this.#board.suspects.isSuspect(ask.fingerprint);
    return canary.length > 0 && mayTry ? chooseTarget(ask, canary) : undefined;
  }

  /**
   * @param ask A request.
   * @param look The targets.
   * @returns The best that can take it; undefined where none can.
   */
  choose(ask: WorkAsk, { targets, nowMs }: TargetSnapshot): Choice | undefined {
    if (!targets.hasFree) {
      return undefined;
    }
    const chooseAmong = (free: readonly Candidate[]) =>
      chooseTarget(ask, this.#withinLimits(free, nowMs));
    if (this.#board.suspects.isSuspect(ask.fingerprint)) {
      return chooseAmong(this.#freeForTrial(ask, targets));
    }
    const sampled = targets.sampleFree(ask.failureDomain);
    const choice = chooseAmong(sampled);
    return choice === undefined && sampled.length < targets.freeCount
      ? chooseAmong(targets.allFree())
      : choice;
  }

  /** Leaves out targets that have used up their rate limits. */
  #withinLimits(
    candidates: readonly Candidate[],
    nowMs: number,
  ): readonly Candidate[] {
    return this.#board.rateLimits.isAny
      ? candidates.filter(({ target }) =>
        this.#limiter.allows(target.targetId, nowMs)
      )
      : candidates;
  }

  /**
   * A suspect runs at one target at a time and beside no other suspect: where
   * the target ends, it is known under which request.
   */
  #freeForTrial(
    { fingerprint }: WorkAsk,
    targets: CandidateIndex,
  ): readonly Candidate[] {
    return this.#placed.isOnTrial(fingerprint!)
      ? []
      : targets.allFree().filter(({ target }) =>
        !this.#placed.hasTrialAt(target.targetId)
      );
  }

  /**
   * @param waiting A request that waits.
   * @param choice The best target that is free.
   * @param look The targets.
   * @returns Whether it had better wait for another.
   */
  isWorthWaiting(
    waiting: WaitingWork,
    choice: Choice,
    { targets, nowMs }: TargetSnapshot,
  ): boolean {
    const leftMs = onTimeDeadlineMs(waiting) - nowMs;
    return isWorthWaiting(waiting.ask, choice, {
      candidates: () => this.#withinLimits(targets.all(), nowMs),
      leftMs,
    });
  }

  #candidate(target: KnownTarget): Candidate {
    const { targetId } = target;
    return {
      target,
      use: this.#placed.use(targetId),
      pace: this.#board.paces.of(targetId),
      kvCapacityTokens: this.#policy()?.engine?.kvCapacityTokens,
    };
  }

  #policy(): PoolPolicy | undefined {
    return this.#board.routes?.pool(this.#pool);
  }
}
