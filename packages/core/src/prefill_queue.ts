/** Prompt work that a target has still to do for the grants it was given. */

import type { GrantRecord } from "./blackboard.ts";

/** Prompt work that waits on a target. */
export interface PrefillQueue {
  /** Until everything there has been read. */
  readonly totalMs: number;
  /** The part of it that has not been begun. */
  readonly notBegunMs: number;
}

/**
 * Estimates how long an engine will go on reading the prompts it has. Engines
 * read one prompt after another; holders tell when each has been read.
 *
 * @param grants Grants on the target.
 * @param since The local time, and when the last prompt was read there.
 * @returns Durations in milliseconds.
 */
export function prefillQueueOf(
  grants: readonly GrantRecord[],
  since: { nowMs: number; lastReadAtMs: number },
): PrefillQueue {
  let workMs = 0;
  let first: GrantRecord | undefined;
  for (const grant of grants) {
    if (!grant.promptRead) {
      workMs += grant.prefillMs;
      first = first === undefined || grant.grantedAtMs < first.grantedAtMs
        ? grant
        : first;
    }
  }
  if (first === undefined) {
    return { totalMs: 0, notBegunMs: 0 };
  }
  const begunAtMs = Math.max(first.grantedAtMs, since.lastReadAtMs);
  const totalMs = Math.max(0, workMs - (since.nowMs - begunAtMs));
  return { totalMs, notBegunMs: Math.min(totalMs, workMs - first.prefillMs) };
}
