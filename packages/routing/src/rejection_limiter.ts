/**
 * Limits the requests that targets may have to reject. Some targets announce
 * that they fail if they reject more than a number of requests in a second.
 *
 * Placements within a target's slots are not rejected while the accounting is
 * right. It may be wrong after a change of the coordinator, and is wrong at a
 * target that has just rejected a request. Then only as many placements are
 * outstanding as the target may reject.
 */

import type { WorkEnd } from "./work_ask.ts";

/** Window over which targets count their rejections. */
const WINDOW_MS = 1000;

/** Time without an announcement after which a target is not limited. */
const ANNOUNCEMENT_TTL_MS = 5000;

/**
 * Time after which the accounting counts as right: holders have reported their
 * work several times.
 */
const UNCERTAIN_MS = 3000;

/**
 * Share of the announced number that is used: another instance may assign
 * requests to the target as well.
 */
const USED_SHARE = 0.5;

interface FragileTarget {
  /** Rejections per second that the target withstands. */
  maxPerS: number;
  announcedAtMs: number;
  /** Local times of the rejections within the window. */
  rejectedAtMs: number[];
}

/** Rejections by the targets that announced a maximum, by target id. */
export class RejectionLimiter {
  readonly #byId = new Map<string, FragileTarget>();
  #uncertainUntilMs = -Infinity;

  /** Whether any target is limited. */
  get hasLimits(): boolean {
    return this.#byId.size > 0;
  }

  /**
   * Records that this instance began to assign requests, so that its accounting
   * may lack work that others have placed.
   *
   * @param nowMs Current local time in milliseconds.
   */
  accountingBegan(nowMs: number): void {
    this.#uncertainUntilMs = nowMs + UNCERTAIN_MS;
  }

  /**
   * Records the number that a target announced, and whether it rejected work.
   *
   * @param end Outcome of the work.
   * @param nowMs Current local time in milliseconds.
   */
  recordEnd(
    { targetId, maxRejectionsPerS, isRejected }: WorkEnd,
    nowMs: number,
  ): void {
    if (maxRejectionsPerS === undefined) {
      return;
    }
    const known = this.#byId.get(targetId);
    const rejectedAtMs =
      known?.rejectedAtMs.filter((atMs) => nowMs - atMs < WINDOW_MS) ?? [];
    this.#byId.set(targetId, {
      maxPerS: maxRejectionsPerS,
      announcedAtMs: nowMs,
      rejectedAtMs: isRejected ? [...rejectedAtMs, nowMs] : rejectedAtMs,
    });
  }

  /**
   * Decides whether a target may be given another request.
   *
   * @param targetId Id of the target.
   * @param of Number of its requests that it may still reject, and the current
   * local time in milliseconds.
   * @returns False while another one might make it fail.
   */
  allows(
    targetId: string,
    of: { outstanding: () => number; nowMs: number },
  ): boolean {
    const { nowMs } = of;
    const target = this.#byId.get(targetId);
    if (target === undefined) {
      return true;
    }
    if (nowMs - target.announcedAtMs >= ANNOUNCEMENT_TTL_MS) {
      this.#byId.delete(targetId);
      return true;
    }
    const lastRejectedAtMs = target.rejectedAtMs.at(-1) ?? -Infinity;
    const isUncertain = nowMs < this.#uncertainUntilMs ||
      nowMs - lastRejectedAtMs < UNCERTAIN_MS;
    if (!isUncertain) {
      return true;
    }
    const rejected = target.rejectedAtMs
      .filter((atMs) => nowMs - atMs < WINDOW_MS).length;
    const usable = Math.max(1, Math.floor(target.maxPerS * USED_SHARE));
    return rejected + of.outstanding() < usable;
  }
}
