/** What the instance learns from the attempts of one request as they end. */

import { AttemptEnd } from "@chestnuthatch/routing/next_step";
import type { LogFacts } from "./event_log.ts";
import type { GatewayParts } from "./gateway_parts.ts";
import { fingerprintOf } from "./request_fingerprint.ts";
import type { TargetAttempt } from "./target_attempt.ts";
import { NO_CONNECTION } from "./target_exchange.ts";

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
    const { board, desk, metrics } = this.#parts;
    board.health.served(attempt.order.target.targetId);
    desk.ended(attempt.workEnd(false));
    metrics.attemptEnded(attempt.order.call.pool, "served");
  }

  /** @param attempt An attempt that is not needed any more; no fault of its target. */
  cancelled(attempt: TargetAttempt): void {
    attempt.cancel();
    this.#parts.desk.ended(attempt.workEnd(false));
  }

  /**
   * @param attempt An attempt without an answer of its target that counts.
   * @param end How it ended.
   * @param reason Why, for the log.
   */
  failed(attempt: TargetAttempt, end: AttemptEnd, reason: string): void {
    const { board: { health }, clock, desk, metrics } = this.#parts;
    const { call, target: { targetId } } = attempt.order;
    const nowMs = clock.nowMs();
    attempt.cancel();
    health.failed(targetId, end === AttemptEnd.NotSent, nowMs);
    if (reason === NO_CONNECTION) {
      this.unanswered(attempt);
    }
    desk.ended(attempt.workEnd(true));
    metrics.attemptEnded(call.pool, end);
    this.#log("attempt ended", {
      targetId,
      end,
      reason,
      fingerprint: end === AttemptEnd.Lost ? fingerprintOf(call) : undefined,
      events: attempt.events,
      tookMs: Math.round(nowMs - attempt.sentAtMs),
      failuresInRow: health.failuresInRow(targetId),
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
    if (board.cutDomains.unanswered(failureDomain, clock.nowMs())) {
      this.#log("failure domain is cut off", { failureDomain });
    }
  }
}
