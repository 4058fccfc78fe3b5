/** The learned paces of all targets. */

import { TargetPace } from "./target_pace.ts";
import type { WorkEnd } from "./work_ask.ts";

/** Paces by target. */
export class TargetPaces {
  readonly #byId = new Map<string, TargetPace>();

  /**
   * @param targetId A target.
   * @returns What was learned of it, or where learning starts.
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
   * Learns from work that ended.
   *
   * @param end How it ended.
   * @param of Whether it was a stream, and the prompt tokens that waited at the
   * target when it was sent there.
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

  /** @param targetIds Targets that still exist; others are forgotten. */
  keepOnly(targetIds: ReadonlySet<string>): void {
    for (const targetId of this.#byId.keys()) {
      if (!targetIds.has(targetId)) {
        this.#byId.delete(targetId);
      }
    }
  }
}
