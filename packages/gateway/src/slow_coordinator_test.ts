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
  RUN_MS,
} from "./gateway_test_support.ts";
import { PartitionedNetwork } from "./partition_test_support.ts";

const WINDOW_MS = 8000;
const BOUNDS = {
  retryBudget: { ratio: 0.2, slack: 5, windowS: 10 },
  allotmentTolerance: { windowMs: WINDOW_MS, overage: 0, slack: 0 },
};
const ALLOTMENT = { perS: 1000, burst: 0, inTokens: true, plainTokens: 1 };
const IDS = ["i1", "i2", "i3", "i4"];
const TARGET_IDS = Array.from({ length: 10 }, (_, index) => `t${index}`);
const STEP_MS = 20;
const WORK_MS = 100;
/** Answers of a slow instance come after holders have given it up. */
const SLOW_MS = 400;
/** Half of what the allotment gives in a step. */
const COST = 10;

/** A fleet on a manual clock. Heartbeats of the slow instance are in time. */
class Fleet {
  readonly #network = new PartitionedNetwork();
  readonly clock = this.#network.clock;
  readonly refusals: string[] = [];
  slowId = "";
  readonly #nodes = new Map(IDS.map((id) => [id, this.#node(id)]));
  #asked = 0;

  get coordinatorId(): string {
    return this.#nodes.get("i1")!.desk.coordinatorId;
  }

  /** Lets time pass, with one request in each step. */
  run(ms: number): void {
    for (let i = 0; i < ms; i += STEP_MS) {
      this.clock.atMs += STEP_MS;
      this.#network.runDue();
      for (const [id, { members, keeper, desk }] of this.#nodes) {
        members.remembers(id, RUN_MS + this.clock.atMs, this.clock.atMs);
        keeper.tick();
        desk.tick();
      }
      this.#request();
      this.#network.runDue();
    }
  }

  #request(): void {
    const holders = IDS.filter((id) => id !== this.slowId);
    const holderId = holders[this.#asked % holders.length]!;
    const { desk } = this.#nodes.get(holderId)!;
    const askId = `a${this.#asked++}`;
    desk.ask(askOf(askId, { holderId, cost: COST }), (decision) => {
      if ("refusal" in decision) {
        this.refusals.push(`${this.clock.atMs}: ${decision.refusal}`);
        return;
      }
      const { targetId } = decision;
      const end = { askId, targetId, pool: "p", promptTokens: 500 };
      this.#network.schedule(
        WORK_MS,
        () => desk.ended({ ...end, failed: false }),
      );
    });
  }

  #send(fromId: string, toId: string, message: RoutingMessage): void {
    const isLate = fromId === this.slowId && message.kind !== MessageKind.Beat;
    this.#network.schedule(
      isLate ? SLOW_MS : 0,
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
      send: (fromId, toId, message) => this.#send(fromId, toId, message),
    });
  }
}

test("a fleet with a quick coordinator serves what an allotment allows", () => {
  const fleet = new Fleet();
  fleet.run(10_000);
  assert.equal(fleet.refusals, []);
});

test("a coordinator that answers too late is replaced by all", () => {
  const fleet = new Fleet();
  fleet.run(4000);
  fleet.slowId = fleet.coordinatorId;
  fleet.run(6000);
  assert.equal(fleet.refusals, []);
});

test.run();
