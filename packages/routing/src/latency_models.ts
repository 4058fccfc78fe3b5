/** Latency models of all targets. */

import { LatencyModel } from "./latency_model.ts";
import type { WorkEnd } from "./work_ask.ts";

/** Latency models by target id. */
export class LatencyModels {
  readonly #byId = new Map<string, LatencyModel>();

  /**
   * Returns the latency model of a target.
   *
   * @param targetId Id of the target.
   * @returns Its model; one with initial estimates if nothing was observed yet.
   */
  of(targetId: string): LatencyModel {
    let model = this.#byId.get(targetId);
    if (model === undefined) {
      model = new LatencyModel();
      this.#byId.set(targetId, model);
    }
    return model;
  }

  /**
   * Updates the latency model of a target from work that ended.
   *
   * @param end Outcome of the work.
   * @param of Whether it was a stream, and the prompt tokens that the target
   * had queued when the work was placed.
   */
  recordEnd(
    end: WorkEnd,
    of: { isStream: boolean; tokensAhead: number },
  ): void {
    const model = this.of(end.targetId);
    if (end.failed || end.firstMs === undefined) {
      return;
    }
    if (!of.isStream) {
      model.recordCall(end.firstMs);
      return;
    }
    model.recordFirstEvent(end.promptTokens, of.tokensAhead, end.firstMs);
    if (end.eventGapMs !== undefined) {
      model.recordEventGap(end.eventGapMs);
    }
  }

  /**
   * Evicts the models of targets that no longer exist.
   *
   * @param targetIds Ids of the targets that still exist.
   */
  keepOnly(targetIds: ReadonlySet<string>): void {
    for (const targetId of this.#byId.keys()) {
      if (!targetIds.has(targetId)) {
        this.#byId.delete(targetId);
      }
    }
  }
}
