import { Writable } from "node:stream";
import type { SuspectUpdate } from "@chestnuthatch/routing/crash_suspects";
import { MessageKind } from "@chestnuthatch/routing/peer_messages";
import { boardOf, memberOf } from "@chestnuthatch/routing/routing_test_support";
import type { RoutingBoard } from "@chestnuthatch/routing/routing_board";
import type { TargetRowChange } from "@chestnuthatch/routing/target_directory";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { EventLog } from "./event_log.ts";
import { FleetStateSync } from "./fleet_state_sync.ts";
import { GatewayMetrics } from "./gateway_metrics.ts";
import type { Heartbeat } from "./heartbeat_exchange.ts";
import type { Clock } from "./ports.ts";
import { SnapshotServer } from "./snapshot_server.ts";

function heartbeatOf(targetsVersion: number): Heartbeat {
  return {
    kind: MessageKind.Heartbeat,
    from: memberOf("i2"),
    memoryMs: 0,
    configurationVersion: 0,
    targetsVersion,
    reachesStore: true,
    others: [],
    targetNews: [],
  };
}

function rowOf(targetId: string, rowVersion: number): TargetRowChange {
  const entry = {
    targetId,
    incarnation: 1,
    pool: "p",
    address: "10.0.0.1:80",
    failureDomain: "a",
    slots: 4,
    leaving: false,
    version: "v1",
  };
  return { targetId, rowVersion, entry };
}

/** Board of the last created sync. */
let board: RoutingBoard;

/** Suspects that the last created sync has received. */
let received: readonly SuspectUpdate[] = [];

function syncOf(
  clock: Clock,
  of: { snapshotPort?: number; onTargetsChanged?: () => void } = {},
): FleetStateSync {
  const discarded = new Writable({ write: (_chunk, _code, done) => done() });
  board = boardOf(["t1", "t2"]);
  return new FleetStateSync({
    board,
    clock,
    log: new EventLog(clock, "i1", discarded),
    metrics: new GatewayMetrics(),
    snapshotPort: of.snapshotPort ?? 1,
    configurationApplyMs: () => 2000,
    followsStore: () => false,
    rollouts: {
      ordered: () => {},
      withdrawn: () => {},
      ordersListed: () => {},
      updatesReceived: () => {},
      recordRead: () => {},
      storeRestored: () => {},
    },
    onTargetsChanged: of.onTargetsChanged ?? (() => {}),
    onSpendingRead: () => {},
    onSuspectsReceived: (updates) => received = updates,
    onStreamsRead: () => {},
    onStreamRecordRead: () => {},
    onChangesMissed: () => {},
    onRateLimitsReceived: () => {},
    onConnectionStalled: () => {},
    onStoreRestored: () => {},
    onConfigurationChanged: () => {},
  });
}

test("an instance measures for how long others have had a newer list of targets", () => {
  let nowMs = 0;
  const sync = syncOf({ nowMs: () => nowMs });
  sync.storeReached();
  sync.heartbeatReceived(heartbeatOf(2));
  assert.is(sync.targetsLagMs(), 0);
  nowMs = 100;
  sync.heartbeatReceived(heartbeatOf(3));
  nowMs = 400;
  sync.heartbeatReceived(heartbeatOf(3));
  assert.is(sync.targetsLagMs(), 300);
  sync.targetsChanged([{ targetId: "t2", rowVersion: 3 }]);
  assert.is(sync.targetsLagMs(), 0);
});

// Guards against taking the list for that of a version of which only one change
// was heard: an instance that was cut off never fetched what it had missed.
test("changes in heartbeats do not stand for a list that was not read", () => {
  let nowMs = 0;
  const sync = syncOf({ nowMs: () => nowMs });
  const targetNews = [{ targetId: "t1", rowVersion: 4 }];
  sync.heartbeatReceived({ ...heartbeatOf(4), targetNews });
  nowMs = 100;
  assert.is(sync.targetsLagMs(), 100);
  sync.storeReached();
  sync.heartbeatReceived({
    ...heartbeatOf(5),
    targetNews: [{ targetId: "t1", rowVersion: 5 }],
  });
  assert.is(sync.targetsLagMs(), 100);
});

// Guards against serving before the records of a fleet that lost all instances
// are known: requests that had crashed targets crashed them again.
// Guards against instances of a large fleet that lacked 9 of 71 targets for 20 s:
// a heartbeat had brought newer ones, so that no read of the list was due.
test("changes in heartbeats stand for the list only if none is missing", () => {
  let nowMs = 0;
  const sync = syncOf({ nowMs: () => nowMs });
  sync.storeReached();
  sync.targetsRead([rowOf("t1", 2)], 2);
  const targetNews = [rowOf("t9", 9)];
  sync.heartbeatReceived({ ...heartbeatOf(9), targetNews });
  nowMs = 800;
  sync.heartbeatReceived(heartbeatOf(9));
  assert.is(sync.targetsLagMs(), 800);
  const since = { ...heartbeatOf(9), targetNews };
  sync.heartbeatReceived({ ...since, targetNewsSince: 3 });
  assert.is(sync.targetsLagMs(), 800);
  sync.heartbeatReceived({ ...since, targetNewsSince: 2 });
  assert.is(sync.targetsLagMs(), 0);
});

// Guards against a list that is taken for complete up to the newest row of the
// peer that it was fetched from, which may lack others.
test("a list that was fetched from a peer is that of the peer's version", async () => {
  const server = new SnapshotServer(() => [rowOf("t1", 2), rowOf("t9", 9)]);
  await server.open("127.0.0.1:0");
  try {
    await new Promise<void>((resolve) => {
      const sync = syncOf({ nowMs: () => 0 }, {
        snapshotPort: server.port,
        onTargetsChanged: resolve,
      });
      const from = memberOf("i2", { address: "127.0.0.1:7000" });
      sync.heartbeatReceived({ ...heartbeatOf(4), from });
    });
    await Promise.resolve();
    assert.is(board.targets.version, 4);
  } finally {
    server.close();
  }
});

// Guards against a list that is never read while it changes again and again.
test("a list that changes all the time is outdated since the first change", () => {
  let nowMs = 0;
  const sync = syncOf({ nowMs: () => nowMs });
  sync.storeReached();
  sync.targetsRead([rowOf("t1", 2)], 2);
  for (let version = 3; version < 8; version++) {
    sync.heartbeatReceived(heartbeatOf(version));
    nowMs += 300;
  }
  assert.is(sync.targetsLagMs(), 1500);
  sync.targetsChanged([rowOf("t2", 5)]);
  assert.is(sync.targetsLagMs(), 0);
  nowMs += 900;
  assert.is(sync.targetsLagMs(), 900);
});

// Guards against the claim that announced changes are all, when some of them
// are no longer announced.
test("changes that are no longer announced raise the version that others need", () => {
  let nowMs = 0;
  const sync = syncOf({ nowMs: () => nowMs });
  sync.storeReached();
  sync.targetsRead([rowOf("t1", 2)], 2);
  assert.is(sync.recentTargetChanges().sinceVersion, 2);
  sync.targetsChanged([rowOf("t5", 5)]);
  nowMs = 2000;
  sync.targetsChanged([rowOf("t6", 6)]);
  assert.is(sync.recentTargetChanges().sinceVersion, 2);
  nowMs = 3000;
  assert.is(sync.recentTargetChanges().sinceVersion, 5);
  assert.is(sync.recentTargetChanges().changes.length, 1);
});

test("an instance that reaches the store is complete once it knows the fleet's records", () => {
  const sync = syncOf({ nowMs: () => 0 });
  sync.targetsRead([], 1);
  assert.ok(sync.isComplete, "others told it what it knows");
  sync.storeReached();
  assert.not.ok(sync.isComplete);
  sync.recordsRead(false);
  assert.ok(sync.isComplete);
});

test("records that cannot be read delay an instance for a limited time", () => {
  let nowMs = 0;
  const sync = syncOf({ nowMs: () => nowMs });
  sync.storeReached();
  sync.targetsRead([], 1);
  nowMs = 900;
  sync.storeReached();
  assert.not.ok(sync.isComplete);
  nowMs = 1000;
  assert.ok(sync.isComplete);
});

test("the age of the record is added to all times of suspects in it", () => {
  const sync = syncOf({ nowMs: () => 0 });
  const update = { fingerprint: "f", ended: ["t1"], endedInTrial: [] };
  sync.suspectsRead([
    { ...update, ageMs: 5 },
    { ...update, ageMs: 5, servedAgeMs: 8 },
  ], 100);
  assert.equal(
    received.map(({ ageMs, servedAgeMs }) => [ageMs, servedAgeMs]),
    [[105, undefined], [105, 108]],
  );
});

test.run();
