/** Which failure domains hold targets of a pool, nearest first. */

import type { SettingsInForce } from "@chestnuthatch/settings/settings_types";
import type { SelfSection } from "./blackboard.ts";
import { domainsOfPool } from "./settings_index.ts";

/**
 * Lists a pool's failure domains as one instance should ask them: its own
 * first, then those of its region, then the others.
 *
 * @param settings The settings in force.
 * @param self The asking instance.
 * @param pool Name of the pool.
 * @returns Names of failure domains, each once.
 */
export function domainsToAsk(
  settings: SettingsInForce,
  self: SelfSection,
  pool: string,
): string[] {
  const distance = (domain: string) => {
    if (domain === self.failureDomain) {
      return 0;
    }
    return settings.regionOfDomain.get(domain) === self.region ? 1 : 2;
  };
  return [...domainsOfPool(settings, pool)]
    .sort((a, b) => distance(a) - distance(b));
}
