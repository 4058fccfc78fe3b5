import { ListedKind } from "@chestnuthatch/wire/platform_protocol";
import { PeerMessageKind } from "@chestnuthatch/wire/peer_messages";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { isEligible, rankCoordinators } from "./coordinators.ts";
import { EffectKind } from "./effects.ts";
import { EventKind } from "./events.ts";
import { effectsOf, makeFakeCore, START_MS } from "./fake_core.ts";
import type { SchedulerCore } from "./scheduler_core.ts";
import { FULL_MESH_MEMBERS, MAX_WANTED_PEERS } from "./wanted_peers.ts";
import { wantedPeers } from "./wanted_peers.ts";

const SHARD = { key: "kazi-desk@njiro-hall", failureDomain: "njiro-hall" };

function hear(core: SchedulerCore, peerId: string, nowMs: number): void {
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

function connect(core: SchedulerCore, peerId: string): void {
  core.handle({ kind: EventKind.PeerConnected, nowMs: START_MS, peerId });
  hear(core, peerId, START_MS);
}

function readList(
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

function eligible(core: SchedulerCore, peerId: string, nowMs: number): boolean {
  const member = core.board.members.byId.get(peerId);
  return member !== undefined && isEligible(core.board, member, nowMs);
}

test("should give a member no duties once its connection is lost", () => {
  const core = makeFakeCore(["njiro-2"]);
  connect(core, "njiro-2");
  assert.ok(eligible(core, "njiro-2", START_MS));
  const { viewNumber } = core.board.members;
  core.handle({
    kind: EventKind.PeerDisconnected,
    nowMs: START_MS + 1,
    peerId: "njiro-2",
  });
  assert.not(eligible(core, "njiro-2", START_MS + 1));
  assert.is(core.board.members.viewNumber, viewNumber + 1);
});

test("should give a member known by rumour no duties until it is listed", () => {
  const core = makeFakeCore();
  connect(core, "njiro-9");
  assert.not(eligible(core, "njiro-9", START_MS));
  readList(core, ["njiro-9"], { nowMs: START_MS + 1 });
  assert.ok(eligible(core, "njiro-9", START_MS + 1));
});

test("should neither remove nor change members by an older list", () => {
  const core = makeFakeCore();
  readList(core, ["njiro-2"], { nowMs: START_MS });
  const older = { nowMs: START_MS + 10, lagMs: 5000, leaving: true };
  readList(core, ["njiro-2", "njiro-3"], older);
  readList(core, [], { nowMs: START_MS + 20, lagMs: 5000 });
  const { byId } = core.board.members;
  assert.is(byId.get("njiro-2")?.listed, true);
  assert.is(byId.get("njiro-2")?.listedLeaving, false);
  assert.ok(byId.has("njiro-3"));
});

test("should give a member no duties while it is listed as leaving", () => {
  const core = makeFakeCore(["njiro-2"]);
  connect(core, "njiro-2");
  readList(core, ["njiro-2"], { nowMs: START_MS + 1, leaving: true });
  assert.not(eligible(core, "njiro-2", START_MS + 1));
});

test("should forget a member that is unlisted and long silent", () => {
  const core = makeFakeCore(["njiro-2"]);
  connect(core, "njiro-2");
  core.handle({
    kind: EventKind.PeerDisconnected,
    nowMs: START_MS,
    peerId: "njiro-2",
  });
  const forgotten: string[] = [];
  for (let nowMs = START_MS; nowMs < START_MS + 40_000; nowMs += 500) {
    const effects = readList(core, [], { nowMs });
    forgotten.push(
      ...effectsOf(effects, EffectKind.ForgetPeer).map((one) => one.peerId),
    );
    if (nowMs < START_MS + 30_000) assert.equal(forgotten, []);
  }
  assert.equal(forgotten, ["njiro-2"]);
});

test("should keep the others' time over a pause and rejoin before duties", () => {
  const core = makeFakeCore(["njiro-2", "njiro-3"]);
  connect(core, "njiro-2");
  connect(core, "njiro-3");
  hear(core, "njiro-2", START_MS + 1200);
  const wokenAtMs = START_MS + 60_000;
  core.handle({ kind: EventKind.Tick, nowMs: wokenAtMs });
  assert.ok(eligible(core, "njiro-2", wokenAtMs));
  assert.not(eligible(core, "njiro-1", wokenAtMs));
  hear(core, "njiro-2", wokenAtMs + 1000);
  const laterMs = wokenAtMs + 1400;
  core.handle({ kind: EventKind.Tick, nowMs: laterMs });
  assert.ok(eligible(core, "njiro-1", laterMs));
  assert.ok(eligible(core, "njiro-2", laterMs));
  assert.not(eligible(core, "njiro-3", laterMs));
});

test("should serve its own requests when nobody is eligible", () => {
  const core = makeFakeCore(["njiro-2"]);
  core.board.self.leaving = true;
  const ranked = rankCoordinators(core.board, SHARD, START_MS);
  assert.equal(ranked.map((member) => member.instanceId), ["njiro-1"]);
});

test("should want all peers of a small fleet and a stable few of a large one", () => {
  const ids = Array.from({ length: 400 }, (_, i) => `peer-${i}`);
  const small = makeFakeCore(ids.slice(0, FULL_MESH_MEMBERS - 1));
  assert.is(wantedPeers(small.board, START_MS).size, FULL_MESH_MEMBERS - 1);
  const large = makeFakeCore(ids);
  const wanted = wantedPeers(large.board, START_MS);
  assert.ok(wanted.size > 0 && wanted.size <= MAX_WANTED_PEERS);
  const larger = makeFakeCore([...ids, "peer-new"]);
  const kept = [...wantedPeers(larger.board, START_MS)]
    .filter((id) => wanted.has(id));
  assert.ok(kept.length >= wanted.size - 1);
});

test("should judge by heartbeats alone a member it keeps no connection to", () => {
  const ids = Array.from({ length: 60 }, (_, i) => `peer-${i}`);
  const core = makeFakeCore(ids);
  const wanted = wantedPeers(core.board, START_MS);
  const [unwanted] = ids.filter((id) => !wanted.has(id));
  const [dialled] = ids.filter((id) => wanted.has(id));
  hear(core, unwanted, START_MS);
  hear(core, dialled, START_MS);
  assert.ok(eligible(core, unwanted, START_MS));
  assert.not(eligible(core, dialled, START_MS));
});

test.run();
