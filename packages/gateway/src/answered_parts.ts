/**
 * Parts of prompts that targets have answered to this instance. Crashes are
 * hardly ever due to them, although most requests on a crashed target have
 * some of them.
 */

import { type RoutedCall, sharedPartsOf } from "./routed_call.ts";

/** Largest number of parts; the one that was answered first is evicted. */
const MAX_PARTS = 2048;

/** Parts of one request that are examined after a crash. */
const MAX_EXAMINED_PARTS = 32;

/** Time after which an answer no longer counts in favor of a part. */
const RETENTION_MS = 600_000;

/** Records when targets last answered requests with a part. */
export class AnsweredParts {
  /** Local times of the last answers, oldest first. */
  readonly #answeredAtMs = new Map<string, number>();

  /**
   * Records that a target answered a request.
   *
   * @param call The request.
   * @param nowMs The local time.
   */
  record(call: RoutedCall, nowMs: number): void {
    for (const part of sharedPartsOf(call)) {
      const key = keyOf(call.pool, part);
      this.#answeredAtMs.delete(key);
      this.#answeredAtMs.set(key, nowMs);
    }
    for (const key of this.#answeredAtMs.keys()) {
      if (this.#answeredAtMs.size <= MAX_PARTS) {
        return;
      }
      this.#answeredAtMs.delete(key);
    }
  }

  /**
   * Lists the shared parts of a request that may have crashed a target.
   *
   * @param call The request.
   * @returns Ids of parts, those without an answer first; the parts that were
   * answered last are left out if there are too many.
   */
  leastAnswered(call: RoutedCall): string[] {
    const parts = sharedPartsOf(call);
    return parts.length <= MAX_EXAMINED_PARTS ? parts : parts
      .map((part) => ({ part, atMs: this.#lastAnsweredAtMs(call.pool, part) }))
      .sort((a, b) => a.atMs - b.atMs || 0)
      .slice(0, MAX_EXAMINED_PARTS)
      .map(({ part }) => part);
  }

  /**
   * @param pool Name of a pool.
   * @param part Id of a part of prompts.
   * @param nowMs The local time.
   * @returns Time in milliseconds since a target of the pool answered a request
   * with the part; undefined if none did lately.
   */
  ageMs(pool: string, part: string, nowMs: number): number | undefined {
    const ageMs = nowMs - this.#lastAnsweredAtMs(pool, part);
    return ageMs <= RETENTION_MS ? ageMs : undefined;
  }

  #lastAnsweredAtMs(pool: string, part: string): number {
    return this.#answeredAtMs.get(keyOf(pool, part)) ?? -Infinity;
  }
}

function keyOf(pool: string, part: string): string {
  return `${pool} ${part}`;
}
