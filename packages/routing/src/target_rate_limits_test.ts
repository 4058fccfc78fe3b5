import { test } from "uvu";
import * as assert from "uvu/assert";
import { TargetRateLimits } from "./target_rate_limits.ts";

const ALL = { onlyChanged: false };

function limitsOf(limitPerS: number, nowMs: number): TargetRateLimits {
  const limits = new TargetRateLimits();
  limits.advertised("t1", limitPerS, nowMs);
  return limits;
}

test("the newest advertised limit applies", () => {
  const limits = limitsOf(5, 0);
  assert.equal(limits.advertised("t1", 3, 100), {
    targetId: "t1",
    beforePerS: 5,
    limitPerS: 3,
  });
  assert.is(limits.advertised("t1", 3, 200), undefined);
  assert.is(limits.limitPerS("t1"), 3);
});

test("answers without the header lift a limit only after a while", () => {
  const limits = limitsOf(5, 0);
  limits.notAdvertised("t1", { sentAtMs: 100, nowMs: 200 });
  assert.is(limits.limitPerS("t1"), 5);
  limits.notAdvertised("t1", { sentAtMs: 4000, nowMs: 4100 });
  assert.is(limits.limitPerS("t1"), undefined);
});

test("an answer to a request sent before the limit was seen lifts nothing", () => {
  const limits = limitsOf(5, 1000);
  limits.notAdvertised("t1", { sentAtMs: 900, nowMs: 9000 });
  assert.is(limits.limitPerS("t1"), 5);
});

test("a target that does not answer keeps its limit", () => {
  const limits = limitsOf(0.2, 0);
  assert.equal(limits.updatesToSend(60_000, ALL), [
    { targetId: "t1", limitPerS: 0.2, ageMs: 60_000 },
  ]);
});

test("instances converge whatever the order of messages", () => {
  const older = { targetId: "t1", limitPerS: 5, ageMs: 300 };
  const newer = { targetId: "t1", limitPerS: 7, ageMs: 100 };
  const one = new TargetRateLimits();
  one.merge([older], 1000);
  one.merge([newer], 1000);
  const other = new TargetRateLimits();
  other.merge([newer], 1000);
  other.merge([older], 1000);
  assert.is(one.limitPerS("t1"), 7);
  assert.is(other.limitPerS("t1"), 7);
});

test("a lifted limit is sent for a while and not restored by older updates", () => {
  const limits = limitsOf(5, 0);
  limits.notAdvertised("t1", { sentAtMs: 5000, nowMs: 5100 });
  assert.equal(limits.updatesToSend(5200, ALL), [
    { targetId: "t1", limitPerS: undefined, ageMs: 100 },
  ]);
  assert.equal(limits.updatesToSend(9000, ALL), []);
  limits.merge([{ targetId: "t1", limitPerS: 5, ageMs: 5200 }], 9000);
  assert.is(limits.limitPerS("t1"), undefined);
});

test("a changed limit is sent in every heartbeat for a while", () => {
  const limits = limitsOf(5, 0);
  limits.advertised("t1", 5, 2000);
  const sentCount = (nowMs: number) =>
    limits.updatesToSend(nowMs, { onlyChanged: true }).length;
  assert.is(sentCount(2400), 1);
  assert.is(sentCount(2600), 0);
  limits.advertised("t1", 6, 3000);
  assert.is(sentCount(3000), 1);
});

test("a restart discards the limit of the previous process", () => {
  const limits = limitsOf(5, 0);
  limits.restarted("t1", 1000);
  limits.merge([{ targetId: "t1", limitPerS: 5, ageMs: 600 }], 1100);
  assert.is(limits.limitPerS("t1"), undefined);
  limits.advertised("t1", 4, 1200);
  assert.is(limits.limitPerS("t1"), 4);
});

test("limits of removed targets are discarded", () => {
  const limits = limitsOf(5, 0);
  limits.keepOnly(new Set(["t2"]));
  assert.equal(limits.limitedIds(), []);
});

// Guards against a limit that is never lifted as instances echo it forever.
test("echoed updates do not refresh a limit", () => {
  const one = limitsOf(5, 0);
  const other = new TargetRateLimits();
  const delayMs = 30;
  let nowMs = 0;
  for (; nowMs < 4500; nowMs += 220) {
    other.merge(one.updatesToSend(nowMs, ALL), nowMs + delayMs);
    one.merge(other.updatesToSend(nowMs, ALL), nowMs + delayMs);
  }
  one.notAdvertised("t1", { sentAtMs: nowMs - 100, nowMs });
  assert.is(one.limitPerS("t1"), undefined);
});

test("a limit that is still advertised is refreshed on other instances", () => {
  const one = limitsOf(5, 0);
  const other = limitsOf(5, 0);
  one.advertised("t1", 5, 3000);
  other.merge(one.updatesToSend(3100, ALL), 3110);
  other.notAdvertised("t1", { sentAtMs: 4200, nowMs: 4300 });
  assert.is(other.limitPerS("t1"), 5);
});

test.run();
