/**
 * A simulated fleet for tests of allotments: instances on a manual clock that
 * are killed, stopped, restarted and partitioned, and a store that keeps their
 * records.
 */

import {
  type RandomSource,
  seededRandomSource,
} from "@chestnuthatch/core/random_source";
import {
  MessageKind,
  type RoutingMessage,
} from "@chestnuthatch/routing/peer_messages";
import { AskRefusal } from "@chestnuthatch/routing/work_ask";
import { RecordOutcome } from "@chestnuthatch/routing/recorded_spending";
import { askOf, memberOf } from "@chestnuthatch/routing/routing_test_support";
import {
  deliverTo,
  type FleetNode,
  fleetNode,
  NO_OP_PLATFORM,
} from "./gateway_test_support.ts";
import { DOMAIN_OF, PartitionedNetwork } from "./partition_test_support.ts";
import type {
  PlatformPort,
  SpendingRecord,
  SpendingRow,
  SpendingWriteResult,
} from "./ports.ts";

/** Window over which the operators limit spending. */
export const WINDOW_MS = 8000;

const TOLERANCE = { windowMs: WINDOW_MS, overage: 0.1, slack: 14_000 };
const BOUNDS = {
  retryBudget: { ratio: 0.2, slack: 100, windowS: 10 },
  allotmentTolerance: TOLERANCE,
};
const ALLOTMENT = { perS: 9000, burst: 2000, inTokens: true, plainTokens: 1 };

/** The most that the operators allow within a window. */
export const ALLOWED = (ALLOTMENT.perS * WINDOW_MS / 1000 + ALLOTMENT.burst) *
    (1 + TOLERANCE.overage) + TOLERANCE.slack;

/** Ids of the instances. */
export const IDS = Object.keys(DOMAIN_OF);

const STEP_MS = 20;
const LATENCY_MS = 4;
const STORE_LATENCY_MS = 10;
const STORE_RETRY_MS = 500;
const STORE_TIMEOUT_MS = 1000;
const RESTART_MS = 600;
/** Time that an instance which is leaving takes to end. */
const STOP_MS = 400;
const WORK_MS = 200;
const COST = 200;
/** Maximum requests in a step: eight times the allotment. */
const MAX_REQUESTS_PER_STEP = 8;
const DEMAND_INTERVAL_MS = 500;

/** A request that a target ran. */
interface Run {
  readonly requestedAtMs: number;
  readonly sentAtMs: number;
  readonly cost: number;
}

/** Keeps the records of spending; gives no answer while it is silent. */
class SimulatedStore {
  readonly #network: PartitionedNetwork;
  #records: readonly SpendingRecord[] = [];
  #writtenAtMs = 0;
  #rowVersion = 0;
  isSilent = false;

  constructor(network: PartitionedNetwork) {
    this.#network = network;
  }

  /** Reads the records for an instance that has started. */
  restore(
    node: FleetNode,
    of: { isRunning: () => boolean; reachesStore: () => boolean },
  ): void {
    this.#network.schedule(STORE_LATENCY_MS, () => {
      if (!of.isRunning()) {
        return;
      }
      if (this.isSilent || !of.reachesStore()) {
        this.#network.schedule(STORE_RETRY_MS, () => this.restore(node, of));
      } else {
        node.spending.rowRead(this.#row());
      }
    });
  }

  /** The platform as one instance uses it. */
  platform(isReached: () => boolean): PlatformPort {
    return {
      ...NO_OP_PLATFORM,
      readSpending: () => this.#answer(isReached, () => this.#row(), undefined),
      recordSpending: (row) =>
        this.#answer(isReached, () => this.#write(row), {
          outcome: RecordOutcome.Unknown,
          rowVersion: 0,
        }),
    };
  }

  #row(): SpendingRow {
    const elapsedMs = this.#network.clock.atMs - this.#writtenAtMs;
    const records = this.#records
      .map((record) => ({ ...record, ageMs: record.ageMs + elapsedMs }));
    return { records, rowVersion: this.#rowVersion };
  }

  #write({ records, rowVersion }: SpendingRow): SpendingWriteResult {
    if (rowVersion !== this.#rowVersion) {
      return { outcome: RecordOutcome.NotWritten, rowVersion: 0 };
    }
    this.#records = records;
    this.#writtenAtMs = this.#network.clock.atMs;
    this.#rowVersion++;
    return { outcome: RecordOutcome.Written, rowVersion: this.#rowVersion };
  }

  #answer<T>(isReached: () => boolean, call: () => T, failed: T): Promise<T> {
    return new Promise((resolve) => {
      this.#network.schedule(STORE_LATENCY_MS, () => {
        if (isReached() && !this.isSilent) {
          resolve(call());
        } else {
          this.#network.schedule(STORE_TIMEOUT_MS, () => resolve(failed));
        }
      });
    });
  }
}

/** Options of a simulated fleet. */
export interface SpendingFleetOptions {
  readonly seed: number;
  /** Number of targets with two slots each. */
  readonly targets?: number;
  /** Demand relative to the allotment; random from 0 to 8 if absent. */
  readonly demand?: number;
  /** Time for which a request runs at a target, in milliseconds. */
  readonly workMs?: number;
}

/** A fleet whose instances place the requests of one workspace. */
export class SpendingFleet {
  readonly #network = new PartitionedNetwork(DOMAIN_OF);
  readonly clock = this.#network.clock;
  readonly store = new SimulatedStore(this.#network);
  readonly random: RandomSource;
  readonly #nodes = new Map<string, FleetNode>();
  readonly #targetIds: readonly string[];
  readonly #demand?: number;
  readonly #workMs: number;
  /** Messages to instances that are frozen, by instance id. */
  readonly #undelivered = new Map<string, (() => void)[]>();
  readonly #runs: Run[] = [];
  /** Requests that were refused for the allotment of their workspace. */
  refusedCount = 0;
  requestCount = 0;
  #isCutFromStore = false;
  #perStep = 0;
  #owed = 0;

  /** @param options Seed of the random demand, and the number of targets. */
  constructor(
    { seed, targets = 200, demand, workMs = WORK_MS }: SpendingFleetOptions,
  ) {
    this.random = seededRandomSource(seed);
    this.#demand = demand;
    this.#workMs = workMs;
    this.#targetIds = Array.from({ length: targets }, (_, i) => `t${i}`);
    IDS.forEach((id) => this.#start(id));
  }

  /** Ids of the instances that run. */
  get runningIds(): string[] {
    return [...this.#nodes.keys()];
  }

  /** Id of the coordinator in the view of the first instance that runs. */
  get coordinatorId(): string {
    const [node] = this.#nodes.values();
    return node?.placementClient.coordinatorId ?? "";
  }

  /** Ids of all instances that take themselves for the coordinator. */
  get actingIds(): string[] {
    return [...this.#nodes]
      .filter(([id, { placementClient }]) =>
        placementClient.coordinatorId === id
      )
      .map(([id]) => id);
  }

  /**
   * Kills an instance, which starts again without any state.
   *
   * @param id Id of the instance.
   * @param downMs Time until it starts again.
   */
  restart(id: string, downMs = RESTART_MS): void {
    if (this.#nodes.delete(id)) {
      this.#undelivered.delete(id);
      this.#network.schedule(downMs, () => this.#start(id));
    }
  }

  /**
   * Lets an instance announce that it is leaving, and end some time later.
   *
   * @param id Id of the instance.
   * @param of Time until its end, and from then until it starts again.
   */
  stop(
    id: string,
    { stopMs = STOP_MS, downMs = RESTART_MS }: {
      stopMs?: number;
      downMs?: number;
    } = {},
  ): void {
    const node = this.#nodes.get(id);
    node?.heartbeatExchange.announceLeaving();
    this.#network.schedule(stopMs, () => {
      if (node !== undefined && this.#nodes.get(id) === node) {
        this.restart(id, downMs);
      }
    });
  }

  /**
   * Freezes an instance. It handles the messages to it when it goes on.
   *
   * @param id Id of the instance.
   * @param forMs Duration in milliseconds.
   */
  freeze(id: string, forMs: number): void {
    const node = this.#nodes.get(id);
    if (node === undefined || this.#undelivered.has(id)) {
      return;
    }
    const messages: (() => void)[] = [];
    this.#undelivered.set(id, messages);
    this.#network.schedule(forMs, () => {
      if (this.#undelivered.get(id) === messages) {
        this.#undelivered.delete(id);
        node.stalled();
        node.tick();
        messages.forEach((deliver) => deliver());
      }
    });
  }

  /**
   * Cuts a failure domain off from the others, or heals the partition.
   *
   * @param domain The failure domain; none heals the partition.
   * @param of Whether it is cut off from the store as well.
   */
  isolate(domain?: string, of: { fromStore?: boolean } = {}): void {
    this.#network.isolatedDomain = domain;
    this.#isCutFromStore = of.fromStore ?? false;
  }

  /** Whether a partition separates a failure domain from the others. */
  get isPartitioned(): boolean {
    return this.#network.isolatedDomain !== undefined;
  }

  /**
   * Schedules a function.
   *
   * @param delayMs Delay from now in milliseconds.
   * @param run The function.
   */
  schedule(delayMs: number, run: () => void): void {
    this.#network.schedule(delayMs, run);
  }

  /**
   * Lets time pass.
   *
   * @param forMs Duration in milliseconds.
   */
  async run(forMs: number): Promise<void> {
    const untilMs = this.clock.atMs + forMs;
    while (this.clock.atMs < untilMs) {
      this.clock.atMs += STEP_MS;
      this.#network.runDue();
      for (const [id, node] of this.#nodes) {
        if (!this.#undelivered.has(id)) {
          node.tick();
        }
      }
      this.#requestDue();
      this.#network.runDue();
      // Lets answers of the store take effect.
      await Promise.resolve();
    }
  }

  /** @returns Highest spending of requests sent and run within any window. */
  maxSpent(): number {
    const sums = this.#runs.map(({ requestedAtMs: fromMs }) =>
      this.#runs.filter((run) =>
        run.requestedAtMs >= fromMs && run.sentAtMs < fromMs + WINDOW_MS
      ).reduce((sum, { cost }) => sum + cost, 0)
    );
    return sums.reduce((a, b) => Math.max(a, b), 0);
  }

  #requestDue(): void {
    if (this.#demand !== undefined) {
      this.#owed += this.#demand * ALLOTMENT.perS * STEP_MS / 1000 / COST;
      this.#perStep = Math.floor(this.#owed);
      this.#owed -= this.#perStep;
    } else if (this.clock.atMs % DEMAND_INTERVAL_MS === 0) {
      this.#perStep = Math.floor(
        this.random.next() ** 2 * (MAX_REQUESTS_PER_STEP + 1),
      );
    }
    for (let i = 0; i < this.#perStep; i++) {
      this.#request();
    }
  }

  #request(): void {
    const ids = [...this.#nodes.keys()]
      .filter((id) => !this.#undelivered.has(id));
    const holderId = ids[this.requestCount % ids.length];
    if (holderId === undefined) {
      return;
    }
    const requestedAtMs = this.clock.atMs;
    const node = this.#nodes.get(holderId)!;
    const askId = `a${this.requestCount++}`;
    node.placementClient.ask(
      askOf(askId, { holderId, cost: COST }),
      (decision) => {
        if ("refusal" in decision) {
          this.refusedCount += Number(
            decision.refusal === AskRefusal.Allotment,
          );
          return;
        }
        const { targetId } = decision;
        const sentAtMs = this.clock.atMs;
        this.#runs.push({ requestedAtMs, sentAtMs, cost: COST });
        const end = { askId, targetId, pool: "p", promptTokens: 500 };
        this.#network.schedule(this.#workMs, () => {
          if (this.#nodes.get(holderId) === node) {
            node.placementClient.reportEnd({ ...end, failed: false });
          }
        });
      },
    );
  }

  #send(fromId: string, toId: string, message: RoutingMessage): void {
    if (this.#network.isPartitioned(fromId, toId)) {
      return;
    }
    const latencyMs = message.kind === MessageKind.Heartbeat ? LATENCY_MS : 0;
    const sender = this.#nodes.get(fromId);
    this.#network.schedule(latencyMs, () => {
      const receiver = this.#nodes.get(toId);
      if (receiver === undefined || this.#nodes.get(fromId) !== sender) {
        return;
      }
      const deliver = () => deliverTo(receiver, { message, fromId });
      const undelivered = this.#undelivered.get(toId);
      if (undelivered === undefined) {
        deliver();
      } else {
        undelivered.push(deliver);
      }
    });
  }

  #start(instanceId: string): void {
    const isRunning = () => this.#nodes.get(instanceId) === node;
    const reachesStore = () =>
      isRunning() &&
      !(this.#isCutFromStore &&
        DOMAIN_OF[instanceId] === this.#network.isolatedDomain);
    const node: FleetNode = fleetNode(instanceId, {
      clock: this.clock,
      bounds: BOUNDS,
      allotment: ALLOTMENT,
      targetIds: this.#targetIds,
      seedIds: IDS,
      domainOf: (id) => DOMAIN_OF[id]!,
      startedAtMs: this.clock.atMs === 0 ? undefined : this.clock.atMs,
      platform: this.store.platform(() => reachesStore()),
      send: (fromId, toId, message) => this.#send(fromId, toId, message),
    });
    this.#nodes.set(instanceId, node);
    this.store.restore(node, { isRunning, reachesStore });
    for (const id of IDS) {
      const failureDomain = DOMAIN_OF[id]!;
      node.members.memberReported(memberOf(id, { failureDomain }), {
        nowMs: this.clock.atMs,
        ageMs: 0,
      });
    }
  }
}

/**
 * Asserts that no fleet spent more than the operators allow.
 *
 * @param spent Highest spending of each fleet within any window.
 */
export function assertWithinBound(spent: readonly number[]): void {
  if (spent.some((one) => one > ALLOWED)) {
    const amounts = spent.map(Math.round).join(", ");
    throw new Error(`${amounts} spent, ${ALLOWED} allowed`);
  }
}
