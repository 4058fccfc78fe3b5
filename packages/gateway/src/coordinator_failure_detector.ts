/**
 * Failure detector that distinguishes a late coordinator from a failed one by
 * the messages received from it.
 *
 * Answers take longer under load. If all holders then switch at once, they load
 * the next coordinator, which knows less of what was spent, and meanwhile each
 * holder allows only its own share of the allotments. When late coordinators
 * counted as failed, sixteen instances replaced each other in turn for as long
 * as a load surge lasted, and 97 in 100 refusals were for allotments that
 * workspaces had not spent.
 */

import type { MemberView } from "@chestnuthatch/routing/member_view";

/**
 * Least time without a message after which an instance that has an ask to
 * answer counts as failed. It allows for two lost datagrams, and is short
 * compared with the objectives of streams.
 */
const MIN_SILENCE_TIMEOUT_MS = 130;

/**
 * Greatest value of that timeout where answers take long. A failed coordinator
 * is replaced within this time under any load.
 */
const MAX_SILENCE_TIMEOUT_MS = 400;

/**
 * Weights of a new answer in the mean answer time and in its mean deviation,
 * and the number of deviations allowed: as for a retransmission timeout
 * (RFC 6298).
 */
const MEAN_WEIGHT = 1 / 8;
const DEVIATION_WEIGHT = 1 / 4;
const DEVIATION_FACTOR = 4;

/** Instances whose last answers are kept: coordinators, which change seldom. */
const MAX_TRACKED_INSTANCES = 16;

/** A holder's assessment of an instance that has an ask to answer. */
export enum Responsiveness {
  /** Too little time has passed to expect an answer. */
  InTime = "in_time",
  /** The answer is overdue, but the instance still sends messages. */
  Late = "late",
  /** The instance has failed or cannot be reached. */
  Failed = "gone",
}

/** Assesses coordinators by their messages and by the usual answer time. */
export class CoordinatorFailureDetector {
  readonly #members: MemberView;
  readonly #answeredAtMs = new Map<string, number>();
  #meanMs = 0;
  #deviationMs = 0;

  /** @param members The members, with the times of their last heartbeats. */
  constructor(members: MemberView) {
    this.#members = members;
  }

  /** Mean time of answers, in milliseconds. */
  get meanAnswerMs(): number {
    return this.#meanMs;
  }

  /** Time within which answers usually arrive, in milliseconds. */
  get usualAnswerMs(): number {
    const usualMs = this.#meanMs + DEVIATION_FACTOR * this.#deviationMs;
    return Math.min(MAX_SILENCE_TIMEOUT_MS, usualMs);
  }

  /** Time without a message after which an instance counts as failed, in ms. */
  get silenceTimeoutMs(): number {
    return Math.max(MIN_SILENCE_TIMEOUT_MS, this.usualAnswerMs);
  }

  /**
   * Records an answer of any kind. The time of the first answer to an ask
   * counts for all instances: in a loaded fleet, the next coordinator is no
   * faster.
   *
   * @param instanceId The instance that answered.
   * @param of The local time, and the time that the answer took if it was the
   * first to an ask, both in milliseconds.
   */
  recordAnswer(
    instanceId: string,
    { nowMs, tookMs }: { nowMs: number; tookMs?: number },
  ): void {
    this.#recordAnsweredAt(instanceId, nowMs);
    if (tookMs !== undefined) {
      const offMs = tookMs - this.#meanMs;
      this.#meanMs += MEAN_WEIGHT * offMs;
      const deviation = Math.abs(offMs) - this.#deviationMs;
      this.#deviationMs += DEVIATION_WEIGHT * deviation;
    }
  }

  /**
   * Assesses an instance that has not answered yet.
   *
   * @param instanceId The instance.
   * @param of Local times in milliseconds: of the ask, and now.
   * @returns The assessment.
   */
  responsivenessOf(
    instanceId: string,
    { sinceMs, nowMs }: { sinceMs: number; nowMs: number },
  ): Responsiveness {
    if (nowMs - sinceMs < MIN_SILENCE_TIMEOUT_MS) {
      return Responsiveness.InTime;
    }
    const heartbeatAtMs = this.#members.get(instanceId)?.lastHeartbeatAtMs ??
      -Infinity;
    const answeredAtMs = this.#answeredAtMs.get(instanceId) ?? -Infinity;
    const lastMessageAtMs = Math.max(heartbeatAtMs, answeredAtMs);
    const isSilent = nowMs - sinceMs >= this.silenceTimeoutMs &&
      nowMs - lastMessageAtMs >= this.silenceTimeoutMs;
    const answersNothing =
      nowMs - Math.max(answeredAtMs, sinceMs) >= MAX_SILENCE_TIMEOUT_MS;
    return isSilent || answersNothing
      ? Responsiveness.Failed
      : Responsiveness.Late;
  }

  #recordAnsweredAt(instanceId: string, nowMs: number): void {
    // Deleted first, so that it becomes the last entry in the map's order.
    this.#answeredAtMs.delete(instanceId);
    this.#answeredAtMs.set(instanceId, nowMs);
    if (this.#answeredAtMs.size > MAX_TRACKED_INSTANCES) {
      const [oldestId] = this.#answeredAtMs.keys();
      this.#answeredAtMs.delete(oldestId!);
    }
  }
}
