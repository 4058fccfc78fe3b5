/** Resolves a checked settings tree into {@link SettingsInForce}. */

import type {
  PolicyScope,
  PoolSettings,
  SettingsInForce,
  TargetSettings,
  TierPolicy,
} from "./settings_types.ts";
import { POLICY_FIELD_NAMES } from "./policy_fields.ts";
import { levelValues } from "./policy_levels.ts";
import type { SettingsTree } from "./tree_schema.ts";

/**
 * Resolves a settings tree: indexes its entries by name and merges the levels
 * of its policies.
 *
 * @param tree The checked settings tree.
 * @param version Version of the tree in the platform's table.
 * @returns The resolved settings. `policyFor` throws a `RangeError` for an
 * unknown tier only; a region or workspace that the tree does not name gets
 * the values of the levels that do not name it.
 */
export function resolveSettings(
  tree: SettingsTree,
  version: number,
): SettingsInForce {
  const policies = new PolicyCache(tree);
  return {
    version,
    regionOfDomain: regionsByDomain(tree),
    pools: poolsByName(tree),
    targets: targetsById(tree),
    workspaces: new Set(Object.keys(tree.workspaces)),
    tiers: tiersByRank(tree),
    drainingInstances: new Set(tree.drainingInstances),
    timing: tree.fleet.timing,
    policyFor: (scope) => policies.policyFor(scope),
  };
}

/** Caches one resolved policy for each combination of known names. */
class PolicyCache {
  readonly #tree: SettingsTree;
  readonly #policies = new Map<string, TierPolicy>();

  constructor(tree: SettingsTree) {
    this.#tree = tree;
  }

  policyFor(scope: PolicyScope): TierPolicy {
    const key = `${scope.region}/${scope.workspace}/${scope.tier}`;
    const cached = this.#policies.get(key);
    if (cached !== undefined) return cached;
    const policy = resolvePolicy(this.#tree, scope);
    if (this.#isCacheable(scope)) this.#policies.set(key, policy);
    return policy;
  }

  /** Caches known names only, so that callers cannot grow the cache. */
  #isCacheable({ region, workspace }: PolicyScope): boolean {
    return Object.hasOwn(this.#tree.regions, region) &&
      Object.hasOwn(this.#tree.workspaces, workspace);
  }
}

function resolvePolicy(tree: SettingsTree, scope: PolicyScope): TierPolicy {
  if (!Object.hasOwn(tree.tiers, scope.tier)) {
    throw new RangeError(`unknown tier "${scope.tier}"`);
  }
  const { rank } = tree.tiers[scope.tier];
  const fields = POLICY_FIELD_NAMES.map((field) => [
    field,
    levelValues(tree, field, { scope }).at(-1)?.value,
  ]);
  return Object.freeze({
    tier: scope.tier,
    rank,
    ...Object.fromEntries(fields),
  }) as TierPolicy;
}

function regionsByDomain(tree: SettingsTree): Map<string, string> {
  return new Map(
    Object.entries(tree.regions).flatMap(([region, { failureDomains }]) =>
      failureDomains.map((domain) => [domain, region] as const)
    ),
  );
}

function poolsByName(tree: SettingsTree): Map<string, PoolSettings> {
  return new Map(
    Object.entries(tree.pools).map(([name, pool]) => [name, { name, ...pool }]),
  );
}

function targetsById(tree: SettingsTree): Map<string, TargetSettings> {
  return new Map(
    Object.entries(tree.targets).map(([id, target]) => [id, { id, ...target }]),
  );
}

function tiersByRank(tree: SettingsTree): string[] {
  return Object.entries(tree.tiers)
    .sort(([, left], [, right]) => left.rank - right.rank)
    .map(([name]) => name);
}
