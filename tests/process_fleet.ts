/**
 * A fleet with every part as a process of its own: the platform, targets and
 * entry instances, joined by relays that a test can cut.
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
import { FleetInstance, type InstancePlace } from "./fleet_instance.ts";
import { getReply, postJson } from "./fleet_http.ts";
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

/** What a fleet is made of. */
export interface ProcessFleetOptions {
  readonly instances: readonly InstancePlace[];
  readonly targets: readonly FleetTarget[];
  readonly settings?: readonly SettingsOverride[];
}

interface Target {
  readonly described: FleetTarget;
  readonly server: ServerProcess;
  /** Its own address, past the relay. */
  readonly address: string;
  readonly relay: LinkRelay;
}

const HTTP_OK = 200;

/**
 * Runs a test on a fleet of its own, and ends every process afterwards.
 *
 * @param options What the fleet is made of.
 * @param body The test.
 */
export async function withFleet(
  options: ProcessFleetOptions,
  body: (fleet: ProcessFleet) => Promise<void>,
): Promise<void> {
  const fleet = new ProcessFleet(options);
  try {
    await fleet.start();
    await body(fleet);
  } catch (error) {
    console.error(fleet.logs);
    throw error;
  } finally {
    await fleet.stop();
  }
}

/** Processes of one fleet, and the links between them. */
export class ProcessFleet {
  readonly instances = new Map<string, FleetInstance>();
  readonly #options: ProcessFleetOptions;
  readonly #targets = new Map<string, Target>();
  #platform: ServerProcess | undefined;
  #platformAddress = "";

  /** @param options What the fleet is made of. */
  constructor(options: ProcessFleetOptions) {
    this.#options = options;
    // A connection of its own for each call: none is found broken by a death.
    setGlobalDispatcher(new Agent({ pipelining: 0 }));
  }

  /** Starts every part and waits until all instances are ready. */
  async start(): Promise<void> {
    await Promise.all([
      this.#startPlatform(),
      ...this.#options.targets.map((target) => this.#startTarget(target)),
    ]);
    await this.changeSettings(this.#options.settings ?? []);
    await Promise.all(
      this.#options.instances.map((place) => this.#startInstance(place)),
    );
    for (const instance of this.instances.values()) {
      await this.#list(instance);
    }
    await this.ready();
  }

  /** Ends every part. */
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

  /** Latest log lines of all instances. */
  get logs(): string {
    return [...this.instances.values()]
      .map(({ place, log }) => `--- ${place.id}\n${log}`)
      .join("\n");
  }

  /**
   * Finds an instance.
   *
   * @param id Its id.
   * @returns The instance.
   */
  instance(id: string): FleetInstance {
    return found(this.instances, id);
  }

  /**
   * Finds the relay before a target.
   *
   * @param id The target.
   * @returns The relay that every instance goes through.
   */
  targetRelay(id: string): LinkRelay {
    return found(this.#targets, id).relay;
  }

  /**
   * Waits until instances are ready and see one another.
   *
   * @param ids The instances; all of the fleet where absent.
   */
  async ready(ids: readonly string[] = [...this.instances.keys()]) {
    await Promise.all(ids.map((id) => this.instance(id).ready()));
    await Promise.all(ids.map((id) => this.instance(id).sees(ids)));
  }

  /** @returns What the targets count now. */
  counts(): Promise<TargetCounts> {
    return TargetCounts.read(
      new Map([...this.#targets].map(([id, { address }]) => [id, address])),
    );
  }

  /**
   * Waits until the targets' counts are as wanted.
   *
   * @param what What is waited for.
   * @param holds Tells whether they are.
   */
  async countsUntil(
    what: string,
    holds: (counts: TargetCounts) => boolean,
  ): Promise<void> {
    await waitFor(what, async () => holds(await this.counts()));
  }

  /**
   * Switches a fault of a target.
   *
   * @param id The target.
   * @param fault The fault.
   */
  async setTargetFault(id: string, fault: TargetFault): Promise<void> {
    await postJson(found(this.#targets, id).address, "/standin/faults", fault);
  }

  /**
   * Switches a fault of the platform.
   *
   * @param fault The fault.
   */
  async setPlatformFault(fault: PlatformFault): Promise<void> {
    await postJson(this.#platformAddress, "/standin/faults", fault);
  }

  /**
   * Commits settings as the next version.
   *
   * @param overrides What differs from the example.
   * @returns The version.
   */
  async changeSettings(
    overrides: readonly SettingsOverride[],
  ): Promise<number> {
    const targets = [...this.#targets.values()].map((target) => ({
      ...target.described,
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
   * Tells whether the table has a row.
   *
   * @param key Its key.
   * @returns Whether it is there.
   */
  async hasRow(key: string): Promise<boolean> {
    return await this.#row(key) !== undefined;
  }

  /**
   * Waits until the object store has an object.
   *
   * @param key Its key.
   */
  async objectKept(key: string): Promise<void> {
    await waitFor(`object ${key}`, async () => {
      const path = `/objects/${encodeURIComponent(key)}`;
      const { statusCode } = await getReply(this.#platformAddress, path);
      return statusCode === HTTP_OK;
    });
  }

  async #startPlatform(): Promise<void> {
    const { server, address } = await startPlatform();
    this.#platform = server;
    this.#platformAddress = address;
  }

  async #startTarget(described: FleetTarget): Promise<void> {
    const { server, address } = await startTarget(described);
    const relay = await LinkRelay.start(address);
    this.#targets.set(described.id, { described, server, address, relay });
  }

  async #startInstance(place: InstancePlace): Promise<void> {
    const instance = await FleetInstance.create(place, this.#platformAddress);
    this.instances.set(place.id, instance);
    await instance.start();
  }

  async #list(instance: FleetInstance): Promise<void> {
    const { id, failureDomain } = instance.place;
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
    const headRow = await this.#row(HEAD_KEY);
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

  async #row(key: string) {
    const { rows } = await postJson<RowsAnswer>(
      this.#platformAddress,
      "/table/read",
      { keys: [key] },
    );
    return rows.find((row) => row.key === key);
  }
}

function found<T>(byId: ReadonlyMap<string, T>, id: string): T {
  const one = byId.get(id);
  if (one === undefined) {
    throw new Error(`the fleet has no ${id}`);
  }
  return one;
}
