/**
 * A workspace requests far more than its allotment while a network partition
 * separates the coordinator's failure domain from the others.
 *
 * Guards against running more within one window than the bound and its
 * tolerance allow, which was seen once by 0.3 %. Until the coordinator counted
 * as failed, each holder placed requests from a share of the allotment by
 * itself and ignored the spending in the coordinator's last heartbeat, and both
 * sides of the partition allocated the whole allotment for 0.9 s. The partition
 * therefore starts at different moments between two heartbeats.
 */

import {
  type RandomSource,
  seededRandomSource,
} from "@chestnuthatch/core/random_source";
import {
  MessageKind,
  type RoutingMessage,
} from "@chestnuthatch/routing/peer_messages";
import { askOf } from "@chestnuthatch/routing/routing_test_support";
import { test } from "uvu";
import * as assert from "uvu/assert";
import {
  deliverTo,
  type FleetNode,
  fleetNode,
} from "./gateway_test_support.ts";
import { DOMAIN_OF, PartitionedNetwork } from "./partition_test_support.ts";

const WINDOW_MS = 8000;
const TOLERANCE = { windowMs: WINDOW_MS, overage: 0.1, slack: 14_000 };
const BOUNDS = {
  retryBudget: { ratio: 0.2, slack: 100, windowS: 10 },
  allotmentTolerance: TOLERANCE,
};
const ALLOTMENT = { perS: 9000, burst: 2000, inTokens: true, plainTokens: 1 };
/** The most that the operators allow within a window. */
const ALLOWED = (ALLOTMENT.perS * WINDOW_MS / 1000 + ALLOTMENT.burst) *
    (1 + TOLERANCE.overage) + TOLERANCE.slack;
const IDS = Object.keys(DOMAIN_OF);
const TARGET_IDS = Array.from({ length: 200 }, (_, index) => `t${index}`);
const STEP_MS = 20;
const LATENCY_MS = 4;
const WORK_MS = 200;
const COST = 200;
/** Maximum requests in a step: eight times the allotment. */
const MAX_REQUESTS_PER_STEP = 8;
const PARTITION_AT_MS = 12_000;
const PARTITION_MS = 5000;

/**
 * A fleet on a manual clock with a temporary partition of one failure domain.
 */
class PartitionedFleet {
  readonly #network = new PartitionedNetwork(DOMAIN_OF);
  readonly clock = this.#network.clock;
  /** Cost of each request, and when the request was sent to a target. */
  readonly spent: { atMs: number; cost: number }[] = [];
  readonly #nodes: ReadonlyMap<string, FleetNode>;
  #askCount = 0;

  readonly #random: RandomSource;
  #perStep = 0;

  constructor(seed: number) {
    this.#random = seededRandomSource(seed);
    this.#nodes = new Map(IDS.map((id) => [id, this.#node(id)]));
  }

  isolateCoordinator(): void {
    const { coordinatorId } = this.#nodes.get("i1")!.placementClient;
    this.#network.isolatedDomain = DOMAIN_OF[coordinatorId];
  }

  heal(): void {
    this.#network.isolatedDomain = undefined;
  }

  run(untilMs: number): void {
    while (this.clock.atMs < untilMs) {
      this.clock.atMs += STEP_MS;
      this.#network.runDue();
      this.#nodes.forEach((node) => node.tick());
      if (this.clock.atMs % 500 === 0) {
        this.#perStep = Math.floor(
          this.#random.next() ** 2 * (MAX_REQUESTS_PER_STEP + 1),
        );
      }
      for (let i = 0; i < this.#perStep; i++) {
        this.#request();
      }
      this.#network.runDue();
    }
  }

  /** Highest spending within any window. */
  maxSpent(): number {
    const sums = this.spent.map(({ atMs }) =>
      this.spent.filter((one) =>
        one.atMs >= atMs && one.atMs < atMs + WINDOW_MS
      ).reduce((sum, { cost }) => sum + cost, 0)
    );
    return Math.max(...sums);
  }

  #request(): void {
    const holderId = IDS[this.#askCount % IDS.length]!;
    const { placementClient } = this.#nodes.get(holderId)!;
    const askId = `a${this.#askCount++}`;
    placementClient.ask(askOf(askId, { holderId, cost: COST }), (decision) => {
      if ("refusal" in decision) {
        return;
      }
      this.spent.push({ atMs: this.clock.atMs, cost: COST });
      const { targetId } = decision;
      const end = { askId, targetId, pool: "p", promptTokens: 500 };
      this.#network.schedule(
        WORK_MS,
        () => placementClient.reportEnd({ ...end, failed: false }),
      );
    });
  }

  #send(fromId: string, toId: string, message: RoutingMessage): void {
    if (this.#network.isPartitioned(fromId, toId)) {
      return;
    }
    const latencyMs = message.kind === MessageKind.Heartbeat ? LATENCY_MS : 0;
    this.#network.schedule(
      latencyMs,
      () => deliverTo(this.#nodes.get(toId)!, { message, fromId }),
    );
  }

  #node(instanceId: string): FleetNode {
    return fleetNode(instanceId, {
      clock: this.clock,
      bounds: BOUNDS,
      allotment: ALLOTMENT,
      targetIds: TARGET_IDS,
      seedIds: IDS,
      domainOf: (id) => DOMAIN_OF[id]!,
      send: (fromId, toId, message) => this.#send(fromId, toId, message),
    });
  }
}

const SEEDS = 24;

test("a partition does not let a busy workspace spend more than the bound", () => {
  const spent: number[] = [];
  for (let seed = 1; seed <= SEEDS; seed++) {
    const offsetMs = seed * 20;
    const fleet = new PartitionedFleet(seed);
    fleet.run(PARTITION_AT_MS + offsetMs);
    fleet.isolateCoordinator();
    fleet.run(PARTITION_AT_MS + offsetMs + PARTITION_MS);
    fleet.heal();
    fleet.run(PARTITION_AT_MS + PARTITION_MS + 3000);
    spent.push(Math.round(fleet.maxSpent()));
  }
  assert.ok(
    spent.every((one) => one <= ALLOWED),
    `${spent.join(", ")} spent, ${ALLOWED} allowed`,
  );
});

test.run();
