import type { MemberState } from "@chestnuthatch/wire/peer_messages";
import { PeerMessageKind } from "@chestnuthatch/wire/peer_messages";
import fc from "fast-check";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { EffectKind, LogLevel } from "./effects.ts";
import { effectsOf, makeFakeCore, makeTurn, START_MS } from "./fake_core.ts";
import { hearMembers, MAX_DIGEST, sendHeartbeat } from "./heartbeat_gossip.ts";

const PROPERTY = { seed: 11, numRuns: 200 };

function word(fields: Partial<MemberState>): MemberState {
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
  const core = makeFakeCore(["njiro-2"]);
  hearMembers(makeTurn(core), [word({})]);
  const later = makeTurn(core, START_MS + 100);
  hearMembers(later, [
    word({ incarnation: 4, heartbeat: 99, leaving: true }),
    word({ heartbeat: 9 }),
  ]);
  const member = core.board.members.byId.get("njiro-2")!;
  assert.is(member.incarnation, 5);
  assert.is(member.heartbeat, 10);
  assert.is(member.leaving, false);
  assert.is(member.lastAdvancedMs, START_MS);
});

test("should reach the same state whatever the order of words", () => {
  const words = fc.array(
    fc.record({
      incarnation: fc.integer({ min: 1, max: 3 }),
      heartbeat: fc.integer({ min: 1, max: 5 }),
      leaving: fc.boolean(),
      settingsVersion: fc.integer({ min: 0, max: 4 }),
    }).map(word),
    { minLength: 1, maxLength: 8 },
  );
  fc.assert(
    fc.property(words, (heard) => {
      const core = makeFakeCore();
      for (const one of heard) hearMembers(makeTurn(core), [one]);
      const member = core.board.members.byId.get("njiro-2")!;
      const incarnation = Math.max(...heard.map((one) => one.incarnation));
      const latest = heard.filter((one) => one.incarnation === incarnation);
      assert.is(member.incarnation, incarnation);
      assert.is(
        member.heartbeat,
        Math.max(...latest.map((one) => one.heartbeat)),
      );
      assert.is(member.leaving, latest.some((one) => one.leaving));
      assert.is(
        member.settingsVersion,
        Math.max(...latest.map((one) => one.settingsVersion)),
      );
    }),
    PROPERTY,
  );
});

test("should log once that another process has its id", () => {
  const core = makeFakeCore();
  const turn = makeTurn(core);
  const rumour = word({ instanceId: "njiro-1", incarnation: 4 });
  hearMembers(turn, [rumour, rumour]);
  const errors = effectsOf(turn.effects, EffectKind.Log)
    .filter((effect) => effect.level === LogLevel.Error);
  assert.is(errors.length, 1);
});

test("should bound a digest, with itself first and no dead members", () => {
  const ids = Array.from({ length: 60 }, (_, i) => `peer-${i}`);
  const core = makeFakeCore(ids);
  hearMembers(makeTurn(core, -100_000), [word({ instanceId: "peer-0" })]);
  hearMembers(
    makeTurn(core),
    ids.slice(1).map((instanceId) => word({ instanceId })),
  );
  const turn = makeTurn(core);
  sendHeartbeat(turn, "peer-1");
  const [{ message }] = effectsOf(turn.effects, EffectKind.SendPeer);
  assert.is(message.kind, PeerMessageKind.Heartbeat);
  if (message.kind === PeerMessageKind.Heartbeat) {
    const told = message.members.map((one) => one.instanceId);
    assert.is(told.length, MAX_DIGEST);
    assert.is(told[0], "njiro-1");
    assert.not(told.includes("peer-0"));
    assert.is(new Set(told).size, MAX_DIGEST);
  }
});

test.run();
