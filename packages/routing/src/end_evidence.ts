/**
 * Evidence on targets that the ends of work give: how the targets of a version
 * answer during a roll-out, and which requests were running as a target's
 * process ended.
 */

import { AbandonedWork } from "./abandoned_work.ts";
import {
  baselineFirstEventMs,
  INITIAL_CALL_MS,
  INITIAL_EVENT_GAP_MS,
} from "./latency_model.ts";
import type { PlacedWork } from "./placed_work_index.ts";
import type { RoutingBoard } from "./routing_board.ts";
import type { WorkEnd } from "./work_ask.ts";

/** Circumstances under which work ran. */
export interface EndedRun {
  readonly isStream: boolean;
  /** Prompt tokens that its target had to process before it. */
  readonly tokensAhead: number;
  /** Route of the request; absent if it is unknown. */
  readonly route?: string;
  /** Current local time in milliseconds. */
  readonly nowMs: number;
}

/** Records the outcomes of work as evidence on versions and on requests. */
export class EndEvidence {
  readonly #board: RoutingBoard;
  readonly #abandoned = new AbandonedWork();

  /** @param board Shared routing state of the instance. */
  constructor(board: RoutingBoard) {
    this.#board = board;
  }

  /**
   * Feeds an outcome into the comparison of versions while a roll-out of the
   * pool is in progress.
   *
   * @param end Outcome of the work.
   * @param run Circumstances under which it ran.
   */
  recordVersionAnswer(end: WorkEnd, run: EndedRun): void {
    const { rollouts, targets } = this.#board;
    if (!rollouts.isInProgress(end.pool)) {
      return;
    }
    const target = targets.get(end.targetId);
    const failed = end.answerFailed === true;
    const isAnswer = failed || end.firstMs !== undefined;
    if (!isAnswer || target === undefined) {
      return;
    }
    const isWarm = run.nowMs >= target.warmAtMs;
    rollouts.answered(target, {
      route: run.route ?? "",
      failed,
      slowness: failed || !isWarm ? undefined : slownessRatioOf(end, run),
    });
  }

  /**
   * Records the requests that may have ended a target's process, and those that
   * a target answered.
   *
   * @param end Outcome of the work.
   * @param nowMs Current local time in milliseconds.
   */
  updateSuspects(
    { targetId, endedTarget, clearedFingerprint, clearedParts }: WorkEnd,
    nowMs: number,
  ): void {
    const { suspects } = this.#board;
    if (endedTarget !== undefined) {
      suspects.targetEnded(endedTarget, nowMs);
      for (const { keys, inTrial } of this.#abandoned.at(targetId, nowMs)) {
        suspects.targetEnded({
          fingerprint: keys.fingerprint!,
          promptParts: keys.promptParts?.map((part) => ({ part })),
          process: endedTarget.process,
          inTrial,
        }, nowMs);
      }
    }
    if (clearedFingerprint !== undefined) {
      suspects.served(
        { fingerprint: clearedFingerprint, promptParts: clearedParts },
        nowMs,
      );
    }
  }

  /**
   * Records work that its caller abandoned before the target began to answer,
   * as the target may still run it.
   *
   * @param end Outcome of the work.
   * @param work The work; undefined if it was not placed by this instance.
   * @param nowMs Current local time in milliseconds.
   */
  recordAbandoned(
    { failed, firstMs, targetId }: WorkEnd,
    work: PlacedWork | undefined,
    nowMs: number,
  ): void {
    if (work?.crashKeys !== undefined && !failed && firstMs === undefined) {
      const { crashKeys: keys, isTrial: inTrial = false } = work;
      this.#abandoned.record({ targetId, keys, inTrial, atMs: nowMs });
    }
  }
}

/** Duration of work as a ratio of the baseline for its size. */
function slownessRatioOf(
  { firstMs, eventGapMs, promptTokens }: WorkEnd,
  { isStream, tokensAhead }: { isStream: boolean; tokensAhead: number },
): number {
  if (!isStream) {
    return firstMs! / INITIAL_CALL_MS;
  }
  return Math.max(
    firstMs! / baselineFirstEventMs(promptTokens, tokensAhead),
    (eventGapMs ?? 0) / INITIAL_EVENT_GAP_MS,
  );
}
