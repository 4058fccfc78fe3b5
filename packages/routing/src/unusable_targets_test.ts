import { test } from "uvu";
import * as assert from "uvu/assert";
import { Coordinator } from "./coordinator.ts";
import { askOf, boardOf, memberOf } from "./routing_test_support.ts";
import { TargetHealth } from "./target_health.ts";
import { UnusableTargets } from "./unusable_targets.ts";
import { AskCause, type AskDecision, type WorkAsk } from "./work_ask.ts";

const BOUNDS = {
  retryBudget: { ratio: 0.2, slack: 5, windowS: 10 },
  allotmentTolerance: { windowMs: 8000, overage: 0, slack: 0 },
};
const SCOPE = { share: 1, reportedShare: 1, uptimeMs: Infinity };
const STEP_MS = 5;
const SLOT_MS = 300;
const DOMAINS = ["a", "b", "c"];
const HOLDER_IDS = Array.from({ length: 60 }, (_, index) => `h${index}`);
const TARGET_IDS = Array.from({ length: 60 }, (_, index) => `t${index}`);

function domainOf(holderId: string): string {
  return DOMAINS[Number(holderId.slice(1)) % DOMAINS.length]!;
}

function boardOfFleet(targetIds: readonly string[], holders = 60) {
  const board = boardOf(targetIds);
  for (const holderId of HOLDER_IDS.slice(0, holders)) {
    const failureDomain = domainOf(holderId);
    board.members.heartbeatReceived(memberOf(holderId, { failureDomain }), 0);
  }
  return board;
}

interface Attempt {
  readonly atMs: number;
  readonly targetId: string;
  readonly holderId: string;
  readonly isFailed: boolean;
}

/**
 * Plays 450 requests a second, more than the targets' 400, for 8 s, with a
 * circuit breaker at each holder. A failure is known after 5 to 10 ms.
 *
 * @returns The attempts, and the ids of targets that were ever paused.
 */
function play(
  canReach: (holderId: string, targetId: string, nowMs: number) => boolean,
) {
  const board = boardOfFleet(TARGET_IDS);
  const coordinator = new Coordinator(board, BOUNDS);
  const health = new Map(HOLDER_IDS.map((id) => [id, new TargetHealth()]));
  let askCount = 0;
  const attempts: Attempt[] = [];
  const pausedIds = new Set<string>();
  let running: (Attempt & { askId: string; endsAtMs: number })[] = [];
  let nowMs = 0;
  const send = (holderId: string, cause = AskCause.First) => {
    const excluded = health.get(holderId)!.paused(nowMs);
    const of = { failureDomain: domainOf(holderId), excluded, cause };
    const ask = askOf(`${askCount++}`, { holderId, ...of });
    take(coordinator.ask(ask, { ...SCOPE, nowMs }));
  };
  const take = (decisions: readonly AskDecision[]) => {
    for (const decision of decisions) {
      if ("targetId" in decision) {
        const { askId, holderId, targetId } = decision;
        const isFailed = !canReach(holderId, targetId, nowMs);
        const attempt = { atMs: nowMs, targetId, holderId, isFailed };
        attempts.push(attempt);
        const endsAtMs = nowMs + (isFailed ? 2 * STEP_MS : SLOT_MS);
        running.push({ ...attempt, askId, endsAtMs });
      }
    }
  };
  const endedTarget = { fingerprint: "f", process: "t 1", inTrial: false };
  const isCut = ({ holderId, targetId, isFailed }: Attempt) =>
    !isFailed && !canReach(holderId, targetId, nowMs);
  for (; nowMs < 8000; nowMs += STEP_MS) {
    const ended = running.filter((work) =>
      work.endsAtMs <= nowMs || isCut(work)
    );
    running = running.filter((work) => !ended.includes(work));
    for (const work of ended) {
      const { askId, holderId, targetId, isFailed } = work;
      const failed = isFailed || isCut(work);
      const end = { askId, targetId, pool: "p", promptTokens: 500, failed };
      take(coordinator.ended({
        ...end,
        ...(isFailed ? { unreachable: true } : undefined),
        ...(failed ? undefined : { firstMs: 100 }),
        ...(isCut(work) ? { endedTarget } : undefined),
      }, nowMs));
      if (failed) {
        health.get(holderId)!.failed(targetId, true, nowMs);
        send(holderId, AskCause.NeverArrived);
      }
    }
    for (let count = 0; count < 450 * STEP_MS / 1000; count++) {
      send(HOLDER_IDS[Math.trunc(askCount * 7.3) % 60]!);
    }
    take(coordinator.tick(nowMs));
    coordinator.pausedTargets().forEach((p) => pausedIds.add(p.targetId));
  }
  return { attempts, pausedIds };
}

// Guards against requests that are drawn to crashed targets, and against
// targets that get no work after their return.
test("a fifth of the targets crash: few attempts fail, and they get work after their return", () => {
  const crashed = new Set(TARGET_IDS.slice(0, 12));
  const { attempts } = play((_, targetId, nowMs) =>
    !crashed.has(targetId) || nowMs < 2000 || nowMs >= 4000
  );
  const failed = attempts.filter(({ isFailed }) => isFailed);
  const early = failed.filter(({ atMs }) => atMs < 3000)
    .map(({ targetId, holderId }) => `${targetId} ${domainOf(holderId)}`);
  for (const key of early) {
    assert.ok(early.filter((other) => other === key).length <= 3, key);
  }
  for (const crashedId of crashed) {
    const isBack = attempts.some(({ targetId, atMs }) =>
      targetId === crashedId && atMs >= 4000 && atMs <= 7200
    );
    assert.ok(isBack, crashedId);
  }
});

// Guards against a cut-off holder that keeps targets from all others.
test("a single partitioned holder pauses nothing", () => {
  const { attempts, pausedIds } = play((holderId) => holderId !== "h7");
  assert.ok(attempts.some(({ isFailed }) => isFailed));
  assert.equal([...pausedIds], []);
});

const OF_HOLDER = { targetId: "t0", placedAtMs: 0 };

/** A domain's view of `t0`, and failures of single holders there. */
function unusableIn(holders = 60) {
  const board = boardOfFleet(["t0", "t1"], holders);
  const unusable = new UnusableTargets(board.members);
  const fail = (holderId: string, nowMs: number) =>
    unusable.returned({ ...OF_HOLDER, holderId }, nowMs);
  const isPaused = (nowMs: number, domain = "a") =>
    unusable.pausedFor(domain, nowMs)?.has("t0") ?? false;
  return { board, unusable, fail, isPaused };
}

// Guards against pauses by one holder, and against a flood after each pause.
test("two holders of a domain pause a target there for 0.4 s, and failed probes for up to 3.2 s", () => {
  const { unusable, fail, isPaused } = unusableIn();
  fail("h0", 0);
  fail("h0", 10);
  fail("h1", 10);
  assert.not(isPaused(10));
  // The failures of one domain that are too old, or of another, do not count.
  fail("h3", 2011);
  assert.not(isPaused(2011));
  let nowMs = 2020;
  fail("h6", nowMs);
  assert.not(isPaused(nowMs, "b"));
  for (const pauseMs of [400, 800, 1600, 3200, 3200]) {
    fail("h9", nowMs + 1);
    assert.ok(isPaused(nowMs + pauseMs - 1), `${pauseMs}`);
    nowMs += pauseMs;
    assert.not(isPaused(nowMs), `${pauseMs}`);
    unusable.placed("t0", "a", nowMs);
    assert.ok(isPaused(nowMs));
    fail("h9", ++nowMs);
  }
  assert.is(unusable.paused()[0]!.pauseMs, 3200);
  // A target that leaves still answers work that was placed before.
  unusable.reached({ ...OF_HOLDER, holderId: "h12", placedAtMs: nowMs - 1 });
  assert.ok(isPaused(nowMs));
  unusable.reached({ ...OF_HOLDER, holderId: "h12", placedAtMs: nowMs });
  assert.not(isPaused(nowMs));
  assert.equal(unusable.paused(), []);
});

// Guards against a new coordinator that takes the first holder for the only one.
test("the only holder of a domain that asks pauses a target, once that is known", () => {
  const { unusable, fail, isPaused } = unusableIn();
  for (const nowMs of [0, 2000, 2900, 3000]) {
    unusable.asked("h0", nowMs);
    fail("h0", nowMs);
    assert.is(isPaused(nowMs), nowMs === 3000);
  }
});

// Guards against a target's address that another one took over: its rejections
// are no answers of the target.
test("rejections by another target at the address count as failures", () => {
  const { unusable, isPaused } = unusableIn();
  const end = { askId: "a", targetId: "t0", pool: "p", promptTokens: 500 };
  const rejected = { ...end, failed: true, isRejected: true };
  for (const holderId of ["h0", "h3"]) {
    const of = { work: { ...OF_HOLDER, holderId }, nowMs: 0 };
    unusable.ended({ ...rejected, unreachable: true }, of);
  }
  assert.ok(isPaused(1));
  const work = { ...OF_HOLDER, holderId: "h6" };
  unusable.ended(rejected, { work, nowMs: 2 });
  assert.not(isPaused(3));
});

// Guards against stale state, and against pauses in a fleet with a full mesh.
test("pauses end with the target's process, its row, and time", () => {
  for (const endedBy of ["process", "row", "time", "full mesh"]) {
    const isFullMesh = endedBy === "full mesh";
    const { board, unusable, fail } = unusableIn(isFullMesh ? 12 : 60);
    ["h0", "h3"].forEach((holderId) => fail(holderId, 0));
    unusable.evictExpired(board.targets, 2400);
    assert.is(unusable.paused().length, isFullMesh ? 0 : 1);
    if (endedBy === "process") {
      unusable.restarted("t0");
    } else if (endedBy === "row") {
      board.targets.announcedLeaving("t0");
    }
    unusable.evictExpired(board.targets, endedBy === "time" ? 2401 : 2400);
    assert.equal(unusable.paused(), []);
  }
});

// Guards against requests that no target gets, and against waits that are
// predicted from slots that serve nothing.
test("asks go elsewhere or wait while a target is paused, unless all are", () => {
  const coordinator = new Coordinator(boardOfFleet(["t0", "t1"]), BOUNDS);
  let askCount = 0;
  const ask = (over: Partial<WorkAsk> = {}) => {
    const of = { holderId: `h${3 * askCount}`, patienceLeftMs: 1000, ...over };
    const id = `${askCount++}`;
    const [decided] = coordinator.ask(askOf(id, of), { ...SCOPE, nowMs: 0 });
    return decided!;
  };
  const failAt = (targetId: string, excluded: readonly string[]) => {
    for (let count = 0; count < 2; count++) {
      const { askId } = ask({ excluded });
      coordinator.placementReturned(askId, { targetId, nowMs: 0 });
      coordinator.dropped(askId, 0);
    }
  };
  const targetOf = (decision: AskDecision) =>
    "targetId" in decision ? decision.targetId : decision.refusal;
  failAt("t0", ["t1"]);
  assert.is(targetOf(ask({ version: "v1" })), "t1");
  assert.is(targetOf(ask()), "t1");
  assert.is(targetOf(ask({ excluded: ["t1"] })), "t0");
  const refused = ask({ patienceLeftMs: 0 });
  assert.is("figures" in refused && refused.figures.slots, 2);
  assert.is(targetOf(ask({ failureDomain: "b" })), "t0");
  ["2", "3", "4", "6"].forEach((askId) => coordinator.dropped(askId, 0));
  failAt("t1", ["t0"]);
  assert.equal(coordinator.pausedTargets().length, 2);
  const used = [ask(), ask(), ask(), ask()].map(targetOf);
  assert.equal(used.sort(), ["t0", "t0", "t1", "t1"]);
});

test.run();
