/** How many requests a second a deployment can serve, from rates and mix. */

import type { TargetSettings } from "@chestnuthatch/settings/settings_types";
import {
  generateWorkload,
  type KindMix,
  type WorkItem,
} from "@chestnuthatch/standins/workload";
import type { DeploymentPlan } from "./deployments.ts";

/** Mean cost of a pool's requests. */
interface MeanCost {
  /** Share of all requests that go to the pool. */
  readonly share: number;
  readonly promptTokens: number;
  readonly outputTokens: number;
  readonly reservedTokens: number;
}

const SAMPLE_ITEMS_PER_SECOND = 5000;
const SAMPLE_MS = 1000;
const SAMPLE_SEED = 1;
const MS_PER_SECOND = 1000;

/** What stand-in engines lose to one more stream, and to a prompt beside. */
const DECODE_SLOWDOWN_PER_STREAM = 0.02;
const DECODE_LOSS_DURING_PREFILL = 0.5;

/**
 * Works out a deployment's capacity; prefix caches are not counted.
 *
 * @param plan The deployment.
 * @param mix Weights of kinds.
 * @returns Requests a second of the whole mix, bound by the tightest pool.
 */
export function capacityPerSecond(
  plan: DeploymentPlan,
  mix: KindMix | undefined,
): number {
  const sample = generateWorkload({
    deployment: plan.deployment,
    seed: SAMPLE_SEED,
    durationMs: SAMPLE_MS,
    phases: [{ fromMs: 0, ratePerSecond: SAMPLE_ITEMS_PER_SECOND, mix }],
  });
  const pools = [...new Set(sample.map(({ pool }) => pool))];
  const limits = pools.map((pool) => {
    const cost = meanCostOf(sample, pool);
    const targets = [...plan.settings.targets.values()]
      .filter((target) => target.pool === pool);
    const perSecond = targets.reduce(
      (sum, target) => sum + targetPerSecond(target, cost),
      0,
    );
    return perSecond / cost.share;
  });
  return Math.min(...limits);
}

function meanCostOf(sample: readonly WorkItem[], pool: string): MeanCost {
  const items = sample.filter((item) => item.pool === pool);
  const mean = (value: (item: WorkItem) => number) =>
    items.reduce((sum, item) => sum + value(item), 0) / items.length;
  return {
    share: items.length / sample.length,
    promptTokens: mean(({ promptTokens }) => promptTokens),
    outputTokens: mean(({ outputTokens }) => outputTokens),
    reservedTokens: mean((item) => item.promptTokens + item.maxOutputTokens),
  };
}

function targetPerSecond(target: TargetSettings, cost: MeanCost): number {
  return target.kvTokens === 0
    ? target.slots * MS_PER_SECOND / target.callMs
    : enginePerSecond(target, cost);
}

function enginePerSecond(target: TargetSettings, cost: MeanCost): number {
  const streams = Math.min(
    target.slots,
    target.kvTokens / cost.reservedTokens,
  );
  const crowding = 1 + DECODE_SLOWDOWN_PER_STREAM * Math.max(0, streams - 1);
  const decodeRate = streams * target.decodeTokensPerSecond / crowding;
  const prefillSeconds = cost.promptTokens / target.prefillTokensPerSecond;
  const lostTokens = decodeRate * DECODE_LOSS_DURING_PREFILL * prefillSeconds;
  return Math.min(
    decodeRate / (cost.outputTokens + lostTokens),
    1 / prefillSeconds,
  );
}
