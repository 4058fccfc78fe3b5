/**
 * Command line that runs one stand-in, a simulated engine, service or platform,
 * in its own process. It prints the address it listens on as a line of JSON.
 */

import process from "node:process";
import { TargetKind } from "@chestnuthatch/wire/shared_types";
import { Command, InvalidArgumentError } from "commander";
import {
  createEngineOptions,
  createServiceOptions,
  DEFAULT_TARGET_OPTIONS,
  type SharedTargetOptions,
  type StandinTarget,
} from "./deployments.ts";
import { EngineServer } from "./engine_server.ts";
import { DEFAULT_PLATFORM_OPTIONS } from "./standin_fleet.ts";
import type { ListenAddress, ListenOptions } from "./http_server.ts";
import { PlatformServer } from "./platform_server.ts";
import { ServiceServer } from "./service_server.ts";
import type { TokenBucketOptions } from "./token_bucket.ts";

/** A stand-in that can be started and stopped. */
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

const ZERO_ENGINE_RATES = {
  model: "",
  kvTokens: 0,
  prefillTokensPerSecond: 0,
  decodeTokensPerSecond: 0,
  callMs: 0,
};

function createEngineServer(options: EngineCommandOptions): Standin {
  const target = createTarget(options, {
    kind: TargetKind.Engine,
    checksFencing: options.ignoreFencing !== true,
    callMs: 0,
  });
  const sharedOptions: SharedTargetOptions = {
    ...DEFAULT_TARGET_OPTIONS,
    ...pickSharedOptions(options),
  };
  const engine = createEngineOptions(target, sharedOptions);
  return new EngineServer({ ...pickListenOptions(options), engine });
}

function createServiceServer(options: ServiceCommandOptions): Standin {
  const target = createTarget({ ...ZERO_ENGINE_RATES, ...options }, {
    kind: TargetKind.Service,
    checksFencing: false,
    callMs: options.callMs,
  });
  const { loadLagMs } = options;
  const service = createServiceOptions(target, {
    ...DEFAULT_TARGET_OPTIONS,
    loadLagMs,
  });
  return new ServiceServer({ ...pickListenOptions(options), service });
}

function createPlatformServer(options: PlatformCommandOptions): Standin {
  return new PlatformServer({
    ...pickListenOptions(options),
    platform: {
      listLagMs: options.listLagMs,
      writeLimit: createRateLimit(options.writesPerSecond),
      readLimit: createRateLimit(options.readsPerSecond),
      weightLimit: {
        ...DEFAULT_PLATFORM_OPTIONS.weightLimit,
        ratePerSecond: options.weightsPerSecond,
      },
    },
  });
}

type EngineRates = Pick<
  StandinTarget,
  "model" | "kvTokens" | "prefillTokensPerSecond" | "decodeTokensPerSecond"
>;

function createTarget(
  options: TargetCommandOptions & EngineRates,
  fixedOptions: Pick<StandinTarget, "kind" | "checksFencing" | "callMs">,
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
    ...fixedOptions,
  };
}

function pickSharedOptions(
  options: EngineCommandOptions,
): Partial<SharedTargetOptions> {
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

function pickListenOptions({ host, port }: ListenOptions): ListenOptions {
  return { host, port };
}

function createRateLimit(
  ratePerSecond?: number,
): TokenBucketOptions | undefined {
  return ratePerSecond === undefined
    ? undefined
    : { ratePerSecond, burst: ratePerSecond };
}

function parseNumber(text: string): number {
  const value = Number(text);
  if (text.trim() === "" || !Number.isFinite(value) || value < 0) {
    throw new InvalidArgumentError("must be a number of at least 0");
  }
  return value;
}

function addNumberOption(command: Command, flag: string, options: {
  readonly description: string;
  readonly defaultValue?: number;
}): Command {
  return options.defaultValue === undefined
    ? command.option(`${flag} <number>`, options.description, parseNumber)
    : command.option(
      `${flag} <number>`,
      options.description,
      parseNumber,
      options.defaultValue,
    );
}

function addListenOptions(command: Command): Command {
  command.option("--host <host>", "loopback address", "127.0.0.1");
  const description = "port, 0 picks a free port";
  return addNumberOption(command, "--port", { description, defaultValue: 0 });
}

function addTargetOptions(command: Command): Command {
  addListenOptions(command).requiredOption("--id <id>", "id of the target");
  addNumberOption(command, "--slots", {
    description: "number of concurrent requests",
    defaultValue: 16,
  });
  return addNumberOption(command, "--load-lag-ms", {
    description: "age of the load that load reports show",
    defaultValue: DEFAULT_TARGET_OPTIONS.loadLagMs,
  });
}

function addEngineCommand(program: Command): void {
  const command = program.command("engine").description(
    "an inference engine stand-in",
  );
  addTargetOptions(command)
    .requiredOption("--model <model>", "model that the engine has loaded")
    .option("--ignore-fencing", "obey orders with outdated fencing numbers");
  const numberOptions = [
    {
      flag: "--kv-tokens",
      description: "KV memory in tokens",
      defaultValue: 120_000,
    },
    {
      flag: "--prefill-tokens-per-second",
      description: "prefill rate",
      defaultValue: 7_000,
    },
    {
      flag: "--decode-tokens-per-second",
      description: "decode rate",
      defaultValue: 55,
    },
    {
      flag: "--block-tokens",
      description: "tokens covered by one block fingerprint",
      defaultValue: DEFAULT_TARGET_OPTIONS.blockTokens,
    },
    {
      flag: "--cache-event-lag-ms",
      description: "delay until a cache event is published",
      defaultValue: DEFAULT_TARGET_OPTIONS.cacheEventLagMs,
    },
    {
      flag: "--cache-event-loss-share",
      description: "share of cache events that are never published",
      defaultValue: DEFAULT_TARGET_OPTIONS.cacheEventLossShare,
    },
    {
      flag: "--seed",
      description: "seed of answer lengths and losses",
      defaultValue: DEFAULT_TARGET_OPTIONS.seed,
    },
  ];
  numberOptions.forEach(({ flag, ...settings }) =>
    addNumberOption(command, flag, settings)
  );
  command.action((options: EngineCommandOptions) =>
    runStandin(createEngineServer(options))
  );
}

function addServiceCommand(program: Command): void {
  const command = program.command("service").description(
    "a plain service stand-in",
  );
  addTargetOptions(command);
  addNumberOption(command, "--call-ms", {
    description: "duration of a call",
    defaultValue: 120,
  });
  command.action((options: ServiceCommandOptions) =>
    runStandin(createServiceServer(options))
  );
}

function addPlatformCommand(program: Command): void {
  const command = program.command("platform").description(
    "the platform stand-in",
  );
  addListenOptions(command);
  addNumberOption(command, "--list-lag-ms", {
    description: "delay until a change of the instance list is visible",
    defaultValue: DEFAULT_PLATFORM_OPTIONS.listLagMs,
  });
  addNumberOption(command, "--writes-per-second", {
    description: "maximum writes per second",
  });
  addNumberOption(command, "--reads-per-second", {
    description: "maximum reads per second",
  });
  addNumberOption(command, "--weights-per-second", {
    description: "maximum downloads per second from the weight store",
    defaultValue: DEFAULT_PLATFORM_OPTIONS.weightLimit.ratePerSecond,
  });
  command.action((options: PlatformCommandOptions) =>
    runStandin(createPlatformServer(options))
  );
}

async function runStandin(standin: Standin): Promise<void> {
  const stop = () => void standin.stop().then(() => process.exit(0));
  process.once("SIGTERM", stop);
  process.once("SIGINT", stop);
  const { address } = await standin.start();
  process.stdout.write(`${JSON.stringify({ address })}\n`);
}

const program = new Command("standin")
  .description("runs a stand-in for a target or the platform");
addEngineCommand(program);
addServiceCommand(program);
addPlatformCommand(program);
await program.parseAsync();
