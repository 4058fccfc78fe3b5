/**
 * CPU time that the coordinator of `@chestnuthatch/routing` takes for each
 * request, by the size of the fleet, the number of targets and their load. One
 * coordinator decides for the whole fleet, so this limits the size of a fleet.
 */

import { performance } from "node:perf_hooks";
import {
  type RandomSource,
  seededRandomSource,
} from "@chestnuthatch/core/random_source";
import { Coordinator } from "@chestnuthatch/routing/coordinator";
import {
  type FleetConfiguration,
  RequestKind,
} from "@chestnuthatch/routing/fleet_configuration";
import { ConfigurationAge } from "@chestnuthatch/routing/configuration_age";
import { UnreachableDomains } from "@chestnuthatch/routing/unreachable_domains";
import { MemberView } from "@chestnuthatch/routing/member_view";
import { Rollouts } from "@chestnuthatch/routing/rollouts";
import { RelayedTargets } from "@chestnuthatch/routing/relayed_targets";
import { RouteTable } from "@chestnuthatch/routing/route_table";
import type { RoutingBoard } from "@chestnuthatch/routing/routing_board";
import { StreamOrigins } from "@chestnuthatch/routing/stream_origins";
import { VersionCoverage } from "@chestnuthatch/routing/version_coverage";
import { TargetDirectory } from "@chestnuthatch/routing/target_directory";
import { TargetHealth } from "@chestnuthatch/routing/target_health";
import { TargetLoads } from "@chestnuthatch/routing/target_loads";
import { CrashSuspects } from "@chestnuthatch/routing/crash_suspects";
import { TargetRateLimits } from "@chestnuthatch/routing/target_rate_limits";
import { LatencyModels } from "@chestnuthatch/routing/latency_models";
import { TargetBackoffs } from "@chestnuthatch/routing/target_backoffs";
import {
  AskCause,
  type AskDecision,
  type RunningWork,
  type WorkAsk,
} from "@chestnuthatch/routing/work_ask";
import { EventQueue } from "./event_queue.ts";
import { formatTable } from "./text_table.ts";

/** Size of a fleet and the load on its targets. */
interface PlacementLoad {
  readonly instances: number;
  readonly targets: number;
  /** Ratio of the request rate to capacity; above 1, requests queue up. */
  readonly load: number;
}

/** CPU time that placement takes under one load. */
export interface PlacementCosts extends PlacementLoad {
  readonly requestsPerSecond: number;
  /** Share (0 to 1) of the requests that the coordinator refused. */
  readonly refusedShare: number;
  /** Time in the coordinator per request, in real milliseconds. */
  readonly coreMsPerRequest: number;
  /** Share (0 to 1) of one CPU core that the coordinator uses. */
  readonly coreShare: number;
}

const PLACEMENT_LOADS: readonly PlacementLoad[] = [
  { instances: 8, targets: 10, load: 0.6 },
  { instances: 8, targets: 10, load: 1.3 },
  { instances: 90, targets: 42, load: 0.6 },
  { instances: 90, targets: 42, load: 1.3 },
  { instances: 90, targets: 168, load: 0.6 },
  { instances: 90, targets: 168, load: 1.3 },
  { instances: 300, targets: 2500, load: 0.15 },
];

const SLOTS_PER_TARGET = 8;
/** Mean time from the placement of a request to its end. */
const MEAN_SERVICE_TIME_MS = 700;
/** Time from the placement of a request to its first event. */
const FIRST_EVENT_DELAY_MS = 120;
const TICK_INTERVAL_MS = 20;
const REPORT_INTERVAL_MS = 500;
const WARM_UP_DURATION_MS = 4000;
const MEASURED_DURATION_MS = 8000;
const MS_PER_SECOND = 1000;
const RANK_COUNT = 3;
const SEED = 1;

/**
 * Measures the coordinator alone, on a simulated clock.
 *
 * @param print Prints a line of the report.
 * @returns CPU time under each load.
 */
export function measurePlacement(
  print: (line: string) => void,
): readonly PlacementCosts[] {
  const costs = PLACEMENT_LOADS.map((load) =>
    new PlacementSimulation(load).run()
  );
  const rows = costs.map((cost) => ({
    "instances": cost.instances,
    "targets": cost.targets,
    "load": cost.load,
    "requests/s": Math.round(cost.requestsPerSecond),
    "refused": cost.refusedShare.toFixed(3),
    "core ms/request": cost.coreMsPerRequest.toFixed(3),
    "core share": cost.coreShare.toFixed(3),
  }));
  print(`${formatTable(rows).join("\n")}\n`);
  return costs;
}

/** Simulation of one load on a coordinator. */
class PlacementSimulation {
  readonly #load: PlacementLoad;
  readonly #queue = new EventQueue();
  readonly #random: RandomSource = seededRandomSource(SEED);
  readonly #coordinator: Coordinator;
  readonly #runningByAskId = new Map<
    string,
    RunningWork & { holderId: string }
  >();
  readonly #waitingByAskId = new Map<string, WorkAsk>();
  #coreMs = 0;
  #askCount = 0;
  #refusedCount = 0;

  constructor(load: PlacementLoad) {
    this.#load = load;
    this.#coordinator = new Coordinator(createBoard(load), {
      retryBudget: { ratio: 0.2, slack: 100, windowS: 10 },
      allotmentTolerance: { windowMs: 8000, overage: 0.1, slack: 1000 },
    });
  }

  run(): PlacementCosts {
    this.#scheduleArrival();
    this.#scheduleTick();
    for (let index = 0; index < this.#load.instances; index++) {
      this.#scheduleReport(
        `i${index}`,
        REPORT_INTERVAL_MS * this.#random.next(),
      );
    }
    this.#queue.runUntil(WARM_UP_DURATION_MS);
    this.#coreMs = 0;
    this.#askCount = 0;
    this.#refusedCount = 0;
    this.#queue.runUntil(WARM_UP_DURATION_MS + MEASURED_DURATION_MS);
    return {
      ...this.#load,
      requestsPerSecond: this.#askCount * MS_PER_SECOND / MEASURED_DURATION_MS,
      refusedShare: this.#refusedCount / this.#askCount,
      coreMsPerRequest: this.#coreMs / this.#askCount,
      coreShare: this.#coreMs / MEASURED_DURATION_MS,
    };
  }

  #scheduleArrival(): void {
    const { targets, load } = this.#load;
    const meanGapMs = MEAN_SERVICE_TIME_MS /
      (targets * SLOTS_PER_TARGET * load);
    const gapMs = -Math.log(1 - this.#random.next()) * meanGapMs;
    this.#queue.after(gapMs, () => {
      this.#submitAsk();
      this.#scheduleArrival();
    });
  }

  #scheduleTick(): void {
    this.#queue.after(TICK_INTERVAL_MS, () => {
      this.#runTimed(() => this.#coordinator.tick(this.#queue.nowMs));
      this.#scheduleTick();
    });
  }

  #scheduleReport(holderId: string, delayMs: number): void {
    this.#queue.after(delayMs, () => {
      const report = {
        holderId,
        running: [...this.#runningByAskId.values()]
          .filter((work) => work.holderId === holderId),
        waiting: [...this.#waitingByAskId.values()]
          .filter((ask) => ask.holderId === holderId)
          .map(({ askId }) => askId),
        spent: [],
      };
      this.#runTimed(() => this.#coordinator.report(report, this.#queue.nowMs));
      this.#scheduleReport(holderId, REPORT_INTERVAL_MS);
    });
  }

  #submitAsk(): void {
    const index = this.#askCount++;
    const holder = Math.floor(this.#random.next() * this.#load.instances);
    const ask: WorkAsk = {
      askId: `${this.#queue.nowMs}.${index}`,
      holderId: `i${holder}`,
      callHash: 0,
      pool: "p",
      workspace: "w",
      rank: Math.floor(this.#random.next() * RANK_COUNT),
      cost: 0,
      promptTokens: Math.floor(200 + 4000 * this.#random.next()),
      outputTokens: Math.floor(50 + 200 * this.#random.next()),
      objectiveLeftMs: 600,
      patienceLeftMs: 1000,
      deadlineLeftMs: 10_000,
      failureDomain: `d${holder % 4}`,
      excluded: [],
      cause: AskCause.First,
    };
    this.#waitingByAskId.set(ask.askId, ask);
    const scope = {
      share: 1,
      reportedShare: 1,
      uptimeMs: 60_000,
      nowMs: this.#queue.nowMs,
    };
    this.#runTimed(() => this.#coordinator.ask(ask, scope));
  }

  /** Calls the coordinator, adds up its time and applies its decisions. */
  #runTimed(call: () => readonly AskDecision[]): void {
    const startedAtMs = performance.now();
    const decisions = call();
    this.#coreMs += performance.now() - startedAtMs;
    for (const decision of decisions) {
      this.#applyDecision(decision);
    }
  }

  #applyDecision(decision: AskDecision): void {
    const { askId, holderId } = decision;
    const ask = this.#waitingByAskId.get(askId);
    this.#waitingByAskId.delete(askId);
    if (ask === undefined || !("targetId" in decision)) {
      this.#refusedCount++;
      return;
    }
    const { pool, rank, promptTokens, outputTokens } = ask;
    const { targetId } = decision;
    const work = { askId, pool, targetId, rank, promptTokens, outputTokens };
    this.#runningByAskId.set(askId, { ...work, holderId, firstSeen: false });
    this.#queue.after(FIRST_EVENT_DELAY_MS, () => {
      this.#runTimed(() => {
        this.#coordinator.firstSeen(askId, this.#queue.nowMs);
        return [];
      });
    });
    const serviceTimeMs = MEAN_SERVICE_TIME_MS * (0.5 + this.#random.next());
    this.#queue.after(serviceTimeMs, () => this.#endWork(ask, targetId));
  }

  #endWork({ askId, pool, promptTokens }: WorkAsk, targetId: string): void {
    this.#runningByAskId.delete(askId);
    const end = {
      askId,
      targetId,
      pool,
      promptTokens,
      firstMs: FIRST_EVENT_DELAY_MS,
      eventGapMs: 15,
      failed: false,
    };
    this.#runTimed(() => this.#coordinator.ended(end, this.#queue.nowMs));
  }
}

function createBoard(load: PlacementLoad): RoutingBoard {
  const targets = new TargetDirectory();
  targets.listAvailable(0);
  targets.apply(
    Array.from({ length: load.targets }, (_, index) => ({
      targetId: `t${index}`,
      rowVersion: index + 1,
      entry: {
        targetId: `t${index}`,
        incarnation: 1,
        pool: "p",
        address: `10.0.${Math.floor(index / 250)}.${index % 250}:80`,
        failureDomain: `d${index % 4}`,
        slots: SLOTS_PER_TARGET,
        leaving: false,
        version: "v1",
      },
    })),
    0,
  );
  const members = new MemberView({
    instanceId: "i0",
    address: "10.1.0.1:7000",
    failureDomain: "d0",
    incarnation: 1,
    leaving: false,
    cores: 1,
  });
  return {
    routes: new RouteTable(createConfiguration()),
    targets,
    members,
    configurationAge: new ConfigurationAge(),
    unreachableDomains: new UnreachableDomains(members),
    health: new TargetHealth(),
    relayedTargets: new RelayedTargets(),
    rateLimits: new TargetRateLimits(),
    latencyModels: new LatencyModels(),
    targetLoads: new TargetLoads(),
    backoffs: new TargetBackoffs(),
    streamOrigins: new StreamOrigins(),
    versionCoverage: new VersionCoverage(),
    suspects: new CrashSuspects(),
    rollouts: new Rollouts({ share: 0.1, slack: 50 }),
  };
}

function createConfiguration(): FleetConfiguration {
  return {
    version: 1,
    routes: [{
      name: "r",
      host: "h.example",
      prefix: "/",
      kind: RequestKind.ResumableStream,
      rank: 0,
      pools: [{ pool: "p", weight: 1 }],
      timeoutMs: 15_000,
      objectiveMs: 600,
      longestGapMs: 300,
      maxAttempts: 2,
      isPublic: true,
    }],
    pools: [{
      name: "p",
      maxConnections: 100,
      engine: { slots: SLOTS_PER_TARGET, kvCapacityTokens: 400_000 },
    }],
    workspaces: [],
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 1_000_000,
      headerTimeoutMs: 3000,
      idleTimeoutMs: 15_000,
    },
  };
}
