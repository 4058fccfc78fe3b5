/** The failure domains that have targets of a pool, sorted by distance. */

import type { SettingsInForce } from "@chestnuthatch/settings/settings_types";
import type { SelfSection } from "./blackboard.ts";
import { domainsOfPool } from "./settings_index.ts";

/**
 * Lists the failure domains of a pool in the order in which an instance asks
 * them: its own domain first, then those of its region, then all others.
 *
 * @param settings The settings in force.
 * @param self The instance that asks.
 * @param pool Name of the pool.
 * @returns Names of the failure domains, each once.
 */
export function domainsToAsk(
  settings: SettingsInForce,
  self: SelfSection,
  pool: string,
): string[] {
  const distanceOf = (domain: string) => {
    if (domain === self.failureDomain) {
      return 0;
    }
    return settings.regionOfDomain.get(domain) === self.region ? 1 : 2;
  };
  return [...domainsOfPool(settings, pool)]
    .sort((a, b) => distanceOf(a) - distanceOf(b));
}
