/** Records what targets signal about themselves in their answers. */

import type { RoutingBoard } from "@chestnuthatch/routing/routing_board";
import type {
  RateLimitChange,
  RateLimitUpdate,
} from "@chestnuthatch/routing/target_rate_limits";
import type { KnownTarget } from "@chestnuthatch/routing/target_directory";
import { type EventLog, LogPart } from "./event_log.ts";
import type { GatewayMetrics } from "./gateway_metrics.ts";
import type { Clock, MalformedHeader, TargetSignals } from "./ports.ts";

/** What the keeper works with. */
export interface SignalKeeperParts {
  readonly board: RoutingBoard;
  readonly clock: Clock;
  readonly log: EventLog;
  readonly metrics: GatewayMetrics;
  /** Called when a target announces that it is leaving. */
  onLeaving(targetId: string): void;
}

/** The answer that carried a signal. */
export interface SignalOrigin {
  /** The target as it was known when the request was sent. */
  readonly target: KnownTarget;
  /** When its request was sent. */
  readonly sentAtMs: number;
}

/** Malformed headers that are remembered, so that each is logged once. */
const MAX_MALFORMED = 256;

/** Signals as metrics name them. */
enum SignalName {
  RateLimitSet = "rate_limit_set",
  RateLimitLifted = "rate_limit_lifted",
  Leaving = "leaving",
  Backoff = "backoff",
}

/** Where a signal was received from. */
enum SignalSource {
  Answer = "answer",
  Peer = "peer",
}

/** Writes signals to the blackboard and logs changes. */
export class TargetSignalKeeper {
  readonly #parts: SignalKeeperParts;
  readonly #malformed = new Set<string>();

  /** @param parts What the keeper works with. */
  constructor(parts: SignalKeeperParts) {
    this.#parts = parts;
  }

  /**
   * @param origin The answer.
   * @param signals What it said about its target.
   */
  answered(origin: SignalOrigin, signals: TargetSignals): void {
    const { targetId, incarnation } = origin.target;
    const known = this.#parts.board.targets.get(targetId);
    if (known?.incarnation !== incarnation) {
      // The target was restarted after it sent this answer.
      return;
    }
    const { limitPerS, hasLimit, leaving, backoffMs, malformed } = signals;
    for (const each of malformed) {
      this.#logMalformed(targetId, each);
    }
    if (leaving && !known.leaving) {
      this.#noteLeaving(known);
    }
    if (backoffMs !== undefined) {
      this.#noteBackoff(targetId, backoffMs);
    }
    if (limitPerS !== undefined || !hasLimit) {
      this.#noteRateLimit(origin, limitPerS);
    }
  }

  /** @param news Rate limits reported by another instance. */
  toldOfRateLimits(news: readonly RateLimitUpdate[]): void {
    const { board: { rateLimits }, clock } = this.#parts;
    for (const change of rateLimits.merge(news, clock.nowMs())) {
      this.#rateLimitChanged(change, SignalSource.Peer);
    }
  }

  #noteLeaving({ targetId, rowVersion }: KnownTarget): void {
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

  #noteBackoff(targetId: string, backoffMs: number): void {
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

  #noteRateLimit(
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
    const known = `${targetId} ${header}`;
    const isNew = !this.#malformed.has(known) &&
      this.#malformed.size < MAX_MALFORMED;
    if (isNew) {
      this.#malformed.add(known);
      this.#parts.log.warn(LogPart.Targets, "malformed header ignored", {
        targetId,
        header,
        value,
      });
    }
  }
}
