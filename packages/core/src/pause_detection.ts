/** Detects that this process was paused, so that it acts on no stale state. */

import type { Turn } from "./controller.ts";
import { LogLevel, LogPart } from "./effects.ts";
import { timingInForce } from "./timing.ts";

/** Share of the member timeout above which a gap between events is a pause. */
const PAUSE_TIMEOUT_SHARE = 0.5;

/**
 * Checks the gap since the latest event; ticks alone fire many times a second.
 * The gap does not count as silence of the members, since this instance could
 * not receive their heartbeats: each keeps the time it had left. After a gap
 * as long as the member timeout, other instances coordinate this instance's
 * shards, so it stays ineligible for one heartbeat interval.
 *
 * @param turn The current turn.
 */
export function detectPause(turn: Turn): void {
  const { members } = turn.board;
  const { memberTimeoutMs } = timingInForce(turn.board);
  const gapMs = turn.nowMs - (members.lastEventAtMs ?? turn.nowMs);
  members.lastEventAtMs = turn.nowMs;
  if (gapMs <= memberTimeoutMs * PAUSE_TIMEOUT_SHARE) {
    return;
  }
  for (const member of members.byId.values()) {
    member.heartbeatAdvancedAtMs += gapMs;
  }
  if (gapMs >= memberTimeoutMs) {
    members.resumedAtMs = turn.nowMs;
  }
  turn.log(
    LogLevel.Warn,
    LogPart.Members,
    `Resumed after a pause of ${Math.round(gapMs)} ms.`,
  );
}
