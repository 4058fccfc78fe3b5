/** `chestnuthatch try`: runs a fleet on stand-ins under generated load. */

import type { Sleep } from "@chestnuthatch/daemon/sleep";
import {
  constantRatePhases,
  generateWorkload,
} from "@chestnuthatch/standins/workload";
import { Deployment } from "@chestnuthatch/standins/work_kinds";
import type { Command } from "commander";
import { ok } from "neverthrow";
import { type CommandResult, failed } from "./command_result.ts";
import type {
  CommandRunner,
  CommandServices,
  OutputOptions,
} from "./command_runner.ts";
import { EmbeddedFleet } from "./embedded_fleet.ts";
import { deploymentOption, tallyReport } from "./load_command.ts";
import { LoadTally } from "./load_tally.ts";
import { sendPaced } from "./paced_sender.ts";
import { findBrokenGuarantees } from "./guarantee_checks.ts";
import {
  examples,
  jsonOption,
  positiveNumber,
  wholeNumber,
} from "./shared_options.ts";

interface TryOptions extends OutputOptions {
  readonly deployment: Deployment;
  readonly seconds: number;
  readonly rate: number;
  readonly seed: number;
}

/** Number of entry instances by deployment. */
const INSTANCE_COUNTS: Record<Deployment, number> = {
  [Deployment.ShambaSafi]: 8,
  [Deployment.SunuRegistrs]: 7,
};
const READY_POLL_MS = 50;
const MAX_READY_POLLS = 600;
const MAX_DURATION_S = 600;
const MAX_RATE_PER_S = 1000;
const MS_PER_SECOND = 1000;
/** Share of requests that callers repeat, and the delay of the repetition. */
const REPEAT_OPTIONS = { share: 0.05, afterMs: 300 };

/**
 * Adds the command `try`.
 *
 * @param parent The program, to which the command is added.
 * @param runner Runs the action and prints its result.
 */
export function addTryCommand(parent: Command, runner: CommandRunner): void {
  parent.command("try")
    .description("Starts a fleet on embedded stand-ins and sends it requests.")
    .addOption(deploymentOption())
    .option(
      "--seconds <n>",
      "how long requests arrive",
      positiveNumber(MAX_DURATION_S),
      20,
    )
    .option(
      "--rate <n>",
      "requests a second",
      positiveNumber(MAX_RATE_PER_S),
      10,
    )
    .option("--seed <n>", "seed of the requests", wholeNumber(0), 1)
    .addOption(jsonOption())
    .addHelpText(
      "after",
      examples("try", "try --deployment sunu-registrs --rate 30 --json"),
    )
    .action((options: TryOptions) =>
      runner.perform(options, () => tryFleet(runner.services, options))
    );
}

async function tryFleet(
  services: CommandServices,
  options: TryOptions,
): Promise<CommandResult> {
  const fleet = await EmbeddedFleet.start({
    deployment: options.deployment,
    instances: INSTANCE_COUNTS[options.deployment],
  });
  try {
    return await waitUntilReady(fleet, services.sleep)
      ? await sendLoad(fleet, services, options)
      : failed({
        message: "The embedded fleet did not become ready.",
        next: "Run it again on a machine that is less busy.",
      });
  } finally {
    await fleet.stop();
  }
}

async function waitUntilReady(
  fleet: EmbeddedFleet,
  sleep: Sleep,
): Promise<boolean> {
  for (let polls = 0; polls < MAX_READY_POLLS && !fleet.isReady; polls++) {
    await sleep(READY_POLL_MS);
  }
  return fleet.isReady;
}

async function sendLoad(
  fleet: EmbeddedFleet,
  { sleep, output }: CommandServices,
  options: TryOptions,
): Promise<CommandResult> {
  const tally = new LoadTally({ answersQuotePrompt: true });
  const items = generateWorkload({
    deployment: options.deployment,
    seed: options.seed,
    durationMs: options.seconds * MS_PER_SECOND,
    phases: constantRatePhases(options.rate),
    repeats: REPEAT_OPTIONS,
  });
  const addresses = fleet.callerAddresses;
  await sendPaced(items, { addresses, tally, sleep, output });
  for (const fault of findBrokenGuarantees(fleet)) {
    tally.addFault(fault);
  }
  return ok(tallyReport(tally));
}
