/** Generator of the items that simulated callers request. */

import type { SettingsInForce } from "@chestnuthatch/settings/settings_types";
import {
  generateWorkload,
  type WorkItem as GeneratedItem,
  type WorkloadOptions,
} from "@chestnuthatch/standins/workload";
import { BLOCK_TOKENS } from "./simulated_engine.ts";
import type { WorkItem } from "./work_item.ts";

/**
 * Generates the items of one run.
 *
 * @param options Deployment, seed, duration and load of the workload.
 * @param scope Settings with the tiers' policies, and the callers' region.
 * @returns The items in time order.
 */
export function createWorkItems(
  options: WorkloadOptions,
  scope: { settings: SettingsInForce; region: string },
): WorkItem[] {
  return generateWorkload(options).map((item, index) =>
    toWorkItem(item, { ...scope, itemId: `item-${index}` })
  );
}

function toWorkItem(
  item: GeneratedItem,
  scope: { settings: SettingsInForce; region: string; itemId: string },
): WorkItem {
  const { settings, region, itemId } = scope;
  const { workspace, tier } = item;
  const policy = settings.policyFor({ region, workspace, tier });
  return {
    itemId,
    atMs: item.atMs,
    workspace,
    tier,
    tierRank: policy.rank,
    value: policy.value,
    pool: item.pool,
    model: settings.pools.get(item.pool)?.model ?? "",
    promptTokens: item.promptTokens,
    maxOutputTokens: item.maxOutputTokens,
    deadlineMs: item.deadlineMs,
    idempotent: item.idempotent,
    idempotencyKey: item.idempotencyKey,
    prompt: item.uniqueText,
    contentHash: item.uniqueText,
    blockHashes: createBlockHashes(item),
  };
}

function createBlockHashes(item: GeneratedItem): string[] {
  const blockCount = Math.floor(item.promptTokens / BLOCK_TOKENS);
  const prefixBlocks = Math.floor(item.prefixTokens / BLOCK_TOKENS);
  return Array.from(
    { length: blockCount },
    (_, index) =>
      index < prefixBlocks
        ? `${item.prefixId}#${index}`
        : `${item.uniqueText}#${index}`,
  );
}
