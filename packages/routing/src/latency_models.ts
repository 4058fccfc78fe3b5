/** Latency models of all targets. */

import { LatencyModel } from "./latency_model.ts";
import {
  invalidFieldOf,
  type LoadReport,
  meanRatioSince,
  usedRatio,
  usualDurationMs,
} from "./load_report.ts";
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
   * Updates the latency model of a target from work that ended. Times are
   * divided by the slowdown that the target reported with the answer, so that
   * the model describes the target and not the moment.
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
    const { first, gaps } = slowdownsOf(end.load);
    if (!of.isStream) {
      model.recordCall(
        usualDurationMs(end.firstMs, model.callMs, { ratio: first }),
      );
      return;
    }
    const { promptTokens } = end;
    const { tokensAhead } = of;
    const expectedMs = model.firstEventMs(promptTokens, tokensAhead);
    model.recordFirstEvent(
      promptTokens,
      tokensAhead,
      usualDurationMs(end.firstMs, expectedMs, { ratio: first }),
    );
    if (end.eventGapMs !== undefined) {
      model.recordEventGap(
        usualDurationMs(end.eventGapMs, model.eventGapMs, { ratio: gaps }),
      );
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

/**
 * Slowdowns of the first event or the call, and of the events after it. A
 * report describes the moment of the first event, and a stream may go on for
 * much longer than a slow period.
 */
function slowdownsOf(
  load: LoadReport | undefined,
): { first: number; gaps: number } {
  if (load === undefined || invalidFieldOf(load) !== undefined) {
    return { first: 1, gaps: 1 };
  }
  const first = usedRatio(load.slowdownRatio);
  return { first, gaps: meanRatioSince(first, load.ageMs) };
}
