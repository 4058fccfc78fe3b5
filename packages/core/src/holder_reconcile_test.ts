import {
  PeerMessageKind,
  type RunningWork,
} from "@chestnuthatch/wire/peer_messages";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { DOMAIN, FakeShard, HOLDER, POOL } from "./fake_shard.ts";

const RUNNING: RunningWork = {
  requestId: "old",
  grantId: "entry-9.1.1",
  targetId: "t0",
  pool: POOL,
  workspace: "fields",
  tierRank: 0,
  promptTokens: 9000,
  expectedOutputTokens: 50,
  maxOutputTokens: 100,
  cancellable: true,
};

test("should close a lost grant on a report after its lifetime, not before", () => {
  const fake = new FakeShard({ targets: [{ slots: 1 }] });
  fake.ask({ requestId: "lost" });
  fake.ask({ requestId: "next" });
  fake.reportHolder({ holderBeat: 8, waitingRequestIds: ["next"] });
  assert.is(fake.grants.length, 1, "the lifetime and a margin is eight beats");
  fake.reportHolder({ holderBeat: 9, waitingRequestIds: ["next"] });
  assert.is(fake.grants.at(-1)?.requestId, "next");
});

test("should close listed work as soon as a later report omits it", () => {
  const fake = new FakeShard({ targets: [{ slots: 1 }] });
  fake.reportHolder({ holderBeat: 3, running: [RUNNING] });
  assert.is(fake.shard.grants.size, 1);
  fake.reportHolder({ holderBeat: 2, running: [] });
  assert.is(fake.shard.grants.size, 1, "an older report is ignored");
  fake.reportHolder({ holderBeat: 4, running: [] });
  assert.is(fake.shard.grants.size, 0);
});

test("should adopt running work it did not grant, and keep its capacity", () => {
  const fake = new FakeShard({ targets: [{}] });
  fake.reportHolder({ running: [RUNNING] });
  fake.ask({ requestId: "large", promptTokens: 5000 });
  assert.is(fake.grants.length, 0, "KV memory is held by the adopted work");
  fake.reportHolder({ holderBeat: 1, running: [RUNNING] });
  assert.is(fake.shard.grants.size, 1, "it is adopted once");
  fake.endWork(RUNNING.grantId);
  assert.is(fake.grants.length, 1);
  fake.reportHolder({ holderBeat: 2, running: [RUNNING] });
  assert.is(fake.shard.grants.size, 1, "ended work is not adopted again");
});

test("should name the unknown asks of a report", () => {
  const fake = new FakeShard({ targets: [{ slots: 1 }] });
  fake.ask({ requestId: "granted" });
  fake.ask({ requestId: "waiting" });
  fake.reportHolder({ waitingRequestIds: ["granted", "waiting", "unknown"] });
  assert.equal(
    fake.of(PeerMessageKind.AsksUnknown).map(({ requestIds }) => requestIds),
    [["unknown"]],
  );
});

test("should ignore late asks, update newer ones, and repeat a grant", () => {
  const fake = new FakeShard({ targets: [{ slots: 1 }] });
  fake.ask({ requestId: "a", askNumber: 2 });
  fake.ask({ requestId: "a", askNumber: 1 });
  assert.is(fake.grants.length, 1, "a late copy is ignored");
  fake.ask({ requestId: "a", askNumber: 3 });
  assert.is(fake.grants.length, 2);
  assert.is(fake.grants[1].grantId, fake.grants[0].grantId);
  assert.is(fake.grants[1].askNumber, 3);
  fake.ask({ requestId: "b", askNumber: 5, timeLeftMs: 9000 });
  fake.ask({ requestId: "b", askNumber: 4, timeLeftMs: 5000 });
  fake.ask({ requestId: "b", askNumber: 6, timeLeftMs: 8000 });
  assert.is(fake.shard.waiting.get("b")!.deadlineAtMs, fake.nowMs + 8000);
  assert.is(fake.shard.grants.size, 1);
  fake.useGrant(fake.grants[0]);
  fake.endWork(fake.grants[0].grantId);
  fake.ask({ requestId: "a", askNumber: 3 });
  assert.not(fake.shard.waiting.has("a"), "a copy after the end is ignored");
});

test("should cancel a grant when the holder asks again without its target", () => {
  const fake = new FakeShard({ targets: [{}, {}] });
  fake.ask({ requestId: "a" });
  fake.ask({ requestId: "a", askNumber: 2, excludedTargetIds: ["t0"] });
  assert.equal(fake.grants.map(({ targetId }) => targetId), ["t0", "t1"]);
  assert.is(fake.shard.grants.size, 1);
});

test("should drop asks that are withdrawn or not renewed", () => {
  const fake = new FakeShard({ targets: [{ slots: 1 }] });
  fake.ask({ requestId: "runs" });
  fake.ask({ requestId: "withdrawn" });
  fake.ask({ requestId: "forgotten" });
  fake.receive({
    kind: PeerMessageKind.AskWithdrawn,
    pool: POOL,
    failureDomain: DOMAIN,
    requestId: "withdrawn",
  });
  assert.equal([...fake.shard.waiting.keys()], ["forgotten"]);
  fake.holderIsSilent = true;
  fake.advance(5100);
  assert.is(fake.shard.waiting.size, 0);
});

test("should drop a failed holder's asks, and its work once two load reports lack it", () => {
  const fake = new FakeShard({ targets: [{ slots: 1 }] });
  fake.ask({
    requestId: "runs",
    expectedOutputTokens: 1900,
    timeLeftMs: 30_000,
  });
  fake.useGrant(fake.grants[0]);
  fake.ask({ requestId: "waits" });
  fake.holderIsSilent = true;
  fake.advance(4000);
  assert.is(fake.shard.waiting.size, 0);
  assert.is(fake.shard.grants.size, 1, "the target still shows its work");
  fake.running.clear();
  fake.advance(250);
  assert.is(fake.shard.grants.size, 1, "one report may be wrong");
  fake.advance(250);
  assert.is(fake.shard.grants.size, 0);
});

test("should drop asks of an earlier incarnation, and ignore its reports", () => {
  const fake = new FakeShard({ targets: [{ slots: 1 }] });
  fake.ask({ requestId: "runs" });
  fake.ask({ requestId: "waits" });
  const report = {
    kind: PeerMessageKind.HolderReport as const,
    pool: POOL,
    failureDomain: DOMAIN,
    holderBeat: 1,
    waitingRequestIds: [],
    running: [],
  };
  fake.receive(report, HOLDER, 2);
  assert.is(fake.shard.waiting.size, 0);
  fake.receive({ ...report, holderBeat: 90, running: [RUNNING] }, HOLDER, 1);
  assert.not(fake.shard.grants.has(RUNNING.grantId));
});

test("should grant nothing to a holder silent for most of a grant's lifetime", () => {
  const fake = new FakeShard({ targets: [{ slots: 1 }], runsWork: true });
  fake.ask({ requestId: "runs", expectedOutputTokens: 150 });
  fake.ask({ requestId: "waits" });
  fake.holderIsSilent = true;
  fake.advance(2000);
  assert.is(fake.grants.length, 1);
  fake.reportHolder({ holderBeat: 50, waitingRequestIds: ["waits"] });
  assert.is(fake.grants.length, 2);
});

test.run();
