/**
 * A workspace requests far more than its allotment while instances are
 * restarted and lose their state.
 */

import type { RandomSource } from "@chestnuthatch/core/random_source";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { ALLOWED, IDS, SpendingFleet } from "./spending_fleet_test_support.ts";

const WARM_UP_MS = 12_000;
const AFTERWARDS_MS = 10_000;
const MIN_RESTART_INTERVAL_MS = 300;
const MAX_RESTART_INTERVAL_MS = 1500;
const STEP_MS = 20;
const SEEDS = [1, 2, 3, 4, 6, 22, 30, 46, 48];

// Guards against a coordinator that takes its account for complete because one
// member has run for a window, while those that knew the spending have restarted.
test("restarts of all instances in series do not let a workspace spend more than its bound", async () => {
  const spent: number[] = [];
  for (const seed of SEEDS) {
    const fleet = new SpendingFleet({ seed });
    await fleet.run(WARM_UP_MS);
    for (const id of shuffled(IDS, fleet.random)) {
      fleet.restart(id);
      await fleet.run(restartIntervalMs(fleet.random));
    }
    await fleet.run(AFTERWARDS_MS);
    spent.push(fleet.maxSpent());
  }
  assertWithinBound(spent);
});

function restartIntervalMs(random: RandomSource): number {
  const rangeMs = MAX_RESTART_INTERVAL_MS - MIN_RESTART_INTERVAL_MS;
  const steps = Math.floor(random.next() * rangeMs / STEP_MS);
  return MIN_RESTART_INTERVAL_MS + steps * STEP_MS;
}

function shuffled<T>(items: readonly T[], random: RandomSource): T[] {
  const result = [...items];
  for (let i = result.length - 1; i > 0; i--) {
    const j = Math.floor(random.next() * (i + 1));
    [result[i], result[j]] = [result[j]!, result[i]!];
  }
  return result;
}

function assertWithinBound(spent: readonly number[]): void {
  assert.ok(
    spent.every((one) => one <= ALLOWED),
    `${spent.map(Math.round).join(", ")} spent, ${ALLOWED} allowed`,
  );
}

test.run();
