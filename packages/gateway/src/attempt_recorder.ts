/** Records the ends of a request's attempts at targets. */

import { AttemptEnd } from "@chestnuthatch/routing/next_step";
import type {
  EndedTarget,
  ImplicatedPart,
} from "@chestnuthatch/routing/crash_suspects";
import type { WorkEnd } from "@chestnuthatch/routing/work_ask";
import { crashKeysOf, fingerprintOf, partKeyOf } from "./crash_keys.ts";
import type { LogFacts } from "./event_log.ts";
import type { GatewayParts } from "./gateway_parts.ts";
import type { RoutedCall } from "./routed_call.ts";
import { isStream, type TargetAttempt } from "./target_attempt.ts";
import { CONNECT_TIMEOUT_REASON } from "./target_exchange.ts";

/** Ends that show that the target cannot be reached for now. */
const UNREACHABLE_ENDS: ReadonlySet<AttemptEnd> = new Set([
  AttemptEnd.NotSent,
  AttemptEnd.TargetEnded,
]);

/** Ends by a failed or missing answer of a target that was reached. */
const FAILED_ANSWER_ENDS: ReadonlySet<AttemptEnd> = new Set([
  AttemptEnd.Failed,
  AttemptEnd.Lost,
]);

/** Ends that do not show whether the target has failed. */
const UNCLEAR_ENDS: ReadonlySet<AttemptEnd> = new Set([AttemptEnd.Empty]);

/** Targets answer with status codes from this one without running a request. */
const MIN_REJECTION_STATUS = 300;

/** Writes a log line about the request. */
export type RequestLog = (message: string, facts: LogFacts) => void;

/**
 * Reports ends of attempts to the coordinator, and records them in the targets'
 * health, the metrics and the log.
 */
export class AttemptRecorder {
  readonly #parts: GatewayParts;
  readonly #log: RequestLog;

  /**
   * @param parts The instance's parts.
   * @param log Writes a log line about the request.
   */
  constructor(parts: GatewayParts, log: RequestLog) {
    this.#parts = parts;
    this.#log = log;
  }

  /**
   * Records an attempt that succeeded.
   *
   * @param attempt An attempt whose answer was forwarded to the caller.
   */
  recordServed(attempt: TargetAttempt): void {
    const { answeredParts, board, clock, placementClient, metrics } =
      this.#parts;
    const { call, target } = attempt.options;
    board.health.served(target.targetId);
    const hasRun = attempt.answer.statusCode! < MIN_REJECTION_STATUS;
    if (hasRun) {
      answeredParts.record(call, clock.nowMs());
    }
    placementClient.reportEnd({
      ...attempt.workEnd(false),
      ...(isStream(call.route.kind)
        ? { isStreamCompleted: true as const }
        : undefined),
      ...(hasRun ? this.#clearedKeysOf(call) : undefined),
    });
    metrics.attemptEnded(call.pool, "served");
  }

  #clearedKeysOf(call: RoutedCall): Partial<WorkEnd> | undefined {
    const { answeredParts, board: { suspects } } = this.#parts;
    if (!suspects.hasSuspects) {
      return undefined;
    }
    const keys = crashKeysOf(call, answeredParts);
    return suspects.isSuspect(keys)
      ? { clearedFingerprint: keys.fingerprint, clearedParts: keys.promptParts }
      : undefined;
  }

  /**
   * Cancels an attempt that is no longer needed, without a failure of its
   * target.
   *
   * @param attempt The attempt.
   */
  cancel(attempt: TargetAttempt): void {
    attempt.cancel();
    this.#parts.placementClient.reportEnd(attempt.workEnd(false));
  }

  /**
   * Closes and records an attempt without a usable answer.
   *
   * @param attempt The attempt.
   * @param end Kind of its end.
   * @param reason Cause of its end, for the log.
   */
  recordFailed(attempt: TargetAttempt, end: AttemptEnd, reason: string): void {
    const {
      answeredParts,
      board: { health },
      clock,
      placementClient,
      metrics,
    } = this.#parts;
    const { call, target: { targetId } } = attempt.options;
    const nowMs = clock.nowMs();
    if (attempt.hasSurvived) {
      answeredParts.record(call, nowMs);
    }
    attempt.cancel();
    if (!attempt.isInvalidRequest && !UNCLEAR_ENDS.has(end)) {
      health.failed(targetId, UNREACHABLE_ENDS.has(end), nowMs);
    }
    if (reason === CONNECT_TIMEOUT_REASON) {
      this.recordSilent(attempt);
    }
    const workEnd = {
      ...attempt.workEnd(true),
      ...(FAILED_ANSWER_ENDS.has(end) ? { answerFailed: true } : undefined),
      ...(end === AttemptEnd.Rejected ? { isRejected: true } : undefined),
      ...(attempt.isUnanswered && !attempt.isInvalidRequest &&
          end !== AttemptEnd.TargetEnded
        ? { unreachable: true as const }
        : undefined),
    };
    if (end === AttemptEnd.TargetEnded) {
      const endedTarget = this.#endedTargetOf(attempt);
      placementClient.reportEnd({ ...workEnd, endedTarget });
      this.#logTargetEnded(attempt, endedTarget);
    } else {
      placementClient.reportEnd(workEnd);
    }
    metrics.attemptEnded(call.pool, end);
    this.#log("attempt ended", {
      targetId,
      end,
      reason,
      events: attempt.eventCount,
      tookMs: Math.round(nowMs - attempt.sentAtMs),
      failuresInRow: health.failuresInRow(targetId),
    });
  }

  #endedTargetOf(attempt: TargetAttempt): EndedTarget {
    const { call, target, isTrial } = attempt.options;
    return {
      fingerprint: fingerprintOf(call),
      ...(attempt.hasSurvived
        ? undefined
        : { promptParts: this.#implicatedPartsOf(call) }),
      process: `${target.targetId} ${target.incarnation}`,
      inTrial: isTrial,
    };
  }

  #implicatedPartsOf(call: RoutedCall): ImplicatedPart[] {
    const { answeredParts, clock } = this.#parts;
    const nowMs = clock.nowMs();
    return answeredParts.leastAnswered(call).map((part) => ({
      part: partKeyOf(call.pool, part),
      servedAgeMs: answeredParts.ageMs(call.pool, part, nowMs),
    }));
  }

  /** Logs the state of the suspect, which decides whether it may run again. */
  #logTargetEnded(
    { options: { call }, eventCount }: TargetAttempt,
    { fingerprint, process, inTrial }: EndedTarget,
  ): void {
    const { answeredParts, board: { suspects }, clock } = this.#parts;
    const keys = crashKeysOf(call, answeredParts);
    this.#log("target process ended during request", {
      fingerprint,
      promptParts: call.facts.promptParts,
      events: eventCount,
      process,
      inTrial,
      endedCount: suspects.endedCount(keys),
      heldForMs: Math.round(suspects.quarantineLeftMs(keys, clock.nowMs())),
    });
  }

  /**
   * Records that a target sent nothing, since its whole failure domain may be
   * unreachable.
   *
   * @param attempt An attempt at the target.
   */
  recordSilent(attempt: TargetAttempt): void {
    const { board, clock } = this.#parts;
    const { failureDomain } = attempt.options.target;
    if (
      board.unreachableDomains.targetUnreachable(failureDomain, clock.nowMs())
    ) {
      this.#log("failure domain unreachable", { failureDomain });
    }
  }
}
