/** `npm run soak:paths`: runs seeds in which instances lose their targets. */

import process from "node:process";
import { Command } from "commander";
import { planPaths } from "./path_soak_plan.ts";
import { findPathFaults, runPaths } from "./path_soak_run.ts";

const MS_PER_S = 1000;

async function main(): Promise<void> {
  const { from, seeds, seconds } = new Command("soak:paths")
    .option("--from <seed>", "the first seed", Number, 1)
    .option("--seeds <number>", "how many seeds", Number, 5)
    .option("--seconds <number>", "duration of each seed", Number, 8)
    .parse()
    .opts<{ from: number; seeds: number; seconds: number }>();
  let failed = 0;
  for (let seed = from; seed < from + seeds; seed++) {
    const plan = planPaths(seed, seconds * MS_PER_S);
    const outcome = await runPaths(plan);
    const faults = findPathFaults(outcome);
    failed += Math.min(1, faults.length);
    const counted = outcome.requests
      .filter(({ instance }) => instance !== outcome.killed);
    const served = counted
      .filter(({ result: { status } }) => status === 200).length;
    process.stdout.write(
      `seed ${seed}: ${plan.instances} instances, ${plan.engines} engines, ` +
        `${plan.desks} desks, ${served} of ${counted.length} served, ` +
        `${outcome.overloadExits} exits; ${faults.join("; ") || "no fault"}\n`,
    );
  }
  process.stdout.write(`${seeds} seeds, ${failed} with faults\n`);
  process.exitCode = failed === 0 ? 0 : 1;
}

await main();
