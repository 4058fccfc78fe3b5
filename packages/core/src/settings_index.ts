/** What is looked up in the settings all the time, indexed once a version. */

import type {
  SettingsInForce,
  TargetSettings,
  TierPolicy,
} from "@chestnuthatch/settings/settings_types";
import { shardKey } from "./blackboard.ts";

/** One pool's targets in one failure domain, as the settings have them. */
export interface ShardTargets {
  readonly key: string;
  readonly pool: string;
  readonly failureDomain: string;
  /** By target id. */
  readonly targets: readonly TargetSettings[];
}

interface SettingsIndex {
  readonly shards: ReadonlyMap<string, ShardTargets>;
  readonly domainsByPool: ReadonlyMap<string, readonly string[]>;
  readonly policies: Map<string, Map<string, TierPolicy[]>>;
}

const indexes = new WeakMap<SettingsInForce, SettingsIndex>();

/**
 * Lists all shards.
 *
 * @param settings The settings in force.
 * @returns Shards by key.
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
 * @returns Names, each once, in the order of the settings.
 */
export function domainsOfPool(
  settings: SettingsInForce,
  pool: string,
): readonly string[] {
  return indexOf(settings).domainsByPool.get(pool) ?? [];
}

/**
 * Resolves a policy by the rank of its tier.
 *
 * @param settings The settings in force.
 * @param scope Where; a rank below the lowest tier counts as the lowest.
 * @returns The policy.
 */
export function policyOfRank(
  settings: SettingsInForce,
  scope: { region: string; workspace: string; tierRank: number },
): TierPolicy {
  const { policies } = indexOf(settings);
  const byWorkspace = getOrMake(policies, scope.region, () => new Map());
  const byRank = getOrMake(byWorkspace, scope.workspace, () => {
    const { region, workspace } = scope;
    return settings.tiers.map((tier) =>
      settings.policyFor({ region, workspace, tier })
    );
  });
  return byRank[Math.min(scope.tierRank, byRank.length - 1)];
}

function indexOf(settings: SettingsInForce): SettingsIndex {
  return getOrMake(indexes, settings, () => makeIndex(settings));
}

function makeIndex(settings: SettingsInForce): SettingsIndex {
  const shards = new Map<
    string,
    ShardTargets & { targets: TargetSettings[] }
  >();
  const domainsByPool = new Map<string, string[]>();
  for (const target of settings.targets.values()) {
    const { pool, failureDomain } = target;
    const key = shardKey(pool, failureDomain);
    if (!shards.has(key)) {
      getOrMake(domainsByPool, pool, () => []).push(failureDomain);
    }
    getOrMake(shards, key, () => ({ key, pool, failureDomain, targets: [] }))
      .targets.push(target);
  }
  for (const { targets } of shards.values()) {
    targets.sort((a, b) => a.id < b.id ? -1 : 1);
  }
  return { shards, domainsByPool, policies: new Map() };
}

function getOrMake<K, V>(
  map: { get(key: K): V | undefined; set(key: K, value: V): unknown },
  key: K,
  make: () => V,
): V {
  const known = map.get(key);
  if (known !== undefined) {
    return known;
  }
  const made = make();
  map.set(key, made);
  return made;
}
