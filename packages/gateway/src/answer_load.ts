/** Load that a target reported with an answer, and when it arrived. */

import type { LoadReport } from "@chestnuthatch/routing/load_report";
import type { TargetLoad } from "./ports.ts";

/** A target's report on its load, which ages until it is passed on. */
export class AnswerLoad {
  readonly #load: TargetLoad;
  readonly #receivedAtMs: number;

  /**
   * @param load Load that the answer carried.
   * @param receivedAtMs Local time at which it arrived.
   */
  constructor(load: TargetLoad, receivedAtMs: number) {
    this.#load = load;
    this.#receivedAtMs = receivedAtMs;
  }

  /**
   * Builds the report for the coordinator.
   *
   * @param nowMs Current local time in milliseconds.
   * @returns The load with its age.
   */
  reportAt(nowMs: number): LoadReport {
    const { running, waiting, slowdownRatio } = this.#load;
    const ageMs = Math.round(nowMs - this.#receivedAtMs);
    return { running, waiting, slowdownRatio, ageMs };
  }
}
