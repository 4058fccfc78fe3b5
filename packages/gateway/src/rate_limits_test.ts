/**
 * Rate limits that targets advertise hold for the whole fleet, also while
 * instances are killed or partitioned.
 */

import {
  type RandomSource,
  seededRandomSource,
} from "@chestnuthatch/core/random_source";
import type { RoutingMessage } from "@chestnuthatch/routing/peer_messages";
import { askOf } from "@chestnuthatch/routing/routing_test_support";
import { test } from "uvu";
import * as assert from "uvu/assert";
import {
  deliverTo,
  type FleetNode,
  fleetNode,
} from "./gateway_test_support.ts";
import { PartitionedNetwork } from "./partition_test_support.ts";

const BOUNDS = {
  retryBudget: { ratio: 0.2, slack: 100, windowS: 10 },
  allotmentTolerance: { windowMs: 8000, overage: 0, slack: 0 },
};
const ALLOTMENT = { perS: 1e6, burst: 0, inTokens: true, plainTokens: 1 };
const DOMAIN_OF: Readonly<Record<string, string>> = {
  i1: "a",
  i2: "b",
  i3: "c",
  i4: "d",
  i5: "a",
  i6: "b",
  i7: "c",
  i8: "d",
};
const IDS = Object.keys(DOMAIN_OF);
const TARGET_IDS = ["t1", "t2", "t3", "t4"];
const STEP_MS = 5;
const LATENCY_MS = 4;
const WORK_MS = 90;
/** Half of the targets' capacity. */
const REQUESTS_PER_S = 40;

/** Bounds that the platform sets for a limited target. */
const SETTLED_MS = 3000;
const PROPAGATION_MS = 500;
const WINDOW_MS = 4000;
const FACTOR = 1.5;
const SLACK = 5;

interface Arrival {
  readonly atMs: number;
  readonly holderId: string;
}

/** A fleet on a manual clock, and its targets, which may have rate limits. */
class RateLimitedFleet {
  readonly #network = new PartitionedNetwork(DOMAIN_OF);
  readonly clock = this.#network.clock;
  readonly limitPerS = new Map<string, number>();
  readonly refused: { atMs: number; retryAfterMs: number }[] = [];
  readonly #random: RandomSource;
  readonly #nodes: Map<string, FleetNode>;
  readonly #arrivals = new Map<string, Arrival[]>();
  /** When each instance first received an answer with a limit, by target. */
  readonly #advertisedAtMs = new Map<string, Map<string, number>>();
  readonly #exempt = new Set<string>();
  #askCount = 0;

  constructor(seed = 1) {
    this.#random = seededRandomSource(seed);
    this.#nodes = new Map(IDS.map((id) => [id, this.#node(id)]));
    this.run(6000);
  }

  get coordinatorId(): string {
    return [...this.#nodes.values()][0]!.placementClient.coordinatorId;
  }

  kill(instanceId: string): void {
    this.#nodes.delete(instanceId);
    this.#exempt.add(instanceId);
  }

  isolate(failureDomain: string): void {
    this.#network.isolatedDomain = failureDomain;
    IDS.filter((id) => DOMAIN_OF[id] === failureDomain)
      .forEach((id) => this.#exempt.add(id));
  }

  heal(): void {
    this.#network.isolatedDomain = undefined;
  }

  run(forMs: number): void {
    const untilMs = this.clock.atMs + forMs;
    while (this.clock.atMs < untilMs) {
      this.clock.atMs += STEP_MS;
      this.#network.runDue();
      if (this.clock.atMs % (4 * STEP_MS) === 0) {
        this.#nodes.forEach((node) => node.tick());
      }
      if (this.#random.next() < REQUESTS_PER_S * STEP_MS / 1000) {
        this.#request();
      }
    }
  }

  /**
   * Arrival times of requests from instances that had time to apply the limit
   * that the target advertised to them.
   */
  arrivals(targetId: string, sinceMs: number): number[] {
    const byHolder = this.#advertisedAtMs.get(targetId) ??
      new Map<string, number>();
    return (this.#arrivals.get(targetId) ?? [])
      .filter(({ atMs, holderId }) =>
        atMs >= sinceMs && !this.#exempt.has(holderId) &&
        atMs >= (byHolder.get(holderId) ?? Infinity) + PROPAGATION_MS
      ).map(({ atMs }) => atMs);
  }

  /** Targets that received more within a window than their limit allows. */
  overrun(): string[] {
    return [...this.limitPerS].flatMap(([targetId, limitPerS]) => {
      const advertisedAtMs = [
        ...this.#advertisedAtMs.get(targetId)?.values() ?? [],
      ];
      const sinceMs = Math.min(...advertisedAtMs) + SETTLED_MS;
      const most = maxWithin(this.arrivals(targetId, sinceMs), WINDOW_MS);
      const allowed = FACTOR * limitPerS * WINDOW_MS / 1000 + SLACK;
      return most <= allowed
        ? []
        : [`${targetId}: ${most} in 4 s, ${Math.floor(allowed)} allowed`];
    });
  }

  /** Number of requests that reached a target, from all instances. */
  arrivalCount(targetId: string, sinceMs: number): number {
    return (this.#arrivals.get(targetId) ?? [])
      .filter(({ atMs }) => atMs >= sinceMs).length;
  }

  #request(): void {
    const ids = [...this.#nodes.keys()];
    const holderId = ids[this.#askCount % ids.length]!;
    const node = this.#nodes.get(holderId)!;
    const askId = `a${this.#askCount++}`;
    const { atMs: askedAtMs } = this.clock;
    node.placementClient.ask(askOf(askId, { holderId }), (decision) => {
      if ("refusal" in decision) {
        const { retryAfterMs } = decision;
        this.refused.push({ atMs: this.clock.atMs, retryAfterMs });
        assert.ok(this.clock.atMs - askedAtMs < 2000, "refused late");
      } else {
        this.#send(node, { askId, holderId, targetId: decision.targetId });
      }
    });
  }

  #send(
    node: FleetNode,
    of: { askId: string; holderId: string; targetId: string },
  ): void {
    const { askId, holderId, targetId } = of;
    const sentAtMs = this.clock.atMs;
    this.#network.schedule(LATENCY_MS, () => {
      const list = this.#arrivals.get(targetId) ?? [];
      this.#arrivals.set(targetId, list);
      list.push({ atMs: this.clock.atMs, holderId });
    });
    this.#network.schedule(WORK_MS, () => {
      const limitPerS = this.limitPerS.get(targetId);
      this.#network.schedule(LATENCY_MS, () => {
        const nowMs = this.clock.atMs;
        if (limitPerS === undefined) {
          node.rateLimits.notAdvertised(targetId, { sentAtMs, nowMs });
        } else {
          this.#recordAdvertised(holderId, targetId);
          node.rateLimits.advertised(targetId, limitPerS, nowMs);
        }
        const end = { askId, targetId, pool: "p", promptTokens: 500 };
        node.placementClient.reportEnd({
          ...end,
          firstMs: WORK_MS,
          failed: false,
        });
      });
    });
  }

  #recordAdvertised(holderId: string, targetId: string): void {
    const byHolder = this.#advertisedAtMs.get(targetId) ??
      new Map<string, number>();
    this.#advertisedAtMs.set(targetId, byHolder);
    if (!byHolder.has(holderId)) {
      byHolder.set(holderId, this.clock.atMs);
    }
  }

  #deliver(fromId: string, toId: string, message: RoutingMessage): void {
    if (!this.#nodes.has(fromId) || this.#network.isPartitioned(fromId, toId)) {
      return;
    }
    this.#network.schedule(LATENCY_MS, () => {
      const node = this.#nodes.get(toId);
      if (node !== undefined) {
        deliverTo(node, { message, fromId });
      }
    });
  }

  #node(instanceId: string): FleetNode {
    return fleetNode(instanceId, {
      clock: this.clock,
      bounds: BOUNDS,
      allotment: ALLOTMENT,
      targetIds: TARGET_IDS,
      seedIds: ["i1", "i2"],
      domainOf: (id) => DOMAIN_OF[id]!,
      send: (fromId, toId, message) => this.#deliver(fromId, toId, message),
    });
  }
}

function maxWithin(atMs: readonly number[], windowMs: number): number {
  let first = 0;
  let most = 0;
  for (const [index, endMs] of atMs.entries()) {
    while (endMs - atMs[first]! > windowMs) {
      first++;
    }
    most = Math.max(most, index - first + 1);
  }
  return most;
}

// Guards against placement by slots and speed alone that ignores the rate limit
// that the target advertises.
test("a rate limit holds for all instances together", () => {
  const fleet = new RateLimitedFleet();
  fleet.limitPerS.set("t1", 4.5);
  fleet.run(12_000);
  assert.equal(fleet.overrun(), []);
});

test("other targets serve the requests that a rate limit excludes", () => {
  const fleet = new RateLimitedFleet();
  fleet.limitPerS.set("t1", 4.5);
  const sinceMs = fleet.clock.atMs + 2000;
  fleet.run(12_000);
  assert.equal(fleet.refused, []);
  const perS = fleet.arrivalCount("t1", sinceMs) / 10;
  assert.ok(perS > 3.5 && perS < 5, `${perS} a second`);
});

test("a changed rate limit holds from then on", () => {
  const fleet = new RateLimitedFleet();
  fleet.limitPerS.set("t1", 9);
  fleet.run(6000);
  fleet.limitPerS.set("t1", 2);
  fleet.run(3000);
  const sinceMs = fleet.clock.atMs;
  fleet.run(8000);
  const perS = fleet.arrivalCount("t1", sinceMs) / 8;
  assert.ok(perS > 1.5 && perS < 2.3, `${perS} a second`);
});

test("a target with a limit of 0 is probed until the limit is lifted", () => {
  const fleet = new RateLimitedFleet();
  fleet.limitPerS.set("t1", 0);
  fleet.run(16_000);
  assert.equal(fleet.overrun(), []);
  fleet.limitPerS.delete("t1");
  fleet.run(8000);
  const sinceMs = fleet.clock.atMs;
  fleet.run(2000);
  assert.ok(fleet.arrivalCount("t1", sinceMs) > 8);
});

// Guards against a new coordinator that does not know the limits, and against
// one that places more to make up for the time in which nothing was placed.
test("rate limits hold while coordinators are killed one after another", () => {
  const overrun: string[] = [];
  for (let seed = 1; seed <= 12; seed++) {
    const fleet = new RateLimitedFleet(seed);
    fleet.limitPerS.set("t1", 4.5).set("t2", 6);
    fleet.run(2500 + 130 * seed);
    fleet.kill(fleet.coordinatorId);
    fleet.run(1500);
    fleet.kill(fleet.coordinatorId);
    fleet.run(8000);
    overrun.push(...fleet.overrun());
  }
  assert.equal(overrun, []);
});

// Guards against both sides of a partition using the whole limit.
test("rate limits hold on both sides of a partition, and after it", () => {
  const overrun: string[] = [];
  for (let seed = 1; seed <= 12; seed++) {
    const fleet = new RateLimitedFleet(seed);
    fleet.limitPerS.set("t1", 4.5).set("t2", 6);
    fleet.run(2500 + 130 * seed);
    fleet.isolate(["a", "b", "c", "d"][seed % 4]!);
    fleet.run(4000);
    fleet.heal();
    fleet.run(6000);
    overrun.push(...fleet.overrun());
  }
  assert.equal(overrun, []);
});

test("requests beyond the rate limits of a whole pool are refused with a realistic retry delay", () => {
  const fleet = new RateLimitedFleet();
  TARGET_IDS.forEach((id) => fleet.limitPerS.set(id, 4));
  fleet.run(5000);
  const sinceMs = fleet.clock.atMs;
  fleet.run(8000);
  assert.equal(fleet.overrun(), []);
  const served = TARGET_IDS.reduce(
    (sum, id) => sum + fleet.arrivalCount(id, sinceMs),
    0,
  );
  assert.ok(served >= 8 * 4 * 4 * 0.8, `${served} served`);
  const waits = fleet.refused.filter(({ atMs }) => atMs >= sinceMs)
    .map(({ retryAfterMs }) => retryAfterMs);
  assert.ok(waits.length > 0);
  assert.ok(waits.every((ms) => ms >= 500 && ms < 10_000), waits.join());
});

test.run();
