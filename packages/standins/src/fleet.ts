/** A platform and a set of targets, all on loopback in one process. */

import { ListedKind } from "@chestnuthatch/wire/platform_protocol";
import { TargetKind } from "@chestnuthatch/wire/shared_types";
import {
  DEFAULT_TRAITS,
  engineOptionsOf,
  serviceOptionsOf,
  type StandinTarget,
  type TargetTraits,
} from "./deployments.ts";
import { EngineServer } from "./engine_server.ts";
import type { NowMs } from "./http_host.ts";
import type { PlatformModelOptions } from "./platform_model.ts";
import { ListChangeKind, PlatformServer } from "./platform_server.ts";
import { ServiceServer } from "./service_server.ts";

/** What to start. */
export interface StandinFleetOptions {
  readonly targets: readonly StandinTarget[];
  readonly traits?: Partial<TargetTraits>;
  readonly platform?: Partial<PlatformModelOptions>;
  /** The clock; the process's own where absent. */
  readonly nowMs?: NowMs;
}

/** A target that runs. */
export interface RunningTarget extends StandinTarget {
  /** `host:port` of its HTTP interface. */
  readonly address: string;
}

/** Platform for want of another. */
export const DEFAULT_PLATFORM: PlatformModelOptions = {
  listLagMs: 2_000,
  weightLimit: { perSecond: 1, burst: 2 },
};

const PLATFORM_HOST = "127.0.0.1";

interface Place {
  readonly host: string;
  readonly traits: TargetTraits;
  readonly nowMs?: NowMs;
}

/** A platform with one engine or service for each target. */
export class StandinFleet {
  /** The platform; its list names every target. */
  readonly platform: PlatformServer;
  /** Engines by target id. */
  readonly engines = new Map<string, EngineServer>();
  /** Services by target id. */
  readonly services = new Map<string, ServiceServer>();
  readonly #targets = new Map<string, RunningTarget>();
  #platformAddress = "";

  private constructor(options: StandinFleetOptions) {
    this.platform = new PlatformServer({
      host: PLATFORM_HOST,
      port: 0,
      platform: { ...DEFAULT_PLATFORM, ...options.platform },
      nowMs: options.nowMs,
    });
  }

  /**
   * Starts a fleet. Targets of one failure domain share a loopback network:
   * 127.0.1.1, 127.0.1.2 and so on for the first.
   *
   * @param options What to start.
   * @returns The fleet, ready for use.
   */
  static async start(options: StandinFleetOptions): Promise<StandinFleet> {
    const fleet = new StandinFleet(options);
    const traits = { ...DEFAULT_TRAITS, ...options.traits };
    const hosts = hostsOf(options.targets);
    try {
      const { address } = await fleet.platform.start();
      fleet.#platformAddress = address;
      for (const [i, target] of options.targets.entries()) {
        const place = { host: hosts[i], traits, nowMs: options.nowMs };
        await fleet.#startTarget(target, place);
      }
    } catch (error) {
      await fleet.stop();
      throw error;
    }
    return fleet;
  }

  /** @returns `host:port` of the platform. */
  get platformAddress(): string {
    return this.#platformAddress;
  }

  /** @returns Every target, with its address. */
  get targets(): RunningTarget[] {
    return [...this.#targets.values()];
  }

  /**
   * Finds a target's address.
   *
   * @param targetId The target.
   * @returns Its `host:port`, or undefined for an unknown target.
   */
  addressOf(targetId: string): string | undefined {
    return this.#targets.get(targetId)?.address;
  }

  /** Stops everything. */
  async stop(): Promise<void> {
    const servers = [
      this.platform,
      ...this.engines.values(),
      ...this.services.values(),
    ];
    await Promise.all(servers.map((server) => server.stop()));
  }

  async #startTarget(target: StandinTarget, place: Place): Promise<void> {
    const server = target.kind === TargetKind.Engine
      ? this.#addEngine(target, place)
      : this.#addService(target, place);
    const { address } = await server.start();
    this.#targets.set(target.id, { ...target, address });
    this.platform.changeList({
      kind: ListChangeKind.Put,
      atOnce: true,
      instance: {
        id: target.id,
        kind: ListedKind.Target,
        failureDomain: target.failureDomain,
        address,
        leaving: false,
      },
    });
  }

  #addEngine(target: StandinTarget, place: Place): EngineServer {
    const { host, traits, nowMs } = place;
    const engine = engineOptionsOf(target, traits);
    const server = new EngineServer({ host, port: 0, engine, nowMs });
    this.engines.set(target.id, server);
    return server;
  }

  #addService(target: StandinTarget, place: Place): ServiceServer {
    const { host, traits, nowMs } = place;
    const service = serviceOptionsOf(target, traits);
    const server = new ServiceServer({ host, port: 0, service, nowMs });
    this.services.set(target.id, server);
    return server;
  }
}

function hostsOf(targets: readonly StandinTarget[]): string[] {
  const domains = [...new Set(targets.map((target) => target.failureDomain))];
  const used = new Map<string, number>();
  return targets.map(({ failureDomain }) => {
    const number = (used.get(failureDomain) ?? 0) + 1;
    used.set(failureDomain, number);
    return `127.0.${domains.indexOf(failureDomain) + 1}.${number}`;
  });
}
