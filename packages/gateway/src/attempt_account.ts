/** What the instance learns from the attempts of one request as they end. */

import { AttemptEnd } from "@chestnuthatch/routing/next_step";
import type { EndedTarget } from "@chestnuthatch/routing/suspect_requests";
import type { LogFacts } from "./event_log.ts";
import type { GatewayParts } from "./gateway_parts.ts";
import { fingerprintIfNeeded, fingerprintOf } from "./request_fingerprint.ts";
import type { RoutedCall } from "./routed_call.ts";
import type { TargetAttempt } from "./target_attempt.ts";
import { NO_CONNECTION } from "./target_exchange.ts";

/** Ends after which nothing can be sent to the target for now. */
const UNREACHABLE: ReadonlySet<AttemptEnd> = new Set([
  AttemptEnd.NotSent,
  AttemptEnd.TargetEnded,
]);

/** Ends that tell of the target's answer, and not of the way there. */
const ANSWER_FAILED: ReadonlySet<AttemptEnd> = new Set([
  AttemptEnd.Failed,
  AttemptEnd.Lost,
]);

/** Writes a line on the request. */
export type RequestLog = (message: string, facts: LogFacts) => void;

/** Tells the coordinator, the health of targets, the metrics and the log. */
export class AttemptAccount {
  readonly #parts: GatewayParts;
  readonly #log: RequestLog;

  /**
   * @param parts The instance's parts.
   * @param log Writes a line on the request.
   */
  constructor(parts: GatewayParts, log: RequestLog) {
    this.#parts = parts;
    this.#log = log;
  }

  /** @param attempt An attempt whose answer was passed on. */
  served(attempt: TargetAttempt): void {
    const { board, placementClient, metrics } = this.#parts;
    const { call, target } = attempt.order;
    board.health.served(target.targetId);
    const end = attempt.workEnd(false);
    const clearedFingerprint = this.#suspectOf(call);
    placementClient.reportEnd(
      clearedFingerprint === undefined ? end : { ...end, clearedFingerprint },
    );
    metrics.attemptEnded(call.pool, "served");
  }

  #suspectOf(call: RoutedCall): string | undefined {
    const { suspects } = this.#parts.board;
    const fingerprint = fingerprintIfNeeded(call, suspects);
    return suspects.isSuspect(fingerprint) ? fingerprint : undefined;
  }

  /** @param attempt An attempt that is not needed any more; no fault of its target. */
  cancelled(attempt: TargetAttempt): void {
    attempt.cancel();
    this.#parts.placementClient.reportEnd(attempt.workEnd(false));
  }

  /**
   * @param attempt An attempt without an answer of its target that counts.
   * @param end How it ended.
   * @param reason Why, for the log.
   */
  failed(attempt: TargetAttempt, end: AttemptEnd, reason: string): void {
    const { board: { health }, clock, placementClient, metrics } = this.#parts;
    const { call, target: { targetId } } = attempt.order;
    const nowMs = clock.nowMs();
    attempt.cancel();
    health.failed(targetId, UNREACHABLE.has(end), nowMs);
    if (reason === NO_CONNECTION) {
      this.unanswered(attempt);
    }
    const workEnd = {
      ...attempt.workEnd(true),
      ...(ANSWER_FAILED.has(end) ? { answerFailed: true } : undefined),
    };
    if (end === AttemptEnd.TargetEnded) {
      const endedTarget = endedTargetOf(attempt);
      placementClient.reportEnd({ ...workEnd, endedTarget });
      this.#logEnded(endedTarget);
    } else {
      placementClient.reportEnd(workEnd);
    }
    metrics.attemptEnded(call.pool, end);
    this.#log("attempt ended", {
      targetId,
      end,
      reason,
      events: attempt.events,
      tookMs: Math.round(nowMs - attempt.sentAtMs),
      failuresInRow: health.failuresInRow(targetId),
    });
  }

  /** What is known of the request by now decides whether it may run again. */
  #logEnded({ fingerprint, process, inTrial }: EndedTarget): void {
    const { board: { suspects }, clock } = this.#parts;
    this.#log("target ended under request", {
      fingerprint,
      process,
      inTrial,
      endedCount: suspects.endedCount(fingerprint),
      heldForMs: Math.round(
        suspects.quarantineLeftMs(fingerprint, clock.nowMs()),
      ),
    });
  }

  /**
   * Notes that a target gave no sign of life: so may its whole failure domain.
   *
   * @param attempt An attempt there.
   */
  unanswered(attempt: TargetAttempt): void {
    const { board, clock } = this.#parts;
    const { failureDomain } = attempt.order.target;
    if (board.cutDomains.targetUnreachable(failureDomain, clock.nowMs())) {
      this.#log("failure domain is cut off", { failureDomain });
    }
  }
}

function endedTargetOf({ order }: TargetAttempt): EndedTarget {
  const { call, target, isTrial } = order;
  return {
    fingerprint: fingerprintOf(call),
    process: `${target.targetId} ${target.incarnation}`,
    inTrial: isTrial,
  };
}
