/** Runs a roll-out beside the faults of a seed, and checks it. */

import { setTimeout as pause } from "node:timers/promises";
import { DESK_POOL } from "@chestnuthatch/platform/standin_fleet";
import { TargetBehavior } from "@chestnuthatch/platform/target_behavior";
import type { BrokenPromise } from "./soak_checks.ts";
import { isStaying, type SoakFleet, type SoakTarget } from "./soak_fleet.ts";
import { EXPOSURE_SLACK } from "./soak_instance.ts";
import type { PlannedRollout } from "./soak_rollout_plan.ts";

/** Interval of reads of the roll-out's status. */
const POLL_MS = 20;

/** Time after a verdict by which all instances apply it. */
const PROPAGATION_MS = 3000;

/**
 * Largest share of requests that a bad version may get, in addition to a slack.
 */
const EXPOSURE_SHARE = 0.1;

/** Key of the row of the order, and of the row of its status. */
const ROLLOUT_KEY = `rollout/${DESK_POOL}`;
const VERSION = "v2";
const ROLLED_BACK = "rolled_back";
const COMPLETED = "completed";
const MS_PER_S = 1000;

/** Orders a roll-out, reads its status, and counts the version's requests. */
export class SoakRollout {
  readonly #fleet: SoakFleet;
  readonly #plan: PlannedRollout;
  readonly #states: string[] = [];
  #targets: SoakTarget[] = [];
  #orderedAtMs = 0;
  #endedAtMs = Infinity;
  /** Requests that the version had got once its verdict applied everywhere. */
  #exposedAtPropagation = 0;
  /** Requests that the version had got at the last poll. */
  #exposedAtPoll = 0;
  /** Requests that the version got while it was bad. */
  #exposedWhileBad = 0;

  /**
   * @param fleet Fleet whose plain pool gets the new version.
   * @param plan Times of the roll-out, and behavior of the version.
   */
  constructor(fleet: SoakFleet, plan: PlannedRollout) {
    this.#fleet = fleet;
    this.#plan = plan;
  }

  /**
   * Orders the roll-out at its time, and polls its status.
   *
   * @returns Settles once its time is over and all instances apply its outcome.
   */
  async run(): Promise<void> {
    const { atMs, withinMs, behavior, behaviorAfterMs } = this.#plan;
    await pause(atMs);
    this.#orderedAtMs = performance.now();
    const order = { service: DESK_POOL, to: VERSION };
    const stepS = withinMs / MS_PER_S;
    await this.#fleet.store.put("op", ROLLOUT_KEY, { ...order, stepS });
    this.#targets = await this.#fleet.startVersion(DESK_POOL, VERSION);
    const behaviorSet = pause(behaviorAfterMs).then(() =>
      this.#setBehavior(behavior)
    );
    while (performance.now() - this.#orderedAtMs < withinMs + PROPAGATION_MS) {
      await this.#poll();
      await pause(POLL_MS);
    }
    await behaviorSet;
  }

  /**
   * Checks the roll-out after it has run.
   *
   * @returns The broken promises.
   */
  findBroken(): BrokenPromise[] {
    const details = [
      ...this.#findChangedOutcome(),
      ...(this.#isBad
        ? [...this.#findOverexposure(), ...this.#findLateExposure()]
        : []),
    ];
    return details.map((detail) => ({
      promise: "a roll-out keeps to its bounds",
      requestId: "",
      instanceId: "",
      detail,
    }));
  }

  get #isBad(): boolean {
    return this.#plan.behavior !== TargetBehavior.Serve;
  }

  #setBehavior(behavior: TargetBehavior): void {
    for (const { target, faultSpans } of this.#targets) {
      target.behavior = behavior;
      if (this.#isBad) {
        faultSpans.push({ fromMs: performance.now(), untilMs: Infinity });
      }
    }
  }

  async #poll(): Promise<void> {
    const row = await this.#fleet.store.readContent("status", ROLLOUT_KEY);
    const { state } = (row ?? {}) as { state?: string };
    if (state !== undefined && state !== this.#states.at(-1)) {
      this.#states.push(state);
      this.#onState(state);
    }
    if (performance.now() < this.#endedAtMs + PROPAGATION_MS) {
      this.#exposedAtPropagation = this.#exposedRequests();
    }
    this.#countWhileBad();
  }

  /**
   * Counts requests since the last poll. A version is bad while at least half
   * of its staying targets fail: the end of another fault may make some serve
   * again.
   */
  #countWhileBad(): void {
    const exposed = this.#exposedRequests();
    const staying = this.#targets.filter(isStaying);
    const failing = staying.filter(({ target }) =>
      target.behavior !== TargetBehavior.Serve
    );
    if (2 * failing.length >= staying.length) {
      this.#exposedWhileBad += exposed - this.#exposedAtPoll;
    }
    this.#exposedAtPoll = exposed;
  }

  /** Handles a new state; completion stops the old targets at once. */
  #onState(state: string): void {
    if (state === ROLLED_BACK) {
      this.#endedAtMs = performance.now();
      this.#targets.forEach((target) => target.isRolledBack = true);
    }
    if (state === COMPLETED) {
      this.#fleet.stopOtherTargets(DESK_POOL, this.#targets);
    }
  }

  #exposedRequests(): number {
    return this.#targets
      .reduce((sum, { target }) => sum + target.receivedRequests.length, 0);
  }

  #findChangedOutcome(): string[] {
    const outcomes = this.#states.filter((state) => state !== "running");
    return outcomes.length > 1 ? [`outcomes ${outcomes.join()}`] : [];
  }

  /** Checks the requests to a version that is bad from its first answer on. */
  #findOverexposure(): string[] {
    const pool = this.#fleet.targets.filter(({ pool }) => pool === DESK_POOL);
    const total = pool.reduce(
      (sum, { target }) => sum + target.receivedRequests.length,
      0,
    );
    const allowed = EXPOSURE_SHARE * total + EXPOSURE_SLACK;
    const isBadFromStart = this.#plan.behaviorAfterMs === 0;
    this.#countWhileBad();
    return isBadFromStart && this.#exposedWhileBad > allowed
      ? [`${this.#exposedWhileBad} of ${total} at the bad version`]
      : [];
  }

  #findLateExposure(): string[] {
    const later = this.#exposedRequests() - this.#exposedAtPropagation;
    return this.#endedAtMs < Infinity && later > 0
      ? [`${later} at a version that was rolled back`]
      : [];
  }
}
