/** Plan of a deployment scaled to any number of instances and targets. */

import { readSettings } from "@chestnuthatch/settings/read_settings";
import { Deployment } from "@chestnuthatch/standins/work_kinds";
import {
  type DeploymentPlan,
  parseSettings,
  readDeploymentPlan,
} from "./deployment_plan.ts";

/** Number of instances and targets of a fleet. */
export interface FleetSize {
  readonly instances: number;
  readonly targets: number;
}

/** Limits that are never reached, so that they don't affect the costs. */
const NON_BINDING_LIMITS = {
  maxRequestsPerSecond: 100_000,
  maxOpenRequests: 100_000,
};

/**
 * Scales the Shamba Safi deployment. Its failure domains stay; instances and
 * targets are spread evenly over them.
 *
 * @param size Number of instances and targets.
 * @returns The plan of the scaled deployment.
 */
export function createScaledPlan(size: FleetSize): DeploymentPlan {
  const plan = readDeploymentPlan(Deployment.ShambaSafi);
  const domains = [...plan.settings.regionOfDomain.keys()];
  const settingsText = scaleSettings(plan.settingsText, {
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
    settings: parseSettings(settingsText),
  };
}

function scaleSettings(
  settingsText: string,
  scale: { domains: readonly string[]; targets: number },
): string {
  const parsed = readSettings(settingsText);
  if (parsed.isErr()) {
    throw new Error("the example settings are not valid");
  }
  const tree = parsed.value;
  const templates = interleaveServices(Object.values(tree.targets));
  const targets = Array.from({ length: scale.targets }, (_, index) => [
    `target-${index + 1}`,
    {
      ...templates[index % templates.length],
      failureDomain: scale.domains[index % scale.domains.length],
      address: `${targetAddress(index)}:8101`,
    },
  ]);
  // The settings are read as YAML, which JSON is a subset of.
  return JSON.stringify({
    ...tree,
    fleet: { ...tree.fleet, ...NON_BINDING_LIMITS },
    targets: Object.fromEntries(targets),
  });
}

/** Orders the templates so that one service follows every two engines. */
function interleaveServices<T extends { kvTokens: number }>(
  targets: readonly T[],
): T[] {
  const engines = targets.filter(({ kvTokens }) => kvTokens > 0);
  const services = targets.filter(({ kvTokens }) => kvTokens === 0);
  return services.flatMap((service, index) => [
    ...engines.slice(2 * index, 2 * index + 2),
    service,
  ]);
}

function targetAddress(index: number): string {
  const octets = 250;
  return `127.1.${Math.floor(index / octets) + 1}.${index % octets + 1}`;
}
