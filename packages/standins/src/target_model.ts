/** What the models of engines and services share: life, clock, load, counts. */

import type { TargetLoad } from "@chestnuthatch/wire/shared_types";
import {
  LoadHistory,
  type LoadHistoryOptions,
  type LoadSample,
} from "./load_history.ts";
import type { SteppedModel } from "./model_timer.ts";
import { addTo, type TargetCounts } from "./target_counts.ts";

/** Anything that leaves a target at some moment. */
export interface TimedOutput {
  readonly atMs: number;
}

/** The part of a load sample that differs between kinds of targets. */
export type WorkLoad = Omit<LoadSample, "atMs" | "leaving">;

/** A target without sockets or timers, stepped by time. */
export abstract class TargetModel<
  Counts extends TargetCounts,
  Output extends TimedOutput,
> implements SteppedModel {
  /** Counts since the target was made. */
  readonly counts: Counts;
  readonly #loads: LoadHistory;
  #outputs: Output[] = [];
  #leavingSinceMs: number | undefined;
  #alive = true;
  /** How far the model has come. */
  protected nowMs = 0;
  /** How many times slower than its own rates it works. */
  protected slowdown = 1;

  /**
   * @param load What its load reports say at all times.
   * @param counts Counts that are all zero.
   */
  constructor(load: LoadHistoryOptions, counts: Counts) {
    this.#loads = new LoadHistory(load);
    this.counts = counts;
  }

  /** @returns Whether the target's process lives. */
  get alive(): boolean {
    return this.#alive;
  }

  /**
   * Lets time pass.
   *
   * @param nowMs The time now.
   * @returns Every output since the last call, in time order.
   */
  advance(nowMs: number): Output[] {
    this.runTo(nowMs);
    const outputs = this.#outputs;
    this.#outputs = [];
    return outputs;
  }

  /** @returns When {@link TargetModel.advance} has something to give next. */
  nextEventAtMs(): number | undefined {
    return this.#outputs.at(0)?.atMs ?? this.nextChangeAtMs();
  }

  /**
   * Reports the load as it was some time ago.
   *
   * @param nowMs The time now.
   * @returns The stale report.
   */
  load(nowMs: number): TargetLoad {
    this.runTo(nowMs);
    return this.#loads.report(this.nowMs);
  }

  /**
   * Makes the target a straggler, or heals it.
   *
   * @param factor How many times slower than its own rates; 1 heals.
   * @param nowMs The time now.
   */
  abstract setSlowdown(factor: number, nowMs: number): void;

  /**
   * Makes the target report that it is leaving; it goes on admitting.
   *
   * @param leaving Whether it is leaving.
   * @param nowMs The time now.
   */
  setLeaving(leaving: boolean, nowMs: number): void {
    this.runTo(nowMs);
    this.#leavingSinceMs = leaving ? this.nowMs : undefined;
    this.recordLoad();
  }

  /**
   * Ends the target's process: all it holds is lost, and no output tells of it.
   *
   * @param nowMs The time now.
   */
  kill(nowMs: number): void {
    this.runTo(nowMs);
    this.loseWork();
    this.#loads.clear();
    this.#alive = false;
  }

  /**
   * Starts the target's process anew, empty.
   *
   * @param nowMs The time now.
   */
  revive(nowMs: number): void {
    this.#alive = true;
    this.#leavingSinceMs = undefined;
    this.slowdown = 1;
    this.runTo(nowMs);
    this.recordLoad();
  }

  /** @param nowMs Until when to work. */
  protected abstract runTo(nowMs: number): void;

  /** @returns When the work changes next, or undefined for never. */
  protected abstract nextChangeAtMs(): number | undefined;

  /** @returns The load of the work now. */
  protected abstract workLoad(): WorkLoad;

  /** Forgets all that dies with the process. */
  protected abstract loseWork(): void;

  /**
   * Counts a dispatch as received.
   *
   * @param requestId The request.
   * @param nowMs The time now.
   * @returns False when the target is dead and received nothing.
   */
  protected receive(requestId: string, nowMs: number): boolean {
    if (!this.#alive) {
      return false;
    }
    this.runTo(nowMs);
    addTo(this.counts.dispatchesByRequestId, requestId);
    if (this.#leavingSinceMs !== undefined) {
      const sinceMs = this.nowMs - this.#leavingSinceMs;
      this.counts.dispatchesAfterLeavingMs.push(sinceMs);
    }
    return true;
  }

  /** @param output What leaves the target now. */
  protected emit(output: Output): void {
    this.#outputs.push(output);
  }

  /** Notes the load from now on. */
  protected recordLoad(): void {
    this.#loads.record({
      ...this.workLoad(),
      atMs: this.nowMs,
      leaving: this.#leavingSinceMs !== undefined,
    });
  }
}
