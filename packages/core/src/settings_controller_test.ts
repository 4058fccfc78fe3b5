import { PeerMessageKind } from "@chestnuthatch/wire/peer_messages";
import fc from "fast-check";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { EffectKind, LogLevel } from "./effects.ts";
import { EventKind } from "./events.ts";
import {
  createTestCore,
  effectsOf,
  START_MS,
  TEST_SETTINGS,
} from "./test_core.ts";
import { readinessOf } from "./readiness.ts";
import type { SchedulerCore } from "./scheduler_core.ts";
import { MIN_OFFER_INTERVAL_MS, OFFER_FANOUT } from "./settings_offers.ts";

const PROPERTY = { seed: 12, numRuns: 200 };
const BAD_SETTINGS = "tiers: { fault-notes: { rank: high } }";

interface SettingsInput {
  readonly version: number;
  readonly content?: string;
  readonly changeId?: string;
  readonly nowMs?: number;
}

function receiveFromStore(core: SchedulerCore, input: SettingsInput) {
  return core.handle({
    kind: EventKind.SettingsRead,
    nowMs: input.nowMs ?? START_MS,
    version: input.version,
    content: input.content ?? TEST_SETTINGS,
    changeId: input.changeId ?? `change-${input.version}`,
  });
}

function receiveOffer(core: SchedulerCore, input: SettingsInput) {
  return core.handle({
    kind: EventKind.PeerMessageReceived,
    nowMs: START_MS,
    fromId: "njiro-2",
    fromIncarnation: 1,
    message: {
      kind: PeerMessageKind.SettingsOffer,
      version: input.version,
      content: input.content ?? TEST_SETTINGS,
      changeId: input.changeId ?? `change-${input.version}`,
    },
  });
}

function repliesToHeartbeat(
  core: SchedulerCore,
  version: number,
  nowMs = START_MS,
) {
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

function errorsIn(effects: ReturnType<typeof receiveFromStore>): number {
  return effectsOf(effects, EffectKind.Log)
    .filter((effect) => effect.level === LogLevel.Error).length;
}

test("should never apply a lower version or invalid content", () => {
  const step = fc.record({
    version: fc.integer({ min: 0, max: 8 }),
    content: fc.constantFrom(TEST_SETTINGS, BAD_SETTINGS, "", "a: ["),
    changeId: fc.constantFrom("change-a", "change-b"),
    offered: fc.boolean(),
  });
  fc.assert(
    fc.property(fc.array(step, { maxLength: 12 }), (steps) => {
      const core = createTestCore(["njiro-2"]);
      const { settings } = core.board;
      let version = 0;
      let changeId = "";
      for (const { offered, ...input } of steps) {
        (offered ? receiveOffer : receiveFromStore)(core, input);
        const isApplied = input.version > version &&
          input.content === TEST_SETTINGS;
        if (isApplied) ({ version, changeId } = input);
        assert.is(settings.inForce?.version ?? 0, version);
        assert.is(settings.changeId, changeId);
      }
    }),
    PROPERTY,
  );
});

test("should log the same invalid content once and apply a valid one after it", () => {
  const core = createTestCore();
  assert.is(
    errorsIn(receiveFromStore(core, { version: 2, content: BAD_SETTINGS })),
    1,
  );
  assert.is(
    errorsIn(receiveFromStore(core, { version: 2, content: BAD_SETTINGS })),
    0,
  );
  assert.not(readinessOf(core.board).ready);
  receiveFromStore(core, { version: 2 });
  assert.ok(readinessOf(core.board).ready);
});

test("should log a conflict and keep the change in force", () => {
  const core = createTestCore();
  receiveFromStore(core, { version: 2, changeId: "change-a" });
  assert.is(
    errorsIn(receiveFromStore(core, { version: 2, changeId: "change-b" })),
    1,
  );
  assert.is(core.board.settings.changeId, "change-a");
});

test("should offer a new version to a bounded number of peers at once", () => {
  const ids = Array.from({ length: 9 }, (_, i) => `peer-${i}`);
  const core = createTestCore(ids);
  for (const peerId of ids) {
    core.handle({ kind: EventKind.PeerConnected, nowMs: START_MS, peerId });
  }
  const sent = effectsOf(
    receiveFromStore(core, { version: 1 }),
    EffectKind.SendPeer,
  );
  assert.is(sent.length, OFFER_FANOUT);
});

test("should offer to an outdated peer at once but not again within seconds", () => {
  const core = createTestCore(["njiro-2"]);
  receiveFromStore(core, { version: 4 });
  const offered = [PeerMessageKind.SettingsOffer];
  assert.equal(repliesToHeartbeat(core, 3), offered);
  assert.equal(repliesToHeartbeat(core, 3, START_MS + 500), []);
  assert.equal(
    repliesToHeartbeat(core, 3, START_MS + MIN_OFFER_INTERVAL_MS),
    offered,
  );
  assert.equal(
    repliesToHeartbeat(core, 4, START_MS + 2 * MIN_OFFER_INTERVAL_MS),
    [],
  );
});

test("should request settings of a newer peer, and of any peer while it has none", () => {
  const core = createTestCore(["njiro-2"]);
  const effects = core.handle({
    kind: EventKind.PeerConnected,
    nowMs: START_MS,
    peerId: "njiro-2",
  });
  const kinds = effectsOf(effects, EffectKind.SendPeer)
    .map(({ message }) => message.kind);
  assert.ok(kinds.includes(PeerMessageKind.SettingsWanted));
  receiveFromStore(core, { version: 4 });
  assert.equal(repliesToHeartbeat(core, 5), [PeerMessageKind.SettingsWanted]);
  assert.equal(repliesToHeartbeat(core, 5, START_MS + 100), []);
});

test.run();
