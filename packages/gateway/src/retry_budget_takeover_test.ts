/**
 * Every target fails what it is sent, so that all requests are repeated, while
 * coordinators are killed, instances restart, or partitions follow each other.
 *
 * Guards against a retry budget per coordinator: each successor started with an
 * unused budget, so the fleet sent several times the repeats that the operators
 * allow within a window.
 */

import {
  MessageKind,
  type RoutingMessage,
} from "@chestnuthatch/routing/peer_messages";
import { askOf } from "@chestnuthatch/routing/routing_test_support";
import { AskCause } from "@chestnuthatch/routing/work_ask";
import { test } from "uvu";
import * as assert from "uvu/assert";
import {
  deliverTo,
  type FleetNode,
  fleetNode,
} from "./gateway_test_support.ts";
import { DOMAIN_OF, PartitionedNetwork } from "./partition_test_support.ts";

const WINDOW_MS = 10_000;
const RETRY_BUDGET = { ratio: 0.2, slack: 40, windowS: WINDOW_MS / 1000 };
const BOUNDS = {
  retryBudget: RETRY_BUDGET,
  allotmentTolerance: { windowMs: 8000, overage: 0, slack: 0 },
};
const ALLOTMENT = { perS: 1e9, burst: 1e9, inTokens: true, plainTokens: 1 };
const IDS = Object.keys(DOMAIN_OF);
const TARGET_IDS = Array.from({ length: 50 }, (_, index) => `t${index}`);
const STEP_MS = 20;
const LATENCY_MS = 4;
const WORK_MS = 40;
const REQUEST_INTERVAL_MS = 40;
const WARM_UP_MS = 12_000;
const KILLS = 6;
const RESTARTS = 6;
const CUTS = 4;
const CUT_MS = 2000;
const HEALED_MS = 800;
const RESTARTED_INSTANCES = [5, 7, 8];
const RESTART_MS = 500;
const RESTART_INTERVAL_MS = 1600;
const KILL_INTERVALS_MS = [1300, 1500, 1900];

/** Sends of requests, in the order of time. */
interface Send {
  readonly atMs: number;
  readonly isRepeat: boolean;
}

/** A fleet on a manual clock whose coordinators are killed. */
class FailingFleet {
  readonly #network = new PartitionedNetwork(DOMAIN_OF);
  readonly clock = this.#network.clock;
  readonly sends: Send[] = [];
  readonly #nodes: Map<string, FleetNode>;
  #askCount = 0;

  constructor() {
    this.#nodes = new Map(IDS.map((id) => [id, this.#node(id)]));
  }

  killCoordinator(): void {
    const [node] = this.#nodes.values();
    this.#nodes.delete(node!.placementClient.coordinatorId);
  }

  /** Cuts a failure domain off, or heals the partition if none is given. */
  isolate(domain?: string): void {
    this.#network.isolatedDomain = domain;
  }

  /** Restarts the coordinator and the first others, which forget everything. */
  restart(count: number): void {
    const [node] = this.#nodes.values();
    const { coordinatorId } = node!.placementClient;
    const otherIds = IDS.filter((id) => id !== coordinatorId);
    const restartedIds = [coordinatorId, ...otherIds].slice(0, count);
    restartedIds.forEach((id) => this.#nodes.delete(id));
    this.#network.schedule(RESTART_MS, () => {
      restartedIds.forEach((id) => this.#nodes.set(id, this.#node(id)));
    });
  }

  run(forMs: number): void {
    const untilMs = this.clock.atMs + forMs;
    while (this.clock.atMs < untilMs) {
      this.clock.atMs += STEP_MS;
      this.#network.runDue();
      this.#nodes.forEach((node) => node.tick());
      if (this.clock.atMs % REQUEST_INTERVAL_MS === 0) {
        const holderIds = [...this.#nodes.keys()];
        const holderId = holderIds[this.#askCount % holderIds.length]!;
        this.#ask(holderId, AskCause.First);
      }
      this.#network.runDue();
    }
  }

  /** Largest excess of repeats over the bound within any window. */
  maxExcess(): number {
    const excesses = this.sends.map(({ atMs }) => {
      const inWindow = this.sends.filter((send) =>
        send.atMs >= atMs && send.atMs < atMs + WINDOW_MS
      );
      const repeats = inWindow.filter(({ isRepeat }) => isRepeat).length;
      const firstSends = inWindow.length - repeats;
      return repeats - RETRY_BUDGET.ratio * firstSends - RETRY_BUDGET.slack;
    });
    return Math.max(...excesses);
  }

  #ask(holderId: string, cause: AskCause): void {
    const client = this.#nodes.get(holderId)?.placementClient;
    const askId = `a${this.#askCount++}`;
    client?.ask(askOf(askId, { holderId, cause }), (decision) => {
      if ("refusal" in decision) {
        return;
      }
      const isRepeat = cause === AskCause.Repeat;
      this.sends.push({ atMs: this.clock.atMs, isRepeat });
      const { targetId } = decision;
      this.#network.schedule(WORK_MS, () => {
        const end = { askId, targetId, pool: "p", promptTokens: 500 };
        client.reportEnd({ ...end, failed: true });
        if (!isRepeat) {
          this.#ask(holderId, AskCause.Repeat);
        }
      });
    });
  }

  #send(fromId: string, toId: string, message: RoutingMessage): void {
    if (this.#network.isPartitioned(fromId, toId)) {
      return;
    }
    const latencyMs = message.kind === MessageKind.Heartbeat ? LATENCY_MS : 0;
    this.#network.schedule(latencyMs, () => {
      const receiver = this.#nodes.get(toId);
      if (receiver !== undefined && this.#nodes.has(fromId)) {
        deliverTo(receiver, { message, fromId });
      }
    });
  }

  #node(instanceId: string): FleetNode {
    return fleetNode(instanceId, {
      clock: this.clock,
      bounds: BOUNDS,
      allotment: ALLOTMENT,
      targetIds: TARGET_IDS,
      seedIds: IDS,
      domainOf: (id) => DOMAIN_OF[id]!,
      startedAtMs: this.clock.atMs === 0 ? undefined : this.clock.atMs,
      send: (fromId, toId, message) => this.#send(fromId, toId, message),
    });
  }
}

/** Largest excess of a fleet that is disturbed several times after a warm-up. */
function maxExcessAfter(
  disturb: (fleet: FailingFleet) => void,
  of: { times: number; intervalMs: number },
): number {
  const fleet = new FailingFleet();
  fleet.run(WARM_UP_MS);
  for (let count = 0; count < of.times; count++) {
    disturb(fleet);
    fleet.run(of.intervalMs);
  }
  fleet.run(WINDOW_MS);
  return fleet.maxExcess();
}

function assertWithinBound(excesses: readonly number[]): void {
  assert.ok(
    excesses.every((excess) => excess <= 0),
    `${excesses.join(", ")} repeats more than the bound`,
  );
}

test("killing one coordinator after the other does not raise the number of repeats", () => {
  const excesses = KILL_INTERVALS_MS.map((intervalMs) =>
    maxExcessAfter((fleet) => fleet.killCoordinator(), {
      times: KILLS,
      intervalMs,
    })
  );
  assertWithinBound(excesses);
});

// Guards against a restarted instance that knows of no repeats, and whose
// heartbeats make the others forget those that they know of.
test("restarts of most instances do not raise the number of repeats", () => {
  const excesses = RESTARTED_INSTANCES.map((instances) =>
    maxExcessAfter((fleet) => fleet.restart(instances), {
      times: RESTARTS,
      intervalMs: RESTART_INTERVAL_MS,
    })
  );
  assertWithinBound(excesses);
});

// Guards against a coordinator that stays one when a partition heals, and does
// not learn what the coordinator of the other side has granted.
test("partitions in series do not raise the number of repeats", () => {
  const excesses = ["a", "b", "c"].map((domain) =>
    maxExcessAfter((fleet) => {
      fleet.isolate(domain);
      fleet.run(CUT_MS);
      fleet.isolate();
    }, { times: CUTS, intervalMs: HEALED_MS })
  );
  assertWithinBound(excesses);
});

test.run();
