import { Writable } from "node:stream";
import { MessageKind } from "@chestnuthatch/routing/peer_messages";
import { boardOf, memberOf } from "@chestnuthatch/routing/routing_test_support";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { EventLog } from "./event_log.ts";
import { FleetStateSync } from "./fleet_state_sync.ts";
import { GatewayMetrics } from "./gateway_metrics.ts";
import type { Heartbeat } from "./heartbeat_exchange.ts";

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

test("an instance measures for how long others have had a newer list of targets", () => {
  let nowMs = 0;
  const clock = { nowMs: () => nowMs };
  const discarded = new Writable({ write: (_chunk, _code, done) => done() });
  const sync = new FleetStateSync({
    board: boardOf(["t1", "t2"]),
    clock,
    log: new EventLog(clock, "i1", discarded),
    metrics: new GatewayMetrics(),
    snapshotPort: 1,
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
    onTargetsChanged: () => {},
    onSpendingRead: () => {},
    onSuspectsReceived: () => {},
    onStreamsRead: () => {},
    onRateLimitsReceived: () => {},
    onConnectionStalled: () => {},
    onStoreRestored: () => {},
    onConfigurationChanged: () => {},
  });
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

test.run();
