import { Writable } from "node:stream";
import { MessageKind } from "@chestnuthatch/routing/peer_messages";
import { boardOf, memberOf } from "@chestnuthatch/routing/routing_test_support";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { EventLog } from "./event_log.ts";
import { FleetNews } from "./fleet_news.ts";
import { GatewayMetrics } from "./gateway_metrics.ts";
import type { Beat } from "./membership_keeper.ts";

function beatOf(targetsVersion: number): Beat {
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

test("an instance knows for how long others have had newer news of targets", () => {
  let nowMs = 0;
  const clock = { nowMs: () => nowMs };
  const nowhere = new Writable({ write: (_chunk, _code, done) => done() });
  const news = new FleetNews({
    board: boardOf(["t1", "t2"]),
    clock,
    log: new EventLog(clock, "i1", nowhere),
    metrics: new GatewayMetrics(),
    catalogPort: 1,
    configurationApplyMs: () => 2000,
    followsStore: () => false,
    rollouts: {
      ordered: () => {},
      withdrawn: () => {},
      listed: () => {},
      told: () => {},
      recordRead: () => {},
      storeWentBack: () => {},
    },
    onTargets: () => {},
    onSpending: () => {},
    onSuspects: () => {},
    onRateLimits: () => {},
    onSilentConnection: () => {},
    onStoreWentBack: () => {},
    onConfiguration: () => {},
  });
  news.reached();
  news.heard(beatOf(2));
  assert.is(news.behindOnTargetsMs(), 0);
  nowMs = 100;
  news.heard(beatOf(3));
  nowMs = 400;
  news.heard(beatOf(3));
  assert.is(news.behindOnTargetsMs(), 300);
  news.targetsChanged([{ targetId: "t2", rowVersion: 3 }]);
  assert.is(news.behindOnTargetsMs(), 0);
});

test.run();
