/** Tests of the precedence of targets in the holder's failure domain. */

import { test } from "uvu";
import * as assert from "uvu/assert";
import { Coordinator } from "./coordinator.ts";
import { baselineFirstEventMs, INITIAL_EVENT_GAP_MS } from "./latency_model.ts";
import { LatencyModels } from "./latency_models.ts";
import { MessageKind, peerMessageSchema } from "./peer_messages.ts";
import { askOf, boardOf, memberOf } from "./routing_test_support.ts";
import { type Candidate, chooseTarget, IDLE_USE } from "./target_choice.ts";
import type { AskDecision, WorkAsk } from "./work_ask.ts";

const BOUNDS = {
  retryBudget: { ratio: 0.2, slack: 5, windowS: 10 },
  allotmentTolerance: { windowMs: 8000, overage: 0, slack: 0 },
};
const SCOPE = { share: 1, reportedShare: 1, uptimeMs: Infinity };
const DOMAINS = ["a", "b", "c"];
const SPEEDS = [0.55, 1, 2.8];
const TARGET_IDS = Array.from({ length: 60 }, (_, index) => `t${index}`);
const STEP_MS = 5;
const EVENTS = 14;
const END_MS = 9000;
/** Time by which the speeds of targets are known. */
const LEARNED_MS = 5000;
/** Time to the first event of an ask of `askOf` under the initial estimates. */
const FIRST_MS = baselineFirstEventMs(500, 0);
const LARGE_FLEET = 60;
const SMALL_FLEET = 12;

/** Index of a target modulo 3 is its domain, and a third of it its speed. */
function speedOf(targetId: string): number {
  return SPEEDS[Math.floor(Number(targetId.slice(1)) / DOMAINS.length) % 3]!;
}

function domainOf(targetId: string): string {
  return DOMAINS[Number(targetId.slice(1)) % DOMAINS.length]!;
}

function coordinatorIn(targetIds: readonly string[], instances: number) {
  const board = boardOf(targetIds);
  const news = targetIds.map((targetId, index) => {
    const failureDomain = domainOf(targetId);
    const entry = { ...board.targets.get(targetId)!, failureDomain };
    return { targetId, rowVersion: 1000 + index, entry };
  });
  board.targets.apply(news, 0);
  for (let i = 0; i < instances; i++) {
    board.members.heartbeatReceived(memberOf(`h${i}`), 0);
  }
  return { board, coordinator: new Coordinator(board, BOUNDS) };
}

/**
 * Plays asks of the given domains in turn, and counts their outcomes once the
 * speeds of all targets are learned.
 */
function play(of: {
  instances: number;
  perS: number;
  domains: readonly string[];
}) {
  const { coordinator } = coordinatorIn(TARGET_IDS, of.instances);
  const asks = new Map<string, WorkAsk & { askedAtMs: number }>();
  const due: { atMs: number; run: () => readonly AskDecision[] }[] = [];
  /** Prompt tokens that each target has still to process. */
  const aheadAt = new Map<string, number>();
  const sum = { asked: 0, placed: 0, own: 0, late: 0 };
  let nowMs = 0;
  const take = (decisions: readonly AskDecision[]) => {
    for (const decision of decisions) {
      if (!("targetId" in decision)) {
        continue;
      }
      const { askId, targetId } = decision;
      const ask = asks.get(askId)!;
      const { promptTokens } = ask;
      const speed = speedOf(targetId);
      const ahead = aheadAt.get(targetId) ?? 0;
      aheadAt.set(targetId, ahead + promptTokens);
      const firstMs = speed * baselineFirstEventMs(promptTokens, ahead);
      const eventGapMs = speed * INITIAL_EVENT_GAP_MS;
      const end = { askId, targetId, pool: "p", promptTokens, failed: false };
      const firstAtMs = nowMs + firstMs;
      if (ask.askedAtMs >= LEARNED_MS) {
        sum.placed++;
        sum.own += Number(domainOf(targetId) === ask.failureDomain);
        sum.late += Number(firstAtMs - ask.askedAtMs > ask.objectiveLeftMs);
      }
      due.push({
        atMs: firstAtMs,
        run: () => {
          aheadAt.set(targetId, aheadAt.get(targetId)! - promptTokens);
          coordinator.firstSeen(askId, nowMs);
          return [];
        },
      }, {
        atMs: firstAtMs + EVENTS * eventGapMs,
        run: () => coordinator.ended({ ...end, firstMs, eventGapMs }, nowMs),
      });
    }
  };
  let count = 0;
  for (; nowMs < END_MS; nowMs += STEP_MS) {
    for (const { run } of due.filter(({ atMs }) => isNow(atMs, nowMs))) {
      take(run());
    }
    for (; count < of.perS * nowMs / 1000; count++) {
      const ask = askOf(`a${count}`, {
        failureDomain: of.domains[count % of.domains.length]!,
        promptTokens: 200 + 397 * count % 24_000,
        longestGapMs: 300,
      });
      asks.set(ask.askId, { ...ask, askedAtMs: nowMs });
      sum.asked += Number(nowMs >= LEARNED_MS);
      take(coordinator.ask(ask, { ...SCOPE, nowMs }));
    }
    take(coordinator.tick(nowMs));
  }
  return sum;
}

function isNow(atMs: number, nowMs: number): boolean {
  return atMs > nowMs - STEP_MS && atMs <= nowMs;
}

// Guards against traffic between domains for speed that no caller needs, and
// against missed objectives for the sake of the domain.
test("at half the capacity, nine in ten requests stay in their domain", () => {
  const of = { perS: 108, domains: DOMAINS };
  const before = play({ ...of, instances: SMALL_FLEET });
  const after = play({ ...of, instances: LARGE_FLEET });
  assert.ok(before.own < 0.7 * before.placed, JSON.stringify(before));
  assert.ok(after.own >= 0.9 * after.placed, JSON.stringify(after));
  assert.ok(after.late <= before.late, JSON.stringify([before, after]));
  assert.is(after.placed, after.asked);
});

// Guards against a queue for the own domain while others are idle. A domain
// serves about 72 requests a second.
test("the excess of one domain is placed in the others", () => {
  const sum = play({ instances: LARGE_FLEET, perS: 144, domains: ["a"] });
  assert.is(sum.placed, sum.asked);
  assert.is(sum.late, 0);
  assert.ok(sum.own > 0.4 * sum.placed, JSON.stringify(sum));
});

/**
 * Chooses between a slow target of the own domain and a faster one of another.
 */
function chosen(of: {
  leftMs?: number;
  longestGapMs?: number;
  slowdownRatio?: number;
  deadlineLeftMs?: number;
}): string {
  const { leftMs, longestGapMs, slowdownRatio = 1 } = of;
  const { deadlineLeftMs = 10_000 } = of;
  const { board } = coordinatorIn(["t0", "t1"], 0);
  const latencyModels = new LatencyModels();
  for (let i = 0; i < 50; i++) {
    latencyModels.of("t1").recordFirstEvent(500, 0, FIRST_MS / 2);
  }
  const candidates: Candidate[] = ["t0", "t1"].map((targetId) => ({
    target: board.targets.get(targetId)!,
    use: IDLE_USE,
    latencyModel: latencyModels.of(targetId),
    kvCapacityTokens: 100_000,
  }));
  const slowdownOf = (targetId: string) =>
    targetId === "t0" ? slowdownRatio : 1;
  const ask = askOf("a", { longestGapMs, deadlineLeftMs });
  return chooseTarget(ask, candidates, { slowdownOf, leftMs })!.target.targetId;
}

// Guards against a domain that is kept at the cost of the objective or of gaps
// that callers don't accept, of answers after their deadline, and against the rule in small fleets.
test("a target of the own domain goes first only if it meets the needs", () => {
  const leftMs = 1.31 * FIRST_MS;
  const longestGapMs = 3 * INITIAL_EVENT_GAP_MS;
  assert.is(chosen({}), "t1");
  assert.is(chosen({ leftMs }), "t0");
  assert.is(chosen({ leftMs: 1.29 * FIRST_MS }), "t1");
  assert.is(chosen({ leftMs: -1 }), "t1");
  assert.is(chosen({ leftMs, longestGapMs }), "t0");
  assert.is(chosen({ leftMs, longestGapMs: longestGapMs - 1 }), "t1");
  assert.is(chosen({ leftMs, slowdownRatio: 1.1 }), "t1");
  assert.is(chosen({ leftMs, deadlineLeftMs: FIRST_MS }), "t1");
  assert.is(
    chosen({ leftMs: 2 * leftMs, longestGapMs, slowdownRatio: 1.1 }),
    "t1",
  );
});

// Guards against time left that is counted from the newest attempt, when a
// refused caller has spent part of its objective before.
test("the time left counts from a caller's first attempt", () => {
  const { board, coordinator } = coordinatorIn(["t0", "t1"], LARGE_FLEET);
  for (let i = 0; i < 50; i++) {
    board.latencyModels.of("t1").recordFirstEvent(500, 0, FIRST_MS / 2);
  }
  const place = (askId: string, over: Partial<WorkAsk>, nowMs: number) => {
    const ask = askOf(askId, { outputTokens: 0, ...over });
    const [decision] = coordinator.ask(ask, { ...SCOPE, nowMs });
    coordinator.dropped(askId, nowMs);
    return decision !== undefined && "targetId" in decision
      ? decision.targetId
      : undefined;
  };
  const excluded = ["t0", "t1"];
  const objectiveLeftMs = 2 * FIRST_MS;
  assert.is(
    place("a1", { callHash: 1, excluded, objectiveLeftMs }, 0),
    undefined,
  );
  const nowMs = FIRST_MS;
  assert.is(place("a2", { callHash: 1, objectiveLeftMs }, nowMs), "t1");
  assert.is(place("a3", { callHash: 2, objectiveLeftMs }, nowMs), "t0");
});

// Guards against a gap that gets lost on the way, and against asks of older
// builds, which don't have it, being rejected.
test("an ask is received with and without the longest gap", () => {
  for (const over of [{}, { longestGapMs: 300 }]) {
    const message = { kind: MessageKind.Ask, ask: askOf("a", over) };
    assert.equal(peerMessageSchema.parse(message), message);
  }
});

test.run();
