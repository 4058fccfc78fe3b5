/**
 * Roll-outs known to this instance: which targets may get requests, and
 * how a roll-out proceeds.
 *
 * The requests of a canary version are limited by rate and not by a count. A
 * new coordinator, or the coordinator of a partition, continues at the same
 * rate, so that no count has to be handed over and no budget starts again.
 */

import type { KnownTarget } from "./target_directory.ts";
import {
  type EarlierOrder,
  isFinal,
  isLater,
  type RolloutOrder,
  RolloutPhase,
  RolloutState,
  type RolloutUpdate,
  STATE_OF,
} from "./rollout.ts";
import { nextPhase, PROMOTION_AGE_RATIO } from "./rollout_steps.ts";
import { type RolloutTargets, splitIn } from "./rollout_targets.ts";
import type { VersionAnswer } from "./version_answers.ts";
import { type VerdictFacts, VersionEvidence } from "./version_evidence.ts";

/** Bound on the requests that a version gets which turns out to be bad. */
export interface ExposureBound {
  /** Share of the pool's requests from the order to its deadline. */
  readonly share: number;
  /** Number of requests that are allowed in addition to the share. */
  readonly slack: number;
}

/**
 * Fraction of the bound that the canary phase uses. The rest is for requests
 * after the promotion, until a version is found to be bad under the full load.
 */
const CANARY_BOUND_RATIO = 0.5;

/** Largest number of canary requests that may be due at a time. */
const MAX_CANARY_CREDIT = 2;

/**
 * Longest time for which canary requests accrue in one call. It bounds the
 * first call after a change of coordinator.
 */
const MAX_ACCRUAL_MS = 1500;

/**
 * Time for which canary requests go to the same few targets before they rotate
 * to others. It loads these targets as much as those of the old version.
 */
const CANARY_ROTATION_MS = 1000;

/** Earlier orders of a pool in an update, the newest. */
const MAX_EARLIER_ORDERS = 4;

/** Time for which updates of a finished roll-out are sent. */
const SEND_FINAL_MS = 10_000;

/** Inputs of a roll-out's next step, besides the recorded answers. */
export interface RolloutFacts {
  readonly nowMs: number;
  /** Targets of the pool, of any version, that may get new work. */
  readonly usable: readonly KnownTarget[];
  /** Requests in flight on targets of the old version. */
  readonly oldInFlight: number;
  /** Whether the store is reachable, so that the outcome can be written. */
  readonly reachesStore: boolean;
}

/** A change of phase of a roll-out. */
export interface RolloutStep {
  readonly order: RolloutOrder;
  readonly from: RolloutPhase;
  readonly to: RolloutPhase;
  readonly facts: VerdictFacts;
}

interface Rollout {
  readonly order: RolloutOrder;
  orderedAtMs: number;
  phase: RolloutPhase;
  /** When this instance entered the phase or received an update with it. */
  phaseAtMs: number;
  readonly evidence: VersionEvidence;
  /** Cached split of the pool's targets by version. */
  targets?: SplitTargets;
}

/** Usable targets of a pool, split by version. */
interface SplitTargets {
  /** The array that was split; the cache is valid for this array only. */
  readonly usable: readonly KnownTarget[];
  readonly old: readonly KnownTarget[];
  readonly new: readonly KnownTarget[];
}

const NONE: readonly KnownTarget[] = [];

/** All known roll-outs, one for each pool that has an order. */
export class Rollouts {
  #bound: ExposureBound;
  readonly #byPool = new Map<string, Rollout>();
  /** The newest known order of each version that was ordered, by pool. */
  readonly #orders = new Map<string, Map<string, EarlierOrder>>();
  /** Number of canary requests that are due, by pool. */
  readonly #canaryCredit = new Map<string, number>();
  #accruedAtMs = -Infinity;

  /** @param bound Bound on the requests of a bad version. */
  constructor(bound: ExposureBound) {
    this.#bound = bound;
  }

  /** @param bound Bound on the requests of a bad version from now on. */
  setBound(bound: ExposureBound): void {
    this.#bound = bound;
  }

  /**
   * @param pool A pool.
   * @returns Whether a roll-out of the pool is in progress, so that the answers
   * of its versions are compared.
   */
  isInProgress(pool: string): boolean {
    const rollout = this.#byPool.get(pool);
    return rollout !== undefined && !isFinal(rollout.phase);
  }

  /**
   * @param pool A pool.
   * @returns Phase of the pool's roll-out; undefined if there is none.
   */
  phaseOf(pool: string): RolloutPhase | undefined {
    return this.#byPool.get(pool)?.phase;
  }

  /** @returns Names of the pools that have or had a roll-out. */
  pools(): string[] {
    return [...this.#byPool.keys()];
  }

  /**
   * @param pool A pool.
   * @returns The newest order for the pool; undefined if there is none.
   */
  orderOf(pool: string): RolloutOrder | undefined {
    return this.#byPool.get(pool)?.order;
  }

  /**
   * @param pool A pool.
   * @param targets Targets of the pool.
   * @returns Those that don't have the version of the pool's order.
   */
  oldTargets(pool: string, targets: readonly KnownTarget[]): KnownTarget[] {
    const version = this.#byPool.get(pool)?.order.version;
    return targets.filter((target) => target.version !== version);
  }

  /**
   * Merges an order from the store, or an update of another instance or of the
   * store's record.
   *
   * @param update The order and the phase of the roll-out.
   * @param nowMs The local time.
   * @returns Whether the order is new or the phase advanced.
   */
  merge(update: RolloutUpdate, nowMs: number): boolean {
    const { phase, ageMs, earlier = [], ...order } = update;
    this.#recordOrders(update.pool, [...earlier, update].filter(isSettled));
    const known = this.#byPool.get(update.pool);
    const isKnown = known?.order.version === update.version;
    if (!isKnown && (known?.order.rowVersion ?? -1) > update.rowVersion) {
      return false;
    }
    if (known !== undefined && isKnown) {
      known.orderedAtMs = Math.min(known.orderedAtMs, nowMs - ageMs);
      const isAdvanced = isLater(phase, known.phase);
      if (isAdvanced) {
        this.#enter(known, phase, nowMs);
      }
      return isAdvanced;
    }
    const rollout = {
      order,
      orderedAtMs: nowMs - ageMs,
      phase,
      phaseAtMs: nowMs,
      evidence: new VersionEvidence(),
    };
    this.#byPool.set(update.pool, rollout);
    this.#recordOrders(update.pool, [update]);
    return true;
  }

  /**
   * Rolls back a roll-out whose order was withdrawn, unless its outcome is
   * being written or was written before.
   *
   * @param pool The pool.
   * @param nowMs The local time.
   */
  withdrawn(pool: string, nowMs: number): void {
    const rollout = this.#byPool.get(pool);
    if (
      rollout !== undefined &&
      isLater(RolloutPhase.RollingBack, rollout.phase)
    ) {
      this.#enter(rollout, RolloutPhase.RollingBack, nowMs);
    }
  }

  /**
   * Selects the targets of a pool that may get requests now.
   *
   * @param pool The pool.
   * @param usable Targets of the pool that may get new work.
   * @param nowMs The local time.
   * @returns The serving targets, and those for a canary request if one is due.
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
    const targets = this.#splitByVersion(rollout, usable);
    const isDue = rollout.phase === RolloutPhase.Canary &&
      (this.#canaryCredit.get(pool) ?? 0) >= 1;
    const canary = isDue
      ? this.#canaryGroup(rollout, targets.new, nowMs)
      : NONE;
    return splitIn(rollout.phase, { ...targets, canary });
  }

  /**
   * Checks a target that was chosen before, possibly on another instance.
   *
   * @param target The target.
   * @returns False if its version was rolled back.
   */
  mayServe({ pool, version }: KnownTarget): boolean {
    const rollout = this.#byPool.get(pool);
    const isRolledBack = rollout?.phase === RolloutPhase.RollingBack ||
      rollout?.phase === RolloutPhase.RolledBack;
    return !isRolledBack || version !== rollout.order.version;
  }

  /**
   * Records the placement of a request, from which the canary's share is
   * counted.
   *
   * @param target The target that got the request.
   */
  placed({ pool, version }: KnownTarget): void {
    const rollout = this.#byPool.get(pool);
    if (rollout?.phase === RolloutPhase.Canary) {
      const isCanary = version === rollout.order.version;
      const due = CANARY_BOUND_RATIO * this.#bound.share - Number(isCanary);
      this.#addCanaryCredit(pool, due);
    }
  }

  /**
   * Records an answer as evidence, if a roll-out of the pool is in progress.
   *
   * @param target The target that answered.
   * @param answer Outcome and time of the answer.
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
   * Moves a roll-out to its next phase if the conditions hold. Only the
   * coordinator calls it.
   *
   * @param pool The pool.
   * @param facts Inputs of the decision, besides the recorded answers.
   * @returns The change of phase; undefined if there is none.
   */
  advance(pool: string, facts: RolloutFacts): RolloutStep | undefined {
    const rollout = this.#byPool.get(pool);
    if (rollout === undefined || isFinal(rollout.phase)) {
      return undefined;
    }
    const { order, phase: from } = rollout;
    const targets = this.#splitByVersion(rollout, facts.usable);
    const verdict = rollout.evidence.verdict({
      newTargetIds: targets.new.map(({ targetId }) => targetId),
      isPromoted: from === RolloutPhase.Promoting,
    });
    const { nowMs, oldInFlight, reachesStore } = facts;
    const to = nextPhase(from, {
      ageRatio: (nowMs - rollout.orderedAtMs) / order.withinMs,
      phaseAgeMs: nowMs - rollout.phaseAtMs,
      verdict: verdict.verdict,
      newSlots: slotsOf(targets.new),
      oldSlots: slotsOf(targets.old),
      oldInFlight,
      reachesStore,
    });
    if (to === from) {
      return undefined;
    }
    this.#enter(rollout, to, facts.nowMs);
    return { order, from, to, facts: verdict };
  }

  /**
   * Records that the outcome of a roll-out was written, by any instance.
   *
   * @param pool The pool.
   * @param phase The final phase of the roll-out.
   * @param nowMs The local time.
   */
  written(pool: string, phase: RolloutPhase, nowMs: number): void {
    const rollout = this.#byPool.get(pool);
    if (rollout !== undefined && isLater(phase, rollout.phase)) {
      this.#enter(rollout, phase, nowMs);
    }
  }

  /**
   * Accrues canary requests of the bound's slack, evenly over the time until
   * the promotion. Only the coordinator calls it.
   *
   * @param share Share of the fleet that the coordinator decides for.
   * @param nowMs The local time.
   */
  accrue(share: number, nowMs: number): void {
    const passedMs = Math.min(MAX_ACCRUAL_MS, nowMs - this.#accruedAtMs);
    this.#accruedAtMs = nowMs;
    for (const [pool, { order, phase }] of this.#byPool) {
      if (phase === RolloutPhase.Canary) {
        const elapsedRatio = passedMs / (order.withinMs * PROMOTION_AGE_RATIO);
        const due = CANARY_BOUND_RATIO * this.#bound.slack * share *
          elapsedRatio;
        this.#addCanaryCredit(pool, due);
      }
    }
  }

  /**
   * @param nowMs The local time.
   * @param of Whether to add those that finished earlier, if a version was
   * rolled back: an instance that starts while the store is unreachable learns
   * of it from others only.
   * @returns Roll-outs in progress or finished recently, for other instances.
   */
  updatesToSend(
    nowMs: number,
    { includesRolledBack = false }: { includesRolledBack?: boolean } = {},
  ): RolloutUpdate[] {
    return [...this.#byPool.values()]
      .filter(({ phase, phaseAtMs, order: { pool } }) =>
        !isFinal(phase) || nowMs - phaseAtMs < SEND_FINAL_MS ||
        includesRolledBack && this.#hasRolledBack(pool)
      ).map((rollout) => this.#updateOf(rollout, nowMs));
  }

  #hasRolledBack(pool: string): boolean {
    return [...this.#orders.get(pool)?.values() ?? []]
      .some(({ phase }) => phase === RolloutPhase.RolledBack);
  }

  /**
   * @param nowMs The local time.
   * @returns All known roll-outs, for the fleet's record in the store.
   */
  updatesToStore(nowMs: number): RolloutUpdate[] {
    return [...this.#byPool.values()]
      .map((rollout) => this.#updateOf(rollout, nowMs));
  }

  #enter(rollout: Rollout, phase: RolloutPhase, nowMs: number): void {
    rollout.phase = phase;
    rollout.phaseAtMs = nowMs;
    const { pool, version, rowVersion } = rollout.order;
    this.#recordOrders(pool, [{ version, rowVersion, phase }]);
  }

  /** Keeps the latest phase of the newest order of each version. */
  #recordOrders(pool: string, orders: readonly EarlierOrder[]): void {
    const known = this.#orders.get(pool) ?? new Map<string, EarlierOrder>();
    this.#orders.set(pool, known);
    const rollout = this.#byPool.get(pool);
    for (const { version, rowVersion, phase } of orders) {
      const before = known.get(version);
      const isNews = before === undefined || rowVersion > before.rowVersion ||
        rowVersion === before.rowVersion && isLater(phase, before.phase);
      if (isNews) {
        known.set(version, { version, rowVersion, phase });
      }
      if (isNews && rollout !== undefined) {
        rollout.targets = undefined;
      }
    }
  }

  #updateOf(rollout: Rollout, nowMs: number): RolloutUpdate {
    const { order, phase, orderedAtMs } = rollout;
    const earlier = [...this.#orders.get(order.pool)?.values() ?? []]
      .filter((each) => each.version !== order.version && isSettled(each))
      .sort((a, b) => b.rowVersion - a.rowVersion)
      .slice(0, MAX_EARLIER_ORDERS);
    return {
      ...order,
      phase,
      ageMs: nowMs - orderedAtMs,
      ...(earlier.length > 0 ? { earlier } : undefined),
    };
  }

  /**
   * Once its completion may be written, targets of the old version may have
   * stopped, so that the version counts as proven.
   */
  #isUnproven(pool: string, version: string): boolean {
    const order = this.#orders.get(pool)?.get(version);
    return order !== undefined &&
      STATE_OF[order.phase] !== RolloutState.Completed;
  }

  /** Versions of earlier orders that did not complete don't count as old. */
  #splitByVersion(
    rollout: Rollout,
    usable: readonly KnownTarget[],
  ): SplitTargets {
    if (rollout.targets?.usable === usable) {
      return rollout.targets;
    }
    const { pool, version } = rollout.order;
    rollout.targets = {
      usable,
      old: usable.filter((target) =>
        target.version !== version && !this.#isUnproven(pool, target.version)
      ),
      new: usable.filter((target) => target.version === version),
    };
    return rollout.targets;
  }

  /** As many targets as canary requests load like the old ones, in rotation. */
  #canaryGroup(
    { phaseAtMs }: Rollout,
    targets: readonly KnownTarget[],
    nowMs: number,
  ): readonly KnownTarget[] {
    const size = Math.ceil(
      CANARY_BOUND_RATIO * this.#bound.share * targets.length,
    );
    const rotation = Math.floor((nowMs - phaseAtMs) / CANARY_ROTATION_MS);
    const start = targets.length === 0 ? 0 : rotation * size % targets.length;
    return [...targets, ...targets].slice(start, start + size);
  }

  #addCanaryCredit(pool: string, due: number): void {
    const credit = (this.#canaryCredit.get(pool) ?? 0) + due;
    this.#canaryCredit.set(pool, Math.min(MAX_CANARY_CREDIT, credit));
  }
}

/**
 * Whether the phase of an earlier order is known to be its last one. An
 * instance that was cut off may still report an earlier phase of an order that
 * was completed since.
 */
function isSettled({ phase }: Pick<EarlierOrder, "phase">): boolean {
  return isFinal(phase) || phase === RolloutPhase.Completing;
}

function slotsOf(targets: readonly KnownTarget[]): number {
  return targets.reduce((sum, { slots }) => sum + slots, 0);
}
