/** Work that another coordinator placed, as its holder reports it. */

import type { PlacedWork } from "./placed_work_index.ts";
import type { RunningWork } from "./work_ask.ts";

/**
 * Converts reported work for the accounting of this instance.
 *
 * @param holderId Id of the holder that reports the work.
 * @param running The work.
 * @param nowMs Current local time in milliseconds.
 * @returns The work as if it had been placed now, without a prediction.
 */
export function adoptedWork(
  holderId: string,
  running: RunningWork,
  nowMs: number,
): PlacedWork {
  const {
    askId,
    targetId,
    rank,
    promptTokens,
    outputTokens,
    firstSeen,
    trialOf,
    trialParts,
  } = running;
  return {
    askId,
    holderId,
    targetId,
    rank,
    promptTokens,
    outputTokens,
    placedAtMs: nowMs,
    tokensAhead: 0,
    expectedMs: 0,
    cameBackMs: 0,
    firstSeen,
    firstSeenAtMs: firstSeen ? nowMs : undefined,
    ...(trialOf === undefined ? undefined : {
      crashKeys: { fingerprint: trialOf, promptParts: trialParts },
      isTrial: true as const,
    }),
  };
}
