/**
 * Workspaces request far more than their allotments during random series of
 * kills, stops, freezes, partitions and silences of the store.
 */

import { test } from "uvu";
import { assertWithinBound } from "./spending_fleet_test_support.ts";
import { runSeries } from "./spending_series_test_support.ts";

const DURATION_MS = 60_000;
/** Among them seeds in which a workspace overspent once. */
const SEEDS = [
  1,
  2,
  3,
  4,
  18,
  25,
  40,
  45,
  46,
  49,
  50,
  51,
  55,
  58,
  79,
  94,
  175,
  224,
];

// Guards against spending that no instance knows of any more, or that two
// coordinators grant, after disturbances that follow each other or overlap.
test("no random series of disturbances lets a workspace spend more than its bound", async () => {
  const spent: number[] = [];
  for (const seed of SEEDS) {
    const { fleet } = await runSeries(seed, DURATION_MS);
    spent.push(fleet.maxSpent());
  }
  assertWithinBound(spent);
});

test.run();
