import type { RoutingMessage } from "@chestnuthatch/routing/peer_messages";
import { askOf } from "@chestnuthatch/routing/routing_test_support";
import { AskRefusal } from "@chestnuthatch/routing/work_ask";
import { test } from "uvu";
import * as assert from "uvu/assert";
import {
  deliverTo,
  type FleetNode,
  fleetNode,
} from "./gateway_test_support.ts";

// Guards against a cascade of replaced coordinators under load, seen on a fleet
// of 64. An answer that was late because of load counted as the loss of its
// sender: all holders skipped the coordinator at once, then the next one, and
// so on through the fleet. Meanwhile each assigned targets by itself, at a
// sixty-fourth of the allotments.

const BOUNDS = {
  retryBudget: { ratio: 0.2, slack: 100, windowS: 10 },
  allotmentTolerance: { windowMs: 8000, overage: 0, slack: 0 },
};
const INSTANCES = 16;
const TARGET_IDS = Array.from({ length: 60 }, (_, index) => `t${index}`);
const STEP_MS = 5;
/** Messages that an instance handles per step: 600 a second. */
const MESSAGES_PER_STEP = 3;
const WORK_MS = 150;
const COST = 100;
/** Cost at which 120 requests a second spend half of the allotment. */
const HALF_ALLOTMENT_COST = 400;
/** Far more than the fleet spends; the share of one instance is 1/16 of it. */
const ALLOTMENT = { perS: 1e5, burst: 0, inTokens: true, plainTokens: 1 };

interface Node extends FleetNode {
  readonly inbox: { message: RoutingMessage; fromId: string }[];
}

/** A fleet on a manual clock whose instances handle few messages per step. */
class BusyFleet {
  readonly clock = { atMs: 0, nowMs: () => this.clock.atMs };
  readonly refusals: string[] = [];
  placed = 0;
  #askAtMs = 0;
  #askCount = 0;
  #ends: { atMs: number; end: () => void }[] = [];
  readonly #nodes = new Map<string, Node>();

  /** @param cost Cost of each request. */
  constructor(readonly cost = COST) {
    for (let index = 1; index <= INSTANCES; index++) {
      this.#nodes.set(`i${index}`, this.#node(`i${index}`));
    }
  }

  get coordinatorId(): string {
    return [...this.#nodes.values()][0]!.placementClient.coordinatorId;
  }

  /** @param instanceId An instance that loses power. */
  kill(instanceId: string): void {
    this.#nodes.delete(instanceId);
  }

  /** Advances the clock, with a rate of requests over all instances. */
  async run(ms: number, requestsPerS: number): Promise<void> {
    const untilMs = this.clock.atMs + ms;
    this.#askAtMs = this.clock.atMs;
    while (this.clock.atMs < untilMs) {
      this.clock.atMs += STEP_MS;
      this.#step();
      while (this.#askAtMs < this.clock.atMs) {
        this.#askAtMs += 1000 / requestsPerS;
        this.#request();
      }
      // Lets answers of the store take effect.
      await Promise.resolve();
    }
  }

  #step(): void {
    const nowMs = this.clock.atMs;
    const due = this.#ends.filter(({ atMs }) => atMs <= nowMs);
    this.#ends = this.#ends.filter(({ atMs }) => atMs > nowMs);
    due.forEach(({ end }) => end());
    for (const node of this.#nodes.values()) {
      const { members, inbox } = node;
      members.isLoaded = inbox.length > MESSAGES_PER_STEP;
      node.tick();
      for (const received of inbox.splice(0, MESSAGES_PER_STEP)) {
        deliverTo(node, received);
      }
    }
  }

  #request(): void {
    const ids = [...this.#nodes.keys()];
    const holderId = ids[this.#askCount % ids.length]!;
    const askId = `a${this.#askCount++}`;
    const { placementClient } = this.#nodes.get(holderId)!;
    placementClient.ask(
      askOf(askId, { holderId, cost: this.cost }),
      (decision) => {
        if ("refusal" in decision) {
          this.refusals.push(decision.refusal);
          return;
        }
        this.placed++;
        const { targetId } = decision;
        const end = { askId, targetId, pool: "p", promptTokens: 500 };
        const atMs = this.clock.atMs + WORK_MS;
        this.#ends.push({
          atMs,
          end: () => placementClient.reportEnd({ ...end, failed: false }),
        });
      },
    );
  }

  #send(fromId: string, toId: string, message: RoutingMessage): void {
    if (this.#nodes.has(fromId)) {
      this.#nodes.get(toId)?.inbox.push({ message, fromId });
    }
  }

  #node(instanceId: string): Node {
    const node = fleetNode(instanceId, {
      clock: this.clock,
      bounds: BOUNDS,
      allotment: ALLOTMENT,
      targetIds: TARGET_IDS,
      seedIds: ["i1", "i2"],
      send: (fromId, toId, message) => this.#send(fromId, toId, message),
    });
    return { ...node, inbox: [] };
  }
}

async function fleetAtRest(cost = COST): Promise<BusyFleet> {
  const fleet = new BusyFleet(cost);
  await fleet.run(6000, 20);
  return fleet;
}

const ALLOTMENT_REFUSAL: string = AskRefusal.Allotment;

test("an overloaded coordinator is not skipped", async () => {
  const fleet = await fleetAtRest();
  const before = fleet.coordinatorId;
  await fleet.run(5000, 800);
  assert.is(fleet.coordinatorId, before);
});

test("no workspace is refused for spending that did not happen", async () => {
  const fleet = await fleetAtRest();
  await fleet.run(5000, 800);
  assert.not.ok(fleet.refusals.includes(ALLOTMENT_REFUSAL));
});

test("requests are placed at the coordinator's capacity", async () => {
  const fleet = await fleetAtRest();
  await fleet.run(2000, 800);
  const before = fleet.placed;
  await fleet.run(3000, 800);
  // 600 messages a second, four for each request that gets a placement.
  assert.ok(fleet.placed - before >= 3 * 600 / 4 * 0.75, String(fleet.placed));
});

test("a killed coordinator under load is replaced within half a second", async () => {
  const fleet = await fleetAtRest();
  await fleet.run(2000, 120);
  fleet.kill(fleet.coordinatorId);
  await fleet.run(500, 120);
  const before = fleet.placed;
  await fleet.run(1000, 120);
  assert.ok(fleet.placed - before >= 110, String(fleet.placed - before));
});

// Guards against an instance that places the whole fleet's requests after the
// loss of the coordinator, from the allotments of one member.
test("requests within their allotment are not refused after the coordinator's loss", async () => {
  const fleet = await fleetAtRest(HALF_ALLOTMENT_COST);
  await fleet.run(2000, 120);
  fleet.kill(fleet.coordinatorId);
  await fleet.run(2000, 120);
  const refused = fleet.refusals.filter((one) => one === ALLOTMENT_REFUSAL);
  assert.equal(refused, []);
});

test.run();
