import * as fc from "fast-check";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { Coordinator } from "./coordinator.ts";
import { RateLimiter } from "./rate_limiter.ts";
import { askOf, boardOf } from "./routing_test_support.ts";
import { TargetRateLimits } from "./target_rate_limits.ts";

const BOUNDS = {
  retryBudget: { ratio: 0.2, slack: 5, windowS: 10 },
  allotmentTolerance: { windowMs: 8000, overage: 0, slack: 0 },
};
const SCOPE = { share: 1, reportedShare: 1, uptimeMs: Infinity };

test("no window of four seconds exceeds the bound", () => {
  fc.assert(
    fc.property(
      fc.double({ min: 0, max: 60, noNaN: true }),
      fc.array(fc.integer({ min: 1, max: 900 }), { maxLength: 400 }),
      (limitPerS, gapsMs) => {
        const limits = new TargetRateLimits();
        limits.advertised("t1", limitPerS, 0);
        const limiter = new RateLimiter(limits);
        const consumedAtMs: number[] = [];
        let nowMs = 0;
        for (const gapMs of gapsMs) {
          nowMs += gapMs;
          while (limiter.allows("t1", nowMs)) {
            limiter.consume("t1", nowMs);
            consumedAtMs.push(nowMs);
          }
        }
        const allowed = 1.5 * limitPerS * 4 + 5;
        return consumedAtMs.every((endMs, last) =>
          consumedAtMs.filter((atMs, index) =>
            index <= last && atMs > endMs - 4000
          )
            .length <= allowed
        );
      },
    ),
    { numRuns: 200, seed: 4 },
  );
});

test("an instance with a share of the limit keeps to it", () => {
  const limits = new TargetRateLimits();
  limits.advertised("t1", 8, 0);
  const limiter = new RateLimiter(limits);
  limiter.share = 0.25;
  let count = 0;
  for (let nowMs = 0; nowMs <= 10_000; nowMs += 10) {
    if (limiter.allows("t1", nowMs)) {
      limiter.consume("t1", nowMs);
      count++;
    }
  }
  assert.ok(count >= 19 && count <= 20, String(count));
});

test("slots still apply under a rate limit", () => {
  const board = boardOf(["t1"]);
  board.rateLimits.advertised("t1", 1000, 0);
  const coordinator = new Coordinator(board, BOUNDS);
  for (let nowMs = 0; nowMs < 100; nowMs += 10) {
    coordinator.ask(askOf(`a${nowMs}`), { ...SCOPE, nowMs });
  }
  assert.is(coordinator.load()[0]!.placed, 2);
});

test("trials of suspect requests are rate limited", () => {
  const board = boardOf(["t1"]);
  board.rateLimits.advertised("t1", 1, 0);
  const ended = { fingerprint: "f", inTrial: false };
  board.suspects.targetEnded({ ...ended, process: "p1" }, 0);
  board.suspects.targetEnded({ ...ended, process: "p2" }, 0);
  const coordinator = new Coordinator(board, BOUNDS);
  const trial = askOf("trial", { fingerprint: "f" });
  assert.equal(coordinator.ask(trial, { ...SCOPE, nowMs: 0 }), []);
  assert.equal(coordinator.tick(900), []);
  const [placed] = coordinator.tick(1000);
  assert.ok("targetId" in placed!);
});

test.run();
