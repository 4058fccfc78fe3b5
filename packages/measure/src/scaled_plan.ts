/** A deployment grown to other numbers of instances and targets. */

import { readSettings } from "@chestnuthatch/settings/read_settings";
import { Deployment } from "@chestnuthatch/standins/work_kinds";
import { type DeploymentPlan, planOf, settingsOf } from "./deployments.ts";

/** How large it is to be. */
export interface FleetSize {
  readonly instances: number;
  readonly targets: number;
}

/** Limits that do not bind, so that costs are those of the work. */
const UNBOUND = { maxRequestsPerSecond: 100_000, maxOpenRequests: 100_000 };

/**
 * Grows the Arusha deployment; its failure domains stay.
 *
 * @param size How large it is to be.
 * @returns Its plan, with targets and instances spread over the domains.
 */
export function scaledPlan(size: FleetSize): DeploymentPlan {
  const plan = planOf(Deployment.ShambaSafi);
  const domains = [...plan.settings.regionOfDomain.keys()];
  const settingsText = scaledSettings(plan.settingsText, {
    domains,
    targets: size.targets,
  });
  return {
    ...plan,
    instances: Array.from({ length: size.instances }, (_, index) => ({
      instanceId: `entry-${index + 1}`,
      failureDomain: domains[index % domains.length],
    })),
    settingsText,
    settings: settingsOf(settingsText),
  };
}

function scaledSettings(
  settingsText: string,
  to: { domains: readonly string[]; targets: number },
): string {
  const read = readSettings(settingsText);
  if (read.isErr()) {
    throw new Error("the example settings have faults");
  }
  const tree = read.value;
  const models = interleave(Object.values(tree.targets));
  const targets = Array.from({ length: to.targets }, (_, index) => [
    `target-${index + 1}`,
    {
      ...models[index % models.length],
      failureDomain: to.domains[index % to.domains.length],
      address: `${addressOf(index)}:8101`,
    },
  ]);
  // JSON is YAML, too.
  return JSON.stringify({
    ...tree,
    fleet: { ...tree.fleet, ...UNBOUND },
    targets: Object.fromEntries(targets),
  });
}

/** Puts one service after every two engines, as in the example. */
function interleave<T extends { kvTokens: number }>(
  targets: readonly T[],
): T[] {
  const engines = targets.filter(({ kvTokens }) => kvTokens > 0);
  const services = targets.filter(({ kvTokens }) => kvTokens === 0);
  return services.flatMap((service, index) => [
    ...engines.slice(2 * index, 2 * index + 2),
    service,
  ]);
}

function addressOf(index: number): string {
  const octets = 250;
  return `127.1.${Math.floor(index / octets) + 1}.${index % octets + 1}`;
}
