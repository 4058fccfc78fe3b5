import { ListedKind } from "@chestnuthatch/wire/platform_protocol";
import { PeerMessageKind } from "@chestnuthatch/wire/peer_messages";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { isEligible, rankCoordinators } from "./coordinators.ts";
import { EffectKind } from "./effects.ts";
import { EventKind } from "./events.ts";
import { createTestCore, effectsOf, START_MS } from "./test_core.ts";
import type { SchedulerCore } from "./scheduler_core.ts";
import { FULL_MESH_MEMBERS, MAX_PEER_CONNECTIONS } from "./peer_connections.ts";
import { selectPeerIds } from "./peer_connections.ts";

const SHARD = { key: "kazi-desk@njiro-hall", failureDomain: "njiro-hall" };

function receiveHeartbeat(
  core: SchedulerCore,
  peerId: string,
  nowMs: number,
): void {
  core.handle({
    kind: EventKind.PeerMessageReceived,
    nowMs,
    fromId: peerId,
    fromIncarnation: 1,
    message: {
      kind: PeerMessageKind.Heartbeat,
      members: [{
        instanceId: peerId,
        incarnation: 1,
        heartbeat: nowMs,
        leaving: false,
        settingsVersion: 0,
      }],
    },
  });
}

function connectPeer(core: SchedulerCore, peerId: string): void {
  core.handle({ kind: EventKind.PeerConnected, nowMs: START_MS, peerId });
  receiveHeartbeat(core, peerId, START_MS);
}

function receiveInstanceList(
  core: SchedulerCore,
  ids: readonly string[],
  options: { nowMs: number; lagMs?: number; leaving?: boolean },
) {
  return core.handle({
    kind: EventKind.InstanceListRead,
    nowMs: options.nowMs,
    list: {
      lagMs: options.lagMs ?? 0,
      instances: ids.map((id) => ({
        id,
        kind: ListedKind.Entry,
        failureDomain: "njiro-hall",
        address: `${id}:7000`,
        leaving: options.leaving ?? false,
      })),
    },
  });
}

function isPeerEligible(
  core: SchedulerCore,
  peerId: string,
  nowMs: number,
): boolean {
  const member = core.board.members.byId.get(peerId);
  return member !== undefined && isEligible(core.board, member, nowMs);
}

test("should make a member ineligible once its connection is lost", () => {
  const core = createTestCore(["njiro-2"]);
  connectPeer(core, "njiro-2");
  assert.ok(isPeerEligible(core, "njiro-2", START_MS));
  const { viewNumber } = core.board.members;
  core.handle({
    kind: EventKind.PeerDisconnected,
    nowMs: START_MS + 1,
    peerId: "njiro-2",
  });
  assert.not(isPeerEligible(core, "njiro-2", START_MS + 1));
  assert.is(core.board.members.viewNumber, viewNumber + 1);
});

test("should keep a member known only by gossip ineligible until it is listed", () => {
  const core = createTestCore();
  connectPeer(core, "njiro-9");
  assert.not(isPeerEligible(core, "njiro-9", START_MS));
  receiveInstanceList(core, ["njiro-9"], { nowMs: START_MS + 1 });
  assert.ok(isPeerEligible(core, "njiro-9", START_MS + 1));
});

test("should neither remove nor change members on an older list", () => {
  const core = createTestCore();
  receiveInstanceList(core, ["njiro-2"], { nowMs: START_MS });
  const older = { nowMs: START_MS + 10, lagMs: 5000, leaving: true };
  receiveInstanceList(core, ["njiro-2", "njiro-3"], older);
  receiveInstanceList(core, [], { nowMs: START_MS + 20, lagMs: 5000 });
  const { byId } = core.board.members;
  assert.is(byId.get("njiro-2")?.listed, true);
  assert.is(byId.get("njiro-2")?.listedLeaving, false);
  assert.ok(byId.has("njiro-3"));
});

test("should make a member ineligible while it is listed as leaving", () => {
  const core = createTestCore(["njiro-2"]);
  connectPeer(core, "njiro-2");
  receiveInstanceList(core, ["njiro-2"], {
    nowMs: START_MS + 1,
    leaving: true,
  });
  assert.not(isPeerEligible(core, "njiro-2", START_MS + 1));
});

test("should remove a member that is unlisted and long silent", () => {
  const core = createTestCore(["njiro-2"]);
  connectPeer(core, "njiro-2");
  core.handle({
    kind: EventKind.PeerDisconnected,
    nowMs: START_MS,
    peerId: "njiro-2",
  });
  const forgotten: string[] = [];
  for (let nowMs = START_MS; nowMs < START_MS + 40_000; nowMs += 500) {
    const effects = receiveInstanceList(core, [], { nowMs });
    forgotten.push(
      ...effectsOf(effects, EffectKind.DisconnectPeer).map((effect) =>
        effect.peerId
      ),
    );
    if (nowMs < START_MS + 30_000) assert.equal(forgotten, []);
  }
  assert.equal(forgotten, ["njiro-2"]);
});

test("should not count a pause as silence, and rejoin before it coordinates", () => {
  const core = createTestCore(["njiro-2", "njiro-3"]);
  connectPeer(core, "njiro-2");
  connectPeer(core, "njiro-3");
  receiveHeartbeat(core, "njiro-2", START_MS + 1200);
  const resumedAtMs = START_MS + 60_000;
  core.handle({ kind: EventKind.Tick, nowMs: resumedAtMs });
  assert.ok(isPeerEligible(core, "njiro-2", resumedAtMs));
  assert.not(isPeerEligible(core, "njiro-1", resumedAtMs));
  receiveHeartbeat(core, "njiro-2", resumedAtMs + 1000);
  const laterMs = resumedAtMs + 1400;
  core.handle({ kind: EventKind.Tick, nowMs: laterMs });
  assert.ok(isPeerEligible(core, "njiro-1", laterMs));
  assert.ok(isPeerEligible(core, "njiro-2", laterMs));
  assert.not(isPeerEligible(core, "njiro-3", laterMs));
});

test("should coordinate its own requests when no instance is eligible", () => {
  const core = createTestCore(["njiro-2"]);
  core.board.self.leaving = true;
  const ranked = rankCoordinators(core.board, SHARD, START_MS);
  assert.equal(ranked.map((member) => member.instanceId), ["njiro-1"]);
});

test("should select all peers of a small fleet and a stable few of a large one", () => {
  const ids = Array.from({ length: 400 }, (_, i) => `peer-${i}`);
  const small = createTestCore(ids.slice(0, FULL_MESH_MEMBERS - 1));
  assert.is(selectPeerIds(small.board, START_MS).size, FULL_MESH_MEMBERS - 1);
  const large = createTestCore(ids);
  const selected = selectPeerIds(large.board, START_MS);
  assert.ok(selected.size > 0 && selected.size <= MAX_PEER_CONNECTIONS);
  const larger = createTestCore([...ids, "peer-new"]);
  const kept = [...selectPeerIds(larger.board, START_MS)]
    .filter((id) => selected.has(id));
  assert.ok(kept.length >= selected.size - 1);
});

test("should need only heartbeats from a member not selected for a connection", () => {
  const ids = Array.from({ length: 60 }, (_, i) => `peer-${i}`);
  const core = createTestCore(ids);
  const selected = selectPeerIds(core.board, START_MS);
  const [unselectedId] = ids.filter((id) => !selected.has(id));
  const [selectedId] = ids.filter((id) => selected.has(id));
  receiveHeartbeat(core, unselectedId, START_MS);
  receiveHeartbeat(core, selectedId, START_MS);
  assert.ok(isPeerEligible(core, unselectedId, START_MS));
  assert.not(isPeerEligible(core, selectedId, START_MS));
});

test.run();
