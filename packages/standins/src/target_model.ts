/**
 * Base class of the simulated engines and services: process lifetime, clock,
 * load reports and counts.
 */

import type { TargetLoad } from "@chestnuthatch/wire/shared_types";
import {
  LoadHistory,
  type LoadHistoryOptions,
  type LoadSample,
} from "./load_history.ts";
import type { SteppedModel } from "./model_timer.ts";
import { increaseCount, type TargetCounts } from "./target_counts.ts";

/** An output of a target, with the time of its emission. */
export interface TimedOutput {
  readonly atMs: number;
}

/** The part of a load sample that each kind of target computes itself. */
export type CurrentLoad = Omit<LoadSample, "atMs" | "leaving">;

/**
 * Simulated target without sockets or timers; the caller advances its clock.
 */
export abstract class TargetModel<
  Counts extends TargetCounts,
  Output extends TimedOutput,
> implements SteppedModel {
  /** Counts since the target was constructed; a restart keeps them. */
  readonly counts: Counts;
  readonly #loadHistory: LoadHistory;
  #outputs: Output[] = [];
  #leavingSinceMs: number | undefined;
  #isRunning = true;
  /** Time up to which the model has been advanced. */
  protected nowMs = 0;
  /** Factor by which the target is slower than its configured rates. */
  protected slowdown = 1;

  /**
   * @param load Constant figures of its load reports, and their age.
   * @param counts The target's counts, all zero.
   */
  constructor(load: LoadHistoryOptions, counts: Counts) {
    this.#loadHistory = new LoadHistory(load);
    this.counts = counts;
  }

  /** @returns Whether the target's process is running. */
  get isRunning(): boolean {
    return this.#isRunning;
  }

  /**
   * Advances the clock.
   *
   * @param nowMs The time now.
   * @returns The outputs since the last call, in time order.
   */
  advance(nowMs: number): Output[] {
    this.advanceTo(nowMs);
    const outputs = this.#outputs;
    this.#outputs = [];
    return outputs;
  }

  /**
   * @returns When {@link TargetModel.advance} next returns an output, or
   * undefined for never.
   */
  nextOutputAtMs(): number | undefined {
    return this.#outputs.at(0)?.atMs ?? this.nextStepAtMs();
  }

  /**
   * Reports the load as it was one reporting lag ago.
   *
   * @param nowMs The time now.
   * @returns The delayed load report.
   */
  load(nowMs: number): TargetLoad {
    this.advanceTo(nowMs);
    return this.#loadHistory.report(this.nowMs);
  }

  /**
   * Makes the target a straggler, or restores its configured rates.
   *
   * @param factor Factor by which it is slower; 1 restores the rates.
   * @param nowMs The time now.
   */
  abstract setSlowdown(factor: number, nowMs: number): void;

  /**
   * Sets whether the target reports that it is leaving. A leaving target still
   * accepts requests.
   *
   * @param leaving Whether it is leaving.
   * @param nowMs The time now.
   */
  setLeaving(leaving: boolean, nowMs: number): void {
    this.advanceTo(nowMs);
    this.#leavingSinceMs = leaving ? this.nowMs : undefined;
    this.recordLoad();
  }

  /**
   * Ends the target's process. All work and state are lost without an output.
   *
   * @param nowMs The time now.
   */
  kill(nowMs: number): void {
    this.advanceTo(nowMs);
    this.discardWork();
    this.#loadHistory.clear();
    this.#isRunning = false;
  }

  /**
   * Restarts the target's process with no work.
   *
   * @param nowMs The time now.
   */
  restart(nowMs: number): void {
    this.#isRunning = true;
    this.#leavingSinceMs = undefined;
    this.slowdown = 1;
    this.advanceTo(nowMs);
    this.recordLoad();
  }

  /** @param nowMs Time up to which the work is simulated. */
  protected abstract advanceTo(nowMs: number): void;

  /** @returns When the next step of the work ends, or undefined for never. */
  protected abstract nextStepAtMs(): number | undefined;

  /** @returns The load of the target's work now. */
  protected abstract currentLoad(): CurrentLoad;

  /** Discards all work and state that end with the process. */
  protected abstract discardWork(): void;

  /**
   * Counts a dispatch, if the target's process is running.
   *
   * @param requestId Id of the dispatched request.
   * @param nowMs The time now.
   * @returns False when the process is down, so that nothing was received.
   */
  protected countDispatch(requestId: string, nowMs: number): boolean {
    if (!this.#isRunning) {
      return false;
    }
    this.advanceTo(nowMs);
    increaseCount(this.counts.dispatchesByRequestId, requestId);
    if (this.#leavingSinceMs !== undefined) {
      const leavingForMs = this.nowMs - this.#leavingSinceMs;
      this.counts.dispatchesAfterLeavingMs.push(leavingForMs);
    }
    return true;
  }

  /** @param output An output that the target emits now. */
  protected emit(output: Output): void {
    this.#outputs.push(output);
  }

  /** Records the current load for later load reports. */
  protected recordLoad(): void {
    this.#loadHistory.record({
      ...this.currentLoad(),
      atMs: this.nowMs,
      leaving: this.#leavingSinceMs !== undefined,
    });
  }
}
