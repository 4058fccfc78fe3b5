/** Lookup indexes over the settings, built once per version. */

import type {
  SettingsInForce,
  TargetSettings,
  TierPolicy,
} from "@chestnuthatch/settings/settings_types";
import { shardKey } from "./blackboard.ts";

/** A shard as the settings define it: a pool's targets in a failure domain. */
export interface ShardTargets {
  readonly key: string;
  readonly pool: string;
  readonly failureDomain: string;
  /** Sorted by target id. */
  readonly targets: readonly TargetSettings[];
}

interface SettingsIndex {
  readonly shards: ReadonlyMap<string, ShardTargets>;
  readonly domainsByPool: ReadonlyMap<string, readonly string[]>;
  /** By region, workspace and tier rank; filled on use. */
  readonly policies: Map<string, Map<string, TierPolicy[]>>;
}

const indexes = new WeakMap<SettingsInForce, SettingsIndex>();

/**
 * Lists the shards that the settings define, one for each pool and failure
 * domain with targets.
 *
 * @param settings The settings in force.
 * @returns Shards by their key, `pool@failureDomain`.
 */
export function shardsOf(
  settings: SettingsInForce,
): ReadonlyMap<string, ShardTargets> {
  return indexOf(settings).shards;
}

/**
 * Lists the failure domains that have targets of a pool.
 *
 * @param settings The settings in force.
 * @param pool Name of the pool.
 * @returns Names of failure domains, each once, in the order of the settings.
 */
export function domainsOfPool(
  settings: SettingsInForce,
  pool: string,
): readonly string[] {
  return indexOf(settings).domainsByPool.get(pool) ?? [];
}

/**
 * Resolves the policy of a tier, given by its rank, in a region and workspace.
 *
 * @param settings The settings in force.
 * @param scope The region, workspace and tier rank (0 is the highest tier). A
 * rank beyond the lowest tier counts as the lowest tier.
 * @returns The policy that applies in that scope.
 */
export function policyOfRank(
  settings: SettingsInForce,
  scope: { region: string; workspace: string; tierRank: number },
): TierPolicy {
  const { policies } = indexOf(settings);
  const byWorkspace = getOrCreate(policies, scope.region, () => new Map());
  const byRank = getOrCreate(byWorkspace, scope.workspace, () => {
    const { region, workspace } = scope;
    return settings.tiers.map((tier) =>
      settings.policyFor({ region, workspace, tier })
    );
  });
  return byRank[Math.min(scope.tierRank, byRank.length - 1)];
}

function indexOf(settings: SettingsInForce): SettingsIndex {
  return getOrCreate(indexes, settings, () => buildIndex(settings));
}

function buildIndex(settings: SettingsInForce): SettingsIndex {
  const shards = new Map<
    string,
    ShardTargets & { targets: TargetSettings[] }
  >();
  const domainsByPool = new Map<string, string[]>();
  for (const target of settings.targets.values()) {
    const { pool, failureDomain } = target;
    const key = shardKey(pool, failureDomain);
    if (!shards.has(key)) {
      getOrCreate(domainsByPool, pool, () => []).push(failureDomain);
    }
    getOrCreate(shards, key, () => ({ key, pool, failureDomain, targets: [] }))
      .targets.push(target);
  }
  for (const { targets } of shards.values()) {
    targets.sort((a, b) => a.id < b.id ? -1 : 1);
  }
  return { shards, domainsByPool, policies: new Map() };
}

function getOrCreate<K, V>(
  map: { get(key: K): V | undefined; set(key: K, value: V): unknown },
  key: K,
  create: () => V,
): V {
  const existing = map.get(key);
  if (existing !== undefined) {
    return existing;
  }
  const created = create();
  map.set(key, created);
  return created;
}
