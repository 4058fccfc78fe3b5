/**
 * `npm run soak`: runs seeds against real processes and prints broken promises.
 */

import { mkdirSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import process from "node:process";
import { Command, InvalidArgumentError, Option } from "commander";
import { planSoak, SoakSize } from "./soak_plan.ts";
import { SoakSignal } from "./soak_signals_plan.ts";
import { runSoak, type SoakOutcome } from "./soak_run.ts";

/** Options of the command line. */
interface SoakOptions {
  readonly from: number;
  readonly seeds: number;
  readonly seconds: number;
  readonly keep: string;
  readonly size: SoakSize;
  readonly instances?: number;
  readonly engines?: number;
  readonly rollout?: boolean;
  readonly silences?: boolean;
  readonly streamEnds?: boolean;
  readonly versions?: boolean;
  readonly cuts?: boolean;
  readonly loads?: boolean;
  readonly signals?: readonly SoakSignal[];
}

const MS_PER_S = 1000;
const BROKEN_EXIT_CODE = 1;

async function main(): Promise<void> {
  const options = readOptions();
  let failed = 0;
  for (let seed = options.from; seed < options.from + options.seeds; seed++) {
    const plan = planSoak(seed, {
      ...options,
      lengthMs: options.seconds * MS_PER_S,
    });
    const outcome = await runSoak(plan);
    const { calls, wholeAnswers, refused, unanswered, broken } = outcome;
    const { takenUp, wentOn } = outcome;
    print(
      `seed ${seed}: ${calls} calls, ${wholeAnswers} whole, ${refused} refused, ` +
        `${unanswered} unanswered, ${wentOn} of ${takenUp} taken up, ` +
        `${plan.instances} instances, ${plan.faults.length} faults, ` +
        `${broken.length} promises broken`,
    );
    if (broken.length > 0) {
      failed++;
      broken.forEach((each) => print(`  ${JSON.stringify(each)}`));
      keepLogs(join(options.keep, `seed-${seed}`), outcome);
    }
  }
  print(`${options.seeds} seeds, ${failed} with broken promises`);
  process.exitCode = failed === 0 ? 0 : BROKEN_EXIT_CODE;
}

function readOptions(): SoakOptions {
  return new Command("soak")
    .option("--from <seed>", "the first seed", toCount, 1)
    .option("--seeds <number>", "how many seeds", toCount, 5)
    .option("--seconds <number>", "how long each is", toCount, 8)
    .option("--keep <folder>", "where logs of failed seeds go", "soak-out")
    .addOption(
      new Option("--size <size>", "how large fleets are")
        .choices(Object.values(SoakSize)).default(SoakSize.Small),
    )
    .option("--instances <number>", "instead of the number drawn", toCount)
    .option("--engines <number>", "instead of the number drawn", toCount)
    .option("--silences", "connections to the store fall silent meanwhile")
    .option("--versions", "versions of the engines serve side by side")
    .option("--stream-ends", "targets end answers early or without framing")
    .option("--cuts", "instances lose their paths to all targets meanwhile")
    .option("--loads", "targets report loads, and workspaces send unevenly")
    .option("--rollout", "a new version is rolled out beside the faults")
    .addOption(
      new Option("--signals <signals...>", "what targets signal in answers")
        .choices(Object.values(SoakSignal)),
    )
    .parse()
    .opts<SoakOptions>();
}

function toCount(text: string): number {
  const count = Number(text);
  if (!Number.isInteger(count) || count < 1) {
    throw new InvalidArgumentError("It must be a whole number above 0.");
  }
  return count;
}

function keepLogs(folder: string, { logs, broken }: SoakOutcome): void {
  mkdirSync(folder, { recursive: true });
  for (const [instanceId, lines] of logs) {
    writeFileSync(join(folder, `${instanceId}.log`), lines.join("\n"));
  }
  writeFileSync(join(folder, "broken.json"), JSON.stringify(broken, null, 2));
}

function print(line: string): void {
  process.stdout.write(`${line}\n`);
}

await main();
