/** Stand-ins of a platform and its targets on loopback, in one process. */

import { ListedKind } from "@chestnuthatch/wire/platform_protocol";
import { TargetKind } from "@chestnuthatch/wire/shared_types";
import {
  createEngineOptions,
  createServiceOptions,
  DEFAULT_TARGET_OPTIONS,
  type SharedTargetOptions,
  type StandinTarget,
} from "./deployments.ts";
import { EngineServer } from "./engine_server.ts";
import type { NowMs } from "./http_server.ts";
import type { PlatformModelOptions } from "./platform_model.ts";
import { ListChangeKind, PlatformServer } from "./platform_server.ts";
import { ServiceServer } from "./service_server.ts";

/** Targets to start, and options of the stand-ins. */
export interface StandinFleetOptions {
  readonly targets: readonly StandinTarget[];
  /** Options that differ from {@link DEFAULT_TARGET_OPTIONS}. */
  readonly targetOptions?: Partial<SharedTargetOptions>;
  /** Options that differ from {@link DEFAULT_PLATFORM_OPTIONS}. */
  readonly platform?: Partial<PlatformModelOptions>;
  /** The clock; defaults to the process's monotonic clock. */
  readonly nowMs?: NowMs;
}

/** A target whose stand-in is running. */
export interface RunningTarget extends StandinTarget {
  /** `host:port` of its HTTP interface. */
  readonly address: string;
}

/** Default options of a platform. */
export const DEFAULT_PLATFORM_OPTIONS: PlatformModelOptions = {
  listLagMs: 2_000,
  weightLimit: { ratePerSecond: 1, burst: 2 },
};

const PLATFORM_HOST = "127.0.0.1";

interface TargetStartOptions {
  readonly host: string;
  readonly targetOptions: SharedTargetOptions;
  readonly nowMs?: NowMs;
}

/** A platform stand-in, and one engine or service stand-in per target. */
export class StandinFleet {
  /** The platform; its instance list contains every target. */
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
      platform: { ...DEFAULT_PLATFORM_OPTIONS, ...options.platform },
      nowMs: options.nowMs,
    });
  }

  /**
   * Starts a fleet. Targets of one failure domain share a loopback subnet:
   * 127.0.1.1, 127.0.1.2 and so on for the first failure domain.
   *
   * @param options Targets to start, and options of the stand-ins.
   * @returns The fleet; every stand-in accepts connections.
   */
  static async start(options: StandinFleetOptions): Promise<StandinFleet> {
    const fleet = new StandinFleet(options);
    const targetOptions = {
      ...DEFAULT_TARGET_OPTIONS,
      ...options.targetOptions,
    };
    const hosts = assignHosts(options.targets);
    try {
      const { address } = await fleet.platform.start();
      fleet.#platformAddress = address;
      for (const [i, target] of options.targets.entries()) {
        const startOptions = {
          host: hosts[i],
          targetOptions,
          nowMs: options.nowMs,
        };
        await fleet.#startTarget(target, startOptions);
      }
    } catch (error) {
      await fleet.stop();
      throw error;
    }
    return fleet;
  }

  /** @returns `host:port` of the platform's HTTP interface. */
  get platformAddress(): string {
    return this.#platformAddress;
  }

  /** @returns The running targets with their addresses. */
  get targets(): RunningTarget[] {
    return [...this.#targets.values()];
  }

  /**
   * Finds a target's address.
   *
   * @param targetId The target.
   * @returns Its `host:port`, or undefined for an unknown target.
   */
  findAddress(targetId: string): string | undefined {
    return this.#targets.get(targetId)?.address;
  }

  /** Stops the platform and every target, closing their connections. */
  async stop(): Promise<void> {
    const servers = [
      this.platform,
      ...this.engines.values(),
      ...this.services.values(),
    ];
    await Promise.all(servers.map((server) => server.stop()));
  }

  async #startTarget(
    target: StandinTarget,
    startOptions: TargetStartOptions,
  ): Promise<void> {
    const server = target.kind === TargetKind.Engine
      ? this.#addEngine(target, startOptions)
      : this.#addService(target, startOptions);
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

  #addEngine(
    target: StandinTarget,
    startOptions: TargetStartOptions,
  ): EngineServer {
    const { host, targetOptions, nowMs } = startOptions;
    const engine = createEngineOptions(target, targetOptions);
    const server = new EngineServer({ host, port: 0, engine, nowMs });
    this.engines.set(target.id, server);
    return server;
  }

  #addService(
    target: StandinTarget,
    startOptions: TargetStartOptions,
  ): ServiceServer {
    const { host, targetOptions, nowMs } = startOptions;
    const service = createServiceOptions(target, targetOptions);
    const server = new ServiceServer({ host, port: 0, service, nowMs });
    this.services.set(target.id, server);
    return server;
  }
}

function assignHosts(targets: readonly StandinTarget[]): string[] {
  const domains = [...new Set(targets.map((target) => target.failureDomain))];
  const lastNumbers = new Map<string, number>();
  return targets.map(({ failureDomain }) => {
    const hostNumber = (lastNumbers.get(failureDomain) ?? 0) + 1;
    lastNumbers.set(failureDomain, hostNumber);
    return `127.0.${domains.indexOf(failureDomain) + 1}.${hostNumber}`;
  });
}
