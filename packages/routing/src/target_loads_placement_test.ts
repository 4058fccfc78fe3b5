/** Tests that reported load changes placements only while it is reported. */

import { test } from "uvu";
import * as assert from "uvu/assert";
import { Coordinator } from "./coordinator.ts";
import type { LoadReport } from "./load_report.ts";
import { askOf, boardOf } from "./routing_test_support.ts";
import type { RoutingBoard } from "./routing_board.ts";
import type { WorkEnd } from "./work_ask.ts";

const BOUNDS = {
  retryBudget: { ratio: 0.2, slack: 5, windowS: 10 },
  allotmentTolerance: { windowMs: 8000, overage: 0, slack: 0 },
};
const POOLS = {
  engine: [{
    name: "p",
    maxConnections: 100,
    engine: { slots: 2, kvCapacityTokens: 100_000 },
  }],
  plain: [{ name: "p", maxConnections: 100 }],
};

/** Time that work takes at each target, relative to the usual time. */
const SPEEDS = new Map([["t1", 0.55], ["t2", 1], ["t3", 1], ["t4", 2.8]]);

function scope(nowMs: number) {
  return { share: 1, memoryMs: Infinity, uptimeMs: Infinity, nowMs };
}

/** Seeded generator of whole numbers below a bound. */
function generatorOf(seed: number): (bound: number) => number {
  let state = seed;
  return (bound) => {
    state = (Math.imul(state, 1_664_525) + 1_013_904_223) >>> 0;
    return Math.floor(state / 2 ** 32 * bound);
  };
}

/** Plays 600 asks, more than the targets can run, and returns all decisions. */
function decisionsOf(
  pools: keyof typeof POOLS,
  { addedTo }: { addedTo: (end: WorkEnd) => WorkEnd },
): string {
  const coordinator = new Coordinator(
    boardOf([...SPEEDS.keys()], { pools: POOLS[pools] }),
    BOUNDS,
  );
  const below = generatorOf(7);
  const ends = new Map<number, WorkEnd[]>();
  const texts: string[] = [];
  for (let nowMs = 0; nowMs < 6000; nowMs += 10) {
    const ask = askOf(`a${nowMs}`, {
      rank: below(3),
      promptTokens: 100 + below(8000),
      patienceLeftMs: 200 + below(2000),
    });
    const decisions = [
      ...(ends.get(nowMs) ?? [])
        .flatMap((end) => coordinator.ended(addedTo(end), nowMs)),
      ...coordinator.ask(ask, scope(nowMs)),
      ...coordinator.tick(nowMs),
    ];
    for (const decision of decisions) {
      texts.push(JSON.stringify(decision));
      if ("targetId" in decision) {
        const speed = SPEEDS.get(decision.targetId)!;
        const firstMs = speed * (40 + below(30));
        const endMs = nowMs + 10 * Math.ceil((speed * (60 + below(90))) / 10);
        const { askId, targetId } = decision;
        const end = {
          askId,
          targetId,
          pool: "p",
          promptTokens: ask.promptTokens,
          firstMs,
          eventGapMs: speed * (20 + below(10)),
          failed: below(50) === 0,
        };
        ends.set(endMs, [...ends.get(endMs) ?? [], end]);
      }
    }
  }
  return texts.join("\n");
}

/** FNV-1a hash of a text, to compare it with that of an earlier build. */
function digestOf(text: string): string {
  let hash = 0x811c9dc5;
  for (let i = 0; i < text.length; i++) {
    hash = Math.imul(hash ^ text.charCodeAt(i), 0x01000193) >>> 0;
  }
  return hash.toString(16);
}

// Guards against a change of decisions where no target reports its slowdown.
// The digests were taken of commit c2c77fa, which did not read reports.
test("without reports, decisions are those of the build before reports existed", () => {
  const addedTo = (end: WorkEnd) => end;
  const digests = [
    digestOf(decisionsOf("engine", { addedTo })),
    digestOf(decisionsOf("plain", { addedTo })),
  ];
  assert.equal(digests, ["2dcd6261", "f9cbb05d"]);
});

// Guards against a report that says "as usual" and yet changes a prediction.
test("reports of the usual speed change no decision", () => {
  const load = loadOf({ slowdownRatio: 1 });
  for (const pools of ["engine", "plain"] as const) {
    const addedTo = (end: WorkEnd) => ({ ...end, load });
    const without = decisionsOf(pools, { addedTo: (end) => end });
    assert.is(decisionsOf(pools, { addedTo }), without);
  }
});

function loadOf(over: Partial<LoadReport>): LoadReport {
  return { running: 1, waiting: 0, slowdownRatio: 1, ageMs: 0, ...over };
}

function endOf(askId: string, over: Partial<WorkEnd>): WorkEnd {
  return {
    askId,
    targetId: "t1",
    pool: "p",
    promptTokens: 500,
    failed: false,
    ...over,
  };
}

/** A coordinator, and a function that asks and returns the chosen target. */
function placerOf(targetIds: readonly string[]) {
  const board = boardOf(targetIds);
  const coordinator = new Coordinator(board, BOUNDS);
  let askCount = 0;
  const place = (nowMs: number, over = {}) => {
    const askId = `a${askCount++}`;
    const [decision] = coordinator.ask(askOf(askId, over), scope(nowMs));
    const targetId = decision && "targetId" in decision
      ? decision.targetId
      : undefined;
    return { askId, targetId };
  };
  return { board, coordinator, place };
}

// Guards against a slowdown that is kept with the cached candidates, which are
// not renewed while the use of their targets stays the same.
test("a reported slowdown affects placements for one second, and none after", () => {
  const { board, coordinator, place } = placerOf(["t1", "t2"]);
  const { askId, targetId } = place(0);
  assert.is(targetId, "t1");
  const load = loadOf({ slowdownRatio: 100 });
  coordinator.firstSeen(askId, 10, { load });
  const placedAt = (nowMs: number) => {
    // Without output, the prediction is that of the first event alone.
    const placed = place(nowMs, { outputTokens: 0 });
    coordinator.dropped(placed.askId, nowMs);
    return placed.targetId;
  };
  assert.equal([10, 900, 1010, 1011].map(placedAt), ["t2", "t2", "t2", "t1"]);
  const load8 = loadOf({ slowdownRatio: 8 });
  coordinator.dropped(askId, 2000);
  const again = place(2000, { excluded: ["t2"] });
  coordinator.firstSeen(again.askId, 2000, { load: load8 });
  // A faster first event does not outweigh that generation is slow.
  for (let i = 0; i < 4; i++) {
    board.latencyModels.of("t2").recordFirstEvent(500, 0, 2000);
  }
  const long = { outputTokens: 2000, objectiveLeftMs: 5000 };
  assert.is(place(2000, long).targetId, "t2");
});

// Guards against equal shares for equal targets while one of them is slow.
test("of equal targets, those in a slow period get less work", () => {
  const { coordinator, place } = placerOf(["t1", "t2", "t3", "t4"]);
  const counts = new Map<string, number>();
  const running: { atMs: number; end: WorkEnd }[] = [];
  for (let nowMs = 0; nowMs < 3000; nowMs += 20) {
    const { askId, targetId } = place(nowMs);
    const slowdownRatio = targetId === "t1" ? 2.5 : 1;
    const load = loadOf({ slowdownRatio });
    coordinator.firstSeen(askId, nowMs, { load });
    counts.set(targetId!, (counts.get(targetId!) ?? 0) + 1);
    running.push({
      atMs: nowMs + 60 * slowdownRatio,
      end: endOf(askId, {
        targetId: targetId!,
        firstMs: 51 * slowdownRatio,
        load,
      }),
    });
    for (const { end } of running.filter(({ atMs }) => atMs === nowMs)) {
      coordinator.ended(end, nowMs);
    }
  }
  const mean = (150 - counts.get("t1")!) / 3;
  assert.ok(counts.get("t1")! < mean / 2, JSON.stringify([...counts]));
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
  coordinator.firstSeen(askId, 5, { load: loadOf({ slowdownRatio: 8 }) });
  assert.is(place(5, large).targetId, "slow");
});

// Guards against work for a target that is busy with requests which this
// coordinator does not know, and against capacity that is left unused.
test("a target where unknown requests wait gets no work for 300 ms while another is free", () => {
  const { coordinator, place } = placerOf(["t1", "t2"]);
  const { askId } = place(0);
  coordinator.firstSeen(askId, 0, { load: loadOf({ waiting: 3 }) });
  coordinator.dropped(askId, 0);
  assert.equal([0, 0, 0].map((nowMs) => place(nowMs).targetId), [
    "t2",
    "t2",
    "t1",
  ]);
  assert.is(place(299, { excluded: ["t2"] }).targetId, "t1");
  const after = placerOf(["t1", "t2"]);
  const first = after.place(0);
  after.coordinator.firstSeen(first.askId, 0, { load: loadOf({ waiting: 3 }) });
  after.coordinator.dropped(first.askId, 0);
  assert.is(after.place(300).targetId, "t1");
});

// Guards against a report of a process that has ended, and whose work was
// dropped, that is taken for one of the target's new process.
test("a report for work of an earlier process is ignored", () => {
  const { board, coordinator, place } = placerOf(["t1"]);
  const { askId } = place(0);
  coordinator.targetRestarted("t1");
  const load = loadOf({ slowdownRatio: 8 });
  coordinator.firstSeen(askId, 10, { load });
  coordinator.ended(endOf(askId, { load }), 20);
  assert.is(board.targetLoads.slowdownsAt(20), undefined);
});

// Guards against a forged report that has taught a wrong speed when it expires.
test("a forged report changes no prediction after a second", () => {
  for (const slowdownRatio of [0.1, 1, 100]) {
    const { board, coordinator, place } = placerOf(["t1", "t2"]);
    const model = board.latencyModels.of("t1");
    const firstMs = model.firstEventMs(500, 0);
    const load = loadOf({ slowdownRatio });
    coordinator.ended(endOf(place(0).askId, { firstMs, load }), 60);
    assert.is(model.firstEventMs(500, 0), firstMs);
    assert.is(place(1061).targetId, "t1");
  }
});

/** Feeds ten answers of each speed, of which some fall into slow periods. */
function learn(board: RoutingBoard, isStream: boolean): void {
  const below = generatorOf(3);
  for (const [targetId, speed] of SPEEDS) {
    for (let i = 0; i < 10; i++) {
      const slowdownRatio = below(100) < 15 ? 2.5 : 1;
      const firstMs = speed * slowdownRatio * 51;
      const eventGapMs = firstMs / 2;
      const load = loadOf({ slowdownRatio });
      const end = endOf("a", { targetId, firstMs, eventGapMs, load });
      board.latencyModels.recordEnd(end, { isStream, tokensAhead: 0 });
    }
  }
}

// Guards against learned speeds that are those of the moment.
test("three speeds are told apart after ten answers each, some of them slow", () => {
  const board = boardOf([]);
  learn(board, false);
  learn(board, true);
  for (const [targetId, speed] of SPEEDS) {
    const model = board.latencyModels.of(targetId);
    const ratios = [
      model.callMs / 51,
      model.firstEventMs(500, 0) / 51,
      model.eventGapMs / 25.5,
    ];
    for (const ratio of ratios) {
      assert.ok(Math.abs(ratio / speed - 1) < 0.15, `${targetId} ${ratio}`);
    }
  }
});

test.run();
