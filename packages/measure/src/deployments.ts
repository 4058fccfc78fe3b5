/** The two deployments of the brief: domains, links, instances, settings. */

import { readFileSync } from "node:fs";
import { resolveSettings } from "@chestnuthatch/settings/resolve_settings";
import { readSettings } from "@chestnuthatch/settings/read_settings";
import { describeFault } from "@chestnuthatch/settings/settings_fault";
import type { SettingsInForce } from "@chestnuthatch/settings/settings_types";
import { Deployment } from "@chestnuthatch/standins/work_kinds";
import type { InstancePlace } from "./entry_instance.ts";
import type { LinkDelays } from "./network.ts";

/** What the harness must know of a deployment. */
export interface DeploymentPlan {
  readonly deployment: Deployment;
  readonly region: string;
  readonly instances: readonly InstancePlace[];
  readonly delays: LinkDelays;
  readonly settingsText: string;
  readonly settings: SettingsInForce;
}

interface DeploymentFacts {
  readonly region: string;
  /** Failure domain of each entry instance. */
  readonly instanceDomains: readonly string[];
  readonly betweenDomainsMs: number;
}

const WITHIN_DOMAIN_MS = 0.2;
const TO_CALLERS_MS = 1;

const FACTS: Readonly<Record<Deployment, DeploymentFacts>> = {
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
    betweenDomainsMs: 1,
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
    betweenDomainsMs: 1.5,
  },
};

/**
 * Reads a deployment's example settings.
 *
 * @param deployment The deployment.
 * @returns The plan of its world.
 */
export function planOf(deployment: Deployment): DeploymentPlan {
  const { region, instanceDomains, betweenDomainsMs } = FACTS[deployment];
  const file = new URL(
    `../../../examples/${deployment}/settings.yaml`,
    import.meta.url,
  );
  const settingsText = readFileSync(file, "utf8");
  return {
    deployment,
    region,
    instances: instanceDomains.map((failureDomain, index) => ({
      instanceId: `entry-${index + 1}`,
      failureDomain,
    })),
    delays: {
      withinDomainMs: WITHIN_DOMAIN_MS,
      betweenDomainsMs,
      toCallersMs: TO_CALLERS_MS,
    },
    settingsText,
    settings: settingsOf(settingsText),
  };
}

/**
 * Reads a settings text.
 *
 * @param settingsText YAML without faults.
 * @returns The settings as version 1.
 */
export function settingsOf(settingsText: string): SettingsInForce {
  const tree = readSettings(settingsText);
  if (tree.isErr()) {
    throw new Error(tree.error.map(describeFault).join("\n"));
  }
  return resolveSettings(tree.value, 1);
}
