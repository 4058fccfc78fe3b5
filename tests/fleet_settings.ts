/** Settings of a test fleet: the shipped example with the test's targets. */

import { readExample } from "@chestnuthatch/cli/embedded_fleet";
import { TargetKind } from "@chestnuthatch/wire/shared_types";
import { parseDocument } from "yaml";

/** Names of the pools in the example settings. */
export enum FleetPool {
  Engines = "msaidizi",
  Services = "kazi-desk",
}

/** Configuration of one target of a test fleet. */
export interface FleetTarget {
  readonly id: string;
  readonly pool: FleetPool;
  readonly failureDomain: string;
  readonly slots: number;
  /** Output rate of an engine; `DECODE_TOKENS_PER_SECOND` where absent. */
  readonly decodeTokensPerSecond?: number;
  /** Duration of a service's call; `CALL_MS` where absent. */
  readonly callMs?: number;
}

/** A path in the settings and the value to set there. */
export type SettingsOverride = readonly [
  path: readonly string[],
  value: unknown,
];

/** Region that holds every failure domain of a test fleet. */
export const REGION = "arusha";
/** Model that the engines of a test fleet serve. */
export const MODEL = "msaidizi-7b";
/** KV memory of every engine, in tokens. */
export const KV_TOKENS = 120_000;
/** Prefill rate of every engine. */
export const PREFILL_TOKENS_PER_SECOND = 8_000;
/** Output rate of an engine whose test sets none. */
export const DECODE_TOKENS_PER_SECOND = 200;
/** Duration of a service's call whose test sets none. */
export const CALL_MS = 100;

const EXAMPLE_DEPLOYMENT = "shamba-safi";

/** Kind of the targets in each pool. */
export const TARGET_KIND_BY_POOL: Record<FleetPool, TargetKind> = {
  [FleetPool.Engines]: TargetKind.Engine,
  [FleetPool.Services]: TargetKind.Service,
};

/**
 * Builds the settings of a test fleet from the shipped example.
 *
 * @param targets Targets that replace those of the example.
 * @param overrides Values that differ from the example.
 * @returns The settings as YAML.
 */
export function fleetSettings(
  targets: readonly (FleetTarget & { readonly address: string })[],
  overrides: readonly SettingsOverride[],
): string {
  const document = parseDocument(readExample(EXAMPLE_DEPLOYMENT));
  const domains = [...new Set(targets.map((target) => target.failureDomain))];
  document.setIn(["regions", REGION, "failureDomains"], domains);
  const entries = targets.map((target) => [target.id, targetEntry(target)]);
  document.setIn(
    ["targets"],
    document.createNode(Object.fromEntries(entries)),
  );
  const usedPools = new Set(targets.map(({ pool }) => pool));
  Object.values(FleetPool).filter((pool) => !usedPools.has(pool))
    .forEach((pool) => document.deleteIn(["pools", pool]));
  for (const [path, value] of overrides) {
    document.setIn(path, document.createNode(value));
  }
  return String(document);
}

function targetEntry(target: FleetTarget & { readonly address: string }) {
  const { pool, failureDomain, address, slots } = target;
  const common = { pool, failureDomain, address, slots };
  if (TARGET_KIND_BY_POOL[pool] === TargetKind.Service) {
    return { ...common, hardware: "desk", callMs: target.callMs ?? CALL_MS };
  }
  return {
    ...common,
    hardware: "gpu-2024",
    checksFencing: true,
    kvTokens: KV_TOKENS,
    prefillTokensPerSecond: PREFILL_TOKENS_PER_SECOND,
    decodeTokensPerSecond: target.decodeTokensPerSecond ??
      DECODE_TOKENS_PER_SECOND,
  };
}
