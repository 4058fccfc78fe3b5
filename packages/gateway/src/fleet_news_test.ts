import { Writable } from "node:stream";
import { MessageKind } from "@chestnuthatch/routing/peer_messages";
import { boardOf, memberOf } from "@chestnuthatch/routing/routing_test_support";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { EventLog } from "./event_log.ts";
import { FleetNews } from "./fleet_news.ts";
import { GatewayMetrics } from "./gateway_metrics.ts";
import type { Beat } from "./membership_keeper.ts";

function beatOf(over: Partial<Beat>): Beat {
  return {
    kind: MessageKind.Beat,
    from: memberOf("i2"),
    memoryMs: 0,
    configurationVersion: 0,
    targetsVersion: 0,
    reachesStore: true,
    others: [],
    targetNews: [],
    ...over,
  };
}

/** The news of one instance on a manual clock. */
class NewsOnClock {
  nowMs = 0;
  followsStore = false;
  readonly board = boardOf(["t1", "t2"]);
  readonly #lines: string[] = [];
  readonly #log: EventLog;
  readonly news: FleetNews;

  constructor() {
    const clock = { nowMs: () => this.nowMs };
    const output = new Writable({
      write: (chunk, _code, done) => {
        this.#lines.push(String(chunk));
        done();
      },
    });
    this.#log = new EventLog(clock, "i1", output);
    this.news = new FleetNews({
      board: this.board,
      clock,
      log: this.#log,
      metrics: new GatewayMetrics(),
      catalogPort: 1,
      configurationApplyMs: () => 2000,
      followsStore: () => this.followsStore,
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
      onStoreWentBack: () => {},
      onConfiguration: () => {},
    });
  }

  /** Messages of the log's lines on the configuration. */
  get messages(): string[] {
    this.#log.flush();
    return this.#lines.join("").split("\n").filter((line) => line !== "")
      .map((line) => JSON.parse(line) as { part: string; message: string })
      .filter(({ part }) => part === "configuration")
      .map(({ message }) => message);
  }
}

test("an instance knows for how long others have had newer news of targets", () => {
  const on = new NewsOnClock();
  on.news.reached();
  on.news.heard(beatOf({ targetsVersion: 2 }));
  assert.is(on.news.behindOnTargetsMs(), 0);
  on.nowMs = 100;
  on.news.heard(beatOf({ targetsVersion: 3 }));
  on.nowMs = 400;
  on.news.heard(beatOf({ targetsVersion: 3 }));
  assert.is(on.news.behindOnTargetsMs(), 300);
  on.news.targetsChanged([{ targetId: "t2", rowVersion: 3 }]);
  assert.is(on.news.behindOnTargetsMs(), 0);
});

test("a heartbeat with the same configuration tells how current it is", () => {
  const on = new NewsOnClock();
  on.news.configurationConfirmed();
  on.nowMs = 1500;
  on.news.heard(beatOf({ configurationVersion: 0, configurationAgeMs: 10 }));
  assert.is(on.board.configurationAge.ageMs(on.nowMs), 1500);
  on.news.heard(beatOf({ configurationVersion: 1, configurationAgeMs: 300 }));
  assert.is(on.board.configurationAge.ageMs(on.nowMs), 300);
});

// Guards against a fleet that waits for news on connections that fell silent.
test("whoever follows the store asks it twice within the bound", () => {
  const on = new NewsOnClock();
  on.news.configurationConfirmed();
  assert.is(on.news.configurationWaitMs(), undefined);
  on.followsStore = true;
  assert.is(on.news.configurationWaitMs(), 1000);
});

// Guards against instances that trust one that is not answered by the store.
test("an instance asks by itself once nobody tells it of current news", () => {
  const on = new NewsOnClock();
  assert.is(on.news.configurationWaitMs(), 1000);
  on.news.configurationConfirmed();
  on.nowMs = 2000;
  assert.is(on.news.configurationWaitMs(), undefined);
  on.nowMs = 2001;
  assert.is(on.news.configurationWaitMs(), 1000);
  on.news.heard(beatOf({ configurationVersion: 1, configurationAgeMs: 500 }));
  assert.is(on.news.configurationWaitMs(), undefined);
});

test("the log tells when the configuration may be out of date, and no longer", () => {
  const on = new NewsOnClock();
  on.news.tick();
  on.news.configurationConfirmed();
  on.nowMs = 2000;
  on.news.tick();
  assert.equal(on.messages, []);
  on.nowMs = 2001;
  on.news.tick();
  on.news.tick();
  on.news.configurationConfirmed();
  on.news.tick();
  assert.equal(on.messages, [
    "configuration may be out of date",
    "configuration is current again",
  ]);
});

test.run();
