import fc from "fast-check";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { meanRatioSince, usualDurationMs } from "./load_report.ts";
import { type HandledLoadReport, TargetLoads } from "./target_loads.ts";

function loadsWithResults() {
  const results: string[] = [];
  const loads = new TargetLoads(({ result, field }: HandledLoadReport) =>
    results.push(field === undefined ? result : `${result} ${field}`)
  );
  const report = (nowMs: number, over = {}) =>
    loads.record("t1", {
      running: 1,
      waiting: 0,
      slowdownRatio: 2.5,
      ageMs: 0,
      ...over,
    }, { hasFreeSlot: true, nowMs });
  const ratioAt = (nowMs: number) => loads.slowdownsAt(nowMs)?.("t1");
  return { loads, results, report, ratioAt };
}

// Guards against a forged slowdown without bound, and one that never ends.
test("a slowdown is limited, decays with its age, and ends after a second", () => {
  const { loads, report, ratioAt } = loadsWithResults();
  assert.is(ratioAt(0), undefined);
  report(0, { slowdownRatio: 100 });
  assert.is(ratioAt(0), 8);
  assert.ok(Math.abs(ratioAt(300)! - (1 + 7 / Math.E)) < 1e-9);
  assert.ok(ratioAt(1000)! > 1);
  assert.is(ratioAt(1001), 1);
  assert.is(loads.slowdownsAt(0)!("t2"), 1);
  loads.evictExpired(1001);
  assert.is(ratioAt(1001), undefined);
  report(2000, { slowdownRatio: 0.1 });
  assert.is(ratioAt(2000), 0.25);
});

// Guards against reports that were delayed, and those of an earlier process.
test("older reports and those of an earlier process are ignored", () => {
  const { loads, results, report, ratioAt } = loadsWithResults();
  report(100);
  report(200, { slowdownRatio: 8, ageMs: 150 });
  assert.is(ratioAt(100), 2.5);
  loads.restarted("t1", 300);
  report(350, { ageMs: 60 });
  assert.is(ratioAt(350), undefined);
  report(360, { ageMs: 20 });
  assert.is(ratioAt(340), 2.5);
  report(3000, { ageMs: 1001 });
  assert.equal(results, ["used", "outdated", "outdated", "used", "outdated"]);
  loads.keepOnly(new Set());
  assert.is(ratioAt(340), undefined);
});

// Guards against values that a peer sends out of range.
test("a report that is out of range is ignored, and its field is named", () => {
  const { results, report, ratioAt } = loadsWithResults();
  const invalid = {
    running: [-1, NaN],
    waiting: [100_001, 0.5],
    slowdownRatio: [0.09, 100.1],
    ageMs: [-1],
  };
  for (const [field, values] of Object.entries(invalid)) {
    values.forEach((value) => report(0, { [field]: value }));
    const expected = values.map(() => `invalid ${field}`);
    assert.equal(results.splice(0), expected);
  }
  assert.is(ratioAt(0), undefined);
});

// Guards against a forged or stale report that teaches a speed which was not
// observed, and so has an effect for longer than it is valid.
test("learned times lie between the observed and the expected one", () => {
  const timeMs = fc.double({ min: 0.1, max: 10_000, noNaN: true });
  const ratios = fc.double({ min: 0.25, max: 8, noNaN: true });
  fc.assert(
    fc.property(timeMs, timeMs, ratios, (tookMs, expectedMs, ratio) => {
      const usualMs = usualDurationMs(tookMs, expectedMs, { ratio });
      return usualMs >= Math.min(tookMs, expectedMs) &&
        usualMs <= Math.max(tookMs, expectedMs);
    }),
    { seed: 1 },
  );
  assert.is(usualDurationMs(250, 90, { ratio: 2.5 }), 100);
  assert.is(usualDurationMs(20, 90, { ratio: 0.25 }), 80);
});

// Guards against learning a long stream as if all of it were slow.
test("the slowdown of a long stream is little, that of a short one whole", () => {
  assert.is(meanRatioSince(2.5, 0), 2.5);
  assert.ok(meanRatioSince(2.5, 100) > 2.2);
  assert.ok(meanRatioSince(2.5, 9000) < 1.1);
});

test.run();
