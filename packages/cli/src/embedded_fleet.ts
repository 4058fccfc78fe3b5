/** Runs a fleet in one process: stand-ins, settings and entry instances. */

import { readFileSync } from "node:fs";
import { EntryInstance } from "@chestnuthatch/daemon/entry_instance";
import {
  type StartSettingsInput,
  validateStartSettings,
} from "@chestnuthatch/daemon/start_settings";
import {
  NO_VERSION,
  proposeChange,
} from "@chestnuthatch/settings/settings_change";
import type { SettingsInForce } from "@chestnuthatch/settings/settings_types";
import { readSettings } from "@chestnuthatch/settings/read_settings";
import { resolveSettings } from "@chestnuthatch/settings/resolve_settings";
import { describeFault } from "@chestnuthatch/settings/settings_fault";
import type { StandinTarget } from "@chestnuthatch/standins/deployments";
import { StandinFleet } from "@chestnuthatch/standins/standin_fleet";
import { ListChangeKind } from "@chestnuthatch/standins/platform_server";
import { ListedKind } from "@chestnuthatch/wire/platform_protocol";
import { LogLevel } from "@chestnuthatch/core/effects";
import { parseDocument } from "yaml";

/** Deployment, size and log output of an embedded fleet. */
export interface EmbeddedFleetOptions {
  /** Name of a folder under `examples`. */
  readonly deployment: string;
  /** Number of entry instances, spread evenly over the failure domains. */
  readonly instances: number;
  /** Lowest level that instances log; defaults to warnings. */
  readonly logLevel?: LogLevel;
  readonly logOutput?: NodeJS.WritableStream;
}

const PEER_SECRET = "embedded-fleet-shared-secret";
/**
 * Last part of the loopback address of the first entry instance in each failure
 * domain; lower numbers are left for targets.
 */
const FIRST_INSTANCE_HOST = 101;

/** Stand-ins and entry instances in this process, on loopback addresses. */
export class EmbeddedFleet {
  readonly standins: StandinFleet;
  /** Entry instances by id. */
  readonly instances = new Map<string, EntryInstance>();
  /** The settings that the fleet starts with. */
  readonly settings: SettingsInForce;
  readonly #options: EmbeddedFleetOptions;

  private constructor(
    standins: StandinFleet,
    settings: SettingsInForce,
    options: EmbeddedFleetOptions,
  ) {
    this.standins = standins;
    this.settings = settings;
    this.#options = options;
  }

  /**
   * Starts a fleet from a shipped example.
   *
   * @param options Deployment, size and log output.
   * @returns The fleet; its instances may not be ready yet.
   */
  static async start(options: EmbeddedFleetOptions): Promise<EmbeddedFleet> {
    const example = readExample(options.deployment);
    const exampleSettings = resolveContent(example, NO_VERSION + 1);
    const standins = await StandinFleet.start({
      targets: toStandinTargets(exampleSettings),
      platform: { listLagMs: 0 },
    });
    const content = withAddresses(example, standins);
    commitSettings(standins, content);
    const settings = resolveContent(content, NO_VERSION + 1);
    const fleet = new EmbeddedFleet(standins, settings, options);
    await fleet.#startInstances();
    return fleet;
  }

  /** Names of the failure domains, in the order of the settings. */
  get failureDomains(): string[] {
    return [...this.settings.regionOfDomain.keys()];
  }

  /** `host:port` of the interface for callers, for every instance. */
  get callerAddresses(): string[] {
    return [...this.instances.values()].map((instance) =>
      instance.callerAddress
    );
  }

  /** Whether settings are in force at every instance. */
  get isReady(): boolean {
    return [...this.instances.values()].every((instance) =>
      instance.core.board.settings.inForce !== undefined
    );
  }

  /** Stops the instances, then the stand-ins. */
  async stop(): Promise<void> {
    for (const instance of this.instances.values()) {
      instance.shutdown();
    }
    await Promise.all(
      [...this.instances.values()].map((instance) => instance.stop()),
    );
    await this.standins.stop();
  }

  async #startInstances(): Promise<void> {
    for (let index = 0; index < this.#options.instances; index++) {
      await this.#startInstance(index);
    }
  }

  async #startInstance(index: number): Promise<void> {
    const domains = this.failureDomains;
    const domainIndex = index % domains.length;
    const failureDomain = domains[domainIndex];
    const indexInDomain = Math.floor(index / domains.length);
    const instanceId = `${failureDomain}-entry-${indexInDomain + 1}`;
    const host = `127.0.${domainIndex + 1}.${
      FIRST_INSTANCE_HOST + indexInDomain
    }`;
    const instance = new EntryInstance(
      this.#startSettings({ instanceId, failureDomain, host }),
      { logOutput: this.#options.logOutput },
    );
    await instance.start();
    this.instances.set(instanceId, instance);
    this.standins.platform.changeList({
      kind: ListChangeKind.Put,
      atOnce: true,
      instance: {
        id: instanceId,
        kind: ListedKind.Entry,
        failureDomain,
        address: instance.peerAddress,
        leaving: false,
      },
    });
  }

  #startSettings(
    of: { instanceId: string; failureDomain: string; host: string },
  ) {
    const input: StartSettingsInput = {
      instanceId: of.instanceId,
      failureDomain: of.failureDomain,
      region: this.settings.regionOfDomain.get(of.failureDomain)!,
      callers: { host: of.host, port: 0 },
      peers: { host: of.host, port: 0, secret: PEER_SECRET },
      platform: { address: this.standins.platformAddress },
      log: { level: this.#options.logLevel ?? LogLevel.Warn },
    };
    return validateStartSettings(input)._unsafeUnwrap();
  }
}

/**
 * Reads the settings of a shipped example.
 *
 * @param deployment Name of a folder under `examples`.
 * @returns The settings as YAML.
 */
export function readExample(deployment: string): string {
  const folder = new URL("../../../examples/", import.meta.url);
  return readFileSync(new URL(`${deployment}/settings.yaml`, folder), "utf8");
}

function resolveContent(content: string, version: number): SettingsInForce {
  const tree = readSettings(content);
  if (tree.isErr()) {
    throw new Error(tree.error.map(describeFault).join("\n"));
  }
  return resolveSettings(tree.value, version);
}

function toStandinTargets(settings: SettingsInForce): StandinTarget[] {
  return [...settings.targets.values()].map((target) => {
    const pool = settings.pools.get(target.pool)!;
    return { ...target, kind: pool.kind, model: pool.model };
  });
}

function withAddresses(example: string, standins: StandinFleet): string {
  const document = parseDocument(example);
  for (const target of standins.targets) {
    document.setIn(["targets", target.id, "address"], target.address);
  }
  return String(document);
}

function commitSettings(standins: StandinFleet, content: string): void {
  const change = proposeChange({
    baseVersion: NO_VERSION,
    headRow: undefined,
    changeId: "embedded-fleet",
    author: "embedded fleet",
    note: "Shipped example",
    content,
  });
  if (change.isErr()) {
    throw new Error(JSON.stringify(change.error));
  }
  standins.platform.model.transact(change.value.request, 0);
}
