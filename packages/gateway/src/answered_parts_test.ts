/** Parts of prompts that targets have answered. */

import { routeOf } from "@chestnuthatch/routing/routing_test_support";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { AnsweredParts } from "./answered_parts.ts";
import type { RoutedCall } from "./routed_call.ts";

function callOf(promptParts: readonly string[], pool = "p"): RoutedCall {
  return {
    facts: { requestId: "q1", promptParts },
    route: routeOf(),
    pool,
    configurationVersion: 1,
    method: "POST",
    path: "/r/",
    rawHeaders: [],
    arrivedAtMs: 0,
  };
}

test("an answer counts for all parts of its prompt but the last, in its pool", () => {
  const parts = new AnsweredParts();
  parts.record(callOf(["shared", "session", "own"]), 100);
  assert.is(parts.ageMs("p", "shared", 150), 50);
  assert.is(parts.ageMs("p", "session", 150), 50);
  assert.is(parts.ageMs("p", "own", 150), undefined);
  assert.is(parts.ageMs("q", "shared", 150), undefined);
});

// Guards against prompts of so many parts that the one that crashes targets is
// not examined.
test("parts without an answer are examined first", () => {
  const parts = new AnsweredParts();
  const answered = Array.from({ length: 100 }, (_, index) => `part-${index}`);
  parts.record(callOf([...answered, "own"]), 100);
  const examined = parts.leastAnswered(callOf([...answered, "bad", "own"]));
  assert.is(examined[0], "bad");
  assert.ok(examined.length < 100);
});

// Guards against memory that grows with the number of sessions.
test("the parts that were answered first are evicted", () => {
  const parts = new AnsweredParts();
  for (let index = 0; index < 10_000; index++) {
    parts.record(callOf([`session-${index}`, "own"]), index);
  }
  assert.is(parts.ageMs("p", "session-0", 10_000), undefined);
  assert.is(parts.ageMs("p", "session-9999", 10_000), 1);
});

test.run();
