import { PeerMessageKind } from "@chestnuthatch/wire/peer_messages";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { DOMAIN, FakeShard, POOL } from "./fake_shard.ts";

function grantedIds(fake: FakeShard): string[] {
  return fake.grants.map(({ requestId }) => requestId);
}

test("should place a lower tier only once no higher one waits for capacity", () => {
  const fake = new FakeShard({ targets: [{ slots: 1 }], runsWork: true });
  fake.ask({ requestId: "first", tierRank: 1 });
  fake.ask({ requestId: "low", tierRank: 2 });
  fake.ask({ requestId: "middle", tierRank: 1 });
  fake.ask({ requestId: "high", tierRank: 0 });
  fake.advance(5000);
  assert.equal(grantedIds(fake), ["first", "high", "middle", "low"]);
});

test("should hold back lower tiers while a higher one waits only for KV memory", () => {
  const fake = new FakeShard({ targets: [{ slots: 4 }], runsWork: true });
  fake.ask({ requestId: "running", promptTokens: 6000 });
  fake.ask({ requestId: "large", promptTokens: 6000 });
  fake.ask({ requestId: "low", tierRank: 2 });
  assert.equal(grantedIds(fake), ["running"]);
  fake.advance(5000);
  assert.equal(grantedIds(fake), ["running", "large", "low"]);
});

test("should keep the headroom of a tier free of its asks", () => {
  const fake = new FakeShard({
    targets: [{ slots: 4 }],
    tiers: [{}, { headroomShare: 0.4 }],
  });
  for (let i = 0; i < 4; i++) {
    fake.ask({ requestId: `low${i}`, tierRank: 1 });
  }
  fake.ask({ requestId: "high", tierRank: 0 });
  assert.equal(grantedIds(fake), ["low0", "low1", "high"]);
});

test("should serve a workspace with one ask ahead of another's backlog of fifty", () => {
  const fake = new FakeShard({ targets: [{}], runsWork: true });
  for (let i = 0; i < 50; i++) {
    fake.ask({ requestId: `many${i}`, workspace: "many", timeLeftMs: 60_000 });
  }
  fake.ask({ requestId: "one", workspace: "one", timeLeftMs: 5000 });
  fake.advance(2500);
  const position = grantedIds(fake).indexOf("one");
  assert.ok(position >= 0 && position <= 3, `granted as number ${position}`);
});

test("should divide grants by weight between workspaces that both wait", () => {
  const fake = new FakeShard({
    targets: [{}],
    weights: { heavy: 3 },
    runsWork: true,
  });
  for (let i = 0; i < 30; i++) {
    fake.ask({
      requestId: `heavy${i}`,
      workspace: "heavy",
      timeLeftMs: 60_000,
    });
    fake.ask({
      requestId: `light${i}`,
      workspace: "light",
      timeLeftMs: 60_000,
    });
  }
  fake.advance(12_000);
  const ids = grantedIds(fake);
  const light = ids.filter((id) => id.startsWith("light")).length;
  assert.ok(ids.length >= 16);
  assert.ok(
    Math.abs(light / ids.length - 0.25) < 0.1,
    `${light} of ${ids.length}`,
  );
});

test("should skip a long ask that does not fit, but not starve it", () => {
  const fake = new FakeShard({
    targets: [{ slots: 4, kvTokens: 4000 }],
    runsWork: true,
  });
  const short = { promptTokens: 1000, expectedOutputTokens: 50 };
  for (let i = 0; i < 3; i++) {
    fake.ask({ ...short, requestId: `before${i}` });
  }
  fake.advance(300);
  fake.ask({ requestId: "long", promptTokens: 3500, value: 0.1 });
  fake.ask({ ...short, requestId: "short", promptTokens: 300 });
  assert.is(grantedIds(fake).at(-1), "short", "no head-of-line blocking");
  for (let i = 0; i < 100 && !grantedIds(fake).includes("long"); i++) {
    fake.ask({ ...short, requestId: `more${i}` });
    fake.advance(150);
  }
  assert.ok(fake.nowMs < 8000, `the long one was granted at ${fake.nowMs} ms`);
  assert.ok(grantedIds(fake).includes("long"));
});

test("should choose the earliest predicted completion, and list the targets passed over", () => {
  const fake = new FakeShard({
    targets: [{ decodeTokensPerSecond: 50 }, {}, { draining: true }],
  });
  fake.ask({ requestId: "a" });
  const [grant] = fake.grants;
  assert.is(grant.targetId, "t1");
  assert.equal(grant.passedOver.map(({ reason }) => reason), [
    "would not end sooner: in 2010 ms",
    "draining",
  ]);
});

test("should prefer a target with a cached prefix, unless affinity is disabled", () => {
  const blockHashes = Array.from({ length: 60 }, (_, i) => `b${i}`);
  const placeTwo = (affinity: boolean) => {
    const fake = new FakeShard({ targets: [{}, {}], affinity, runsWork: true });
    for (const requestId of ["first", "second"]) {
      fake.ask({ requestId, promptTokens: 4000, blockHashes });
      fake.advance(600);
    }
    return fake.grants.map(({ targetId }) => targetId);
  };
  assert.equal(placeTwo(true), ["t0", "t0"]);
  assert.equal(placeTwo(false), ["t0", "t1"]);
});

test("should prefer an idle target over a loaded one with a cached prefix", () => {
  const blockHashes = Array.from({ length: 60 }, (_, i) => `b${i}`);
  const cached = { promptTokens: 4000, blockHashes };
  const fake = new FakeShard({ targets: [{}, {}], runsWork: true });
  fake.ask({ ...cached, requestId: "first" });
  fake.advance(2000);
  fake.ask({
    requestId: "busy",
    promptTokens: 6000,
    excludedTargetIds: ["t1"],
  });
  fake.ask({ ...cached, requestId: "second" });
  assert.equal(
    fake.grants.map(({ targetId }) => targetId),
    ["t0", "t0", "t1"],
  );
});

test("should grant nothing on a target until its first load report", () => {
  const fake = new FakeShard({ targets: [{}] });
  fake.board.targets.byId.get("t0")!.load = undefined;
  fake.ask({ requestId: "a" });
  assert.is(fake.grants.length, 0);
  assert.is(fake.of(PeerMessageKind.AskQueued).length, 1);
  fake.reportLoad("t0");
  assert.is(fake.grants.length, 1);
  assert.is(fake.board.shards.byKey.get(`${POOL}@njiro-hall`), fake.shard);
});

test("should count a prompt as read once a later one on its target was read", () => {
  const fake = new FakeShard({ targets: [{ slots: 8, kvTokens: 50_000 }] });
  fake.ask({ requestId: "lost message", promptTokens: 9000 });
  fake.useGrant(fake.grants[0]);
  fake.advance(850);
  fake.ask({ requestId: "later", promptTokens: 200 });
  const later = fake.grants[1];
  fake.useGrant(later);
  fake.advance(100);
  fake.receive({
    kind: PeerMessageKind.PromptRead,
    requestId: "later",
    grantId: later.grantId,
    pool: POOL,
    failureDomain: DOMAIN,
  });
  fake.ask({ requestId: "next", promptTokens: 9000 });
  assert.is(grantedIds(fake).at(-1), "next", "no prompt is left to read");
});

test.run();
