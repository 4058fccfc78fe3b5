/** Generates the requests of a long run, a stretch at a time. */

import { hash32 } from "@chestnuthatch/core/text_hash";
import {
  generateWorkload,
  type KindMix,
  type WorkItem,
} from "@chestnuthatch/standins/workload";
import type { Deployment } from "@chestnuthatch/standins/work_kinds";

/** What to generate. */
export interface LoadItemsOptions {
  readonly deployment: Deployment;
  readonly seed: number;
  readonly durationMs: number;
  readonly ratePerSecond: number;
  readonly mix?: KindMix;
  /** Makes idempotency keys this run's own. */
  readonly runId: string;
}

const CHUNK_MS = 60_000;

/**
 * Generates requests; only one stretch is held at a time.
 *
 * @param options What to generate.
 * @returns The requests in time order; the same for the same options.
 */
export function* generateLoadItems(
  options: LoadItemsOptions,
): Generator<WorkItem> {
  const { deployment, seed, durationMs, ratePerSecond, mix, runId } = options;
  for (let i = 0; i * CHUNK_MS < durationMs; i++) {
    const fromMs = i * CHUNK_MS;
    const chunk = generateWorkload({
      deployment,
      seed: hash32(`${seed}/${i}`) | 0,
      durationMs: Math.min(CHUNK_MS, durationMs - fromMs),
      phases: [{ fromMs: 0, ratePerSecond, mix }],
    });
    for (const item of chunk) {
      const idempotencyKey = item.idempotencyKey &&
        `${runId}-${item.idempotencyKey}`;
      yield { ...item, atMs: item.atMs + fromMs, idempotencyKey };
    }
  }
}
