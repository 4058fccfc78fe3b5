/**
 * Keeps what is placed at targets that name a limit to that rate. A limit is in
 * requests a second and holds beside a target's slots: neither replaces the
 * other.
 */

import type { KnownTarget } from "./target_directory.ts";
import type { TargetLimits } from "./target_limits.ts";

const MS_PER_S = 1000;

/** Time whose requests may come at once, after a pause. */
const BURST_S = 0.5;
const LEAST_BURST = 1;

/**
 * Rate at which a target gets requests though its limit is lower: only its
 * answers tell when it takes more again.
 */
const LEAST_PER_S = 0.5;

interface Bucket {
  tokens: number;
  filledAtMs: number;
}

/** A token bucket for each target that names a limit. */
export class LimitPacer {
  readonly #limits: TargetLimits;
  readonly #buckets = new Map<string, Bucket>();
  /** Share of each limit that this instance hands out. */
  share = 1;

  /** @param limits Limits that targets name. */
  constructor(limits: TargetLimits) {
    this.#limits = limits;
  }

  /**
   * @param targetId A target.
   * @param nowMs The local time.
   * @returns Whether its limit, if it names one, leaves room for a request.
   */
  mayTake(targetId: string, nowMs: number): boolean {
    const bucket = this.#bucket(targetId, nowMs);
    return bucket === undefined || bucket.tokens >= 1;
  }

  /**
   * @param targetId A target that was given a request.
   * @param nowMs The local time.
   */
  took(targetId: string, nowMs: number): void {
    const bucket = this.#bucket(targetId, nowMs);
    if (bucket !== undefined) {
      bucket.tokens = Math.max(0, bucket.tokens - 1);
    }
  }

  /**
   * @param target A target.
   * @param holdMs How long work holds a slot.
   * @returns Slots of it that its limit lets work fill, on average.
   */
  usableSlots({ targetId, slots }: KnownTarget, holdMs: number): number {
    const perS = this.#perS(targetId);
    return perS === undefined
      ? slots
      : Math.min(slots, perS * holdMs / MS_PER_S);
  }

  /** Forgets targets that name no limit any more. */
  forgetLifted(): void {
    for (const targetId of this.#buckets.keys()) {
      if (this.#limits.limitPerS(targetId) === undefined) {
        this.#buckets.delete(targetId);
      }
    }
  }

  #perS(targetId: string): number | undefined {
    const limitPerS = this.#limits.limitPerS(targetId);
    return limitPerS === undefined
      ? undefined
      : Math.max(LEAST_PER_S, limitPerS) * this.share;
  }

  /** Begins empty: others may have placed requests there just now. */
  #bucket(targetId: string, nowMs: number): Bucket | undefined {
    const perS = this.#perS(targetId);
    if (perS === undefined) {
      return undefined;
    }
    let bucket = this.#buckets.get(targetId);
    if (bucket === undefined) {
      bucket = { tokens: 0, filledAtMs: nowMs };
      this.#buckets.set(targetId, bucket);
    }
    const passedS = (nowMs - bucket.filledAtMs) / MS_PER_S;
    const most = Math.max(LEAST_BURST, perS * BURST_S);
    bucket.tokens = Math.min(most, bucket.tokens + perS * passedS);
    bucket.filledAtMs = nowMs;
    return bucket;
  }
}
