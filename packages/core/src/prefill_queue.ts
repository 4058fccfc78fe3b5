/** The prefill queue of a target: granted prompts that it has not read yet. */

import type { GrantRecord } from "./blackboard.ts";

/** Time that a target needs for the prompts it has not read yet. */
export interface PrefillQueue {
  /** Time until all granted prompts have been read. */
  readonly totalMs: number;
  /** The part of it for prompts that the target has not started to read. */
  readonly notStartedMs: number;
}

/**
 * Estimates the time an engine needs to read the prompts it has. Engines read
 * one prompt after another, and holders report when each has been read.
 *
 * @param grants All grants on the target.
 * @param times The local time, and the time of the latest `PromptRead` message
 * about the target.
 * @returns The length of the prefill queue in milliseconds.
 */
export function prefillQueueOf(
  grants: readonly GrantRecord[],
  times: { nowMs: number; lastReadAtMs: number },
): PrefillQueue {
  let unreadMs = 0;
  let firstUnread: GrantRecord | undefined;
  for (const grant of grants) {
    if (!grant.promptRead) {
      unreadMs += grant.prefillMs;
      firstUnread =
        firstUnread === undefined || grant.grantedAtMs < firstUnread.grantedAtMs
          ? grant
          : firstUnread;
    }
  }
  if (firstUnread === undefined) {
    return { totalMs: 0, notStartedMs: 0 };
  }
  const startedAtMs = Math.max(firstUnread.grantedAtMs, times.lastReadAtMs);
  const totalMs = Math.max(0, unreadMs - (times.nowMs - startedAtMs));
  return {
    totalMs,
    notStartedMs: Math.min(totalMs, unreadMs - firstUnread.prefillMs),
  };
}
