import { PeerMessageKind } from "@chestnuthatch/wire/peer_messages";
import fc from "fast-check";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { EffectKind, LogLevel } from "./effects.ts";
import { EventKind } from "./events.ts";
import {
  effectsOf,
  makeFakeCore,
  START_MS,
  TEST_SETTINGS,
} from "./fake_core.ts";
import { readinessOf } from "./readiness.ts";
import type { SchedulerCore } from "./scheduler_core.ts";
import { OFFER_REPEAT_MS, OFFERS_AT_ONCE } from "./settings_offers.ts";

const PROPERTY = { seed: 12, numRuns: 200 };
const BAD_SETTINGS = "tiers: { fault-notes: { rank: high } }";

interface Given {
  readonly version: number;
  readonly content?: string;
  readonly changeId?: string;
  readonly nowMs?: number;
}

function read(core: SchedulerCore, given: Given) {
  return core.handle({
    kind: EventKind.SettingsRead,
    nowMs: given.nowMs ?? START_MS,
    version: given.version,
    content: given.content ?? TEST_SETTINGS,
    changeId: given.changeId ?? `change-${given.version}`,
  });
}

function offer(core: SchedulerCore, given: Given) {
  return core.handle({
    kind: EventKind.PeerMessageReceived,
    nowMs: START_MS,
    fromId: "njiro-2",
    fromIncarnation: 1,
    message: {
      kind: PeerMessageKind.SettingsOffer,
      version: given.version,
      content: given.content ?? TEST_SETTINGS,
      changeId: given.changeId ?? `change-${given.version}`,
    },
  });
}

function beatOf(core: SchedulerCore, version: number, nowMs = START_MS) {
  const effects = core.handle({
    kind: EventKind.PeerMessageReceived,
    nowMs,
    fromId: "njiro-2",
    fromIncarnation: 1,
    message: {
      kind: PeerMessageKind.Heartbeat,
      members: [{
        instanceId: "njiro-2",
        incarnation: 1,
        heartbeat: nowMs,
        leaving: false,
        settingsVersion: version,
      }],
    },
  });
  return effectsOf(effects, EffectKind.SendPeer)
    .map(({ message }) => message.kind);
}

function errorsIn(effects: ReturnType<typeof read>): number {
  return effectsOf(effects, EffectKind.Log)
    .filter((effect) => effect.level === LogLevel.Error).length;
}

test("should never go down in version, nor take bad content", () => {
  const step = fc.record({
    version: fc.integer({ min: 0, max: 8 }),
    content: fc.constantFrom(TEST_SETTINGS, BAD_SETTINGS, "", "a: ["),
    changeId: fc.constantFrom("change-a", "change-b"),
    offered: fc.boolean(),
  });
  fc.assert(
    fc.property(fc.array(step, { maxLength: 12 }), (steps) => {
      const core = makeFakeCore(["njiro-2"]);
      const { settings } = core.board;
      let version = 0;
      let changeId = "";
      for (const { offered, ...given } of steps) {
        (offered ? offer : read)(core, given);
        const isTaken = given.version > version &&
          given.content === TEST_SETTINGS;
        if (isTaken) ({ version, changeId } = given);
        assert.is(settings.inForce?.version ?? 0, version);
        assert.is(settings.changeId, changeId);
      }
    }),
    PROPERTY,
  );
});

test("should log the same bad content once and take a good one after it", () => {
  const core = makeFakeCore();
  assert.is(errorsIn(read(core, { version: 2, content: BAD_SETTINGS })), 1);
  assert.is(errorsIn(read(core, { version: 2, content: BAD_SETTINGS })), 0);
  assert.not(readinessOf(core.board).ready);
  read(core, { version: 2 });
  assert.ok(readinessOf(core.board).ready);
});

test("should log a conflict and keep the change in force", () => {
  const core = makeFakeCore();
  read(core, { version: 2, changeId: "change-a" });
  assert.is(errorsIn(read(core, { version: 2, changeId: "change-b" })), 1);
  assert.is(core.board.settings.changeId, "change-a");
});

test("should offer a new version to a bounded number of peers at once", () => {
  const ids = Array.from({ length: 9 }, (_, i) => `peer-${i}`);
  const core = makeFakeCore(ids);
  for (const peerId of ids) {
    core.handle({ kind: EventKind.PeerConnected, nowMs: START_MS, peerId });
  }
  const sent = effectsOf(read(core, { version: 1 }), EffectKind.SendPeer);
  assert.is(sent.length, OFFERS_AT_ONCE);
});

test("should offer to an older peer at once but not again within seconds", () => {
  const core = makeFakeCore(["njiro-2"]);
  read(core, { version: 4 });
  const offered = [PeerMessageKind.SettingsOffer];
  assert.equal(beatOf(core, 3), offered);
  assert.equal(beatOf(core, 3, START_MS + 500), []);
  assert.equal(beatOf(core, 3, START_MS + OFFER_REPEAT_MS), offered);
  assert.equal(beatOf(core, 4, START_MS + 2 * OFFER_REPEAT_MS), []);
});

test("should ask a newer peer, and every peer while it has no settings", () => {
  const core = makeFakeCore(["njiro-2"]);
  const effects = core.handle({
    kind: EventKind.PeerConnected,
    nowMs: START_MS,
    peerId: "njiro-2",
  });
  const kinds = effectsOf(effects, EffectKind.SendPeer)
    .map(({ message }) => message.kind);
  assert.ok(kinds.includes(PeerMessageKind.SettingsWanted));
  read(core, { version: 4 });
  assert.equal(beatOf(core, 5), [PeerMessageKind.SettingsWanted]);
  assert.equal(beatOf(core, 5, START_MS + 100), []);
});

test.run();
