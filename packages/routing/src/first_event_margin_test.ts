import { test } from "uvu";
import * as assert from "uvu/assert";
import { FirstEventMargin } from "./first_event_margin.ts";

const FORESEEN_MS = 50;
const OBSERVATIONS = 2000;

/** Learns from first events that take 1 to `most` times what is foreseen. */
function learnedFrom(most: number): number {
  const margin = new FirstEventMargin();
  for (let i = 0; i < OBSERVATIONS; i++) {
    // Evenly spread, in an order that does not rise.
    const part = (i * 7 % 100) / 100;
    margin.learn(FORESEEN_MS * (1 + part * (most - 1)), FORESEEN_MS);
  }
  return margin.ratio;
}

test("four in five first events come within the margin", () => {
  // Of values spread evenly from 1 to 3, 2.6 is above four in five.
  assert.ok(Math.abs(learnedFrom(3) - 2.6) < 0.2, String(learnedFrom(3)));
});

test("a margin shrinks again where first events come as foreseen", () => {
  assert.is(learnedFrom(1), 1.1);
});

test("targets that stall do not let it grow without end", () => {
  assert.is(learnedFrom(50), 4);
});

test.run();
