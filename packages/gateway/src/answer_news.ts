/** Takes in what targets tell of themselves in their answers. */

import type { RoutingBoard } from "@chestnuthatch/routing/routing_board";
import type {
  TargetLimitChange,
  TargetLimitNews,
} from "@chestnuthatch/routing/target_limits";
import type { KnownTarget } from "@chestnuthatch/routing/target_directory";
import { type EventLog, LogPart } from "./event_log.ts";
import type { GatewayMetrics } from "./gateway_metrics.ts";
import type { Clock, TargetSignals, UnreadableHeader } from "./ports.ts";

/** What the part works with. */
export interface AnswerNewsParts {
  readonly board: RoutingBoard;
  readonly clock: Clock;
  readonly log: EventLog;
  readonly metrics: GatewayMetrics;
  /** Called when a target says that it is leaving. */
  onLeaving(targetId: string): void;
}

/** An answer of a target. */
export interface AnswerOrigin {
  /** The target as it was known when the request was sent. */
  readonly target: KnownTarget;
  /** When its request was sent. */
  readonly sentAtMs: number;
}

/** Unreadable headers that are remembered, so that each is logged once. */
const MOST_UNREADABLE = 256;

/** What an answer tells, in metrics. */
enum SignalName {
  LimitNamed = "limit_named",
  LimitLifted = "limit_lifted",
  Leaving = "leaving",
  Rest = "rest",
}

/** Where a belief comes from. */
enum NewsSource {
  Answer = "answer",
  Peer = "peer",
}

/** Writes the beliefs that answers bring, and tells of changes. */
export class AnswerNews {
  readonly #parts: AnswerNewsParts;
  readonly #unreadable = new Set<string>();

  /** @param parts What it works with. */
  constructor(parts: AnswerNewsParts) {
    this.#parts = parts;
  }

  /**
   * @param origin The answer.
   * @param signals What it tells of its target.
   */
  answered(origin: AnswerOrigin, signals: TargetSignals): void {
    const { targetId, incarnation } = origin.target;
    const known = this.#parts.board.targets.get(targetId);
    if (known?.incarnation !== incarnation) {
      // It comes from a process that has been replaced since.
      return;
    }
    const { limitPerS, namesLimit, leaving, restMs, unreadable } = signals;
    for (const each of unreadable) {
      this.#noteUnreadable(targetId, each);
    }
    if (leaving && !known.leaving) {
      this.#noteLeaving(known);
    }
    if (restMs !== undefined) {
      this.#noteRest(targetId, restMs);
    }
    if (limitPerS !== undefined || !namesLimit) {
      this.#noteLimit(origin, limitPerS);
    }
  }

  /** @param news Limits that another instance knows of. */
  toldOfLimits(news: readonly TargetLimitNews[]): void {
    const { board: { limits }, clock } = this.#parts;
    for (const change of limits.merge(news, clock.nowMs())) {
      this.#limitChanged(change, NewsSource.Peer);
    }
  }

  #noteLeaving({ targetId, rowVersion }: KnownTarget): void {
    const source = NewsSource.Answer;
    const { log, metrics, onLeaving } = this.#parts;
    metrics.targetSignal(SignalName.Leaving, source);
    log.info(LogPart.Targets, "target says that it leaves", {
      targetId,
      rowVersion,
      source,
    });
    onLeaving(targetId);
  }

  #noteRest(targetId: string, restMs: number): void {
    const { board: { rests }, clock, log, metrics } = this.#parts;
    const source = NewsSource.Answer;
    rests.asked(targetId, restMs, clock.nowMs());
    metrics.targetSignal(SignalName.Rest, source);
    log.info(LogPart.Targets, "target asks for rest", {
      targetId,
      restMs,
      source,
    });
  }

  #noteLimit(
    { target: { targetId }, sentAtMs }: AnswerOrigin,
    limitPerS: number | undefined,
  ): void {
    const { board: { limits }, clock } = this.#parts;
    const nowMs = clock.nowMs();
    const change = limitPerS === undefined
      ? limits.notNamed(targetId, { sentAtMs, nowMs })
      : limits.named(targetId, limitPerS, nowMs);
    if (change !== undefined) {
      this.#limitChanged(change, NewsSource.Answer);
    }
  }

  #limitChanged(
    { targetId, limitPerS, beforePerS }: TargetLimitChange,
    source: NewsSource,
  ): void {
    const { log, metrics } = this.#parts;
    const isLifted = limitPerS === undefined;
    metrics.targetSignal(
      isLifted ? SignalName.LimitLifted : SignalName.LimitNamed,
      source,
    );
    log.info(
      LogPart.Targets,
      isLifted ? "target limit lifted" : "target names a limit",
      { targetId, limitPerS, beforePerS, source },
    );
  }

  #noteUnreadable(
    targetId: string,
    { header, value }: UnreadableHeader,
  ): void {
    const known = `${targetId} ${header}`;
    const isNew = !this.#unreadable.has(known) &&
      this.#unreadable.size < MOST_UNREADABLE;
    if (isNew) {
      this.#unreadable.add(known);
      this.#parts.log.warn(LogPart.Targets, "unreadable header ignored", {
        targetId,
        header,
        value,
      });
    }
  }
}
