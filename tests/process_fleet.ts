/**
 * A test fleet in which the platform, every target and every entry instance is
 * a process of its own, connected through relays that a test can cut.
 */

import { randomUUID } from "node:crypto";
import {
  proposeChange,
  type ProposedChange,
} from "@chestnuthatch/settings/settings_change";
import { HEAD_KEY, readHead } from "@chestnuthatch/settings/settings_rows";
import { ListChangeKind } from "@chestnuthatch/standins/platform_server";
import type { TargetFault } from "@chestnuthatch/standins/target_faults";
import type { PlatformFault } from "@chestnuthatch/standins/platform_server";
import {
  ListedKind,
  type RowsAnswer,
  type TransactAnswer,
} from "@chestnuthatch/wire/platform_protocol";
import { Agent, setGlobalDispatcher } from "undici";
import { FleetInstance, type InstanceIdentity } from "./fleet_instance.ts";
import { getJsonResponse, postJson } from "./fleet_http.ts";
import {
  fleetSettings,
  type FleetTarget,
  type SettingsOverride,
} from "./fleet_settings.ts";
import { LinkRelay } from "./link_relay.ts";
import type { ServerProcess } from "./server_process.ts";
import { startPlatform, startTarget } from "./standin_processes.ts";
import { TargetCounts } from "./target_counts.ts";
import { waitFor } from "./wait_for.ts";

/** Instances, targets and settings of a process fleet. */
export interface ProcessFleetOptions {
  readonly instances: readonly InstanceIdentity[];
  readonly targets: readonly FleetTarget[];
  readonly settings?: readonly SettingsOverride[];
}

interface RunningTarget {
  readonly description: FleetTarget;
  readonly server: ServerProcess;
  /** Address of the target itself, not of its relay. */
  readonly address: string;
  readonly relay: LinkRelay;
}

const HTTP_OK = 200;

/**
 * Runs a test on a new fleet and ends every process afterwards. Prints the
 * logs of the instances if the test fails.
 *
 * @param options Instances, targets and settings of the fleet.
 * @param runTest The test.
 */
export async function withFleet(
  options: ProcessFleetOptions,
  runTest: (fleet: ProcessFleet) => Promise<void>,
): Promise<void> {
  const fleet = new ProcessFleet(options);
  try {
    await fleet.start();
    await runTest(fleet);
  } catch (error) {
    console.error(fleet.logs);
    throw error;
  } finally {
    await fleet.stop();
  }
}

/** Processes of one fleet, and the relays between them. */
export class ProcessFleet {
  /** Instances by id, in the order of the options. */
  readonly instances = new Map<string, FleetInstance>();
  readonly #options: ProcessFleetOptions;
  readonly #targets = new Map<string, RunningTarget>();
  #platform: ServerProcess | undefined;
  #platformAddress = "";

  /** @param options Instances, targets and settings of the fleet. */
  constructor(options: ProcessFleetOptions) {
    this.#options = options;
    // Opens a connection per call, so that none reuses one to a killed process.
    setGlobalDispatcher(new Agent({ pipelining: 0 }));
  }

  /** Starts every process and waits until all instances are ready. */
  async start(): Promise<void> {
    await Promise.all([
      this.#startPlatform(),
      ...this.#options.targets.map((target) => this.#startTarget(target)),
    ]);
    await this.changeSettings(this.#options.settings ?? []);
    await Promise.all(
      this.#options.instances.map((identity) => this.#startInstance(identity)),
    );
    for (const instance of this.instances.values()) {
      await this.#addToInstanceList(instance);
    }
    await this.waitUntilReady();
  }

  /** Ends every process and relay. */
  async stop(): Promise<void> {
    const servers = [
      this.#platform,
      ...[...this.#targets.values()].map(({ server }) => server),
    ];
    await Promise.all(servers.map((server) => server?.kill()));
    const relays = [...this.#targets.values()].map(({ relay }) => relay);
    await Promise.all(relays.map((relay) => relay.stop()));
    await Promise.all(
      [...this.instances.values()].map((instance) => instance.stop()),
    );
  }

  /** @returns Latest log lines of all instances. */
  get logs(): string {
    return [...this.instances.values()]
      .map(({ identity, log }) => `--- ${identity.id}\n${log}`)
      .join("\n");
  }

  /**
   * Returns an instance of the fleet.
   *
   * @param id Id of the instance.
   * @returns The instance.
   * @throws If the fleet has no such instance.
   */
  instance(id: string): FleetInstance {
    return getOrThrow(this.instances, id);
  }

  /**
   * Returns the relay of a target.
   *
   * @param id Id of the target.
   * @returns The relay through which all instances connect to the target.
   * @throws If the fleet has no such target.
   */
  targetRelay(id: string): LinkRelay {
    return getOrThrow(this.#targets, id).relay;
  }

  /**
   * Waits until instances are ready and list one another as eligible members.
   *
   * @param ids Ids of the instances; all of the fleet where absent.
   */
  async waitUntilReady(ids: readonly string[] = [...this.instances.keys()]) {
    await Promise.all(ids.map((id) => this.instance(id).waitUntilReady()));
    await Promise.all(ids.map((id) => this.instance(id).waitForMembers(ids)));
  }

  /** @returns Current counts of dispatches and runs at all targets. */
  readCounts(): Promise<TargetCounts> {
    return TargetCounts.read(
      new Map([...this.#targets].map(([id, { address }]) => [id, address])),
    );
  }

  /**
   * Waits until the targets' counts meet a condition.
   *
   * @param description Expected event, for the error message.
   * @param condition Returns whether the counts meet the condition.
   */
  async waitForCounts(
    description: string,
    condition: (counts: TargetCounts) => boolean,
  ): Promise<void> {
    await waitFor(description, async () => condition(await this.readCounts()));
  }

  /**
   * Sets a fault of a target.
   *
   * @param id Id of the target.
   * @param fault Fault and its state.
   */
  async setTargetFault(id: string, fault: TargetFault): Promise<void> {
    await postJson(
      getOrThrow(this.#targets, id).address,
      "/standin/faults",
      fault,
    );
  }

  /**
   * Sets a fault of the platform.
   *
   * @param fault Fault and its state.
   */
  async setPlatformFault(fault: PlatformFault): Promise<void> {
    await postJson(this.#platformAddress, "/standin/faults", fault);
  }

  /**
   * Commits settings as the next version.
   *
   * @param overrides Values that differ from the example settings.
   * @returns The committed version.
   * @throws If the platform does not commit the change.
   */
  async changeSettings(
    overrides: readonly SettingsOverride[],
  ): Promise<number> {
    const targets = [...this.#targets.values()].map((target) => ({
      ...target.description,
      address: target.relay.address,
    }));
    const change = await this.#propose(fleetSettings(targets, overrides));
    const answer = await postJson<TransactAnswer>(
      this.#platformAddress,
      "/table/transact",
      change.request,
    );
    if (!answer.committed) {
      throw new Error(`settings not committed: ${JSON.stringify(answer)}`);
    }
    return change.version;
  }

  /**
   * Checks whether the platform's table has a row.
   *
   * @param key Key of the row.
   * @returns Whether the row exists.
   */
  async hasRow(key: string): Promise<boolean> {
    return await this.#readRow(key) !== undefined;
  }

  /**
   * Waits until the platform's object store has an object.
   *
   * @param key Key of the object.
   */
  async waitForObject(key: string): Promise<void> {
    await waitFor(`object ${key}`, async () => {
      const path = `/objects/${encodeURIComponent(key)}`;
      const { statusCode } = await getJsonResponse(this.#platformAddress, path);
      return statusCode === HTTP_OK;
    });
  }

  async #startPlatform(): Promise<void> {
    const { server, address } = await startPlatform();
    this.#platform = server;
    this.#platformAddress = address;
  }

  async #startTarget(target: FleetTarget): Promise<void> {
    const { server, address } = await startTarget(target);
    const relay = await LinkRelay.start(address);
    this.#targets.set(target.id, {
      description: target,
      server,
      address,
      relay,
    });
  }

  async #startInstance(identity: InstanceIdentity): Promise<void> {
    const instance = await FleetInstance.create(
      identity,
      this.#platformAddress,
    );
    this.instances.set(identity.id, instance);
    await instance.start();
  }

  async #addToInstanceList(instance: FleetInstance): Promise<void> {
    const { id, failureDomain } = instance.identity;
    await postJson(this.#platformAddress, "/standin/instances", {
      kind: ListChangeKind.Put,
      atOnce: true,
      instance: {
        id,
        kind: ListedKind.Entry,
        failureDomain,
        address: instance.peerRelay.address,
        leaving: false,
      },
    });
  }

  async #propose(content: string): Promise<ProposedChange> {
    const headRow = await this.#readRow(HEAD_KEY);
    const baseVersion = headRow === undefined
      ? 0
      : readHead(headRow)._unsafeUnwrap().version;
    const change = proposeChange({
      baseVersion,
      headRow,
      changeId: randomUUID(),
      author: "process fleet",
      note: "Test",
      content,
    });
    if (change.isErr()) {
      throw new Error(JSON.stringify(change.error));
    }
    return change.value;
  }

  async #readRow(key: string) {
    const { rows } = await postJson<RowsAnswer>(
      this.#platformAddress,
      "/table/read",
      { keys: [key] },
    );
    return rows.find((row) => row.key === key);
  }
}

function getOrThrow<T>(byId: ReadonlyMap<string, T>, id: string): T {
  const item = byId.get(id);
  if (item === undefined) {
    throw new Error(`the fleet has no ${id}`);
  }
  return item;
}
