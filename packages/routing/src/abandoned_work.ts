/**
 * Requests that callers abandoned before a target began to answer them. A
 * target may go on with such a request for some time, and crash under it.
 */

import type { CrashKeys } from "./crash_suspects.ts";

/** Time for which a target may still run an abandoned request. */
const MAX_RUN_MS = 1000;

/** Largest number of requests; the one that was abandoned first is dropped. */
const MAX_REQUESTS = 256;

/** An abandoned request. */
export interface AbandonedRequest {
  readonly targetId: string;
  readonly keys: CrashKeys;
  /** Whether it ran as a trial. */
  readonly inTrial: boolean;
  /** Local time at which it was abandoned, in milliseconds. */
  readonly atMs: number;
}

/** Requests abandoned lately at the targets of all pools. */
export class AbandonedWork {
  #requests: AbandonedRequest[] = [];

  /**
   * Records an abandoned request.
   *
   * @param request The request.
   */
  record(request: AbandonedRequest): void {
    this.#requests = [
      ...this.#requests.slice(-(MAX_REQUESTS - 1)),
      request,
    ];
  }

  /**
   * Lists requests that a target may have run until now.
   *
   * @param targetId Id of the target.
   * @param nowMs Current local time in milliseconds.
   * @returns Requests that were abandoned there lately.
   */
  at(targetId: string, nowMs: number): AbandonedRequest[] {
    return this.#requests.filter((request) =>
      request.targetId === targetId && nowMs - request.atMs <= MAX_RUN_MS
    );
  }
}
