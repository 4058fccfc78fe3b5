/** The parts of one soak: instances as processes, and stand-ins behind relays. */

import { freePorts } from "@chestnuthatch/platform/free_ports";
import {
  configurationOf,
  DESK_POOL,
  ENGINE_POOL,
  targetRow,
} from "@chestnuthatch/platform/standin_fleet";
import { StandinStore } from "@chestnuthatch/platform/standin_store";
import { StandinTarget } from "@chestnuthatch/platform/standin_target";
import { LinkRelay } from "./link_relay.ts";
import { SoakInstance } from "./soak_instance.ts";
import type { SoakPlan } from "./soak_plan.ts";
import { waitFor } from "./wait_for.ts";

/** A target behind its relay. */
export interface SoakTarget {
  readonly target: StandinTarget;
  readonly pool: string;
  readonly relay: LinkRelay;
  /** When the list said that it is leaving. */
  leavingAtMs?: number;
}

const PACE_MS = 5;
const SLOTS = 4;
const PORTS = 4;
const DOMAINS = ["a", "b", "c"];

/** Starts all parts, and ends them. */
export class SoakFleet {
  readonly store = new StandinStore();
  readonly targets: SoakTarget[] = [];
  readonly instances: SoakInstance[] = [];
  #storeRelay?: LinkRelay;
  #version = 0;

  /** The link between the instances and the store. */
  get storeRelay(): LinkRelay {
    return this.#storeRelay!;
  }

  /**
   * @param size What the fleet is made of.
   * @returns Once all instances are ready.
   */
  async start(
    size: Pick<SoakPlan, "instances" | "engines" | "desks">,
  ): Promise<void> {
    await this.store.open("127.0.0.1");
    this.#storeRelay = await LinkRelay.start(this.store.address);
    for (let index = 0; index < size.engines + size.desks; index++) {
      const pool = index < size.engines ? ENGINE_POOL : DESK_POOL;
      await this.#addTarget(`target-${index}`, pool);
    }
    this.configure();
    const ports = await freePorts(PORTS);
    const storeAddress = this.storeRelay.address;
    for (let index = 0; index < size.instances; index++) {
      this.instances.push(new SoakInstance({ index, ports, storeAddress }));
    }
    await Promise.all(this.instances.map((instance) => instance.start(0)));
    await this.allReady();
  }

  /** @returns Once all instances say that they are ready. */
  async allReady(): Promise<void> {
    for (const instance of this.instances) {
      await waitFor(`${instance.id} to be ready`, () => instance.isReady());
    }
  }

  /**
   * Writes another version of the configuration.
   *
   * @param over What differs from the usual one, in the operator's words.
   * @returns The number of the version.
   */
  configure(over: Readonly<Record<string, unknown>> = {}): number {
    this.#version++;
    const usual = configurationOf(this.#version);
    this.store.put("op", "config", { ...usual, ...over });
    return this.#version;
  }

  /**
   * Says on the list that a target is leaving, if its pool has another.
   *
   * @param target The target.
   */
  retire(target: SoakTarget): void {
    const others = this.targets.filter((other) =>
      other.pool === target.pool && other !== target &&
      other.leavingAtMs === undefined
    );
    if (others.length > 0 && target.leavingAtMs === undefined) {
      target.leavingAtMs = performance.now();
      this.#list(target);
    }
  }

  /** @returns Once every process and stand-in has ended. */
  async end(): Promise<void> {
    await Promise.all(this.instances.map((instance) => instance.end()));
    for (const { target, relay } of this.targets) {
      await relay.stop();
      target.close();
    }
    await this.#storeRelay?.stop();
    this.store.close();
  }

  async #addTarget(id: string, pool: string): Promise<void> {
    const target = new StandinTarget({ id, paceMs: PACE_MS });
    await target.open("127.0.0.1");
    const relay = await LinkRelay.start(target.address);
    const added = { target, pool, relay };
    this.targets.push(added);
    this.#list(added);
  }

  #list(listed: SoakTarget): void {
    const { target, pool, relay, leavingAtMs } = listed;
    const index = this.targets.indexOf(listed);
    this.store.put(
      "servers",
      target.id,
      targetRow({
        pool,
        address: relay.address,
        domain: DOMAINS[index % DOMAINS.length]!,
        slots: SLOTS,
        leaving: leavingAtMs !== undefined,
      }),
    );
  }
}
