/** Plans of the two example deployments: instances, links and settings. */

import { readFileSync } from "node:fs";
import { resolveSettings } from "@chestnuthatch/settings/resolve_settings";
import { readSettings } from "@chestnuthatch/settings/read_settings";
import { describeFault } from "@chestnuthatch/settings/settings_fault";
import type { SettingsInForce } from "@chestnuthatch/settings/settings_types";
import { Deployment } from "@chestnuthatch/standins/work_kinds";
import type { InstanceLocation } from "./entry_instance.ts";
import type { LinkDelays } from "./simulated_network.ts";

/** Instances, link delays and settings of a deployment to simulate. */
export interface DeploymentPlan {
  readonly deployment: Deployment;
  readonly region: string;
  readonly instances: readonly InstanceLocation[];
  readonly delays: LinkDelays;
  /** Text of the settings in YAML. */
  readonly settingsText: string;
  readonly settings: SettingsInForce;
}

/** Region and failure domains of a deployment. */
interface DeploymentTopology {
  readonly region: string;
  /** Failure domain of each entry instance. */
  readonly instanceDomains: readonly string[];
  /** One-way delay between two failure domains. */
  readonly betweenDomainsDelayMs: number;
}

const WITHIN_DOMAIN_DELAY_MS = 0.2;
const CALLER_DELAY_MS = 1;

const TOPOLOGIES: Readonly<Record<Deployment, DeploymentTopology>> = {
  [Deployment.ShambaSafi]: {
    region: "arusha",
    instanceDomains: [
      "njiro-hall",
      "njiro-hall",
      "sakina-hall",
      "sakina-hall",
      "usa-river",
      "usa-river",
      "tengeru",
      "tengeru",
    ],
    betweenDomainsDelayMs: 1,
  },
  [Deployment.SunuRegistrs]: {
    region: "riga",
    instanceDomains: [
      "riga-a",
      "riga-a",
      "riga-a",
      "riga-b",
      "riga-b",
      "riga-c",
      "riga-c",
    ],
    betweenDomainsDelayMs: 1.5,
  },
};

/**
 * Creates a deployment's plan from its example settings.
 *
 * @param deployment The deployment.
 * @returns The plan with the settings read from the examples folder.
 */
export function readDeploymentPlan(deployment: Deployment): DeploymentPlan {
  const { region, instanceDomains, betweenDomainsDelayMs } =
    TOPOLOGIES[deployment];
  const settingsUrl = new URL(
    `../../../examples/${deployment}/settings.yaml`,
    import.meta.url,
  );
  const settingsText = readFileSync(settingsUrl, "utf8");
  return {
    deployment,
    region,
    instances: instanceDomains.map((failureDomain, index) => ({
      instanceId: `entry-${index + 1}`,
      failureDomain,
    })),
    delays: {
      withinDomainDelayMs: WITHIN_DOMAIN_DELAY_MS,
      betweenDomainsDelayMs,
      callerDelayMs: CALLER_DELAY_MS,
    },
    settingsText,
    settings: parseSettings(settingsText),
  };
}

/**
 * Parses a settings text.
 *
 * @param settingsText Settings in YAML.
 * @returns The settings in force as version 1.
 * @throws {Error} If the text is not valid settings.
 */
export function parseSettings(settingsText: string): SettingsInForce {
  const tree = readSettings(settingsText);
  if (tree.isErr()) {
    throw new Error(tree.error.map(describeFault).join("\n"));
  }
  return resolveSettings(tree.value, 1);
}
