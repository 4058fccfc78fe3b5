/** The targets of the two deployments, and what stand-ins make of them. */

import { TargetKind } from "@chestnuthatch/wire/shared_types";
import type { EngineModelOptions } from "./engine_options.ts";
import { hash32 } from "@chestnuthatch/core/text_hash";
import type { ServiceModelOptions } from "./service_model.ts";
import { Deployment } from "./workload_kinds.ts";

/** One target to stand in for. */
export interface StandinTarget {
  readonly id: string;
  readonly pool: string;
  readonly kind: TargetKind;
  readonly failureDomain: string;
  /** Model of an engine; empty for services. */
  readonly model: string;
  readonly slots: number;
  /** 0 for services. */
  readonly kvTokens: number;
  readonly hardware: string;
  readonly checksFencing: boolean;
  readonly prefillTokensPerSecond: number;
  readonly decodeTokensPerSecond: number;
  /** Time of one call on a service. */
  readonly callMs: number;
}

/** What targets have in common. */
export interface TargetTraits {
  readonly seed: number;
  readonly loadLagMs: number;
  readonly cacheEventLagMs: number;
  readonly cacheEventLossShare: number;
  readonly decodeSlowdownPerStream: number;
  readonly blockTokens: number;
  /** Prefix cache of an engine as a share of its KV memory. */
  readonly prefixCacheShare: number;
  readonly coalesceTokens: boolean;
}

/** Traits for want of others. */
export const DEFAULT_TRAITS: TargetTraits = {
  seed: 1,
  loadLagMs: 500,
  cacheEventLagMs: 1_000,
  cacheEventLossShare: 0.05,
  decodeSlowdownPerStream: 0.02,
  blockTokens: 64,
  prefixCacheShare: 0.25,
  coalesceTokens: false,
};

interface EngineHardware {
  readonly hardware: string;
  readonly slots: number;
  readonly kvTokens: number;
  readonly prefillTokensPerSecond: number;
  readonly decodeTokensPerSecond: number;
}

interface DeploymentLayout {
  readonly failureDomains: readonly string[];
  readonly enginePool: string;
  readonly model: string;
  /** One engine in each failure domain for each entry. */
  readonly engines: readonly (readonly EngineHardware[])[];
  readonly servicePool: string;
  readonly servicesPerDomain: number;
  readonly serviceSlots: number;
  readonly callMs: number;
  /** Whether this deployment's engines check fencing numbers. */
  readonly checksFencing: boolean;
}

const LARGE: EngineHardware = {
  hardware: "large",
  slots: 24,
  kvTokens: 200_000,
  prefillTokensPerSecond: 12_000,
  decodeTokensPerSecond: 80,
};
const MEDIUM: EngineHardware = {
  hardware: "medium",
  slots: 16,
  kvTokens: 120_000,
  prefillTokensPerSecond: 7_000,
  decodeTokensPerSecond: 55,
};
const SMALL: EngineHardware = {
  hardware: "small",
  slots: 8,
  kvTokens: 64_000,
  prefillTokensPerSecond: 4_000,
  decodeTokensPerSecond: 35,
};

const LAYOUTS: Record<Deployment, DeploymentLayout> = {
  [Deployment.ShambaSafi]: {
    failureDomains: ["njiro-hall", "sakina-hall", "usa-river", "tengeru"],
    enginePool: "msaidizi",
    model: "msaidizi",
    engines: [[LARGE, MEDIUM], [LARGE, SMALL], [MEDIUM, MEDIUM], [
      MEDIUM,
      SMALL,
    ]],
    servicePool: "kazi-desk",
    servicesPerDomain: 1,
    serviceSlots: 8,
    callMs: 120,
    checksFencing: true,
  },
  [Deployment.SunuRegistrs]: {
    failureDomains: ["riga-a", "riga-b", "riga-c"],
    enginePool: "valodas-modelis",
    model: "valodas-modelis",
    engines: [[LARGE, MEDIUM], [LARGE, SMALL], [MEDIUM, MEDIUM]],
    servicePool: "registrs",
    servicesPerDomain: 1,
    serviceSlots: 8,
    callMs: 200,
    checksFencing: false,
  },
};

/**
 * Lists the failure domains of a deployment.
 *
 * @param deployment The deployment.
 * @returns Their names.
 */
export function failureDomainsOf(deployment: Deployment): readonly string[] {
  return LAYOUTS[deployment].failureDomains;
}

/**
 * Lists the targets of a deployment, which differ in speed.
 *
 * @param deployment The deployment.
 * @returns Its engines and services.
 */
export function targetsOf(deployment: Deployment): StandinTarget[] {
  const layout = LAYOUTS[deployment];
  return layout.failureDomains.flatMap((failureDomain, i) => [
    ...layout.engines[i].map((hardware, j) =>
      engineTarget(layout, hardware, {
        failureDomain,
        number: i * layout.engines[i].length + j + 1,
      })
    ),
    ...Array.from(
      { length: layout.servicesPerDomain },
      (_, j) =>
        serviceTarget(layout, {
          failureDomain,
          number: i * layout.servicesPerDomain + j + 1,
        }),
    ),
  ]);
}

/**
 * Derives the options of an engine.
 *
 * @param target The target.
 * @param traits What targets have in common.
 * @returns Options for an engine model.
 */
export function engineOptionsOf(
  target: StandinTarget,
  traits: TargetTraits = DEFAULT_TRAITS,
): EngineModelOptions {
  const { prefixCacheShare, seed, ...shared } = traits;
  return {
    targetId: target.id,
    model: target.model,
    slots: target.slots,
    kvTokens: target.kvTokens,
    prefillTokensPerSecond: target.prefillTokensPerSecond,
    decodeTokensPerSecond: target.decodeTokensPerSecond,
    checksFencing: target.checksFencing,
    prefixCacheTokens: target.kvTokens * prefixCacheShare,
    ...shared,
    seed: (seed ^ hash32(target.id)) | 0,
  };
}

/**
 * Derives the options of a service.
 *
 * @param target The target.
 * @param traits What targets have in common.
 * @returns Options for a service model.
 */
export function serviceOptionsOf(
  target: StandinTarget,
  traits: TargetTraits = DEFAULT_TRAITS,
): ServiceModelOptions {
  return {
    targetId: target.id,
    slots: target.slots,
    callMs: target.callMs,
    loadLagMs: traits.loadLagMs,
  };
}

interface Place {
  readonly failureDomain: string;
  /** Position within the pool, from 1. */
  readonly number: number;
}

function engineTarget(
  layout: DeploymentLayout,
  hardware: EngineHardware,
  { failureDomain, number }: Place,
): StandinTarget {
  return {
    id: `${layout.enginePool}-${number}`,
    pool: layout.enginePool,
    kind: TargetKind.Engine,
    failureDomain,
    model: layout.model,
    checksFencing: layout.checksFencing,
    callMs: 0,
    ...hardware,
  };
}

function serviceTarget(
  layout: DeploymentLayout,
  { failureDomain, number }: Place,
): StandinTarget {
  return {
    id: `${layout.servicePool}-${number}`,
    pool: layout.servicePool,
    kind: TargetKind.Service,
    failureDomain,
    model: "",
    slots: layout.serviceSlots,
    kvTokens: 0,
    hardware: "service",
    checksFencing: false,
    prefillTokensPerSecond: 0,
    decodeTokensPerSecond: 0,
    callMs: layout.callMs,
  };
}
