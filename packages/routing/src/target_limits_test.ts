import { test } from "uvu";
import * as assert from "uvu/assert";
import { TargetLimits } from "./target_limits.ts";

const ALL = { onlyChanged: false };

function limitsOf(limitPerS: number, nowMs: number): TargetLimits {
  const limits = new TargetLimits();
  limits.named("t1", limitPerS, nowMs);
  return limits;
}

test("a limit is the newest that an answer named", () => {
  const limits = limitsOf(5, 0);
  assert.equal(limits.named("t1", 3, 100), {
    targetId: "t1",
    beforePerS: 5,
    limitPerS: 3,
  });
  assert.is(limits.named("t1", 3, 200), undefined);
  assert.is(limits.limitPerS("t1"), 3);
});

test("answers without the header lift a limit only after a while", () => {
  const limits = limitsOf(5, 0);
  limits.notNamed("t1", { sentAtMs: 100, nowMs: 200 });
  assert.is(limits.limitPerS("t1"), 5);
  limits.notNamed("t1", { sentAtMs: 4000, nowMs: 4100 });
  assert.is(limits.limitPerS("t1"), undefined);
});

test("an answer to a request sent before the limit was named lifts nothing", () => {
  const limits = limitsOf(5, 1000);
  limits.notNamed("t1", { sentAtMs: 900, nowMs: 9000 });
  assert.is(limits.limitPerS("t1"), 5);
});

test("silence of a target does not lift its limit", () => {
  const limits = limitsOf(0.2, 0);
  assert.equal(limits.toTell(60_000, ALL), [
    { targetId: "t1", limitPerS: 0.2, ageMs: 60_000 },
  ]);
});

test("instances come to the same, in whatever order they hear", () => {
  const older = { targetId: "t1", limitPerS: 5, ageMs: 300 };
  const newer = { targetId: "t1", limitPerS: 7, ageMs: 100 };
  const one = new TargetLimits();
  one.merge([older], 1000);
  one.merge([newer], 1000);
  const other = new TargetLimits();
  other.merge([newer], 1000);
  other.merge([older], 1000);
  assert.is(one.limitPerS("t1"), 7);
  assert.is(other.limitPerS("t1"), 7);
});

test("a lifted limit is told for a while, and older news do not restore it", () => {
  const limits = limitsOf(5, 0);
  limits.notNamed("t1", { sentAtMs: 5000, nowMs: 5100 });
  assert.equal(limits.toTell(5200, ALL), [
    { targetId: "t1", limitPerS: undefined, ageMs: 100 },
  ]);
  assert.equal(limits.toTell(9000, ALL), []);
  limits.merge([{ targetId: "t1", limitPerS: 5, ageMs: 5200 }], 9000);
  assert.is(limits.limitPerS("t1"), undefined);
});

test("a change is told in every heartbeat for a while", () => {
  const limits = limitsOf(5, 0);
  limits.named("t1", 5, 2000);
  const told = (nowMs: number) =>
    limits.toTell(nowMs, { onlyChanged: true }).length;
  assert.is(told(2400), 1);
  assert.is(told(2600), 0);
  limits.named("t1", 6, 3000);
  assert.is(told(3000), 1);
});

test("what a process said is void once it started again", () => {
  const limits = limitsOf(5, 0);
  limits.restarted("t1", 1000);
  limits.merge([{ targetId: "t1", limitPerS: 5, ageMs: 600 }], 1100);
  assert.is(limits.limitPerS("t1"), undefined);
  limits.named("t1", 4, 1200);
  assert.is(limits.limitPerS("t1"), 4);
});

test("targets that are gone are forgotten", () => {
  const limits = limitsOf(5, 0);
  limits.keepOnly(new Set(["t2"]));
  assert.equal(limits.limited(), []);
});

// Guards against a limit that never lifts, as instances repeat it to each other.
test("news that go to and fro do not look newer each time", () => {
  const one = limitsOf(5, 0);
  const other = new TargetLimits();
  const wayMs = 30;
  let nowMs = 0;
  for (; nowMs < 4500; nowMs += 220) {
    other.merge(one.toTell(nowMs, ALL), nowMs + wayMs);
    one.merge(other.toTell(nowMs, ALL), nowMs + wayMs);
  }
  one.notNamed("t1", { sentAtMs: nowMs - 100, nowMs });
  assert.is(one.limitPerS("t1"), undefined);
});

test("news of a limit that is named on refresh it elsewhere", () => {
  const one = limitsOf(5, 0);
  const other = limitsOf(5, 0);
  one.named("t1", 5, 3000);
  other.merge(one.toTell(3100, ALL), 3110);
  other.notNamed("t1", { sentAtMs: 4200, nowMs: 4300 });
  assert.is(other.limitPerS("t1"), 5);
});

test.run();
