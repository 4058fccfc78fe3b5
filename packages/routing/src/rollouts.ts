/**
 * The roll-outs that this instance knows of: which targets may get requests, and
 * how a roll-out goes on.
 *
 * The new version's part of the requests is bounded by its rate, not by a count:
 * whoever takes over, or serves a part that was cut off, goes on at the same rate
 * and never starts a budget anew.
 */

import type { KnownTarget } from "./target_directory.ts";
import {
  isFinal,
  isFurther,
  type RolloutNews,
  type RolloutOrder,
  RolloutPhase,
  RolloutState,
  STATE_OF,
} from "./rollout.ts";
import { nextPhase, PROMOTE_PART } from "./rollout_steps.ts";
import { type RolloutTargets, splitIn } from "./rollout_targets.ts";
import type { VersionAnswer } from "./version_answers.ts";
import { type VerdictFacts, VersionEvidence } from "./version_evidence.ts";

/** How much of a pool's requests a version may get that turns out to be bad. */
export interface ExposureBound {
  /** Part of the pool's requests from the order to its deadline. */
  readonly share: number;
  /** Requests beyond that. */
  readonly slack: number;
}

/**
 * Part of the bound that the canary uses. The rest is for what the new version
 * gets after its promotion, until it shows to be bad under the whole load.
 */
const CANARY_PART = 0.5;

/** Placements that a canary may be owed at once. */
const MOST_CREDIT = 2;

/** Time for which canary requests accrue at once, after a change of coordinator. */
const MOST_ACCRUED_MS = 1500;

/**
 * Time for which the canary's requests go to the same few targets, so that these
 * are as loaded as the old ones, before others take their turn.
 */
const CANARY_TURN_MS = 1000;

/** How long a finished roll-out is told of. */
const TELL_FINISHED_MS = 10_000;

/** What a roll-out's next step depends on, besides the answers. */
export interface RolloutFacts {
  readonly nowMs: number;
  /** Targets of the pool that may get new work, of any version. */
  readonly usable: readonly KnownTarget[];
  /** Requests that the old version's targets still work on. */
  readonly oldWork: number;
  /** Whether the outcome could be written. */
  readonly reachesStore: boolean;
}

/** A step that a roll-out has made. */
export interface RolloutStep {
  readonly order: RolloutOrder;
  readonly from: RolloutPhase;
  readonly to: RolloutPhase;
  readonly facts: VerdictFacts;
}

/** One roll-out. */
interface Rollout {
  readonly order: RolloutOrder;
  orderedAtMs: number;
  phase: RolloutPhase;
  /** When this instance came to know the phase. */
  phaseAtMs: number;
  readonly evidence: VersionEvidence;
  /** The pool's targets by version, as of the last change. */
  targets?: SplitTargets;
}

/** A list of targets, split by version. */
interface SplitTargets {
  readonly usable: readonly KnownTarget[];
  readonly old: readonly KnownTarget[];
  readonly new: readonly KnownTarget[];
}

const NONE: readonly KnownTarget[] = [];

/** Roll-outs by pool. */
export class Rollouts {
  #bound: ExposureBound;
  readonly #byPool = new Map<string, Rollout>();
  /** Versions that were ordered and not completed, by pool. */
  readonly #unproven = new Map<string, Set<string>>();
  /** Canary requests that are due, by pool. */
  readonly #credit = new Map<string, number>();
  #accruedAtMs = -Infinity;

  /** @param bound What a bad version may get at the most. */
  constructor(bound: ExposureBound) {
    this.#bound = bound;
  }

  /** @param bound What a bad version may get from now on. */
  setBound(bound: ExposureBound): void {
    this.#bound = bound;
  }

  /**
   * @param pool A pool.
   * @returns Whether its answers are compared: a roll-out is in progress.
   */
  isInProgress(pool: string): boolean {
    const rollout = this.#byPool.get(pool);
    return rollout !== undefined && !isFinal(rollout.phase);
  }

  /**
   * @param pool A pool.
   * @returns How far its roll-out has come, if there is one.
   */
  phaseOf(pool: string): RolloutPhase | undefined {
    return this.#byPool.get(pool)?.phase;
  }

  /** @returns Pools that have or had a roll-out. */
  pools(): string[] {
    return [...this.#byPool.keys()];
  }

  /**
   * @param pool A pool.
   * @returns The newest order for it, if there is any.
   */
  orderOf(pool: string): RolloutOrder | undefined {
    return this.#byPool.get(pool)?.order;
  }

  /**
   * @param pool A pool.
   * @param targets Its targets.
   * @returns Those of the version that the roll-out replaces.
   */
  oldTargets(pool: string, targets: readonly KnownTarget[]): KnownTarget[] {
    const version = this.#byPool.get(pool)?.order.version;
    return targets.filter((target) => target.version !== version);
  }

  /**
   * Takes in an order, or what is told of one.
   *
   * @param news The order and how far it is.
   * @param nowMs The local time.
   * @returns Whether it was news.
   */
  toldOf(news: RolloutNews, nowMs: number): boolean {
    const known = this.#byPool.get(news.pool);
    const isKnown = known?.order.version === news.version;
    if (!isKnown && (known?.order.rowVersion ?? -1) > news.rowVersion) {
      return false;
    }
    const { phase, ageMs, ...order } = news;
    if (known !== undefined && isKnown) {
      known.orderedAtMs = Math.min(known.orderedAtMs, nowMs - ageMs);
      const isNews = isFurther(phase, known.phase);
      if (isNews) {
        this.#enter(known, phase, nowMs);
      }
      return isNews;
    }
    const rollout = {
      order,
      orderedAtMs: nowMs - ageMs,
      phase,
      phaseAtMs: nowMs,
      evidence: new VersionEvidence(),
    };
    this.#byPool.set(news.pool, rollout);
    this.#noteProven(rollout);
    return true;
  }

  /**
   * The operators have taken an order back.
   *
   * @param pool The pool.
   * @param nowMs The local time.
   */
  withdrawn(pool: string, nowMs: number): void {
    const rollout = this.#byPool.get(pool);
    if (
      rollout !== undefined &&
      isFurther(RolloutPhase.RollingBack, rollout.phase)
    ) {
      this.#enter(rollout, RolloutPhase.RollingBack, nowMs);
    }
  }

  /**
   * Splits a pool's targets by what may get requests now.
   *
   * @param pool The pool.
   * @param usable Its targets that may get new work.
   * @param nowMs The local time.
   * @returns Those that serve, and those for a canary request that is due.
   */
  split(
    pool: string,
    usable: readonly KnownTarget[],
    nowMs: number,
  ): RolloutTargets {
    const rollout = this.#byPool.get(pool);
    if (rollout === undefined) {
      return { serving: usable, canary: NONE };
    }
    const targets = this.#versioned(rollout, usable);
    const isDue = rollout.phase === RolloutPhase.Canary &&
      (this.#credit.get(pool) ?? 0) >= 1;
    const canary = isDue
      ? this.#canaryGroup(rollout, targets.new, nowMs)
      : NONE;
    return splitIn(rollout.phase, { ...targets, canary });
  }

  /**
   * @param target A target that was chosen a moment ago, maybe elsewhere.
   * @returns Whether it may still get a request.
   */
  mayServe({ pool, version }: KnownTarget): boolean {
    const rollout = this.#byPool.get(pool);
    const isTakenBack = rollout?.phase === RolloutPhase.RollingBack ||
      rollout?.phase === RolloutPhase.RolledBack;
    return !isTakenBack || version !== rollout.order.version;
  }

  /**
   * Notes a placement, from which the canary's part is counted.
   *
   * @param target Where a request was placed.
   */
  placed({ pool, version }: KnownTarget): void {
    const rollout = this.#byPool.get(pool);
    if (rollout?.phase === RolloutPhase.Canary) {
      const isCanary = version === rollout.order.version;
      const due = CANARY_PART * this.#bound.share - Number(isCanary);
      this.#addCredit(pool, due);
    }
  }

  /**
   * Takes in how a target answered, while a roll-out of its pool is in progress.
   *
   * @param target The target.
   * @param answer Its answer.
   */
  answered(
    { pool, version, targetId }: KnownTarget,
    answer: Omit<VersionAnswer, "isCanary" | "targetId">,
  ): void {
    const rollout = this.#byPool.get(pool);
    if (rollout !== undefined && !isFinal(rollout.phase)) {
      const isCanary = version === rollout.order.version;
      rollout.evidence.add({ ...answer, targetId, isCanary });
    }
  }

  /**
   * Lets a roll-out go on; for the coordinator.
   *
   * @param pool The pool.
   * @param facts What its next step depends on.
   * @returns The step, where it made one.
   */
  advance(pool: string, facts: RolloutFacts): RolloutStep | undefined {
    const rollout = this.#byPool.get(pool);
    if (rollout === undefined || isFinal(rollout.phase)) {
      return undefined;
    }
    const { order, phase: from } = rollout;
    const targets = this.#versioned(rollout, facts.usable);
    const verdict = rollout.evidence.verdict({
      newTargetIds: targets.new.map(({ targetId }) => targetId),
      isPromoted: from === RolloutPhase.Promoting,
    });
    const { nowMs, oldWork, reachesStore } = facts;
    const to = nextPhase(from, {
      agePart: (nowMs - rollout.orderedAtMs) / order.withinMs,
      phaseAgeMs: nowMs - rollout.phaseAtMs,
      verdict: verdict.verdict,
      newSlots: slotsOf(targets.new),
      oldSlots: slotsOf(targets.old),
      oldWork,
      reachesStore,
    });
    if (to === from) {
      return undefined;
    }
    this.#enter(rollout, to, facts.nowMs);
    return { order, from, to, facts: verdict };
  }

  /**
   * The outcome of a roll-out is written, by this instance or another.
   *
   * @param pool The pool.
   * @param phase The phase that it is final in.
   * @param nowMs The local time.
   */
  written(pool: string, phase: RolloutPhase, nowMs: number): void {
    const rollout = this.#byPool.get(pool);
    if (rollout !== undefined && isFurther(phase, rollout.phase)) {
      this.#enter(rollout, phase, nowMs);
    }
  }

  /**
   * Spreads the canary's requests beyond its share over the time until the
   * promotion; for the coordinator alone.
   *
   * @param share Part of the fleet that it decides for.
   * @param nowMs The local time.
   */
  accrue(share: number, nowMs: number): void {
    const passedMs = Math.min(MOST_ACCRUED_MS, nowMs - this.#accruedAtMs);
    this.#accruedAtMs = nowMs;
    for (const [pool, { order, phase }] of this.#byPool) {
      if (phase === RolloutPhase.Canary) {
        const part = passedMs / (order.withinMs * PROMOTE_PART);
        const due = CANARY_PART * this.#bound.slack * share * part;
        this.#addCredit(pool, due);
      }
    }
  }

  /**
   * @param nowMs The local time.
   * @returns What other instances are to know.
   */
  toTell(nowMs: number): RolloutNews[] {
    return [...this.#byPool.values()]
      .filter(({ phase, phaseAtMs }) =>
        !isFinal(phase) || nowMs - phaseAtMs < TELL_FINISHED_MS
      ).map((rollout) => newsOf(rollout, nowMs));
  }

  /**
   * @param nowMs The local time.
   * @returns All that is known, for the fleet's record.
   */
  toRecord(nowMs: number): RolloutNews[] {
    return [...this.#byPool.values()]
      .map((rollout) => newsOf(rollout, nowMs));
  }

  #enter(rollout: Rollout, phase: RolloutPhase, nowMs: number): void {
    rollout.phase = phase;
    rollout.phaseAtMs = nowMs;
    this.#noteProven(rollout);
  }

  #noteProven(rollout: Rollout): void {
    const { order: { pool, version }, phase } = rollout;
    const unproven = this.#unproven.get(pool) ?? new Set();
    this.#unproven.set(pool, unproven);
    rollout.targets = undefined;
    // Once its outcome may be written, the version before it may be gone.
    if (STATE_OF[phase] === RolloutState.Completed) {
      unproven.delete(version);
    } else {
      unproven.add(version);
    }
  }

  /** A version that an earlier order brought in and did not complete is no base. */
  #versioned(
    rollout: Rollout,
    usable: readonly KnownTarget[],
  ): SplitTargets {
    if (rollout.targets?.usable === usable) {
      return rollout.targets;
    }
    const { pool, version } = rollout.order;
    const unproven = this.#unproven.get(pool);
    rollout.targets = {
      usable,
      old: usable.filter((target) =>
        target.version !== version && unproven?.has(target.version) !== true
      ),
      new: usable.filter((target) => target.version === version),
    };
    return rollout.targets;
  }

  /** As many targets as the canary's part of the requests loads fully, in turn. */
  #canaryGroup(
    { phaseAtMs }: Rollout,
    targets: readonly KnownTarget[],
    nowMs: number,
  ): readonly KnownTarget[] {
    const size = Math.ceil(CANARY_PART * this.#bound.share * targets.length);
    const turn = Math.floor((nowMs - phaseAtMs) / CANARY_TURN_MS);
    const begin = targets.length === 0 ? 0 : turn * size % targets.length;
    return [...targets, ...targets].slice(begin, begin + size);
  }

  #addCredit(pool: string, due: number): void {
    const credit = (this.#credit.get(pool) ?? 0) + due;
    this.#credit.set(pool, Math.min(MOST_CREDIT, credit));
  }
}

function slotsOf(targets: readonly KnownTarget[]): number {
  return targets.reduce((sum, { slots }) => sum + slots, 0);
}

function newsOf(
  { order, phase, orderedAtMs }: Rollout,
  nowMs: number,
): RolloutNews {
  return { ...order, phase, ageMs: nowMs - orderedAtMs };
}
