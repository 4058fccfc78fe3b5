/** Tests of the ask that is built for a request. */

import { Buffer } from "node:buffer";
import {
  RequestKind,
  type RoutePolicy,
} from "@chestnuthatch/routing/fleet_configuration";
import {
  boardOf,
  memberOf,
  routeOf,
} from "@chestnuthatch/routing/routing_test_support";
import { AskCause } from "@chestnuthatch/routing/work_ask";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { AnsweredParts } from "./answered_parts.ts";
import { fingerprintOf } from "./crash_keys.ts";
import type { GatewayParts } from "./gateway_parts.ts";
import { type RoutedCall, streamPatienceMs } from "./routed_call.ts";
import { poolBackoffMs, workAskOf } from "./work_ask_of.ts";

const CALL: RoutedCall = {
  facts: { requestId: "q1", key: "k1", promptParts: [] },
  route: routeOf(),
  workspace: { name: "w", rank: 0, keys: ["k1", "k2"] },
  pool: "p",
  configurationVersion: 1,
  method: "POST",
  path: "/r/of-a-field",
  rawHeaders: [],
  body: Buffer.from("a body"),
  arrivedAtMs: 0,
};
const FACTS = {
  cause: AskCause.First,
  isCharged: false,
  triedTargetIds: new Set<string>(),
  stream: {},
};

/** The parts of an instance that an ask is built from. */
function partsOf(): GatewayParts {
  const parts = {
    board: boardOf(["t1"]),
    answeredParts: new AnsweredParts(),
    clock: { nowMs: () => 0 },
    failureDomain: "a",
    nextAskId: () => "a1",
  };
  return parts as unknown as GatewayParts;
}

test("an ask has no fingerprint while no request is a suspect", () => {
  const parts = partsOf();
  assert.not.ok("fingerprint" in workAskOf(parts, CALL, FACTS));
  const suspect = { fingerprint: "of another", inTrial: false };
  for (const process of ["t1", "t2"]) {
    parts.board.suspects.targetEnded({ ...suspect, process }, 0);
  }
  const { fingerprint } = workAskOf(parts, CALL, FACTS);
  assert.is(fingerprint, fingerprintOf(CALL));
});

test("a caller's attempts share a fingerprint, similar requests do not", () => {
  const again = {
    ...CALL,
    facts: { ...CALL.facts, requestId: "q2", key: "k2" },
  };
  assert.is(fingerprintOf(again), fingerprintOf(CALL));
  const others: RoutedCall[] = [
    { ...CALL, body: Buffer.from("b body") },
    { ...CALL, body: undefined },
    { ...CALL, path: "/r/of-a-garden" },
    { ...CALL, method: "PUT" },
    { ...CALL, workspace: { ...CALL.workspace!, name: "v" } },
  ];
  const all = new Set([CALL, ...others].map(fingerprintOf));
  assert.is(all.size, others.length + 1);
});

// Guards against failing a stream that lost its target as soon as no slot is
// free, while its caller still waits. That happened when the caller's patience
// was counted from the request's arrival: a stream lasts much longer, and its
// caller disconnects only after a gap of that length.
test("a caller's patience with a begun stream counts from its last event", () => {
  const parts = { ...partsOf(), clock: { nowMs: () => 5000 } };
  const unbegun = workAskOf(parts, CALL, FACTS);
  assert.ok(unbegun.patienceLeftMs < 0);
  const begun = workAskOf(parts, CALL, { ...FACTS, lastEventAtMs: 4900 });
  const { route } = CALL;
  const patienceMs = streamPatienceMs(route) - 100 - route.objectiveMs / 2;
  assert.is(begun.patienceLeftMs, patienceMs);
});

test("a backoff applies where health would exclude all targets", () => {
  const parts = { ...partsOf(), board: boardOf(["t1", "t2"]) };
  const { health, backoffs } = parts.board;
  health.failed("t2", true, 0);
  assert.equal(workAskOf(parts, CALL, FACTS).excluded, ["t2"]);
  backoffs.requested("t1", 3000, 0);
  assert.equal(workAskOf(parts, CALL, FACTS).excluded, ["t1"]);
});

test("health is ignored where it would exclude all targets of a version", () => {
  const parts = partsOf();
  const { targets, health } = parts.board;
  const entry = { ...targets.get("t1")!, targetId: "t2", version: "v2" };
  targets.apply([{ targetId: "t2", rowVersion: 9, entry }], 0);
  health.failed("t1", true, 0);
  const excludedFor = (version?: string) =>
    workAskOf(parts, CALL, { ...FACTS, stream: { version } }).excluded;
  assert.equal(excludedFor(undefined), ["t1"]);
  assert.equal(excludedFor("v2"), ["t1"]);
  assert.equal(excludedFor("v1"), []);
});

test("with all targets in backoff, callers retry after the shortest one", () => {
  const parts = { ...partsOf(), board: boardOf(["t1", "t2"]) };
  const { backoffs } = parts.board;
  backoffs.requested("t1", 3000, 0);
  assert.is(poolBackoffMs(parts, CALL), undefined);
  backoffs.requested("t2", 2000, 0);
  const waitsMs = ["q1", "q2", "q3", "q4"].map((requestId) =>
    poolBackoffMs(parts, { ...CALL, facts: { ...CALL.facts, requestId } })!
  );
  assert.ok(waitsMs.every((ms) => ms >= 2000 && ms < 2500), waitsMs.join());
  assert.is(new Set(waitsMs).size, 4);
});

// Guards against asks of small fleets that differ from before, and against a
// limit of 0 for routes that state none or have no events.
test("an ask has its route's longest gap in a large fleet only", () => {
  const parts = partsOf();
  const gapOf = (over: Partial<RoutePolicy>) => {
    const call = { ...CALL, route: routeOf({ longestGapMs: 300, ...over }) };
    return workAskOf(parts, call, FACTS).longestGapMs;
  };
  assert.is(gapOf({}), undefined);
  for (let i = 0; i < 60; i++) {
    parts.board.members.heartbeatReceived(memberOf(`h${i}`), 0);
  }
  assert.is(gapOf({}), 300);
  assert.is(gapOf({ longestGapMs: 0 }), undefined);
  assert.is(gapOf({ kind: RequestKind.Repeatable }), undefined);
});

test.run();
