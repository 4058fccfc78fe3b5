/** `chestnuthatch load`: sends generated requests to a running fleet. */

import type { KindMix } from "@chestnuthatch/standins/workload";
import {
  Deployment,
  listWorkKinds,
  WORK_KIND_PROFILES,
  type WorkKind,
} from "@chestnuthatch/standins/work_kinds";
import { type Command, InvalidArgumentError, Option } from "commander";
import { err, ok, type Result } from "neverthrow";
import {
  badInput,
  type CommandFailure,
  type CommandResult,
} from "./command_result.ts";
import type {
  CommandRunner,
  CommandServices,
  OutputOptions,
} from "./command_runner.ts";
import { ExitCode } from "./exit_code.ts";
import { instanceAddresses } from "./instance_queries.ts";
import { generateLoadItems } from "./load_items.ts";
import { LoadTally } from "./load_tally.ts";
import { sendPaced } from "./paced_sender.ts";
import {
  examples,
  instanceOption,
  type InstanceOptions,
  jsonOption,
  positiveNumber,
  wholeNumber,
} from "./shared_options.ts";

/** Weight of one request kind in the mix. */
interface KindWeight {
  readonly kind: string;
  readonly weight: number;
}

interface LoadOptions extends InstanceOptions, OutputOptions {
  readonly deployment: Deployment;
  readonly seconds: number;
  readonly rate: number;
  readonly mix: readonly KindWeight[];
  readonly seed: number;
  readonly standins: boolean;
}

const MAX_DURATION_S = 3600;
const MAX_RATE_PER_S = 1000;
const MS_PER_SECOND = 1000;

/**
 * Adds the command `load`.
 *
 * @param parent The program, to which the command is added.
 * @param runner Runs the action and prints its result.
 */
export function addLoadCommand(parent: Command, runner: CommandRunner): void {
  parent.command("load")
    .description("Sends a bounded load to the given instances in turn.")
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
    .option(
      "--mix <kind=weight>",
      "weight of a kind; repeat it; the others keep their own",
      addWeight,
      [],
    )
    .option("--seed <n>", "seed of the requests", wholeNumber(0), 1)
    .option(
      "--standins",
      "targets are stand-ins: check whose each answer is",
      false,
    )
    .addOption(instanceOption())
    .addOption(jsonOption())
    .addHelpText(
      "after",
      examples(
        "load --instance 10.0.1.5:8080 --seconds 60 --rate 50",
        "load --deployment sunu-registrs --mix case-file-reading=0 --json",
      ),
    )
    .action((options: LoadOptions) =>
      runner.perform(options, () => load(runner.services, options))
    );
}

/** @returns The option `--deployment`, which selects the request kinds. */
export function deploymentOption(): Option {
  return new Option("--deployment <name>", "whose request kinds to send")
    .choices(Object.values(Deployment)).default(Deployment.ShambaSafi);
}

async function load(
  services: CommandServices,
  options: LoadOptions,
): Promise<CommandResult> {
  const addresses = instanceAddresses(options);
  if (addresses.isErr()) {
    return err(addresses.error);
  }
  const mix = readKindMix(options);
  if (mix.isErr()) {
    return err(mix.error);
  }
  const tally = new LoadTally({ answersQuotePrompt: options.standins });
  const items = generateLoadItems({
    deployment: options.deployment,
    seed: options.seed,
    durationMs: options.seconds * MS_PER_SECOND,
    ratePerSecond: options.rate,
    mix: mix.value,
    runId: services.newId(),
  });
  const { sleep, output } = services;
  await sendPaced(items, { addresses: addresses.value, tally, sleep, output });
  return ok(tallyReport(tally));
}

/**
 * Creates the report of a run of generated load.
 *
 * @param tally Counts, times and faults of the run.
 * @returns The report; its exit code is a failure if a guarantee was broken.
 */
export function tallyReport(tally: LoadTally) {
  const { text, json, brokenGuaranteeCount: promisesBroken } = tally;
  const exitCode = promisesBroken === 0 ? ExitCode.Done : ExitCode.Failed;
  return { text, json, exitCode };
}

function readKindMix(
  { mix, deployment }: LoadOptions,
): Result<KindMix, CommandFailure> {
  const kinds = listWorkKinds(deployment);
  const unknown = mix.find(({ kind }) => !kinds.includes(kind as WorkKind));
  if (unknown !== undefined) {
    return badInput({
      message: `${deployment} has no kind "${unknown.kind}".`,
      next: `Give --mix one of: ${kinds.join(", ")}.`,
    });
  }
  const weights: KindMix = Object.fromEntries(
    mix.map(({ kind, weight }) => [kind, weight]),
  );
  const isEmpty = kinds.every((kind) =>
    (weights[kind] ?? WORK_KIND_PROFILES[kind].weight) === 0
  );
  return isEmpty
    ? badInput({
      message: "Every kind has weight 0.",
      next: "Give at least one kind a weight above 0.",
    })
    : ok(weights);
}

function addWeight(text: string, earlier: KindWeight[]): KindWeight[] {
  const match = /^([a-z-]+)=(\d+(?:\.\d+)?)$/.exec(text);
  if (match === null) {
    throw new InvalidArgumentError(`"${text}" is not kind=weight.`);
  }
  return [...earlier, { kind: match[1], weight: Number(match[2]) }];
}
