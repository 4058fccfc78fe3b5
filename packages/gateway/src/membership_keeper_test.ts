import { Writable } from "node:stream";
import { MessageKind } from "@chestnuthatch/routing/peer_messages";
import { boardOf, memberOf } from "@chestnuthatch/routing/routing_test_support";
import type { TargetRowChange } from "@chestnuthatch/routing/target_directory";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { EventLog } from "./event_log.ts";
import { type Beat, MembershipKeeper } from "./membership_keeper.ts";

const BEAT_MS = 220;

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

interface SentBeat extends Beat {
  readonly addresses: readonly string[];
}

/** Heartbeats of an instance that hears of one other. */
function beatsOf(
  news: readonly TargetRowChange[],
  { count, others = 1, reachesStore = true, limits = 0 }: {
    count: number;
    others?: number;
    /** Targets with a rate limit. */
    limits?: number;
    /** Whether the coordinator reaches the store. */
    reachesStore?: boolean;
  },
): SentBeat[] {
  const beats: SentBeat[] = [];
  const self = memberOf("i1");
  const board = boardOf([]);
  for (let index = 2; index < 2 + others; index++) {
    board.members.heartbeatReceived(memberOf(`i${index}`), 0);
  }
  for (let index = 0; index < limits; index++) {
    board.rateLimits.advertised(`t${index}`, 5, 0);
  }
  let nowMs = 0;
  const clock = { nowMs: () => nowMs };
  const nowhere = new Writable({ write: (_chunk, _code, done) => done() });
  const keeper = new MembershipKeeper({
    board,
    clock,
    log: new EventLog(clock, "i1", nowhere),
    seedAddresses: [],
    send: (addresses, message) => {
      if (message.kind === MessageKind.Heartbeat) {
        beats.push({ ...message, addresses: [...addresses] });
      }
    },
    coordinatorId: () => "i2",
    memoryMs: () => 0,
    reachesStore: () => true,
    spending: () => [],
    suspects: () => [],
    rollouts: () => [],
    rateLimits: (of) => board.rateLimits.updatesToSend(nowMs, of),
    targetNews: () => news,
  }, self);
  keeper.heard({
    kind: MessageKind.Heartbeat,
    from: memberOf("i2"),
    memoryMs: 0,
    configurationVersion: 0,
    targetsVersion: 0,
    reachesStore,
    others: [],
    targetNews: [],
  });
  for (; beats.length < count; nowMs += BEAT_MS) {
    for (let index = 3; index < 2 + others; index++) {
      board.members.heartbeatReceived(memberOf(`i${index}`), nowMs);
    }
    keeper.tick();
  }
  return beats;
}

test("a heartbeat fits a datagram however much is new", () => {
  const news = Array.from(
    { length: 100 },
    (_, index) => changeOf(index, index >= 90),
  );
  const beats = beatsOf(news, { count: 10 });
  assert.ok(beats.every(({ targetNews }) => targetNews.length <= 24));
  const told = new Set(
    beats.flatMap((beat) => beat.targetNews.map(({ targetId }) => targetId)),
  );
  assert.is(told.size, 100);
});

test("each heartbeat tells of all leaving targets first", () => {
  const news = Array.from(
    { length: 100 },
    (_, index) => changeOf(index, index >= 90),
  );
  for (const { targetNews } of beatsOf(news, { count: 3 })) {
    const leaving = targetNews.filter(({ entry }) => entry?.leaving === true);
    assert.is(leaving.length, 10);
  }
});

test("members of a large fleet leave news of new targets to the coordinator", () => {
  const news = Array.from(
    { length: 30 },
    (_, index) => changeOf(index, index >= 20),
  );
  const beats = beatsOf(news, { count: 10, others: 63 });
  const told = beats.flatMap(({ targetNews }) => targetNews);
  assert.ok(told.length > 0);
  assert.ok(told.every(({ entry }) => entry?.leaving === true));
  const unheard = beatsOf(news, { count: 10, others: 63, reachesStore: false })
    .flatMap(({ targetNews }) => targetNews);
  assert.ok(unheard.some(({ entry }) => entry?.leaving === false));
});

test("a large fleet is told spending once in a while", () => {
  const told = (others: number) =>
    beatsOf([], { count: 20, others }).filter(({ spending }) =>
      spending !== undefined
    )
      .length;
  assert.is(told(7), 20);
  assert.is(told(63), 4);
});

// Guards against heartbeats of a large fleet that report the same limits each time
// because two rotations run in step.
test("a large fleet learns every rate limit within three seconds", () => {
  const beats = beatsOf([], { count: 13, others: 63, limits: 120 });
  const limits = beats.map(({ rateLimits = [] }) => rateLimits);
  assert.ok(limits.every(({ length }) => length <= 24));
  const told = new Set(limits.flat().map(({ targetId }) => targetId));
  assert.is(told.size, 120);
});

test("unchanged rate limits are reported to a large fleet once in a while", () => {
  const beats = beatsOf([], { count: 40, others: 63, limits: 3 });
  const later = beats.slice(15)
    .filter(({ rateLimits }) => rateLimits !== undefined);
  assert.is(later.length, 5);
});

// Guards against digests that list the same members each time, or that reach the
// same members only.
test("digests list every member in turn and reach all of a large fleet", () => {
  for (const others of [60, 119]) {
    const beats = beatsOf([], { count: 5 * 60, others });
    const named = new Set(
      beats.flatMap((beat) => beat.others.map(({ instanceId }) => instanceId)),
    );
    assert.is(named.size, others);
    const reached = new Set(
      beats.filter((beat) => beat.others.length > 0)
        .flatMap(({ addresses }) => addresses),
    );
    assert.is(reached.size, others);
  }
});

test.run();
