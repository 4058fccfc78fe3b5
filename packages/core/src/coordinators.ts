/**
 * Liveness and eligibility of members, and the assignment of coordinators to
 * shards by rendezvous hashing over the eligible members. The coordinator of a
 * shard is the instance that schedules the work of the shard's targets.
 */

import { hash32 } from "./text_hash.ts";
import type { Blackboard, Member } from "./blackboard.ts";
import { timingInForce } from "./timing.ts";

/**
 * Added to a member's score for shards of its own failure domain. Hashes have
 * 32 bits, so a member with the bonus ranks before every member without it.
 */
const OWN_DOMAIN_SCORE_BONUS = 2 ** 32;

/**
 * Lower bound of the members whose heartbeats gossip renews in one heartbeat
 * interval, as measured in trials.
 */
const MEMBERS_RENEWED_PER_HEARTBEAT = 2;

/**
 * Returns the time without a heartbeat after which a member counts as failed.
 * It grows with the fleet, since a gossip digest of bounded size takes longer
 * to include every member.
 *
 * @param board The instance's state.
 * @returns The timeout in milliseconds.
 */
export function livenessTimeoutMs(board: Blackboard): number {
  const { memberTimeoutMs, heartbeatMs } = timingInForce(board);
  const gossipRoundMs = heartbeatMs * board.members.byId.size /
    MEMBERS_RENEWED_PER_HEARTBEAT;
  return Math.max(memberTimeoutMs, gossipRoundMs);
}

/**
 * Checks whether a member's heartbeat advanced within the liveness timeout.
 *
 * @param board The instance's state.
 * @param member The member to check.
 * @param nowMs The local time in milliseconds.
 * @returns Whether the member counts as alive; always true for this instance.
 */
export function isAlive(
  board: Blackboard,
  member: Member,
  nowMs: number,
): boolean {
  return member.instanceId === board.self.instanceId ||
    (member.heartbeat > 0 &&
      nowMs - member.heartbeatAdvancedAtMs < livenessTimeoutMs(board));
}

/**
 * Checks whether a member may coordinate shards now.
 *
 * A member that this instance dials must be connected. A member that it does
 * not dial by design is checked by its heartbeats alone. A member known only
 * from gossip has no failure domain yet and is not eligible.
 *
 * @param board The instance's state.
 * @param member The member to check.
 * @param nowMs The local time in milliseconds.
 * @returns Whether the member is alive, reachable, and neither leaving nor
 * draining.
 */
export function isEligible(
  board: Blackboard,
  member: Member,
  nowMs: number,
): boolean {
  if (isLeavingOrDraining(board, member)) {
    return false;
  }
  if (member.instanceId === board.self.instanceId) {
    return !isRejoiningAfterPause(board, nowMs);
  }
  const isReachable = member.connected || member.dialledAddress === undefined;
  return isReachable && member.failureDomain !== "" &&
    isAlive(board, member, nowMs);
}

function isLeavingOrDraining(board: Blackboard, member: Member): boolean {
  const isSelf = member.instanceId === board.self.instanceId;
  return member.leaving || member.listedLeaving === true ||
    (isSelf && board.self.leaving) ||
    board.settings.inForce?.drainingInstances.has(member.instanceId) === true;
}

/**
 * Whether this instance resumed from a long pause less than one heartbeat
 * interval ago. Its shards have moved to other coordinators meanwhile, so it
 * rejoins the membership before it coordinates again.
 */
function isRejoiningAfterPause(board: Blackboard, nowMs: number): boolean {
  const resumedAtMs = board.members.resumedAtMs ?? -Infinity;
  return nowMs - resumedAtMs < timingInForce(board).heartbeatMs;
}

/**
 * Ranks the instances that may coordinate a shard; the first one is its
 * coordinator. Instances of the shard's own failure domain rank before all
 * others. Where no instance is eligible, this instance coordinates the shard
 * for the requests that it holds itself.
 *
 * @param board The instance's state.
 * @param shard The shard's key and failure domain.
 * @param nowMs The local time in milliseconds.
 * @returns The eligible members in order of rank.
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
 * Sorts members by their rendezvous hash for a shard, those of the shard's
 * failure domain first.
 *
 * @param members The members to sort.
 * @param shard The shard's key and failure domain.
 * @returns The members in order of rank.
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
      (member.failureDomain === shard.failureDomain
        ? OWN_DOMAIN_SCORE_BONUS
        : 0),
  }));
  scored.sort((a, b) =>
    b.score - a.score || (a.member.instanceId < b.member.instanceId ? -1 : 1)
  );
  return scored.map(({ member }) => member);
}
