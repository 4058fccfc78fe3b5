/** Tests that reported load changes placements only while it is reported. */

import { test } from "uvu";
import * as assert from "uvu/assert";
import { Coordinator } from "./coordinator.ts";
import { LatencyModels } from "./latency_models.ts";
import { askOf, boardOf } from "./routing_test_support.ts";
import type { AskDecision, WorkEnd } from "./work_ask.ts";

const BOUNDS = {
  retryBudget: { ratio: 0.2, slack: 5, windowS: 10 },
  allotmentTolerance: { windowMs: 8000, overage: 0, slack: 0 },
};
const ENGINE = { slots: 2, kvCapacityTokens: 100_000 };
const SPEEDS = { t1: 0.55, t2: 1, t3: 1, t4: 2.8 };
/** Time to the first event of an ask of `askOf` under the initial estimates. */
const FIRST_MS = new LatencyModels().of("t1").firstEventMs(500, 0);

function scope(nowMs: number) {
  return { share: 1, reportedShare: 1, uptimeMs: Infinity, nowMs };
}

function loadOf(slowdownRatio: number, waiting = 0) {
  return { load: { running: 1, waiting, slowdownRatio, ageMs: 0 } };
}

function endOf(askId: string, over: Partial<WorkEnd>): WorkEnd {
  const end = { askId, targetId: "t1", pool: "p", promptTokens: 500 };
  return { ...end, failed: false, ...over };
}

/** Seeded generator of whole numbers below a bound. */
function generatorOf(seed: number): (bound: number) => number {
  let state = seed;
  return (bound) => {
    state = (Math.imul(state, 1_664_525) + 1_013_904_223) >>> 0;
    return Math.floor(state / 2 ** 32 * bound);
  };
}

/** Plays 600 asks to targets of some speeds, and returns all decisions. */
function play(of: {
  speeds: Readonly<Record<string, number>>;
  everyMs: number;
  isPlain?: boolean;
  loadAt?: (targetId: string) => Partial<WorkEnd>;
}): AskDecision[] {
  const engine = of.isPlain ? undefined : ENGINE;
  const pools = [{ name: "p", maxConnections: 100, engine }];
  const board = boardOf(Object.keys(of.speeds), { pools });
  const coordinator = new Coordinator(board, BOUNDS);
  const below = generatorOf(7);
  const running: { atMs: number; end: WorkEnd }[] = [];
  const all: AskDecision[] = [];
  for (let nowMs = 0; nowMs < 600 * of.everyMs; nowMs += of.everyMs) {
    const ask = askOf(`a${nowMs}`, {
      rank: below(3),
      promptTokens: 100 + below(8000),
      patienceLeftMs: 200 + below(2000),
    });
    const ended = running.filter(({ atMs }) =>
      atMs > nowMs - of.everyMs && atMs <= nowMs
    );
    const decisions = [
      ...ended.flatMap(({ end }) => coordinator.ended(end, nowMs)),
      ...coordinator.ask(ask, scope(nowMs)),
      ...coordinator.tick(nowMs),
    ];
    for (const decision of decisions) {
      if ("targetId" in decision) {
        const { askId, targetId } = decision;
        const reported = of.loadAt?.(targetId);
        const speed = of.speeds[targetId]! *
          (reported?.load?.slowdownRatio ?? 1);
        const times = {
          firstMs: speed * (40 + below(30)),
          eventGapMs: speed * (20 + below(10)),
        };
        const end = endOf(askId, { targetId, ...times, ...reported });
        running.push({ atMs: nowMs + speed * (60 + below(90)), end });
      }
    }
    all.push(...decisions);
  }
  return all;
}

/** FNV-1a hash of decisions, to compare them with those of another build. */
function digestOf(decisions: readonly AskDecision[]): string {
  let hash = 0x811c9dc5;
  for (const char of JSON.stringify(decisions)) {
    hash = Math.imul(hash ^ char.charCodeAt(0), 0x01000193) >>> 0;
  }
  return hash.toString(16);
}

// Guards against a change of decisions where no target reports its slowdown, or
// each reports its usual speed. The digests were taken of commit c2c77fa, which
// did not read reports.
test("without slowdowns, decisions are those of the build before reports existed", () => {
  for (const loadAt of [undefined, () => loadOf(1)]) {
    const of = { speeds: SPEEDS, everyMs: 10, loadAt };
    const digests = [
      digestOf(play(of)),
      digestOf(play({ ...of, isPlain: true })),
    ];
    assert.equal(digests, ["be2e388", "ab736e4c"]);
  }
});

/** A coordinator, and a function that asks and returns the chosen target. */
function placerOf(targetIds: readonly string[]) {
  const board = boardOf(targetIds);
  const coordinator = new Coordinator(board, BOUNDS);
  let askCount = 0;
  const place = (nowMs: number, over = {}) => {
    const askId = `a${askCount++}`;
    const [decision] = coordinator.ask(askOf(askId, over), scope(nowMs));
    const isPlaced = decision !== undefined && "targetId" in decision;
    return { askId, targetId: isPlaced ? decision.targetId : undefined };
  };
  /** Places a request at a target, which reports its load and ends. */
  const report = (nowMs: number, load: Partial<WorkEnd>) => {
    const { askId } = place(nowMs);
    coordinator.firstSeen(askId, nowMs, load);
    coordinator.dropped(askId, nowMs);
  };
  return { board, coordinator, place, report };
}

// Guards against a slowdown that is kept with the cached candidates, which are
// not renewed while the use of their targets stays the same.
test("a slowdown affects first events for one second, and none after", () => {
  const { coordinator, place, report } = placerOf(["t1", "t2"]);
  report(10, loadOf(100));
  const placedAt = (nowMs: number) => {
    const { askId, targetId } = place(nowMs, { outputTokens: 0 });
    coordinator.dropped(askId, nowMs);
    return targetId;
  };
  assert.equal([10, 900, 1010, 1011].map(placedAt), ["t2", "t2", "t2", "t1"]);
});

// Guards against a prediction of generation at the usual speed.
test("a slowdown affects the generation as well", () => {
  const { board, place, report } = placerOf(["t1", "t2"]);
  for (let i = 0; i < 4; i++) {
    board.latencyModels.of("t2").recordFirstEvent(500, 0, 40 * FIRST_MS);
  }
  report(0, loadOf(8));
  const long = { outputTokens: 2000, objectiveLeftMs: 5000 };
  assert.is(place(0, long).targetId, "t2");
});

// Guards against equal shares for equal targets while one of them is slow.
test("of equal targets, those in a slow period get less work", () => {
  const decisions = play({
    speeds: { t1: 1, t2: 1, t3: 1, t4: 1 },
    everyMs: 40,
    loadAt: (targetId) => loadOf(targetId === "t1" ? 2.5 : 1),
  });
  const atSlow = decisions.filter((d) => "targetId" in d && d.targetId === "t1")
    .length;
  assert.ok(atSlow < (decisions.length - atSlow) / 3 / 2, String(atSlow));
});

// Guards against a queue that waits for a target which is fast usually, and
// slow at this moment.
test("no request waits for a fast target that is in a slow period", () => {
  const { board, coordinator, place } = placerOf(["fast", "slow"]);
  for (let i = 0; i < 40; i++) {
    board.latencyModels.of("slow").recordFirstEvent(1000, 0, 180);
  }
  const { askId } = place(0);
  place(0);
  const large = { promptTokens: 10_000, objectiveLeftMs: 400 };
  assert.is(place(0, large).targetId, undefined);
  coordinator.firstSeen(askId, 5, loadOf(8));
  assert.is(place(5, large).targetId, "slow");
});

// Guards against work for a target that is busy with requests which this
// coordinator does not know, and against capacity that is left unused.
test("a target where unknown requests wait gets no work for 300 ms while another is free", () => {
  const { place, report } = placerOf(["t1", "t2"]);
  report(0, loadOf(1, 3));
  const targetIds = [0, 0, 0].map((nowMs) => place(nowMs).targetId);
  assert.equal(targetIds, ["t2", "t2", "t1"]);
  const later = placerOf(["t1", "t2"]);
  later.report(0, loadOf(1, 3));
  const placedAt = (nowMs: number, excluded: string[] = []) => {
    const { askId, targetId } = later.place(nowMs, { excluded });
    later.coordinator.dropped(askId, nowMs);
    return targetId;
  };
  assert.is(placedAt(299, ["t2"]), "t1");
  assert.equal([299, 300].map((nowMs) => placedAt(nowMs)), ["t2", "t1"]);
});

// Guards against a report of a process that has ended, and whose work was
// dropped, that is taken for one of the target's new process.
test("a report for work of an earlier process is ignored", () => {
  const { board, coordinator, place } = placerOf(["t1"]);
  const { askId } = place(0);
  coordinator.targetRestarted("t1");
  coordinator.firstSeen(askId, 10, loadOf(8));
  coordinator.ended(endOf(askId, loadOf(8)), 20);
  assert.is(board.targetLoads.slowdownsAt(20), undefined);
});

// Guards against a forged report that has taught a wrong speed when it expires.
test("a forged report changes no prediction after a second", () => {
  for (const ratio of [0.1, 1, 100]) {
    const { board, coordinator, place } = placerOf(["t1", "t2"]);
    const end = endOf(place(0).askId, { firstMs: FIRST_MS, ...loadOf(ratio) });
    coordinator.ended(end, 60);
    assert.is(board.latencyModels.of("t1").firstEventMs(500, 0), FIRST_MS);
    assert.is(place(1061).targetId, "t1");
  }
});

// Guards against learned speeds that are those of the moment.
test("three speeds are told apart after ten answers each, some of them slow", () => {
  const models = new LatencyModels();
  const below = generatorOf(3);
  for (const [targetId, speed] of Object.entries(SPEEDS)) {
    for (let i = 0; i < 20; i++) {
      const ratio = below(100) < 15 ? 2.5 : 1;
      const firstMs = speed * ratio * FIRST_MS;
      const times = { targetId, firstMs, eventGapMs: firstMs / 2 };
      const end = endOf("a", { ...times, ...loadOf(ratio) });
      models.recordEnd(end, { isStream: i % 2 === 0, tokensAhead: 0 });
    }
    const model = models.of(targetId);
    const usualMs = [
      model.callMs,
      model.firstEventMs(500, 0),
      2 * model.eventGapMs,
    ];
    for (const ms of usualMs) {
      const error = ms / FIRST_MS / speed - 1;
      assert.ok(Math.abs(error) < 0.15, `${targetId} ${error}`);
    }
  }
});

test.run();
