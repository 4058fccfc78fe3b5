/** Estimate of the request rate that a deployment's targets can serve. */

import type { TargetSettings } from "@chestnuthatch/settings/settings_types";
import {
  generateWorkload,
  type KindMix,
  type WorkItem,
} from "@chestnuthatch/standins/workload";
import type { DeploymentPlan } from "./deployment_plan.ts";

/** Mean token counts of the requests to one pool. */
interface MeanCost {
  /** Share (0 to 1) of the deployment's requests that go to the pool. */
  readonly requestShare: number;
  readonly promptTokens: number;
  readonly outputTokens: number;
  /** KV memory that a request reserves: prompt and longest output. */
  readonly reservedTokens: number;
}

const SAMPLE_ITEMS_PER_SECOND = 5000;
const SAMPLE_DURATION_MS = 1000;
const SAMPLE_SEED = 1;
const MS_PER_SECOND = 1000;

/** Relative slowdown of a stand-in engine's streams for each further one. */
const DECODE_SLOWDOWN_RATIO_PER_STREAM = 0.02;
/** Share of a stand-in engine's decode rate that is lost during prefill. */
const DECODE_LOSS_SHARE_DURING_PREFILL = 0.5;

/**
 * Estimates a deployment's capacity. Prefix caches are not taken into account.
 *
 * @param plan The deployment's targets and their rates.
 * @param mix Weights of the kinds of requests; the normal ones if absent.
 * @returns Requests per second of the whole mix, limited by the pool that
 * saturates first.
 */
export function capacityPerSecond(
  plan: DeploymentPlan,
  mix: KindMix | undefined,
): number {
  const sample = generateWorkload({
    deployment: plan.deployment,
    seed: SAMPLE_SEED,
    durationMs: SAMPLE_DURATION_MS,
    phases: [{ fromMs: 0, ratePerSecond: SAMPLE_ITEMS_PER_SECOND, mix }],
  });
  const pools = [...new Set(sample.map(({ pool }) => pool))];
  const poolLimitsPerSecond = pools.map((pool) => {
    const cost = meanPoolCost(sample, pool);
    const targets = [...plan.settings.targets.values()]
      .filter((target) => target.pool === pool);
    const perSecond = targets.reduce(
      (sum, target) => sum + targetRequestsPerSecond(target, cost),
      0,
    );
    return perSecond / cost.requestShare;
  });
  return Math.min(...poolLimitsPerSecond);
}

function meanPoolCost(sample: readonly WorkItem[], pool: string): MeanCost {
  const items = sample.filter((item) => item.pool === pool);
  const mean = (value: (item: WorkItem) => number) =>
    items.reduce((sum, item) => sum + value(item), 0) / items.length;
  return {
    requestShare: items.length / sample.length,
    promptTokens: mean(({ promptTokens }) => promptTokens),
    outputTokens: mean(({ outputTokens }) => outputTokens),
    reservedTokens: mean((item) => item.promptTokens + item.maxOutputTokens),
  };
}

function targetRequestsPerSecond(
  target: TargetSettings,
  cost: MeanCost,
): number {
  return target.kvTokens === 0
    ? target.slots * MS_PER_SECOND / target.callMs
    : engineRequestsPerSecond(target, cost);
}

function engineRequestsPerSecond(
  target: TargetSettings,
  cost: MeanCost,
): number {
  const streams = Math.min(
    target.slots,
    target.kvTokens / cost.reservedTokens,
  );
  const slowdownRatio = 1 +
    DECODE_SLOWDOWN_RATIO_PER_STREAM * Math.max(0, streams - 1);
  const totalDecodeTokensPerSecond = streams * target.decodeTokensPerSecond /
    slowdownRatio;
  const prefillSeconds = cost.promptTokens / target.prefillTokensPerSecond;
  const tokensLostToPrefill = totalDecodeTokensPerSecond *
    DECODE_LOSS_SHARE_DURING_PREFILL * prefillSeconds;
  return Math.min(
    totalDecodeTokensPerSecond / (cost.outputTokens + tokensLostToPrefill),
    1 / prefillSeconds,
  );
}
