/** Runs one stand-in as a process of its own. */

import process from "node:process";
import { TargetKind } from "@chestnuthatch/wire/shared_types";
import { Command, InvalidArgumentError } from "commander";
import {
  DEFAULT_TRAITS,
  engineOptionsOf,
  serviceOptionsOf,
  type StandinTarget,
  type TargetTraits,
} from "./deployments.ts";
import { EngineServer } from "./engine_server.ts";
import { DEFAULT_PLATFORM } from "./fleet.ts";
import type { ListenAddress, ListenOptions } from "./http_host.ts";
import { PlatformServer } from "./platform_server.ts";
import { ServiceServer } from "./service_server.ts";
import type { TokenBucketOptions } from "./token_bucket.ts";

interface Standin {
  start(): Promise<ListenAddress>;
  stop(): Promise<void>;
}

interface TargetCommandOptions extends ListenOptions {
  readonly id: string;
  readonly slots: number;
  readonly loadLagMs: number;
}

interface EngineCommandOptions extends TargetCommandOptions {
  readonly model: string;
  readonly kvTokens: number;
  readonly prefillTokensPerSecond: number;
  readonly decodeTokensPerSecond: number;
  readonly blockTokens: number;
  readonly cacheEventLagMs: number;
  readonly cacheEventLossShare: number;
  readonly seed: number;
  readonly ignoreFencing?: boolean;
}

interface ServiceCommandOptions extends TargetCommandOptions {
  readonly callMs: number;
}

interface PlatformCommandOptions extends ListenOptions {
  readonly listLagMs: number;
  readonly writesPerSecond?: number;
  readonly readsPerSecond?: number;
  readonly weightsPerSecond: number;
}

const NO_RATES = {
  model: "",
  kvTokens: 0,
  prefillTokensPerSecond: 0,
  decodeTokensPerSecond: 0,
  callMs: 0,
};

function engineOf(options: EngineCommandOptions): Standin {
  const target = targetOf(options, {
    kind: TargetKind.Engine,
    checksFencing: options.ignoreFencing !== true,
    callMs: 0,
  });
  const traits: TargetTraits = { ...DEFAULT_TRAITS, ...traitsIn(options) };
  const engine = engineOptionsOf(target, traits);
  return new EngineServer({ ...listenOf(options), engine });
}

function serviceOf(options: ServiceCommandOptions): Standin {
  const target = targetOf({ ...NO_RATES, ...options }, {
    kind: TargetKind.Service,
    checksFencing: false,
    callMs: options.callMs,
  });
  const { loadLagMs } = options;
  const service = serviceOptionsOf(target, { ...DEFAULT_TRAITS, loadLagMs });
  return new ServiceServer({ ...listenOf(options), service });
}

function platformOf(options: PlatformCommandOptions): Standin {
  return new PlatformServer({
    ...listenOf(options),
    platform: {
      listLagMs: options.listLagMs,
      writeLimit: limitOf(options.writesPerSecond),
      readLimit: limitOf(options.readsPerSecond),
      weightLimit: {
        ...DEFAULT_PLATFORM.weightLimit,
        perSecond: options.weightsPerSecond,
      },
    },
  });
}

type EngineRates = Pick<
  StandinTarget,
  "model" | "kvTokens" | "prefillTokensPerSecond" | "decodeTokensPerSecond"
>;

function targetOf(
  options: TargetCommandOptions & EngineRates,
  rest: Pick<StandinTarget, "kind" | "checksFencing" | "callMs">,
): StandinTarget {
  return {
    id: options.id,
    slots: options.slots,
    model: options.model,
    kvTokens: options.kvTokens,
    prefillTokensPerSecond: options.prefillTokensPerSecond,
    decodeTokensPerSecond: options.decodeTokensPerSecond,
    pool: "",
    failureDomain: "",
    hardware: "",
    ...rest,
  };
}

function traitsIn(options: EngineCommandOptions): Partial<TargetTraits> {
  const { seed, loadLagMs, blockTokens } = options;
  const { cacheEventLagMs, cacheEventLossShare } = options;
  return {
    seed,
    loadLagMs,
    blockTokens,
    cacheEventLagMs,
    cacheEventLossShare,
  };
}

function listenOf({ host, port }: ListenOptions): ListenOptions {
  return { host, port };
}

function limitOf(perSecond?: number): TokenBucketOptions | undefined {
  return perSecond === undefined ? undefined : { perSecond, burst: perSecond };
}

function parseNumber(text: string): number {
  const value = Number(text);
  if (text.trim() === "" || !Number.isFinite(value) || value < 0) {
    throw new InvalidArgumentError("must be a number from 0");
  }
  return value;
}

function addNumber(command: Command, flag: string, options: {
  readonly about: string;
  readonly preset?: number;
}): Command {
  return options.preset === undefined
    ? command.option(`${flag} <number>`, options.about, parseNumber)
    : command.option(
      `${flag} <number>`,
      options.about,
      parseNumber,
      options.preset,
    );
}

function addListen(command: Command): Command {
  command.option("--host <host>", "loopback address", "127.0.0.1");
  const about = "port, 0 lets the system choose";
  return addNumber(command, "--port", { about, preset: 0 });
}

function addTarget(command: Command): Command {
  addListen(command).requiredOption("--id <id>", "id of the target");
  addNumber(command, "--slots", { about: "requests at once", preset: 16 });
  return addNumber(command, "--load-lag-ms", {
    about: "age of the state that load reports show",
    preset: DEFAULT_TRAITS.loadLagMs,
  });
}

function addEngineCommand(program: Command): void {
  const command = program.command("engine").description("a model engine");
  addTarget(command)
    .requiredOption("--model <model>", "model it holds")
    .option("--ignore-fencing", "obey orders with old fencing numbers");
  const numbers = [
    { flag: "--kv-tokens", about: "KV memory", preset: 120_000 },
    {
      flag: "--prefill-tokens-per-second",
      about: "prompt rate",
      preset: 7_000,
    },
    { flag: "--decode-tokens-per-second", about: "answer rate", preset: 55 },
    {
      flag: "--block-tokens",
      about: "tokens of a block",
      preset: DEFAULT_TRAITS.blockTokens,
    },
    {
      flag: "--cache-event-lag-ms",
      about: "lateness of cache events",
      preset: DEFAULT_TRAITS.cacheEventLagMs,
    },
    {
      flag: "--cache-event-loss-share",
      about: "share of cache events lost",
      preset: DEFAULT_TRAITS.cacheEventLossShare,
    },
    { flag: "--seed", about: "seed", preset: DEFAULT_TRAITS.seed },
  ];
  numbers.forEach(({ flag, ...rest }) => addNumber(command, flag, rest));
  command.action((options: EngineCommandOptions) => run(engineOf(options)));
}

function addServiceCommand(program: Command): void {
  const command = program.command("service").description("a plain service");
  addTarget(command);
  addNumber(command, "--call-ms", { about: "time of a call", preset: 120 });
  command.action((options: ServiceCommandOptions) => run(serviceOf(options)));
}

function addPlatformCommand(program: Command): void {
  const command = program.command("platform").description("the platform");
  addListen(command);
  addNumber(command, "--list-lag-ms", {
    about: "lag of the list",
    preset: DEFAULT_PLATFORM.listLagMs,
  });
  addNumber(command, "--writes-per-second", { about: "limit of writes" });
  addNumber(command, "--reads-per-second", { about: "limit of reads" });
  addNumber(command, "--weights-per-second", {
    about: "limit of the weight store",
    preset: DEFAULT_PLATFORM.weightLimit.perSecond,
  });
  command.action((options: PlatformCommandOptions) => run(platformOf(options)));
}

async function run(standin: Standin): Promise<void> {
  const stop = () => void standin.stop().then(() => process.exit(0));
  process.once("SIGTERM", stop);
  process.once("SIGINT", stop);
  const { address } = await standin.start();
  process.stdout.write(`${JSON.stringify({ address })}\n`);
}

const program = new Command("standin")
  .description("runs one stand-in for a target or the platform");
addEngineCommand(program);
addServiceCommand(program);
addPlatformCommand(program);
await program.parseAsync();
