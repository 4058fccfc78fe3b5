import { PeerMessageKind } from "@chestnuthatch/wire/peer_messages";
import { ListedKind } from "@chestnuthatch/wire/platform_protocol";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { type Target, TargetHealth } from "./blackboard.ts";
import { EffectKind } from "./effects.ts";
import { EventKind } from "./events.ts";
import { DOMAIN, FakeShard, HOLDER, POOL } from "./fake_shard.ts";

function targetOf(fake: FakeShard, targetId = "t0"): Target {
  return fake.board.targets.byId.get(targetId)!;
}

function connectPeers(fake: FakeShard, ids: readonly string[]): void {
  for (const instanceId of ids) {
    fake.board.members.byId.set(instanceId, {
      instanceId,
      failureDomain: DOMAIN,
      address: "",
      incarnation: 1,
      heartbeat: 1,
      leaving: false,
      settingsVersion: 1,
      heartbeatAdvancedAtMs: fake.nowMs,
      listed: true,
      connected: true,
    });
  }
}

function receiveSign(
  fake: FakeShard,
  signNumber: number,
  leaving = true,
): void {
  fake.receive({
    kind: PeerMessageKind.TargetsHeard,
    signs: [{ targetId: "t0", leaving, signNumber }],
    loads: [],
  });
}

function receiveInstanceList(fake: FakeShard, leaving: boolean): void {
  fake.handle({
    kind: EventKind.InstanceListRead,
    list: {
      lagMs: 0,
      instances: [{
        id: "t0",
        kind: ListedKind.Target,
        failureDomain: DOMAIN,
        address: "",
        leaving,
      }],
    },
  });
}

const LEAVING_SIGN_SOURCES: Record<string, (fake: FakeShard) => void> = {
  "its own report": (fake) => fake.reportLoad("t0", { leaving: true }),
  "a peer": (fake) => receiveSign(fake, 1),
  "the platform's list": (fake) => receiveInstanceList(fake, true),
};

for (const [source, receive] of Object.entries(LEAVING_SIGN_SOURCES)) {
  test(`should grant nothing on a target after the first sign from ${source}`, () => {
    const fake = new FakeShard({ targets: [{}] });
    receive(fake);
    fake.ask({ requestId: "a" });
    assert.is(fake.grants.length, 0);
  });
}

test("should forward a new sign at once, and a known one not again", () => {
  const fake = new FakeShard({ targets: [{}] });
  connectPeers(fake, [HOLDER, "entry-3", "entry-4"]);
  const sentSigns = () => fake.of(PeerMessageKind.TargetsHeard).length;
  fake.reportLoad("t0", { leaving: true });
  assert.is(sentSigns(), 3);
  fake.reportLoad("t0", { leaving: true });
  receiveSign(fake, 1);
  assert.is(sentSigns(), 3, "known signs are not forwarded");
  receiveSign(fake, 2, false);
  assert.is(sentSigns(), 5, "a new sign is not sent back to its sender");
  assert.not(targetOf(fake).leaving);
});

test("should clear the leaving flag when the target's own report revokes it", () => {
  const fake = new FakeShard({ targets: [{}] });
  fake.reportLoad("t0", { leaving: true });
  fake.reportLoad("t0");
  assert.not(targetOf(fake).leaving);
  assert.is(targetOf(fake).signNumber, 2);
});

test("should prefer the list and fresh signs to the target's own report", () => {
  const fake = new FakeShard({ targets: [{}] });
  receiveInstanceList(fake, true);
  fake.advance(10_000);
  assert.ok(targetOf(fake).leaving, "the list still says so");
  receiveInstanceList(fake, false);
  assert.not(targetOf(fake).leaving);
  receiveSign(fake, 9);
  fake.advance(1000);
  assert.ok(targetOf(fake).leaving, "the sign may be ahead of the target");
  fake.advance(5000);
  assert.not(targetOf(fake).leaving);
});

test("should mark a target that refuses a connection unreachable, and restore it slowly", () => {
  const fake = new FakeShard({ targets: [{ slots: 8 }] });
  fake.ask({ requestId: "a" });
  const { grantId } = fake.grants[0];
  fake.nowMs += 10;
  fake.receive({
    kind: PeerMessageKind.GrantReturned,
    requestId: "a",
    grantId,
    pool: POOL,
    failureDomain: DOMAIN,
    targetUnreachable: true,
  });
  assert.is(targetOf(fake).health, TargetHealth.Unreachable);
  fake.nowMs += 20;
  fake.reportLoad("t0", { ageMs: 20 });
  assert.is(targetOf(fake).health, TargetHealth.Unreachable, "an old report");
  fake.nowMs += 20;
  fake.advance(250);
  assert.is(targetOf(fake).health, TargetHealth.Healthy);
  for (let i = 0; i < 8; i++) {
    fake.ask({ requestId: `r${i}` });
  }
  assert.is(fake.shard.grants.size, 2);
  fake.advance(15_000);
  assert.is(targetOf(fake).stragglerState!.slotShare, 1);
});

test("should count three failed polls in a row as unreachable", () => {
  const fake = new FakeShard({ targets: [{}] });
  const fail = () =>
    fake.handle({ kind: EventKind.LoadReportFailed, targetId: "t0" });
  fail();
  fail();
  fake.reportLoad("t0");
  fail();
  fail();
  assert.is(targetOf(fake).health, TargetHealth.Healthy);
  fail();
  assert.is(targetOf(fake).health, TargetHealth.Unreachable);
});

test("should drop reports older than the current one", () => {
  const fake = new FakeShard({ targets: [{}] });
  fake.reportLoad("t0", { slotsUsed: 1, ageMs: 0 });
  fake.reportLoad("t0", { slotsUsed: 0, ageMs: 30 });
  assert.is(targetOf(fake).load!.slotsUsed, 1);
});

test("should poll the targets of a new shard at once", () => {
  const fake = new FakeShard({ targets: [{}] });
  targetOf(fake).lastPollAtMs = -Infinity;
  const effects = fake.ask({ requestId: "a" });
  assert.is(effects[0].kind, EffectKind.PollLoad);
});

/** Runs work items one after another on a target at a given decode rate. */
function runWork(
  fake: FakeShard,
  work: { targetId: string; decodeMsPerToken: number; times: number },
): void {
  const others = [...fake.board.targets.byId.keys()]
    .filter((id) => id !== work.targetId);
  for (let i = 0; i < work.times; i++) {
    const requestId = `${work.targetId}/${fake.nowMs}/${i}`;
    fake.ask({ requestId, excludedTargetIds: others });
    fake.endWork(fake.grants.at(-1)!.grantId, {
      outputTokens: 100,
      firstTokenMs: 10,
      decodeMs: work.decodeMsPerToken * 100,
    });
    fake.advance(300);
  }
}

test("should learn a target's rates from the work that ended there", () => {
  const fake = new FakeShard({ targets: [{}] });
  runWork(fake, { targetId: "t0", decodeMsPerToken: 30, times: 20 });
  const { decodeMsPerToken, samples, slowdown } = targetOf(fake).rates;
  assert.is(samples, 20);
  assert.ok(Math.abs(decodeMsPerToken - 30) < 1);
  assert.ok(
    slowdown < 1.5,
    "a wrong estimate in the settings makes no straggler",
  );
});

test("should cut a straggler's slots, keep one as a probe, and let it recover slowly", () => {
  const fake = new FakeShard({ targets: [{ slots: 8 }, { slots: 8 }] });
  runWork(fake, { targetId: "t0", decodeMsPerToken: 10, times: 10 });
  runWork(fake, { targetId: "t1", decodeMsPerToken: 10, times: 10 });
  assert.is(targetOf(fake, "t1").stragglerState!.slotShare, 1);
  runWork(fake, { targetId: "t1", decodeMsPerToken: 100, times: 10 });
  const straggler = targetOf(fake, "t1");
  assert.ok(
    straggler.stragglerState!.slotShare < 0.2,
    `share ${straggler.stragglerState!.slotShare}`,
  );
  assert.is(targetOf(fake, "t0").stragglerState!.slotShare, 1);
  runWork(fake, { targetId: "t1", decodeMsPerToken: 10, times: 15 });
  assert.ok(straggler.stragglerState!.slotShare < 0.5, "recovery is slow");
  runWork(fake, { targetId: "t1", decodeMsPerToken: 10, times: 10 });
  fake.advance(20_000);
  assert.is(straggler.stragglerState!.slotShare, 1);
});

test("should cut the slots of a target on which all work has stalled", () => {
  const fake = new FakeShard({ targets: [{ slots: 8 }, { slots: 8 }] });
  for (let i = 0; i < 4; i++) {
    fake.ask({ requestId: `r${i}`, excludedTargetIds: ["t1"] });
    fake.useGrant(fake.grants[i]);
  }
  for (const [id, work] of fake.running) {
    fake.running.set(id, { ...work, endAtMs: Infinity });
  }
  fake.advance(3000);
  assert.is(targetOf(fake).stragglerState, undefined);
  fake.advance(2500);
  assert.ok(targetOf(fake).stragglerState!.slotShare <= 1 / 3);
});

test.run();
