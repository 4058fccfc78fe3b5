/** Targets of the two deployments, and the options of their stand-ins. */

import { TargetKind } from "@chestnuthatch/wire/shared_types";
import type { EngineModelOptions } from "./engine_model_options.ts";
import { hash32 } from "@chestnuthatch/core/text_hash";
import type { ServiceModelOptions } from "./service_model.ts";
import { Deployment } from "./work_kinds.ts";

/** A target that a stand-in simulates. */
export interface StandinTarget {
  readonly id: string;
  readonly pool: string;
  readonly kind: TargetKind;
  readonly failureDomain: string;
  /** Model that an engine has loaded; empty for services. */
  readonly model: string;
  readonly slots: number;
  /** KV memory of an engine; 0 for services. */
  readonly kvTokens: number;
  readonly hardware: string;
  readonly checksFencing: boolean;
  readonly prefillTokensPerSecond: number;
  readonly decodeTokensPerSecond: number;
  /** Duration of one call on a service; 0 for engines. */
  readonly callMs: number;
}

/** Options that apply to every target of a fleet. */
export interface SharedTargetOptions {
  readonly seed: number;
  /** Age of the load that load reports show. */
  readonly loadLagMs: number;
  /** Delay until a cache event is published. */
  readonly cacheEventLagMs: number;
  /** Share of cache events (0 to 1) that are never published. */
  readonly cacheEventLossShare: number;
  /** Slowdown of every stream for each further stream; 0.02 is 2 %. */
  readonly decodeSlowdownPerStream: number;
  /** Tokens covered by one block fingerprint. */
  readonly blockTokens: number;
  /** Capacity of an engine's prefix cache as a share of its KV memory. */
  readonly prefixCacheShare: number;
  /** Whether a stream emits its whole text as one token event. */
  readonly coalesceTokens: boolean;
}

/** Default options of targets. */
export const DEFAULT_TARGET_OPTIONS: SharedTargetOptions = {
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
  /** For each failure domain, the hardware of its engines. */
  readonly engines: readonly (readonly EngineHardware[])[];
  readonly servicePool: string;
  readonly servicesPerDomain: number;
  readonly serviceSlots: number;
  readonly callMs: number;
  /** Whether the deployment's engines check fencing numbers. */
  readonly checksFencing: boolean;
}

const LARGE_HARDWARE: EngineHardware = {
  hardware: "large",
  slots: 24,
  kvTokens: 200_000,
  prefillTokensPerSecond: 12_000,
  decodeTokensPerSecond: 80,
};
const MEDIUM_HARDWARE: EngineHardware = {
  hardware: "medium",
  slots: 16,
  kvTokens: 120_000,
  prefillTokensPerSecond: 7_000,
  decodeTokensPerSecond: 55,
};
const SMALL_HARDWARE: EngineHardware = {
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
    engines: [
      [LARGE_HARDWARE, MEDIUM_HARDWARE],
      [LARGE_HARDWARE, SMALL_HARDWARE],
      [MEDIUM_HARDWARE, MEDIUM_HARDWARE],
      [MEDIUM_HARDWARE, SMALL_HARDWARE],
    ],
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
    engines: [
      [LARGE_HARDWARE, MEDIUM_HARDWARE],
      [LARGE_HARDWARE, SMALL_HARDWARE],
      [MEDIUM_HARDWARE, MEDIUM_HARDWARE],
    ],
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
 * @returns The names of the failure domains.
 */
export function listDeploymentFailureDomains(
  deployment: Deployment,
): readonly string[] {
  return LAYOUTS[deployment].failureDomains;
}

/**
 * Lists the targets of a deployment; its engines differ in hardware.
 *
 * @param deployment The deployment.
 * @returns The engines and services of each failure domain.
 */
export function listDeploymentTargets(deployment: Deployment): StandinTarget[] {
  const layout = LAYOUTS[deployment];
  return layout.failureDomains.flatMap((failureDomain, i) => [
    ...layout.engines[i].map((hardware, j) =>
      createEngineTarget(layout, hardware, {
        failureDomain,
        ordinal: i * layout.engines[i].length + j + 1,
      })
    ),
    ...Array.from(
      { length: layout.servicesPerDomain },
      (_, j) =>
        createServiceTarget(layout, {
          failureDomain,
          ordinal: i * layout.servicesPerDomain + j + 1,
        }),
    ),
  ]);
}

/**
 * Creates the options of a simulated engine.
 *
 * @param target The target.
 * @param sharedOptions Options that apply to every target.
 * @returns Options of the target's engine model.
 */
export function createEngineOptions(
  target: StandinTarget,
  sharedOptions: SharedTargetOptions = DEFAULT_TARGET_OPTIONS,
): EngineModelOptions {
  const { prefixCacheShare, seed, ...modelOptions } = sharedOptions;
  return {
    targetId: target.id,
    model: target.model,
    slots: target.slots,
    kvTokens: target.kvTokens,
    prefillTokensPerSecond: target.prefillTokensPerSecond,
    decodeTokensPerSecond: target.decodeTokensPerSecond,
    checksFencing: target.checksFencing,
    prefixCacheTokens: target.kvTokens * prefixCacheShare,
    ...modelOptions,
    seed: (seed ^ hash32(target.id)) | 0,
  };
}

/**
 * Creates the options of a simulated service.
 *
 * @param target The target.
 * @param sharedOptions Options that apply to every target.
 * @returns Options of the target's service model.
 */
export function createServiceOptions(
  target: StandinTarget,
  sharedOptions: SharedTargetOptions = DEFAULT_TARGET_OPTIONS,
): ServiceModelOptions {
  return {
    targetId: target.id,
    slots: target.slots,
    callMs: target.callMs,
    loadLagMs: sharedOptions.loadLagMs,
  };
}

interface TargetPosition {
  readonly failureDomain: string;
  /** Number of the target within its pool, from 1. */
  readonly ordinal: number;
}

function createEngineTarget(
  layout: DeploymentLayout,
  hardware: EngineHardware,
  { failureDomain, ordinal }: TargetPosition,
): StandinTarget {
  return {
    id: `${layout.enginePool}-${ordinal}`,
    pool: layout.enginePool,
    kind: TargetKind.Engine,
    failureDomain,
    model: layout.model,
    checksFencing: layout.checksFencing,
    callMs: 0,
    ...hardware,
  };
}

function createServiceTarget(
  layout: DeploymentLayout,
  { failureDomain, ordinal }: TargetPosition,
): StandinTarget {
  return {
    id: `${layout.servicePool}-${ordinal}`,
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
