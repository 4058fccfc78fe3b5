import { Writable } from "node:stream";
import { MessageKind } from "@chestnuthatch/routing/peer_messages";
import {
  RolloutPhase,
  type RolloutUpdate,
} from "@chestnuthatch/routing/rollout";
import { boardOf, memberOf } from "@chestnuthatch/routing/routing_test_support";
import type { TargetRowChange } from "@chestnuthatch/routing/target_directory";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { EventLog } from "./event_log.ts";
import { type Heartbeat, HeartbeatExchange } from "./heartbeat_exchange.ts";

const HEARTBEAT_INTERVAL_MS = 220;

function changeOf(index: number, leaving: boolean): TargetRowChange {
  const targetId = `t${index}`;
  const entry = {
    targetId,
    incarnation: 1,
    pool: "p",
    address: `10.0.0.${index}:80`,
    failureDomain: "a",
    slots: 4,
    leaving,
    version: "v1",
  };
  return { targetId, rowVersion: index, entry };
}

/** A roll-out that failed long before the heartbeats. */
const ROLLED_BACK: RolloutUpdate = {
  pool: "p",
  version: "v2",
  withinMs: 16_000,
  rowVersion: 1,
  phase: RolloutPhase.RolledBack,
  ageMs: 0,
};

interface SentHeartbeat extends Heartbeat {
  readonly addresses: readonly string[];
}

/** Heartbeats that an instance sends, which receives heartbeats of others. */
function heartbeatsOf(
  changes: readonly TargetRowChange[],
  { count, others = 1, reachesStore = true, limits = 0 }: {
    count: number;
    others?: number;
    /** Number of targets with a rate limit. */
    limits?: number;
    /** Whether the coordinator reaches the store. */
    reachesStore?: boolean;
  },
): SentHeartbeat[] {
  const heartbeats: SentHeartbeat[] = [];
  const self = memberOf("i1");
  const board = boardOf([]);
  board.rollouts.merge(ROLLED_BACK, -60_000);
  for (let index = 2; index < 2 + others; index++) {
    board.members.heartbeatReceived(memberOf(`i${index}`), 0);
  }
  for (let index = 0; index < limits; index++) {
    board.rateLimits.advertised(`t${index}`, 5, 0);
  }
  let nowMs = 0;
  const clock = { nowMs: () => nowMs };
  const discarded = new Writable({ write: (_chunk, _code, done) => done() });
  const exchange = new HeartbeatExchange({
    board,
    clock,
    log: new EventLog(clock, "i1", discarded),
    seedAddresses: [],
    send: (addresses, message) => {
      if (message.kind === MessageKind.Heartbeat) {
        heartbeats.push({ ...message, addresses: [...addresses] });
      }
    },
    coordinatorId: () => "i2",
    uptimeMs: () => 0,
    reachesStore: () => true,
    spending: () => ({ layers: [], recorded: [], share: 1 }),
    retries: () => [],
    suspects: () => [],
    admission: () => [{ pool: "p", rank: 0, waitMs: 900 }],
    streams: (withinMs) => [{ pool: "p", version: "v1", keys: [withinMs] }],
    rollouts: (of) => board.rollouts.updatesToSend(nowMs, of),
    rateLimits: (of) => board.rateLimits.updatesToSend(nowMs, of),
    targetChanges: () => ({ changes, sinceVersion: 7 }),
  }, self);
  exchange.heartbeatReceived({
    kind: MessageKind.Heartbeat,
    from: memberOf("i2"),
    memoryMs: 0,
    configurationVersion: 0,
    targetsVersion: 0,
    reachesStore,
    others: [],
    targetNews: [],
  });
  for (; heartbeats.length < count; nowMs += HEARTBEAT_INTERVAL_MS) {
    for (let index = 3; index < 2 + others; index++) {
      board.members.heartbeatReceived(memberOf(`i${index}`), nowMs);
    }
    exchange.tick();
  }
  return heartbeats;
}

test("a heartbeat fits a datagram regardless of the number of changes", () => {
  const changes = Array.from(
    { length: 100 },
    (_, index) => changeOf(index, index >= 90),
  );
  const heartbeats = heartbeatsOf(changes, { count: 10 });
  assert.ok(heartbeats.every(({ targetNews }) => targetNews.length <= 24));
  const sent = new Set(
    heartbeats.flatMap((heartbeat) =>
      heartbeat.targetNews.map(({ targetId }) => targetId)
    ),
  );
  assert.is(sent.size, 100);
});

// Guards against a list that is taken for complete although its sender had no
// room for all changes.
test("a heartbeat states since when its changes are all only if it has all", () => {
  for (const [count, sinceVersion] of [[24, 7], [25, undefined]] as const) {
    const changes = Array.from({ length: count }, (_, i) => changeOf(i, false));
    for (const heartbeat of heartbeatsOf(changes, { count: 3 })) {
      assert.is(heartbeat.targetNewsSince, sinceVersion);
    }
  }
});

test("each heartbeat carries all leaving targets first", () => {
  const changes = Array.from(
    { length: 100 },
    (_, index) => changeOf(index, index >= 90),
  );
  for (const { targetNews } of heartbeatsOf(changes, { count: 3 })) {
    const leaving = targetNews.filter(({ entry }) => entry?.leaving === true);
    assert.is(leaving.length, 10);
  }
});

test("in a large fleet, only the coordinator announces new targets", () => {
  const changes = Array.from(
    { length: 30 },
    (_, index) => changeOf(index, index >= 20),
  );
  const heartbeats = heartbeatsOf(changes, { count: 10, others: 63 });
  const sent = heartbeats.flatMap(({ targetNews }) => targetNews);
  assert.ok(sent.length > 0);
  assert.ok(sent.every(({ entry }) => entry?.leaving === true));
  const sentWithoutStore = heartbeatsOf(changes, {
    count: 10,
    others: 63,
    reachesStore: false,
  })
    .flatMap(({ targetNews }) => targetNews);
  assert.ok(sentWithoutStore.some(({ entry }) => entry?.leaving === false));
});

test("only some heartbeats carry spending in a large fleet", () => {
  const countWithSpending = (others: number) =>
    heartbeatsOf([], { count: 20, others }).filter(({ spending }) =>
      spending !== undefined
    )
      .length;
  assert.is(countWithSpending(7), 20);
  assert.is(countWithSpending(63), 4);
});

// Guards against an instance that is told of a version's targets, but not that
// the version was rolled back.
test("heartbeats carry versions that were rolled back long ago", () => {
  const countWithRollouts = (others: number) =>
    heartbeatsOf([], { count: 20, others })
      .filter(({ rollouts }) => rollouts !== undefined).length;
  assert.is(countWithRollouts(7), 20);
  assert.is(countWithRollouts(63), 4);
});

test("every heartbeat carries announced waits in a large fleet, none in a full mesh", () => {
  const countWithWaits = (others: number) =>
    heartbeatsOf([], { count: 20, others })
      .filter(({ admission }) => admission !== undefined).length;
  assert.is(countWithWaits(12), 0);
  assert.is(countWithWaits(63), 20);
});

// Guards against streams that are lost with one datagram.
test("each recent stream is in several heartbeats", () => {
  const keysOf = (others: number) =>
    heartbeatsOf([], { count: 20, others }).flatMap(({ streams = [] }) =>
      streams.flatMap(({ keys }) => keys)
    );
  assert.equal(keysOf(7), Array(20).fill(3 * HEARTBEAT_INTERVAL_MS));
  assert.equal(keysOf(63), Array(4).fill(3 * 5 * HEARTBEAT_INTERVAL_MS));
});

// Guards against heartbeats of a large fleet that carry the same limits each
// time because two rotations advance in step.
test("a large fleet receives every rate limit within three seconds", () => {
  const heartbeats = heartbeatsOf([], { count: 13, others: 63, limits: 120 });
  const limits = heartbeats.map(({ rateLimits = [] }) => rateLimits);
  assert.ok(limits.every(({ length }) => length <= 24));
  const sent = new Set(limits.flat().map(({ targetId }) => targetId));
  assert.is(sent.size, 120);
});

test("only some heartbeats carry unchanged rate limits in a large fleet", () => {
  const heartbeats = heartbeatsOf([], { count: 40, others: 63, limits: 3 });
  const later = heartbeats.slice(15)
    .filter(({ rateLimits }) => rateLimits !== undefined);
  assert.is(later.length, 5);
});

// Guards against digests that list the same members each time, or that reach
// the same members only.
test("digests list every member in turn and reach all of a large fleet", () => {
  for (const others of [60, 119]) {
    const heartbeats = heartbeatsOf([], { count: 5 * 60, others });
    const named = new Set(
      heartbeats.flatMap((heartbeat) =>
        heartbeat.others.map(({ instanceId }) => instanceId)
      ),
    );
    assert.is(named.size, others);
    const reached = new Set(
      heartbeats.filter((heartbeat) => heartbeat.others.length > 0)
        .flatMap(({ addresses }) => addresses),
    );
    assert.is(reached.size, others);
  }
});

test.run();
