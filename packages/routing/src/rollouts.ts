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
} from "./rollout.ts";
import {
  Verdict,
  type VerdictFacts,
  type VersionAnswer,
  VersionEvidence,
} from "./version_evidence.ts";

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

/**
 * Time for which the canary's requests go to the same few targets, so that these
 * are as loaded as the old ones, before others take their turn.
 */
const CANARY_TURN_MS = 1000;

/** Part of a roll-out's time after which a sound version is promoted. */
const PROMOTE_PART = 0.5;

/** The same, by which the outcome is to be written. */
const FINISH_PART = 0.85;

/** Least time under the whole load before a roll-out is completed. */
const MIN_PROMOTION_MS = 1500;

/** Part of the old version's slots that the new one must have to be promoted. */
const MIN_CAPACITY_PART = 0.7;

/** Times a roll-out's own time after which one without a verdict is taken back. */
const GIVE_UP_PART = 3;

/** How long a finished roll-out is told of. */
const TELL_FINISHED_MS = 10_000;

/** A pool's targets, by what a roll-out makes of them. */
export interface RolloutTargets {
  /** Those that get the pool's requests. */
  readonly serving: readonly KnownTarget[];
  /** Those that get the next canary request, where one is due; else none. */
  readonly canary: readonly KnownTarget[];
}

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

/** What a phase's handler decides by. */
interface StepInput {
  readonly rollout: Rollout;
  readonly facts: RolloutFacts;
  readonly verdict: Verdict;
  readonly newSlots: number;
  readonly oldSlots: number;
}

type Advance = (input: StepInput) => RolloutPhase;

const ADVANCE: Readonly<Record<RolloutPhase, Advance>> = {
  [RolloutPhase.Pending]: (input) => {
    if (input.newSlots > 0) {
      return RolloutPhase.Canary;
    }
    return isGivenUp(input) ? RolloutPhase.RollingBack : RolloutPhase.Pending;
  },
  [RolloutPhase.Canary]: (input) => {
    if (input.verdict === Verdict.Bad || isGivenUp(input)) {
      return RolloutPhase.RollingBack;
    }
    return mayPromote(input) ? RolloutPhase.Promoting : RolloutPhase.Canary;
  },
  [RolloutPhase.Promoting]: (input) => {
    if (input.verdict === Verdict.Bad) {
      return RolloutPhase.RollingBack;
    }
    return mayComplete(input)
      ? RolloutPhase.Completing
      : RolloutPhase.Promoting;
  },
  [RolloutPhase.Completing]: () => RolloutPhase.Completing,
  [RolloutPhase.Completed]: () => RolloutPhase.Completed,
  [RolloutPhase.RollingBack]: () => RolloutPhase.RollingBack,
  [RolloutPhase.RolledBack]: () => RolloutPhase.RolledBack,
};

type Split = (targets: VersionedTargets) => RolloutTargets;

/** A pool's usable targets by version. */
interface VersionedTargets {
  readonly old: readonly KnownTarget[];
  readonly new: readonly KnownTarget[];
  readonly canary: readonly KnownTarget[];
}

const NONE: readonly KnownTarget[] = [];

/** A version on trial serves alone only where the old one is gone. */
const oldBesideCanary: Split = (targets) =>
  targets.old.length > 0
    ? { serving: targets.old, canary: targets.canary }
    : { serving: targets.new, canary: NONE };

const onlyOld: Split = ({ old }) => ({ serving: old, canary: NONE });

/** Where the one version is gone, the other serves. */
const newOrOld: Split = (targets) => ({
  serving: targets.new.length > 0 ? targets.new : targets.old,
  canary: NONE,
});

const SPLIT: Readonly<Record<RolloutPhase, Split>> = {
  [RolloutPhase.Pending]: onlyOld,
  [RolloutPhase.Canary]: oldBesideCanary,
  [RolloutPhase.Promoting]: newOrOld,
  [RolloutPhase.Completing]: newOrOld,
  [RolloutPhase.Completed]: newOrOld,
  [RolloutPhase.RollingBack]: onlyOld,
  [RolloutPhase.RolledBack]: onlyOld,
};

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
    return SPLIT[rollout.phase]({ ...targets, canary });
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
      newTargets: targets.new.length,
      isPromoted: from === RolloutPhase.Promoting,
    });
    const to = ADVANCE[from]({
      rollout,
      facts,
      verdict: verdict.verdict,
      newSlots: slotsOf(targets.new),
      oldSlots: slotsOf(targets.old),
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
    const passedMs = Math.min(MIN_PROMOTION_MS, nowMs - this.#accruedAtMs);
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
    if (phase === RolloutPhase.Completed) {
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

function mayPromote(
  { rollout, facts, verdict, newSlots, oldSlots }: StepInput,
): boolean {
  const { orderedAtMs, order } = rollout;
  return verdict === Verdict.Sound && facts.reachesStore &&
    newSlots >= MIN_CAPACITY_PART * oldSlots &&
    facts.nowMs - orderedAtMs >= PROMOTE_PART * order.withinMs;
}

/** All old work is done, or there is no time left to wait for it. */
function mayComplete({ rollout, facts }: StepInput): boolean {
  const { orderedAtMs, phaseAtMs, order } = rollout;
  const { nowMs, oldWork, reachesStore } = facts;
  const isDue = nowMs - orderedAtMs >= FINISH_PART * order.withinMs;
  return reachesStore && nowMs - phaseAtMs >= MIN_PROMOTION_MS &&
    (oldWork === 0 || isDue);
}

function isGivenUp({ rollout, facts }: StepInput): boolean {
  const { orderedAtMs, order } = rollout;
  return facts.nowMs - orderedAtMs >= GIVE_UP_PART * order.withinMs;
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
