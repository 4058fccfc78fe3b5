import { test } from "uvu";
import * as assert from "uvu/assert";
import { PredictionMargin } from "./prediction_margin.ts";

const PREDICTED_MS = 50;
const OBSERVATIONS = 2000;

/**
 * Returns the margin after first events that take 1 to `maxRatio` times as long
 * as predicted.
 */
function recordedRatio(maxRatio: number): number {
  const margin = new PredictionMargin();
  for (let i = 0; i < OBSERVATIONS; i++) {
    // Evenly spread, in an order that is not monotonic.
    const fraction = (i * 7 % 100) / 100;
    margin.record(PREDICTED_MS * (1 + fraction * (maxRatio - 1)), PREDICTED_MS);
  }
  return margin.ratio;
}

test("four in five first events arrive within the margin", () => {
  // Of values spread evenly from 1 to 3, four in five are below 2.6.
  assert.ok(Math.abs(recordedRatio(3) - 2.6) < 0.2, String(recordedRatio(3)));
});

test("the margin shrinks where first events arrive as predicted", () => {
  assert.is(recordedRatio(1), 1.1);
});

test("targets that stall do not let the margin grow without bound", () => {
  assert.is(recordedRatio(50), 4);
});

test.run();
