import { Writable } from "node:stream";
import { MessageKind } from "@chestnuthatch/routing/peer_messages";
import { boardOf, memberOf } from "@chestnuthatch/routing/routing_test_support";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { ConfigurationKeeper } from "./configuration_keeper.ts";
import { EventLog } from "./event_log.ts";
import { GatewayMetrics } from "./gateway_metrics.ts";
import type { Beat } from "./membership_keeper.ts";

/** A heartbeat that tells of a version, as current as some time ago. */
function beatOf(over: Partial<Beat>): Beat {
  return {
    kind: MessageKind.Heartbeat,
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

/** The keeper of one instance with version 1, on a manual clock. */
class KeeperOnClock {
  nowMs = 0;
  followsStore = false;
  readonly board = boardOf([]);
  readonly keeper: ConfigurationKeeper;
  readonly #lines: string[] = [];
  readonly #log: EventLog;

  constructor() {
    const clock = { nowMs: () => this.nowMs };
    const output = new Writable({
      write: (chunk, _code, done) => {
        this.#lines.push(String(chunk));
        done();
      },
    });
    this.#log = new EventLog(clock, "i1", output);
    this.keeper = new ConfigurationKeeper({
      board: this.board,
      clock,
      log: this.#log,
      metrics: new GatewayMetrics(),
      catalogPort: 1,
      configurationApplyMs: () => 2000,
      followsStore: () => this.followsStore,
      reachesStore: () => true,
      onConfiguration: () => {},
    });
  }

  /** Messages of the log's lines. */
  get messages(): string[] {
    this.#log.flush();
    return this.#lines.join("").split("\n").filter((line) => line !== "")
      .map((line) => (JSON.parse(line) as { message: string }).message);
  }
}

test("a heartbeat with the same configuration tells how current it is", () => {
  const on = new KeeperOnClock();
  on.keeper.confirmed();
  on.nowMs = 1500;
  on.keeper.heard(beatOf({ configurationVersion: 0, configurationAgeMs: 10 }));
  assert.is(on.board.configurationAge.ageMs(on.nowMs), 1500);
  on.keeper.heard(beatOf({ configurationVersion: 1, configurationAgeMs: 300 }));
  assert.is(on.board.configurationAge.ageMs(on.nowMs), 300);
});

// Guards against a fleet that waits for news on connections that fell silent.
test("whoever follows the store asks it twice within the bound", () => {
  const on = new KeeperOnClock();
  on.keeper.confirmed();
  assert.is(on.keeper.waitMs(), undefined);
  on.followsStore = true;
  assert.is(on.keeper.waitMs(), 1000);
});

// Guards against instances that trust one that is not answered by the store.
test("an instance asks by itself once nobody tells it of current news", () => {
  const on = new KeeperOnClock();
  assert.is(on.keeper.waitMs(), 1000);
  on.keeper.confirmed();
  on.nowMs = 2000;
  assert.is(on.keeper.waitMs(), undefined);
  on.nowMs = 2001;
  assert.is(on.keeper.waitMs(), 1000);
  on.keeper.heard(beatOf({ configurationVersion: 1, configurationAgeMs: 500 }));
  assert.is(on.keeper.waitMs(), undefined);
});

test("the log tells when the configuration may be out of date, and no longer", () => {
  const on = new KeeperOnClock();
  on.keeper.tick();
  on.keeper.confirmed();
  on.nowMs = 2000;
  on.keeper.tick();
  assert.equal(on.messages, []);
  on.nowMs = 2001;
  on.keeper.tick();
  on.keeper.tick();
  on.keeper.confirmed();
  on.keeper.tick();
  assert.equal(on.messages, [
    "configuration may be out of date",
    "configuration is current again",
  ]);
});

test.run();
