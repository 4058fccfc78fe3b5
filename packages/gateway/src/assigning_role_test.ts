import {
  MessageKind,
  type RoutingMessage,
} from "@chestnuthatch/routing/peer_messages";
import { memberOf } from "@chestnuthatch/routing/routing_test_support";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { fleetNode } from "./gateway_test_support.ts";

const STEP_MS = 20;

// Guards against an instance that takes itself for the only one, and whose
// account and record replace those of the fleet.
test("an instance that has just started announces no account of spending", () => {
  let nowMs = 0;
  const announcedAtMs: number[] = [];
  const node = fleetNode("i1", {
    clock: { nowMs: () => nowMs },
    bounds: {
      retryBudget: { ratio: 0.2, slack: 5, windowS: 10 },
      allotmentTolerance: { windowMs: 8000, overage: 0, slack: 0 },
    },
    allotment: { perS: 1000, burst: 0, inTokens: true, plainTokens: 1 },
    targetIds: ["t1"],
    seedIds: [],
    startedAtMs: 0,
    send: (_fromId: string, _toId: string, message: RoutingMessage) => {
      if (message.kind === MessageKind.Heartbeat && message.spending) {
        announcedAtMs.push(nowMs);
      }
    },
  });
  // Listed by the platform, but not heard yet.
  node.members.memberReported(memberOf("i2"), { nowMs, ageMs: 0 });
  for (; nowMs <= 1000; nowMs += STEP_MS) {
    node.tick();
  }
  assert.ok(announcedAtMs.length > 0);
  assert.ok(announcedAtMs[0]! >= 300, `${announcedAtMs[0]} ms`);
});

test.run();
