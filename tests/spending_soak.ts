/**
 * `npm run soak:spending`: runs seeds in which simulated instances are killed,
 * stopped, frozen and partitioned while a workspace requests more than its
 * allotment.
 */

import process from "node:process";
import { ALLOWED } from "@chestnuthatch/gateway/spending_fleet_test_support";
import { runSeries } from "@chestnuthatch/gateway/spending_series_test_support";
import { Command } from "commander";

const MS_PER_S = 1000;

async function main(): Promise<void> {
  const { from, seeds, seconds } = new Command("soak:spending")
    .option("--from <seed>", "the first seed", Number, 1)
    .option("--seeds <number>", "how many seeds", Number, 50)
    .option("--seconds <number>", "duration of each seed", Number, 60)
    .parse()
    .opts<{ from: number; seeds: number; seconds: number }>();
  let failed = 0;
  for (let seed = from; seed < from + seeds; seed++) {
    const { fleet, disturbances } = await runSeries(seed, seconds * MS_PER_S);
    const ratio = fleet.maxSpent() / ALLOWED;
    const isOverspent = ratio > 1;
    failed += Number(isOverspent);
    process.stdout.write(
      `seed ${seed}: ${ratio.toFixed(3)} of what is allowed` +
        `${isOverspent ? `; ${disturbances.join(", ")}` : ""}\n`,
    );
  }
  process.stdout.write(`${seeds} seeds, ${failed} with faults\n`);
  process.exitCode = failed === 0 ? 0 : 1;
}

await main();
