import { test } from "uvu";
import * as assert from "uvu/assert";
import { Coordinator } from "./coordinator.ts";
import { baselineFirstEventMs, INITIAL_EVENT_GAP_MS } from "./latency_model.ts";
import { askOf, boardOf, memberOf } from "./routing_test_support.ts";
import type { AskDecision, WorkAsk } from "./work_ask.ts";

const BOUNDS = {
  retryBudget: { ratio: 0.2, slack: 5, windowS: 10 },
  allotmentTolerance: { windowMs: 8000, overage: 0, slack: 0 },
};
const SCOPE = { share: 1, reportedShare: 1, uptimeMs: Infinity };
/** Time that work takes at a target in relation to the baseline. */
const SPEEDS = [0.55, 1, 2.8];
const TARGET_IDS = Array.from({ length: 12 }, (_, index) => `t${index}`);
const SLOTS = 2;
const OBJECTIVE_MS = 800;
/** Prompts of every tenth request, and of the others. */
const LARGE_TOKENS = 20_000;
const SMALL_TOKENS = 500;
const GENERATION_MS = 14 * INITIAL_EVENT_GAP_MS;
const MAX_ATTEMPTS = 3;
const STEP_MS = 2;
const TICK_MS = 20;
const SPAN_MS = 12_000;

interface Request {
  readonly ask: WorkAsk;
  readonly firstAttemptAtMs: number;
  readonly attempts: number;
  /** Time of the next attempt of a refused caller. */
  readonly againAtMs?: number;
}

interface Run extends Request {
  readonly targetId: string;
  readonly placedAtMs: number;
  readonly firstAtMs: number;
  readonly endsAtMs: number;
  readonly isExpectedOnTime: boolean;
  firstSeen?: boolean;
}

/** Speed of a target; in slow periods, work takes 2.5 times as long. */
function speedOf(targetId: string, nowMs: number): number {
  const index = Number(targetId.slice(1));
  const period = Math.floor((nowMs + 137 * index) / 600);
  const isSlow = (7 * period + 13 * index) % 20 < 3;
  return SPEEDS[index % SPEEDS.length]! * (isSlow ? 2.5 : 1);
}

function workMs({ promptTokens }: WorkAsk): number {
  return baselineFirstEventMs(promptTokens, 0) + GENERATION_MS;
}

/**
 * Plays callers, of which refused ones return, against a coordinator.
 *
 * @param loadAt Load by time, as a multiple of the targets' capacity.
 * @param of Whether the fleet is too large for a full mesh, and the tokens of
 * every tenth prompt.
 */
function play(
  loadAt: (nowMs: number) => number,
  { isLargeFleet, largeTokens = LARGE_TOKENS }: {
    isLargeFleet: boolean;
    largeTokens?: number;
  },
) {
  const board = boardOf(TARGET_IDS);
  for (let i = 0; isLargeFleet && i < 13; i++) {
    board.members.heartbeatReceived(memberOf(`m${i}`), 0);
  }
  const coordinator = new Coordinator(board, BOUNDS);
  const capacityPerMs = TARGET_IDS.length / SPEEDS.length * SLOTS *
    SPEEDS.reduce((sum, speed) => sum + 1 / speed, 0) /
    (0.9 * workMs(askOf("")) +
      0.1 * workMs(askOf("", { promptTokens: largeTokens })));
  const waiting = new Map<string, Request>();
  const runs: Run[] = [];
  let returning: Request[] = [];
  const changesMs: number[] = [];
  let offered = 0;
  let due = 0;
  const place = (decision: AskDecision, nowMs: number) => {
    const request = waiting.get(decision.askId)!;
    waiting.delete(decision.askId);
    if ("refusal" in decision) {
      returning.push({ ...request, againAtMs: nowMs + decision.retryAfterMs });
      return;
    }
    const { targetId, expectedMs } = decision;
    const { ask: { promptTokens }, firstAttemptAtMs } = request;
    const tokensAhead = runs
      .filter((run) => run.targetId === targetId && !run.firstSeen)
      .reduce((sum, { ask }) => sum + ask.promptTokens, 0);
    const speed = speedOf(targetId, nowMs);
    const firstAtMs = nowMs +
      speed * baselineFirstEventMs(promptTokens, tokensAhead);
    runs.push({
      ...request,
      targetId,
      placedAtMs: nowMs,
      firstAtMs,
      endsAtMs: firstAtMs + speed * GENERATION_MS,
      isExpectedOnTime: nowMs + expectedMs - firstAttemptAtMs <= OBJECTIVE_MS,
    });
  };
  const apply = (decisions: readonly AskDecision[], nowMs: number) =>
    decisions.forEach((decision) => place(decision, nowMs));
  const attempt = (request: Request, nowMs: number) => {
    const attempts = request.attempts + 1;
    const ask = {
      ...request.ask,
      askId: `${request.ask.callHash}.${attempts}`,
    };
    waiting.set(ask.askId, { ...request, ask, attempts });
    apply(coordinator.ask(ask, { ...SCOPE, nowMs }), nowMs);
  };
  const open = new Set<Run>();
  const advance = (run: Run, nowMs: number) => {
    const { ask, targetId, firstAtMs, placedAtMs, endsAtMs } = run;
    if (!run.firstSeen && firstAtMs <= nowMs) {
      run.firstSeen = true;
      coordinator.firstSeen(ask.askId, nowMs);
    }
    if (endsAtMs <= nowMs) {
      open.delete(run);
      apply(
        coordinator.ended({
          askId: ask.askId,
          targetId,
          pool: "p",
          promptTokens: ask.promptTokens,
          firstMs: firstAtMs - placedAtMs,
          eventGapMs: (endsAtMs - firstAtMs) / 14,
          failed: false,
        }, nowMs),
        nowMs,
      );
    }
  };
  for (let nowMs = 0, seen = 0; nowMs < SPAN_MS; nowMs += STEP_MS) {
    runs.slice(seen).forEach((run) => open.add(run));
    seen = runs.length;
    open.forEach((run) => advance(run, nowMs));
    due += STEP_MS * capacityPerMs * loadAt(nowMs);
    for (; due >= 1; due--) {
      offered++;
      const promptTokens = offered % 10 === 0 ? largeTokens : SMALL_TOKENS;
      const limits = { objectiveLeftMs: OBJECTIVE_MS, patienceLeftMs: 1600 };
      const ask = askOf("", { callHash: offered, promptTokens, ...limits });
      attempt({ ask, firstAttemptAtMs: nowMs, attempts: 0 }, nowMs);
    }
    const again = returning.filter(({ againAtMs }) => againAtMs! <= nowMs);
    returning = returning.filter(({ againAtMs }) => againAtMs! > nowMs);
    again.filter(({ attempts }) => attempts < MAX_ATTEMPTS)
      .forEach((request) => attempt(request, nowMs));
    if (nowMs % TICK_MS === 0) {
      apply(coordinator.tick(nowMs), nowMs);
    }
    const isStanding = coordinator.standingBacklogs(nowMs).length > 0;
    if (isStanding !== (changesMs.length % 2 === 1)) {
      changesMs.push(nowMs);
    }
  }
  return { offered, runs, changesMs };
}

function onTimeShare(runs: readonly Run[]): number {
  const onTime = runs.filter(({ firstAtMs, firstAttemptAtMs }) =>
    firstAtMs - firstAttemptAtMs <= OBJECTIVE_MS
  );
  return onTime.length / runs.length;
}

// Guards against requests that start just before they would be late, and
// against large prompts that count as late by the mean of unequal targets.
test("at twice the capacity of targets of three speeds, what is served is on time", () => {
  const { runs, changesMs } = play(() => 2, { isLargeFleet: true });
  const expected = runs.filter(({ isExpectedOnTime }) => isExpectedOnTime);
  assert.ok(onTimeShare(runs) >= 0.9, `served: ${onTimeShare(runs)}`);
  assert.ok(onTimeShare(expected) >= 0.9, `as such: ${onTimeShare(expected)}`);
  const large = runs.filter(({ ask }) => ask.promptTokens === LARGE_TOKENS);
  const largeRatio = 10 * large.length / runs.length;
  assert.ok(largeRatio >= 0.5, `large: ${largeRatio}`);
  const phasesMs = changesMs.slice(1).map((ms, i) => ms - changesMs[i]!);
  assert.ok(changesMs.length > 0 && phasesMs.every((ms) => ms >= 500));
});

// Guards against an order that leaves slots idle. The prompts are of one size,
// as the order of arrival serves few large ones, which take more time each.
test("at twice the capacity, no fewer are served than by latest start", () => {
  const [before, after] = [false, true].map((isLargeFleet) =>
    play(() => 2, { isLargeFleet, largeTokens: SMALL_TOKENS }).runs
  );
  assert.ok(after!.length >= before!.length, `${after!.length}`);
  assert.ok(onTimeShare(after!) > onTimeShare(before!));
});

// Guards against serving bursts in reverse, where all could still be on time.
for (const [load, burstMs] of [[2, 600], [1.5, 750], [10, 400]] as const) {
  test(`a burst of ${burstMs} ms of ${load} times the capacity is served as before`, () => {
    const loadAt = (nowMs: number) => nowMs < burstMs ? load : 0.5;
    const [small, large] = [false, true].map((isLargeFleet) =>
      play(loadAt, { isLargeFleet }).runs
        .map(({ ask, targetId }) => `${ask.askId} -> ${targetId}`)
    );
    assert.equal(large, small);
  });
}

test.run();
