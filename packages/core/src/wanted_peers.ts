/** Which peers this instance keeps a connection to. */

import { type Blackboard, type Member, shardKey } from "./blackboard.ts";
import type { Turn } from "./controller.ts";
import { isAlive, rankMembers } from "./coordinators.ts";
import { hash32 } from "./text_hash.ts";
import { EffectKind } from "./effects.ts";
import { RequestState } from "./request.ts";

/** Up to this many members, everyone is connected to everyone. */
export const FULL_MESH_MEMBERS = 32;

/** Most connections kept in a larger fleet. */
export const MAX_WANTED_PEERS = 32;

/** Peers kept for gossip alone in a larger fleet. */
const GOSSIP_NEIGHBOURS = 8;

/** Coordinators of each own shard that are kept: the present one and the next. */
const COORDINATORS_KEPT = 2;

/**
 * Names the peers to keep connected: all in a small fleet; in a larger one a
 * stable random set for gossip and those that this instance has duties with.
 *
 * @param board The instance's state.
 * @param nowMs The local time.
 * @returns Instance ids, a bounded number in a larger fleet.
 */
export function wantedPeers(board: Blackboard, nowMs: number): Set<string> {
  const others = [...board.members.byId.values()].filter((member) =>
    member.instanceId !== board.self.instanceId
  );
  if (board.members.byId.size <= FULL_MESH_MEMBERS) {
    return new Set(others.map((member) => member.instanceId));
  }
  const wanted = new Set(gossipNeighbours(board, others, nowMs));
  for (const peerId of dutyPeers(board, nowMs)) {
    if (wanted.size >= MAX_WANTED_PEERS) {
      break;
    }
    if (peerId !== board.self.instanceId && board.members.byId.has(peerId)) {
      wanted.add(peerId);
    }
  }
  return wanted;
}

function gossipNeighbours(
  board: Blackboard,
  others: readonly Member[],
  nowMs: number,
): string[] {
  const scored = others.map((member) => ({
    id: member.instanceId,
    alive: isAlive(board, member, nowMs) ? 1 : 0,
    score: hash32(`${board.self.instanceId}/${member.instanceId}`),
  }));
  scored.sort((a, b) =>
    b.alive - a.alive || b.score - a.score || (a.id < b.id ? -1 : 1)
  );
  return scored.slice(0, GOSSIP_NEIGHBOURS).map(({ id }) => id);
}

function* dutyPeers(board: Blackboard, nowMs: number): Generator<string> {
  yield* ownShardCoordinators(board, nowMs);
  for (const held of board.requests.byId.values()) {
    if (held.attempt !== undefined && held.state === RequestState.Dispatched) {
      yield held.attempt.coordinatorId;
    }
    for (const ask of held.asks.values()) {
      yield ask.coordinatorId;
    }
  }
  for (const shard of board.shards.byKey.values()) {
    for (const { holderId } of shard.grants.values()) {
      yield holderId;
    }
    for (const { holderId } of shard.waiting.values()) {
      yield holderId;
    }
  }
}

/** Judged without regard to connections, or wanting one would end it. */
function ownShardCoordinators(board: Blackboard, nowMs: number): string[] {
  const { failureDomain } = board.self;
  const alive = [...board.members.byId.values()].filter((member) =>
    isAlive(board, member, nowMs) && !member.leaving
  );
  const pools = new Set(
    [...(board.settings.inForce?.targets.values() ?? [])]
      .filter((target) => target.failureDomain === failureDomain)
      .map((target) => target.pool),
  );
  return [...pools].flatMap((pool) =>
    rankMembers(alive, { key: shardKey(pool, failureDomain), failureDomain })
      .slice(0, COORDINATORS_KEPT)
      .map((member) => member.instanceId)
  );
}

/**
 * Orders connections to wanted peers, and ends those that are no longer wanted
 * once there are too many.
 *
 * @param turn The present turn.
 */
export function keepConnections(turn: Turn): void {
  const wanted = wantedPeers(turn.board, turn.nowMs);
  for (const peerId of wanted) {
    dial(turn, turn.board.members.byId.get(peerId));
  }
  const dialled = [...turn.board.members.byId.values()].filter((member) =>
    member.dialledAddress !== undefined
  );
  if (dialled.length > MAX_WANTED_PEERS) {
    dialled.filter((member) => !wanted.has(member.instanceId))
      .forEach((member) => endConnection(turn, member));
  }
}

function dial(turn: Turn, member: Member | undefined): void {
  if (
    member === undefined || member.address === "" ||
    member.address === member.dialledAddress
  ) {
    return;
  }
  member.dialledAddress = member.address;
  turn.emit({
    kind: EffectKind.ConnectPeer,
    peerId: member.instanceId,
    address: member.address,
  });
}

function endConnection(turn: Turn, member: Member): void {
  member.dialledAddress = undefined;
  turn.emit({ kind: EffectKind.ForgetPeer, peerId: member.instanceId });
}
