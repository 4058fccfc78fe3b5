/** `npm run soak:ended`: runs seeds in which one request ends targets. */

import process from "node:process";
import { Command } from "commander";
import { planEndedTargets } from "./ended_targets_plan.ts";
import {
  type EndedTargetsOutcome,
  findOutcomeFaults,
  runEndedTargets,
} from "./ended_targets_run.ts";

async function main(): Promise<void> {
  const { from, seeds } = new Command("soak:ended")
    .option("--from <seed>", "the first seed", Number, 1)
    .option("--seeds <number>", "how many seeds", Number, 5)
    .parse()
    .opts<{ from: number; seeds: number }>();
  let failed = 0;
  for (let seed = from; seed < from + seeds; seed++) {
    const plan = planEndedTargets(seed);
    const outcome = await runEndedTargets(plan);
    const faults = findOutcomeFaults(outcome);
    failed += Math.min(1, faults.length);
    process.stdout.write(
      `seed ${seed}: ${plan.cause}, ${plan.concurrency} at once, ${plan.instances} instances, ` +
        `${plan.engines} engines, ended ${outcome.endedByTurn.join(" ")}; ` +
        `others ${statusCounts(outcome)}; ${faults.join("; ") || "well"}\n`,
    );
  }
  process.stdout.write(`${seeds} seeds, ${failed} with faults\n`);
  process.exitCode = failed === 0 ? 0 : 1;
}

function statusCounts({ otherAnswers }: EndedTargetsOutcome): string {
  const counts = new Map<string, number>();
  for (const { status, isWhole } of otherAnswers) {
    const name = `${status}${isWhole ? "" : " cut"}`;
    counts.set(name, (counts.get(name) ?? 0) + 1);
  }
  return [...counts].map(([name, count]) => `${name}: ${count}`).join(", ");
}

await main();
