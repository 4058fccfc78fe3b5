/** Which instance coordinates which shard: rendezvous hashing over the view. */

import type { Blackboard, Member } from "./blackboard.ts";

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/**
 * Hashes a text to 32 bits (FNV-1a with a final mix).
 *
 * @param text Any text.
 * @returns An unsigned 32-bit number.
 */
export function hash32(text: string): number {
  let hash = FNV_OFFSET;
  for (let i = 0; i < text.length; i++) {
    hash = Math.imul(hash ^ text.charCodeAt(i), FNV_PRIME);
  }
  hash ^= hash >>> 16;
  hash = Math.imul(hash, 0x7feb352d);
  hash ^= hash >>> 15;
  return hash >>> 0;
}

/**
 * Tells whether a member may be given duties now.
 *
 * @param board The instance's state.
 * @param member The member asked about.
 * @param nowMs The local time.
 * @returns True when it is alive and not leaving.
 */
export function isEligible(
  board: Blackboard,
  member: Member,
  nowMs: number,
): boolean {
  if (member.instanceId === board.self.instanceId) {
    return !board.self.leaving;
  }
  const timeoutMs = board.settings.inForce?.timing.memberTimeoutMs ?? 0;
  return member.connected && !member.leaving && member.heartbeat > 0 &&
    nowMs - member.lastAdvancedMs < timeoutMs;
}

/**
 * Ranks the instances that may coordinate a shard, the coordinator first.
 * Live instances of the shard's own domain come before all others.
 *
 * @param board The instance's state.
 * @param shard The shard's key and failure domain.
 * @param nowMs The local time.
 * @returns Eligible members, best first.
 */
export function rankCoordinators(
  board: Blackboard,
  shard: { key: string; failureDomain: string },
  nowMs: number,
): Member[] {
  const eligible = [...board.members.byId.values()]
    .filter((member) => isEligible(board, member, nowMs));
  const score = (member: Member) =>
    hash32(`${shard.key}/${member.instanceId}`) +
    (member.failureDomain === shard.failureDomain ? 2 ** 32 : 0);
  return eligible.sort((a, b) =>
    score(b) - score(a) || (a.instanceId < b.instanceId ? -1 : 1)
  );
}
