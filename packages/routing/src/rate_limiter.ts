/**
 * Limits the rate of placements at targets that advertise a rate limit. The
 * limit applies in addition to a target's slots.
 */

import type { KnownTarget } from "./target_directory.ts";
import type { TargetRateLimits } from "./target_rate_limits.ts";

const MS_PER_S = 1000;

/** Capacity of a bucket, as time at the target's rate. */
const BURST_S = 0.5;
const MIN_BURST_TOKENS = 1;

/**
 * Lower bound of the rate at which a limited target is probed: only its answers
 * show that a limit was lifted.
 */
const PROBE_PER_S = 0.5;

interface Bucket {
  tokens: number;
  filledAtMs: number;
}

/** Token buckets of the targets that advertise a rate limit. */
export class RateLimiter {
  readonly #limits: TargetRateLimits;
  readonly #buckets = new Map<string, Bucket>();
  /** Share (0 to 1) of each limit that this instance may use. */
  share = 1;

  /** @param limits Rate limits that targets advertise. */
  constructor(limits: TargetRateLimits) {
    this.#limits = limits;
  }

  /**
   * @param targetId Id of a target.
   * @param nowMs Current local time in milliseconds.
   * @returns Whether its rate limit, if any, allows another request.
   */
  allows(targetId: string, nowMs: number): boolean {
    const bucket = this.#bucket(targetId, nowMs);
    return bucket === undefined || bucket.tokens >= 1;
  }

  /**
   * Takes one token from the bucket of a target.
   *
   * @param targetId Id of the target that a request was placed at.
   * @param nowMs Current local time in milliseconds.
   */
  consume(targetId: string, nowMs: number): void {
    const bucket = this.#bucket(targetId, nowMs);
    if (bucket !== undefined) {
      bucket.tokens = Math.max(0, bucket.tokens - 1);
    }
  }

  /**
   * Estimates the slots that a target's rate limit leaves usable.
   *
   * @param target The target.
   * @param holdMs Mean time in milliseconds for which work occupies a slot.
   * @returns Slots that can be busy on average under its limit.
   */
  usableSlots({ targetId, slots }: KnownTarget, holdMs: number): number {
    const ratePerS = this.#ratePerS(targetId);
    return ratePerS === undefined
      ? slots
      : Math.min(slots, ratePerS * holdMs / MS_PER_S);
  }

  /** Evicts the buckets of targets that no longer have a limit. */
  evictUnlimited(): void {
    for (const targetId of this.#buckets.keys()) {
      if (this.#limits.limitPerS(targetId) === undefined) {
        this.#buckets.delete(targetId);
      }
    }
  }

  #ratePerS(targetId: string): number | undefined {
    const limitPerS = this.#limits.limitPerS(targetId);
    return limitPerS === undefined
      ? undefined
      : Math.max(PROBE_PER_S, limitPerS) * this.share;
  }

  /**
   * A new bucket is empty: another coordinator may just have used the limit.
   */
  #bucket(targetId: string, nowMs: number): Bucket | undefined {
    const perS = this.#ratePerS(targetId);
    if (perS === undefined) {
      return undefined;
    }
    let bucket = this.#buckets.get(targetId);
    if (bucket === undefined) {
      bucket = { tokens: 0, filledAtMs: nowMs };
      this.#buckets.set(targetId, bucket);
    }
    const elapsedS = (nowMs - bucket.filledAtMs) / MS_PER_S;
    const capacity = Math.max(MIN_BURST_TOKENS, perS * BURST_S);
    bucket.tokens = Math.min(capacity, bucket.tokens + perS * elapsedS);
    bucket.filledAtMs = nowMs;
    return bucket;
  }
}
