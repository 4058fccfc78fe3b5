/** Generates the requests of a long run in chunks. */

import { hash32 } from "@chestnuthatch/core/text_hash";
import {
  generateWorkload,
  type KindMix,
  type WorkItem,
} from "@chestnuthatch/standins/workload";
import type { Deployment } from "@chestnuthatch/standins/work_kinds";

/** Options of {@link generateLoadItems}. */
export interface LoadItemsOptions {
  readonly deployment: Deployment;
  readonly seed: number;
  readonly durationMs: number;
  readonly ratePerSecond: number;
  readonly mix?: KindMix;
  /** Prefix of idempotency keys, which makes them unique to the run. */
  readonly runId: string;
}

/** Duration of the chunk of requests that is held in memory. */
const CHUNK_MS = 60_000;

/**
 * Generates the requests of a run. Only one chunk is held in memory at a time.
 *
 * @param options Deployment, seed, duration, rate and mix of kinds.
 * @returns The requests in time order; equal options yield equal requests.
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
