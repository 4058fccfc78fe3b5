/** Settings of a test fleet: the shipped example with targets of the test. */

import { readExample } from "@chestnuthatch/cli/embedded_fleet";
import { TargetKind } from "@chestnuthatch/wire/shared_types";
import { parseDocument } from "yaml";

/** The example's pools. */
export enum FleetPool {
  Engines = "msaidizi",
  Services = "kazi-desk",
}

/** One target of a test fleet. */
export interface FleetTarget {
  readonly id: string;
  readonly pool: FleetPool;
  readonly failureDomain: string;
  readonly slots: number;
  /** Rate of an engine's answers. */
  readonly decodeTokensPerSecond?: number;
  /** Time of a service's call. */
  readonly callMs?: number;
}

/** A value set at a path of the settings. */
export type SettingsOverride = readonly [
  path: readonly string[],
  value: unknown,
];

/** Region of every failure domain of a test fleet. */
export const REGION = "arusha";
/** Model of the engines' pool. */
export const MODEL = "msaidizi-7b";
/** KV memory of every engine. */
export const KV_TOKENS = 120_000;
/** Prompt rate of every engine. */
export const PREFILL_TOKENS_PER_SECOND = 8_000;
/** Rate of answers where a test names none. */
export const DECODE_TOKENS_PER_SECOND = 200;
/** Time of a call where a test names none. */
export const CALL_MS = 100;

const EXAMPLE = "shamba-safi";

/** Kind of the targets of each pool. */
export const KIND_OF_POOL: Record<FleetPool, TargetKind> = {
  [FleetPool.Engines]: TargetKind.Engine,
  [FleetPool.Services]: TargetKind.Service,
};

/**
 * Writes the settings.
 *
 * @param targets The targets, each with its address.
 * @param overrides What differs from the example.
 * @returns YAML.
 */
export function fleetSettings(
  targets: readonly (FleetTarget & { readonly address: string })[],
  overrides: readonly SettingsOverride[],
): string {
  const document = parseDocument(readExample(EXAMPLE));
  const domains = [...new Set(targets.map((target) => target.failureDomain))];
  document.setIn(["regions", REGION, "failureDomains"], domains);
  const entries = targets.map((target) => [target.id, targetEntry(target)]);
  document.setIn(
    ["targets"],
    document.createNode(Object.fromEntries(entries)),
  );
  const poolsUsed = new Set(targets.map(({ pool }) => pool));
  Object.values(FleetPool).filter((pool) => !poolsUsed.has(pool))
    .forEach((pool) => document.deleteIn(["pools", pool]));
  for (const [path, value] of overrides) {
    document.setIn(path, document.createNode(value));
  }
  return String(document);
}

function targetEntry(target: FleetTarget & { readonly address: string }) {
  const { pool, failureDomain, address, slots } = target;
  const common = { pool, failureDomain, address, slots };
  if (KIND_OF_POOL[pool] === TargetKind.Service) {
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
