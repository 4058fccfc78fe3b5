/** Applies the signals about a target's own state that its answers carry. */

import type { RoutingBoard } from "@chestnuthatch/routing/routing_board";
import type {
  RateLimitChange,
  RateLimitUpdate,
} from "@chestnuthatch/routing/target_rate_limits";
import type { KnownTarget } from "@chestnuthatch/routing/target_directory";
import { type EventLog, LogPart } from "./event_log.ts";
import type { GatewayMetrics } from "./gateway_metrics.ts";
import type { Clock, MalformedHeader, TargetSignals } from "./ports.ts";

/** Dependencies and callbacks of {@link TargetSignalHandler}. */
export interface TargetSignalParts {
  readonly board: RoutingBoard;
  readonly clock: Clock;
  readonly log: EventLog;
  readonly metrics: GatewayMetrics;
  /** Called when a target announces that it is leaving. */
  onLeaving(targetId: string): void;
}

/** Target and time of the request whose answer carried a signal. */
export interface SignalOrigin {
  /** The target as it was known when the request was sent. */
  readonly target: KnownTarget;
  /** Local time when the request was sent. */
  readonly sentAtMs: number;
}

/**
 * Pairs of target and malformed header that are logged, each once; further ones
 * are not logged.
 */
const MAX_LOGGED_MALFORMED = 256;

/** Signals, by their names in metrics. */
enum SignalName {
  RateLimitSet = "rate_limit_set",
  RateLimitLifted = "rate_limit_lifted",
  Leaving = "leaving",
  Backoff = "backoff",
}

/** Where a signal was received from, as metrics and the log name it. */
enum SignalSource {
  Answer = "answer",
  Peer = "peer",
}

/** Applies signals of targets to the board, and counts and logs changes. */
export class TargetSignalHandler {
  readonly #parts: TargetSignalParts;
  readonly #loggedMalformed = new Set<string>();

  /** @param parts Dependencies and callbacks. */
  constructor(parts: TargetSignalParts) {
    this.#parts = parts;
  }

  /**
   * Applies the signals of an answer, unless the target was restarted since.
   *
   * @param origin Target and time of the answered request.
   * @param signals Signals that the answer carried.
   */
  answerReceived(origin: SignalOrigin, signals: TargetSignals): void {
    const { targetId, incarnation } = origin.target;
    const known = this.#parts.board.targets.get(targetId);
    if (known?.incarnation !== incarnation) {
      // The answer is from an earlier process of the target.
      return;
    }
    const { limitPerS, hasLimit, leaving, backoffMs, malformed } = signals;
    for (const each of malformed) {
      this.#logMalformed(targetId, each);
    }
    if (leaving && !known.leaving) {
      this.#applyLeaving(known);
    }
    if (backoffMs !== undefined) {
      this.#applyBackoff(targetId, backoffMs);
    }
    if (limitPerS !== undefined || !hasLimit) {
      this.#applyRateLimit(origin, limitPerS);
    }
  }

  /** @param updates Rate limits of targets that another instance reported. */
  rateLimitsReceived(updates: readonly RateLimitUpdate[]): void {
    const { board: { rateLimits }, clock } = this.#parts;
    for (const change of rateLimits.merge(updates, clock.nowMs())) {
      this.#rateLimitChanged(change, SignalSource.Peer);
    }
  }

  #applyLeaving({ targetId, rowVersion }: KnownTarget): void {
    const source = SignalSource.Answer;
    const { log, metrics, onLeaving } = this.#parts;
    metrics.targetSignal(SignalName.Leaving, source);
    log.info(LogPart.Targets, "target announces that it is leaving", {
      targetId,
      rowVersion,
      source,
    });
    onLeaving(targetId);
  }

  #applyBackoff(targetId: string, backoffMs: number): void {
    const { board: { backoffs }, clock, log, metrics } = this.#parts;
    const source = SignalSource.Answer;
    backoffs.requested(targetId, backoffMs, clock.nowMs());
    metrics.targetSignal(SignalName.Backoff, source);
    log.info(LogPart.Targets, "target asks to back off", {
      targetId,
      backoffMs,
      source,
    });
  }

  #applyRateLimit(
    { target: { targetId }, sentAtMs }: SignalOrigin,
    limitPerS: number | undefined,
  ): void {
    const { board: { rateLimits }, clock } = this.#parts;
    const nowMs = clock.nowMs();
    const change = limitPerS === undefined
      ? rateLimits.notAdvertised(targetId, { sentAtMs, nowMs })
      : rateLimits.advertised(targetId, limitPerS, nowMs);
    if (change !== undefined) {
      this.#rateLimitChanged(change, SignalSource.Answer);
    }
  }

  #rateLimitChanged(
    { targetId, limitPerS, beforePerS }: RateLimitChange,
    source: SignalSource,
  ): void {
    const { log, metrics } = this.#parts;
    const isLifted = limitPerS === undefined;
    metrics.targetSignal(
      isLifted ? SignalName.RateLimitLifted : SignalName.RateLimitSet,
      source,
    );
    log.info(
      LogPart.Targets,
      isLifted ? "target rate limit lifted" : "target rate limit set",
      { targetId, limitPerS, beforePerS, source },
    );
  }

  #logMalformed(
    targetId: string,
    { header, value }: MalformedHeader,
  ): void {
    const key = `${targetId} ${header}`;
    const isNew = !this.#loggedMalformed.has(key) &&
      this.#loggedMalformed.size < MAX_LOGGED_MALFORMED;
    if (isNew) {
      this.#loggedMalformed.add(key);
      this.#parts.log.warn(LogPart.Targets, "malformed header ignored", {
        targetId,
        header,
        value,
      });
    }
  }
}
