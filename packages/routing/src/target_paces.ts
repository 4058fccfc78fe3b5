/** Learned latencies of all targets. */

import { TargetPace } from "./target_pace.ts";
import type { WorkEnd } from "./work_ask.ts";

/** Learned latencies by target id. */
export class TargetPaces {
  readonly #byId = new Map<string, TargetPace>();

  /**
   * Returns the learned latencies of a target.
   *
   * @param targetId Id of the target.
   * @returns Its estimates; initial ones where nothing was observed yet.
   */
  of(targetId: string): TargetPace {
    let pace = this.#byId.get(targetId);
    if (pace === undefined) {
      pace = new TargetPace();
      this.#byId.set(targetId, pace);
    }
    return pace;
  }

  /**
   * Updates the estimates of a target from work that ended.
   *
   * @param end Outcome of the work.
   * @param of Whether it was a stream, and the prompt tokens that the target
   * had queued when the work was placed.
   */
  learn(
    end: WorkEnd,
    of: { isStream: boolean; tokensAhead: number },
  ): void {
    const pace = this.of(end.targetId);
    if (end.failed || end.firstMs === undefined) {
      return;
    }
    if (!of.isStream) {
      pace.learnCall(end.firstMs);
      return;
    }
    pace.learnFirstEvent(end.promptTokens, of.tokensAhead, end.firstMs);
    if (end.eventGapMs !== undefined) {
      pace.learnEventGap(end.eventGapMs);
    }
  }

  /**
   * Evicts the estimates of targets that no longer exist.
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
