/** Selects the peers that this instance keeps connections to. */

import { type Blackboard, type Member, shardKey } from "./blackboard.ts";
import type { Turn } from "./controller.ts";
import { isAlive, rankMembers } from "./coordinators.ts";
import { hash32 } from "./text_hash.ts";
import { EffectKind } from "./effects.ts";
import { RequestState } from "./request.ts";

/** Up to this many members, every instance connects to every other. */
export const FULL_MESH_MEMBERS = 32;

/** Upper bound on connections kept in a larger fleet. */
export const MAX_PEER_CONNECTIONS = 32;

/** Peers connected only for gossip in a larger fleet. */
const GOSSIP_NEIGHBOURS = 8;

/** Connected per shard of this domain: its coordinator and the next in rank. */
const CONNECTED_COORDINATORS_PER_SHARD = 2;

/**
 * Selects the peers to keep connected: all of them in a small fleet; in a
 * larger one a stable pseudo-random set for gossip, plus the coordinators and
 * holders of the asks and grants that this instance keeps.
 *
 * @param board The instance's state.
 * @param nowMs The local time in milliseconds.
 * @returns Instance ids; in a fleet of more than {@link FULL_MESH_MEMBERS}, at
 * most {@link MAX_PEER_CONNECTIONS}.
 */
export function selectPeerIds(board: Blackboard, nowMs: number): Set<string> {
  const others = [...board.members.byId.values()].filter((member) =>
    member.instanceId !== board.self.instanceId
  );
  if (board.members.byId.size <= FULL_MESH_MEMBERS) {
    return new Set(others.map((member) => member.instanceId));
  }
  const selected = new Set(gossipNeighbourIds(board, others, nowMs));
  for (const peerId of counterpartIds(board, nowMs)) {
    if (selected.size >= MAX_PEER_CONNECTIONS) {
      break;
    }
    if (peerId !== board.self.instanceId && board.members.byId.has(peerId)) {
      selected.add(peerId);
    }
  }
  return selected;
}

function gossipNeighbourIds(
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

/** Coordinators and holders of the asks and grants kept on this instance. */
function* counterpartIds(board: Blackboard, nowMs: number): Generator<string> {
  yield* localShardCoordinatorIds(board, nowMs);
  for (const request of board.requests.byId.values()) {
    if (
      request.attempt !== undefined && request.state === RequestState.Dispatched
    ) {
      yield request.attempt.coordinatorId;
    }
    for (const ask of request.asks.values()) {
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

/**
 * Ranks by liveness instead of eligibility: a dialled peer is eligible only
 * while connected, so it would be deselected before its connection is up.
 */
function localShardCoordinatorIds(board: Blackboard, nowMs: number): string[] {
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
      .slice(0, CONNECTED_COORDINATORS_PER_SHARD)
      .map((member) => member.instanceId)
  );
}

/**
 * Opens connections to the selected peers, and closes those to other peers
 * once there are more than {@link MAX_PEER_CONNECTIONS}.
 *
 * @param turn The current turn.
 */
export function updateConnections(turn: Turn): void {
  const selected = selectPeerIds(turn.board, turn.nowMs);
  for (const peerId of selected) {
    dial(turn, turn.board.members.byId.get(peerId));
  }
  const dialled = [...turn.board.members.byId.values()].filter((member) =>
    member.dialledAddress !== undefined
  );
  if (dialled.length > MAX_PEER_CONNECTIONS) {
    dialled.filter((member) => !selected.has(member.instanceId))
      .forEach((member) => closeConnection(turn, member));
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

function closeConnection(turn: Turn, member: Member): void {
  member.dialledAddress = undefined;
  turn.emit({ kind: EffectKind.DisconnectPeer, peerId: member.instanceId });
}
