/** Which instance coordinates which shard: rendezvous hashing over the view. */

import { hash32 } from "./text_hash.ts";
import type { Blackboard, Member } from "./blackboard.ts";
import { timingInForce } from "./timing.ts";

/** Added to a score so that instances of the shard's own domain come first. */
const OWN_DOMAIN_BONUS = 2 ** 32;

/**
 * Members whose heartbeats gossip surely renews in one heartbeat interval;
 * see `docs/design/membership.md` for the trials behind it.
 */
const MEMBERS_RENEWED_PER_HEARTBEAT = 2;

/**
 * Gives the silence after which a member counts as gone. It grows with the
 * fleet, since a bounded digest takes longer to come round to each member.
 *
 * @param board The instance's state.
 * @returns A duration in milliseconds.
 */
export function silenceLimitMs(board: Blackboard): number {
  const { memberTimeoutMs, heartbeatMs } = timingInForce(board);
  const gossipRoundMs = heartbeatMs * board.members.byId.size /
    MEMBERS_RENEWED_PER_HEARTBEAT;
  return Math.max(memberTimeoutMs, gossipRoundMs);
}

/**
 * Tells whether a member's heartbeat has advanced lately.
 *
 * @param board The instance's state.
 * @param member The member asked about.
 * @param nowMs The local time.
 * @returns True for this instance itself, too.
 */
export function isAlive(
  board: Blackboard,
  member: Member,
  nowMs: number,
): boolean {
  return member.instanceId === board.self.instanceId ||
    (member.heartbeat > 0 &&
      nowMs - member.heartbeatAdvancedAtMs < silenceLimitMs(board));
}

/**
 * Tells whether a member may be given duties now.
 *
 * A member that this instance keeps a connection to must be connected. One
 * that it keeps none to by design is judged by its heartbeats alone. A member
 * known only by rumour has no failure domain yet and gets no duties.
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
  if (isGoingAway(board, member)) {
    return false;
  }
  if (member.instanceId === board.self.instanceId) {
    return !isSettling(board, nowMs);
  }
  const reachable = member.connected || member.dialledAddress === undefined;
  return reachable && member.failureDomain !== "" &&
    isAlive(board, member, nowMs);
}

function isGoingAway(board: Blackboard, member: Member): boolean {
  const isSelf = member.instanceId === board.self.instanceId;
  return member.leaving || member.listedLeaving === true ||
    (isSelf && board.self.leaving) ||
    board.settings.inForce?.drainingInstances.has(member.instanceId) === true;
}

/** After a long pause others hold this instance's duties; it rejoins first. */
function isSettling(board: Blackboard, nowMs: number): boolean {
  const wokenAtMs = board.members.resumedAtMs ?? -Infinity;
  return nowMs - wokenAtMs < timingInForce(board).heartbeatMs;
}

/**
 * Ranks the instances that may coordinate a shard, the coordinator first.
 * Live instances of the shard's own domain come before all others. Where no
 * instance is eligible, this one serves what it holds by itself.
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
  const members = [...board.members.byId.values()];
  const eligible = members.filter((member) => isEligible(board, member, nowMs));
  if (eligible.length === 0) {
    return members.filter((member) =>
      member.instanceId === board.self.instanceId
    );
  }
  return rankMembers(eligible, shard);
}

/**
 * Orders members by their rendezvous score for a shard.
 *
 * @param members The members to order.
 * @param shard The shard's key and failure domain.
 * @returns The members, best first.
 */
export function rankMembers<
  M extends Pick<Member, "instanceId" | "failureDomain">,
>(
  members: readonly M[],
  shard: { key: string; failureDomain: string },
): M[] {
  const scored = members.map((member) => ({
    member,
    score: hash32(`${shard.key}/${member.instanceId}`) +
      (member.failureDomain === shard.failureDomain ? OWN_DOMAIN_BONUS : 0),
  }));
  scored.sort((a, b) =>
    b.score - a.score || (a.member.instanceId < b.member.instanceId ? -1 : 1)
  );
  return scored.map(({ member }) => member);
}
