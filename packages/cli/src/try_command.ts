/** `chestnuthatch try`: a whole fleet on stand-ins, under the brief's load. */

import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";
import { type Command, InvalidArgumentError, Option } from "commander";
import {
  bodyOf,
  calmPhases,
  generateWorkload,
  type WorkItem,
} from "@chestnuthatch/standins/workload";
import { Deployment } from "@chestnuthatch/standins/workload_kinds";
import { EmbeddedFleet } from "./embedded_fleet.ts";
import { sendRequest, type SentOutcome } from "./send_request.ts";
import { TryTally } from "./try_tally.ts";

interface TryOptions {
  readonly deployment: Deployment;
  readonly seconds: number;
  readonly rate: number;
  readonly seed: number;
  readonly json: boolean;
}

const INSTANCES: Record<Deployment, number> = {
  [Deployment.ShambaSafi]: 8,
  [Deployment.SunuRegistrs]: 7,
};
const READY_POLL_MS = 50;
const PROGRESS_MS = 2000;
const MS_PER_S = 1000;
const DRAIN_LIMIT_MS = 120_000;

/**
 * Adds the command.
 *
 * @param program The command line.
 */
export function addTryCommand(program: Command): void {
  program.command("try")
    .description("Starts a fleet on embedded stand-ins and sends it requests.")
    .addOption(
      new Option("--deployment <name>", "whose request kinds to send")
        .choices(Object.values(Deployment)).default(Deployment.ShambaSafi),
    )
    .option("--seconds <n>", "how long requests arrive", positive, 20)
    .option("--rate <n>", "requests a second", positive, 10)
    .option("--seed <n>", "seed of the requests", Number, 1)
    .option("--json", "print the result as JSON", false)
    .action(runTry);
}

async function runTry(options: TryOptions): Promise<void> {
  const fleet = await EmbeddedFleet.start({
    deployment: options.deployment,
    instances: INSTANCES[options.deployment],
  });
  while (!fleet.isReady) {
    await sleep(READY_POLL_MS);
  }
  const tally = new TryTally();
  const progress = setInterval(() => {
    process.stderr.write(`${tally.progressLine()}\n`);
  }, PROGRESS_MS);
  await sendAll(fleet, options, tally);
  clearInterval(progress);
  tally.checkTargets(fleet);
  await fleet.stop();
  console.log(options.json ? tally.json() : tally.table());
  process.exitCode = tally.promisesBroken === 0 ? 0 : 1;
}

async function sendAll(
  fleet: EmbeddedFleet,
  options: TryOptions,
  tally: TryTally,
): Promise<void> {
  const items = generateWorkload({
    deployment: options.deployment,
    seed: options.seed,
    durationMs: options.seconds * MS_PER_S,
    phases: calmPhases(options.rate),
    repeats: { share: 0.05, afterMs: 300 },
  });
  const startedAtMs = performance.now();
  const open: Promise<void>[] = [];
  for (const [number, item] of items.entries()) {
    const waitMs = item.atMs - (performance.now() - startedAtMs);
    if (waitMs > 0) {
      await sleep(waitMs);
    }
    const addresses = fleet.callerAddresses;
    open.push(
      sendItem(item, addresses[number % addresses.length], tally),
    );
  }
  await Promise.race([
    Promise.all(open),
    sleep(DRAIN_LIMIT_MS, undefined, { ref: false }),
  ]);
}

async function sendItem(
  item: WorkItem,
  address: string,
  tally: TryTally,
): Promise<void> {
  tally.sent(item);
  const outcome: SentOutcome = await sendRequest(address, {
    workspace: item.workspace,
    tier: item.tier,
    pool: item.pool,
    body: bodyOf(item),
    promptTokens: item.promptTokens,
    maxOutputTokens: item.maxOutputTokens,
    deadlineMs: item.deadlineMs,
    idempotent: item.idempotent,
    idempotencyKey: item.idempotencyKey,
  });
  tally.ended(item, outcome);
}

function positive(text: string): number {
  const value = Number(text);
  if (!(value > 0)) {
    throw new InvalidArgumentError("must be a number above 0");
  }
  return value;
}
