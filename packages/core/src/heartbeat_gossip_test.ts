import type { MemberState } from "@chestnuthatch/wire/peer_messages";
import { PeerMessageKind } from "@chestnuthatch/wire/peer_messages";
import fc from "fast-check";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { EffectKind, LogLevel } from "./effects.ts";
import {
  createTestCore,
  createTurn,
  effectsOf,
  START_MS,
} from "./test_core.ts";
import {
  MAX_DIGEST_MEMBERS,
  mergeHeartbeat,
  sendDigest,
} from "./heartbeat_gossip.ts";

const PROPERTY = { seed: 11, numRuns: 200 };

function createEntry(fields: Partial<MemberState>): MemberState {
  return {
    instanceId: "njiro-2",
    incarnation: 5,
    heartbeat: 10,
    leaving: false,
    settingsVersion: 0,
    ...fields,
  };
}

test("should ignore an older incarnation and older heartbeats", () => {
  const core = createTestCore(["njiro-2"]);
  mergeHeartbeat(createTurn(core), [createEntry({})]);
  const later = createTurn(core, START_MS + 100);
  mergeHeartbeat(later, [
    createEntry({ incarnation: 4, heartbeat: 99, leaving: true }),
    createEntry({ heartbeat: 9 }),
  ]);
  const member = core.board.members.byId.get("njiro-2")!;
  assert.is(member.incarnation, 5);
  assert.is(member.heartbeat, 10);
  assert.is(member.leaving, false);
  assert.is(member.heartbeatAdvancedAtMs, START_MS);
});

test("should reach the same state whatever the order of entries", () => {
  const entryLists = fc.array(
    fc.record({
      incarnation: fc.integer({ min: 1, max: 3 }),
      heartbeat: fc.integer({ min: 1, max: 5 }),
      leaving: fc.boolean(),
      settingsVersion: fc.integer({ min: 0, max: 4 }),
    }).map(createEntry),
    { minLength: 1, maxLength: 8 },
  );
  fc.assert(
    fc.property(entryLists, (received) => {
      const core = createTestCore();
      for (const entry of received) mergeHeartbeat(createTurn(core), [entry]);
      const member = core.board.members.byId.get("njiro-2")!;
      const incarnation = Math.max(
        ...received.map((entry) => entry.incarnation),
      );
      const latest = received.filter((entry) =>
        entry.incarnation === incarnation
      );
      assert.is(member.incarnation, incarnation);
      assert.is(
        member.heartbeat,
        Math.max(...latest.map((entry) => entry.heartbeat)),
      );
      assert.is(member.leaving, latest.some((entry) => entry.leaving));
      assert.is(
        member.settingsVersion,
        Math.max(...latest.map((entry) => entry.settingsVersion)),
      );
    }),
    PROPERTY,
  );
});

test("should log once that another process has its id", () => {
  const core = createTestCore();
  const turn = createTurn(core);
  const entry = createEntry({ instanceId: "njiro-1", incarnation: 4 });
  mergeHeartbeat(turn, [entry, entry]);
  const errors = effectsOf(turn.effects, EffectKind.Log)
    .filter((effect) => effect.level === LogLevel.Error);
  assert.is(errors.length, 1);
});

test("should bound a digest, with itself first and no failed members", () => {
  const ids = Array.from({ length: 60 }, (_, i) => `peer-${i}`);
  const core = createTestCore(ids);
  mergeHeartbeat(createTurn(core, -100_000), [
    createEntry({ instanceId: "peer-0" }),
  ]);
  mergeHeartbeat(
    createTurn(core),
    ids.slice(1).map((instanceId) => createEntry({ instanceId })),
  );
  const turn = createTurn(core);
  sendDigest(turn, "peer-1");
  const [{ message }] = effectsOf(turn.effects, EffectKind.SendPeer);
  assert.is(message.kind, PeerMessageKind.Heartbeat);
  if (message.kind === PeerMessageKind.Heartbeat) {
    const digestIds = message.members.map((entry) => entry.instanceId);
    assert.is(digestIds.length, MAX_DIGEST_MEMBERS);
    assert.is(digestIds[0], "njiro-1");
    assert.not(digestIds.includes("peer-0"));
    assert.is(new Set(digestIds).size, MAX_DIGEST_MEMBERS);
  }
});

test.run();
