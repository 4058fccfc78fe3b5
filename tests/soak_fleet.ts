/**
 * The fleet of one soak seed: instances as processes, and stand-ins for targets
 * and the store behind relays.
 */

import { freePorts } from "@chestnuthatch/platform/free_ports";
import {
  CALLER_KEY,
  DEFAULT_LIMITS,
  DEFAULT_ROUTES,
  defaultConfiguration,
  DESK_POOL,
  ENGINE_POOL,
  type OperatorConfiguration,
  ROUTE_HOST,
  targetRow,
} from "@chestnuthatch/platform/standin_fleet";
import { StandinTarget } from "@chestnuthatch/platform/standin_target";
import { LinkRelay } from "./link_relay.ts";
import { SoakInstance, type TimeSpan } from "./soak_instance.ts";
import type { PlannedLoads, PlannedWorkspace } from "./soak_loads_plan.ts";
import type { ConfigurationChange, SoakPlan } from "./soak_plan.ts";
import { SoakStore } from "./soak_store.ts";
import { waitFor } from "./wait_for.ts";

/** A stand-in target, and the relay through which instances reach it. */
export interface SoakTarget {
  readonly target: StandinTarget;
  readonly pool: string;
  readonly relay: LinkRelay;
  /** Times at which a fault of the target or of its link was in effect. */
  readonly faultSpans: TimeSpan[];
  /** Name of the software version that the target runs. */
  readonly version: string;
  /** When its row was first written as leaving, or removed. */
  leavingAtMs?: number;
  /** Whether its version was rolled back and must not get more requests. */
  isRolledBack?: boolean;
}

/** The strictest values that versions of the configuration have set so far. */
export interface ConfiguredMinimums {
  /** Shortest idle timeout of kept connections. */
  idleTimeoutMs: number;
  /**
   * When an idle timeout below the default was first written; Infinity before
   * that. From then on it may be in force.
   */
  idleReducedAtMs: number;
  /** Smallest share of the default timeout that routes had. */
  timeoutShare: number;
}

/** Numbers of instances and targets, and write rates of the instances. */
export type FleetSize =
  & Pick<SoakPlan, "instances" | "engines" | "desks">
  & Partial<Pick<SoakPlan, "writeBytesPerS" | "loads">>;

/** API key that only some versions of the configuration accept. */
export const SECOND_KEY = "second-key-of-w";

/** Route that only some versions of the configuration have. */
export const SECOND_ROUTE = {
  ...DEFAULT_ROUTES[3]!,
  name: "second",
  prefix: "/second/",
};

/** Header by which a target announces that it is leaving. */
export const LEAVING_HEADER = "Server-Leaving";

/** Rate of a narrow link between callers and an instance. */
const NARROW_LINK_BYTES_PER_S = 2_000_000;

/** Maximum number of processes that are started concurrently. */
const START_CONCURRENCY = 8;

const FIRST_VERSION = "v1";
const SERVICE_TIME_MS = 5;

/** Makes a surge of one workspace exceed the slots of the engines. */
const LOADED_SERVICE_TIME_MS = 15;
const SLOTS = 4;
const PORT_COUNT = 4;
const DOMAINS = ["a", "b", "c"];

/**
 * Starts and closes the parts of a fleet, and writes their rows to the store.
 */
export class SoakFleet {
  readonly targets: SoakTarget[] = [];
  readonly instances: SoakInstance[] = [];
  /** Narrow links to the instances, in the order of `instances`. */
  readonly narrowLinks: LinkRelay[] = [];
  readonly minimums: ConfiguredMinimums = {
    idleTimeoutMs: DEFAULT_LIMITS.idleTimeoutMs,
    idleReducedAtMs: Infinity,
    timeoutShare: 1,
  };
  /** Times at which a fault of the store or of its link was in effect. */
  readonly storeFaultSpans: TimeSpan[] = [];
  /** Called with each version's number, before the store confirms it. */
  onVersion: (version: number) => void = () => {};
  #store?: SoakStore;
  #loads?: PlannedLoads;
  #version = 0;

  /** The stand-in store; it exists once the fleet has started. */
  get store(): SoakStore {
    return this.#store!;
  }

  /**
   * Starts all parts of the fleet.
   *
   * @param size Numbers of instances and targets. Without write rates, the
   * instances write without a limit.
   * @returns Settles once all instances are ready.
   */
  async start(size: FleetSize): Promise<void> {
    this.#loads = size.loads;
    this.#store = await SoakStore.start();
    for (let index = 0; index < size.engines + size.desks; index++) {
      const pool = index < size.engines ? ENGINE_POOL : DESK_POOL;
      await this.#addTarget(`target-${index}`, pool);
    }
    this.configure();
    const ports = await freePorts(PORT_COUNT);
    const storeAddress = this.store.address;
    for (let index = 0; index < size.instances; index++) {
      const writeBytesPerS = size.writeBytesPerS?.[index] ?? Infinity;
      const options = { index, ports, storeAddress, writeBytesPerS };
      const instance = new SoakInstance(options);
      this.instances.push(instance);
      const link = await LinkRelay.start(instance.callerAddress);
      link.limitInboundRate(NARROW_LINK_BYTES_PER_S);
      this.narrowLinks.push(link);
    }
    await startAll(this.instances, 0);
    await this.waitUntilReady();
  }

  /**
   * Waits until all instances report that they are ready.
   *
   * @returns Settles once they are.
   */
  async waitUntilReady(): Promise<void> {
    for (const instance of this.instances) {
      await waitFor(`${instance.id} to be ready`, () => instance.isReady());
    }
  }

  /**
   * Writes another version of the configuration.
   *
   * @param overrides Fields that differ from the default configuration.
   * @returns The number of the version.
   */
  configure(overrides: Partial<OperatorConfiguration> = {}): number {
    this.#version++;
    const content = { ...defaultConfiguration(this.#version), ...overrides };
    const routes = [...content.routes, ...markerRoutes(this.#version)];
    const tenants = [
      ...content.tenants as unknown[],
      ...(this.#loads?.workspaces ?? []).map(workspaceRow),
    ];
    void this.store.put("op", "config", { ...content, routes, tenants });
    this.onVersion(this.#version);
    return this.#version;
  }

  /**
   * Writes a version of the configuration with the given changes.
   *
   * @param change The changes.
   */
  applyChange(change: ConfigurationChange): void {
    this.configure(changedContent(change));
    this.#updateMinimums(change);
  }

  /**
   * Writes a target's row as leaving, if its pool has another staying target.
   *
   * @param target The target.
   */
  markLeaving(target: SoakTarget): void {
    if (this.mayLeave(target)) {
      target.leavingAtMs = performance.now();
      this.#writeTargetRow(target);
    }
  }

  /**
   * Checks that a target may be taken out of its pool.
   *
   * @param target The target.
   * @returns Whether its row is not leaving yet, and its pool has another
   * staying target.
   */
  mayLeave(target: SoakTarget): boolean {
    const others = this.targets.filter((other) =>
      other.pool === target.pool && other !== target && isStaying(other)
    );
    return others.length > 0 && target.leavingAtMs === undefined;
  }

  /**
   * Checks whether a pool can serve requests.
   *
   * @param pool Name of the pool.
   * @returns Whether it has a staying target whose version was not rolled back.
   */
  hasUsableTarget(pool: string): boolean {
    return this.targets.some((target) =>
      target.pool === pool && isStaying(target) &&
      target.isRolledBack !== true
    );
  }

  /**
   * Ends every process and stand-in.
   *
   * @returns Settles once all have ended.
   */
  async close(): Promise<void> {
    await Promise.all(this.instances.map((instance) => instance.close()));
    await Promise.all(this.narrowLinks.map((link) => link.stop()));
    for (const { target, relay } of this.targets) {
      await relay.stop();
      target.close();
    }
    await this.#store?.close();
  }

  /**
   * Starts targets of another version.
   *
   * @param pool Name of the pool.
   * @param version Name of the new targets' version.
   * @param count Number of targets; as many as the pool has if absent.
   * @returns The new targets, which are listed in the store.
   */
  async startVersion(
    pool: string,
    version: string,
    count = this.targets.filter((each) => each.pool === pool).length,
  ): Promise<SoakTarget[]> {
    const started: SoakTarget[] = [];
    for (let index = 0; index < count; index++) {
      started.push(
        await this.#addTarget(`${pool}-${version}-${index}`, pool, version),
      );
    }
    return started;
  }

  /**
   * Stops targets of a pool and removes their rows, without announcing it.
   *
   * @param pool Name of the pool.
   * @param staying Targets that keep running.
   */
  stopOtherTargets(pool: string, staying: readonly SoakTarget[]): void {
    for (const stopped of this.targets) {
      if (stopped.pool === pool && !staying.includes(stopped)) {
        const fromMs = performance.now();
        stopped.faultSpans.push({ fromMs, untilMs: Infinity });
        stopped.leavingAtMs ??= fromMs;
        void this.store.put("servers", stopped.target.id);
        stopped.target.close();
      }
    }
  }

  async #addTarget(
    id: string,
    pool: string,
    version = FIRST_VERSION,
  ): Promise<SoakTarget> {
    const serviceTimeMs = this.#loads === undefined
      ? SERVICE_TIME_MS
      : LOADED_SERVICE_TIME_MS;
    const target = new StandinTarget({ id, serviceTimeMs, version });
    await target.open("127.0.0.1");
    const relay = await LinkRelay.start(target.address);
    const added = { target, pool, relay, faultSpans: [], version };
    this.targets.push(added);
    this.#writeTargetRow(added);
    return added;
  }

  #updateMinimums({ idleTimeoutMs, timeoutShare }: ConfigurationChange): void {
    if (idleTimeoutMs < this.minimums.idleTimeoutMs) {
      this.minimums.idleTimeoutMs = idleTimeoutMs;
      const reducedAtMs = this.minimums.idleReducedAtMs;
      this.minimums.idleReducedAtMs = Math.min(reducedAtMs, performance.now());
    }
    this.minimums.timeoutShare = Math.min(
      this.minimums.timeoutShare,
      timeoutShare,
    );
  }

  #writeTargetRow(listed: SoakTarget): void {
    const { target, pool, relay, leavingAtMs, version } = listed;
    const index = this.targets.indexOf(listed);
    void this.store.put(
      "servers",
      target.id,
      targetRow({
        pool,
        address: relay.address,
        domain: DOMAINS[index % DOMAINS.length]!,
        slots: SLOTS,
        leaving: leavingAtMs !== undefined,
        version,
      }),
    );
  }
}

/**
 * Checks that a target has not announced that it is leaving.
 *
 * @param target The target.
 * @returns Whether neither its row nor its answers announce it.
 */
export function isStaying({ target, leavingAtMs }: SoakTarget): boolean {
  return leavingAtMs === undefined && !(LEAVING_HEADER in target.signalHeaders);
}

/**
 * Starts instances, a limited number of them concurrently.
 *
 * @param instances The instances.
 * @param clockSkewMs Offset of their processes' time of day.
 * @returns Settles once all listen.
 */
export async function startAll(
  instances: readonly SoakInstance[],
  clockSkewMs: number,
): Promise<void> {
  for (let from = 0; from < instances.length; from += START_CONCURRENCY) {
    await Promise.all(
      instances.slice(from, from + START_CONCURRENCY)
        .map((instance) => instance.start(clockSkewMs)),
    );
  }
}

/**
 * Creates routes that show which versions are in force: each version has its
 * own and those of all versions before it. They have no pool, so a request for
 * one gets 503 where its version or a later one is in force, and 404 elsewhere.
 */
function markerRoutes(version: number): Record<string, unknown>[] {
  return Array.from({ length: version }, (_, index) => ({
    name: `version-${index + 1}`,
    host: ROUTE_HOST,
    prefix: `/version-${index + 1}/`,
    kind: "safe",
    timeoutMs: 1000,
    public: true,
  }));
}

function workspaceRow(
  { key, allotmentPerS }: PlannedWorkspace,
): Record<string, unknown> {
  return {
    name: key,
    apiKeys: [key],
    ratePerS: allotmentPerS,
    burst: allotmentPerS,
  };
}

function changedContent(
  change: ConfigurationChange,
): Partial<OperatorConfiguration> {
  const { idleTimeoutMs, headerTimeoutMs, timeoutShare } = change;
  const routes = change.hasSecondRoute
    ? [...DEFAULT_ROUTES, SECOND_ROUTE]
    : DEFAULT_ROUTES;
  const apiKeys = change.hasSecondKey ? [CALLER_KEY, SECOND_KEY] : [CALLER_KEY];
  return {
    limits: { ...DEFAULT_LIMITS, idleTimeoutMs, headerTimeoutMs },
    routes: routes.map((route) => ({
      ...route,
      timeoutMs: route.timeoutMs * timeoutShare,
    })),
    tenants: [{ name: "w", apiKeys }],
  };
}
