import { Writable } from "node:stream";
import { MessageKind } from "@chestnuthatch/routing/peer_messages";
import { boardOf, memberOf } from "@chestnuthatch/routing/routing_test_support";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { ConfigurationSync } from "./configuration_sync.ts";
import { EventLog } from "./event_log.ts";
import { GatewayMetrics } from "./gateway_metrics.ts";
import type { Heartbeat } from "./heartbeat_exchange.ts";

/** A heartbeat of another instance, with some of its fields given. */
function heartbeatOf(over: Partial<Heartbeat>): Heartbeat {
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

/** Configuration sync of an instance that has version 1, on a manual clock. */
class SyncOnClock {
  nowMs = 0;
  followsStore = false;
  reachesStore = true;
  readonly board = boardOf([]);
  readonly sync: ConfigurationSync;
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
    this.sync = new ConfigurationSync({
      board: this.board,
      clock,
      log: this.#log,
      metrics: new GatewayMetrics(),
      snapshotPort: 1,
      configurationApplyMs: () => 2000,
      followsStore: () => this.followsStore,
      reachesStore: () => this.reachesStore,
      onConfigurationChanged: () => {},
    });
  }

  /** Messages of all log lines. */
  get messages(): string[] {
    this.#log.flush();
    return this.#lines.join("").split("\n").filter((line) => line !== "")
      .map((line) => (JSON.parse(line) as { message: string }).message);
  }
}

test("a heartbeat with the same configuration confirms how current it is", () => {
  const fixture = new SyncOnClock();
  fixture.sync.confirmedByStore();
  fixture.nowMs = 1500;
  fixture.sync.heartbeatReceived(
    heartbeatOf({ configurationVersion: 0, configurationAgeMs: 10 }),
  );
  assert.is(fixture.board.configurationAge.ageMs(fixture.nowMs), 1500);
  fixture.sync.heartbeatReceived(
    heartbeatOf({ configurationVersion: 1, configurationAgeMs: 300 }),
  );
  assert.is(fixture.board.configurationAge.ageMs(fixture.nowMs), 300);
});

// Guards against a fleet that waits for changes on stalled connections.
test("an instance that follows the store queries it twice within the bound", () => {
  const fixture = new SyncOnClock();
  fixture.sync.confirmedByStore();
  assert.is(fixture.sync.pollWaitMs(), undefined);
  fixture.followsStore = true;
  assert.is(fixture.sync.pollWaitMs(), 1000);
});

// Guards against instances that rely on one that gets no answers from the
// store.
test("an instance queries the store itself once no heartbeat confirms the configuration", () => {
  const fixture = new SyncOnClock();
  assert.is(fixture.sync.pollWaitMs(), 1000);
  fixture.sync.confirmedByStore();
  fixture.nowMs = 1500;
  assert.is(fixture.sync.pollWaitMs(), undefined);
  fixture.nowMs = 1501;
  assert.is(fixture.sync.pollWaitMs(), 1000);
  fixture.sync.heartbeatReceived(
    heartbeatOf({ configurationVersion: 1, configurationAgeMs: 500 }),
  );
  assert.is(fixture.sync.pollWaitMs(), undefined);
});

// Guards against a store that is back and stays unheard for as long as a lost
// call was to be held.
test("a store that does not answer is not asked to hold calls", () => {
  const fixture = new SyncOnClock();
  fixture.sync.confirmedByStore();
  fixture.reachesStore = false;
  assert.is(fixture.sync.pollWaitMs(), 0);
  fixture.followsStore = true;
  assert.is(fixture.sync.pollWaitMs(), 0);
});

const FLEET_SIZE = 8;
const HEARTBEAT_INTERVAL_MS = 200;
const STEP_MS = HEARTBEAT_INTERVAL_MS / FLEET_SIZE;
/** Time from a heartbeat until it is handled, on instances under load. */
const TRANSIT_MS = 20;
const APPLY_MS = 2000;

// Guards against a fleet that hears nothing from the store and believes for
// longer than the bound that its configuration is current: the time in transit
// was left out each time when an instance passed on an age that it had received.
test("instances that only hear each other do not keep each other current", () => {
  const fleet = Array.from({ length: FLEET_SIZE }, () => new SyncOnClock());
  fleet.forEach(({ sync }) => sync.confirmedByStore());
  let staleAtMs = Infinity;
  for (let nowMs = 0; nowMs < 3 * APPLY_MS; nowMs += STEP_MS) {
    const sender = fleet[(nowMs / STEP_MS) % FLEET_SIZE]!;
    const configurationAgeMs = sender.board.configurationAge.storeAgeMs(nowMs);
    for (const receiver of fleet) {
      receiver.nowMs = nowMs + TRANSIT_MS;
      receiver.sync.heartbeatReceived(
        heartbeatOf({ configurationVersion: 1, configurationAgeMs }),
      );
      if (receiver.sync.pollWaitMs() !== undefined) {
        staleAtMs = Math.min(staleAtMs, receiver.nowMs);
      }
    }
  }
  assert.ok(staleAtMs <= APPLY_MS, `stale after ${staleAtMs} ms`);
});

test("the log reports when the configuration may be out of date and when it is current again", () => {
  const fixture = new SyncOnClock();
  fixture.sync.tick();
  fixture.sync.confirmedByStore();
  fixture.nowMs = 1500;
  fixture.sync.tick();
  assert.equal(fixture.messages, []);
  fixture.nowMs = 1501;
  fixture.sync.tick();
  fixture.sync.tick();
  fixture.sync.confirmedByStore();
  fixture.sync.tick();
  assert.equal(fixture.messages, [
    "configuration may be out of date",
    "configuration is current again",
  ]);
});

test.run();
