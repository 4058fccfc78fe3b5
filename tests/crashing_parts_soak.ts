/** `npm run soak:parts`: runs seeds in which parts of prompts crash targets. */

import process from "node:process";
import { Command } from "commander";
import { planCrashingParts } from "./crashing_parts_plan.ts";
import {
  findCrashingPartsFaults,
  runCrashingParts,
  servedShare,
} from "./crashing_parts_run.ts";

const MS_PER_S = 1000;

async function main(): Promise<void> {
  const { from, seeds, seconds } = new Command("soak:parts")
    .option("--from <seed>", "the first seed", Number, 1)
    .option("--seeds <number>", "how many seeds", Number, 5)
    .option("--seconds <number>", "duration of each seed", Number, 14)
    .parse()
    .opts<{ from: number; seeds: number; seconds: number }>();
  let failed = 0;
  for (let seed = from; seed < from + seeds; seed++) {
    const plan = planCrashingParts(seed, seconds * MS_PER_S);
    const outcome = await runCrashingParts(plan);
    const faults = findCrashingPartsFaults(outcome);
    failed += Math.min(1, faults.length);
    const crashes = outcome.parts.map(({ part, crashesAtMs, reachedAtMs }) =>
      `${part.position} ${part.requestsPerS}/s: ${crashesAtMs.length} crashes, ` +
      `${reachedAtMs.length} requests`
    );
    process.stdout.write(
      `seed ${seed}: ${plan.instances} instances, ${plan.engines} engines; ` +
        `${crashes.join("; ")}; sound served ` +
        `${servedShare(outcome.sound).toFixed(2)}; ` +
        `${faults.join("; ") || "no fault"}\n`,
    );
  }
  process.stdout.write(`${seeds} seeds, ${failed} with faults\n`);
  process.exitCode = failed === 0 ? 0 : 1;
}

await main();
