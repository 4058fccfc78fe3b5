/** Notices that this instance was paused, so that it acts on nothing old. */

import type { Turn } from "./controller.ts";
import { LogLevel, LogPart } from "./effects.ts";
import { timingOf } from "./timing.ts";

/** Share of the member timeout that a gap between events must pass. */
const PAUSE_TIMEOUT_SHARE = 0.5;

/**
 * Looks at the gap since the latest event, of which ticks alone make many a
 * second. Silence is counted only while this instance could listen: members
 * keep the time they had left. After a gap as long as the member timeout others
 * hold this instance's duties, so that it goes without them for a moment.
 *
 * @param turn The present turn.
 */
export function detectPause(turn: Turn): void {
  const { members } = turn.board;
  const { memberTimeoutMs } = timingOf(turn.board);
  const gapMs = turn.nowMs - (members.lastEventAtMs ?? turn.nowMs);
  members.lastEventAtMs = turn.nowMs;
  if (gapMs <= memberTimeoutMs * PAUSE_TIMEOUT_SHARE) {
    return;
  }
  for (const member of members.byId.values()) {
    member.lastAdvancedMs += gapMs;
  }
  if (gapMs >= memberTimeoutMs) {
    members.wokenAtMs = turn.nowMs;
  }
  turn.log(
    LogLevel.Warn,
    LogPart.Members,
    `Woke from a pause of ${Math.round(gapMs)} ms.`,
  );
}
