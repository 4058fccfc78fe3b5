/** Tests that calls to others go on after one was rejected by an error. */

import { Writable } from "node:stream";
import { Coordinator } from "@chestnuthatch/routing/coordinator";
import { MemberView } from "@chestnuthatch/routing/member_view";
import { boardOf, memberOf } from "@chestnuthatch/routing/routing_test_support";
import { test } from "uvu";
import * as assert from "uvu/assert";
import * as z from "zod";
import { EventLog } from "./event_log.ts";
import { GatewayMetrics } from "./gateway_metrics.ts";
import { NO_OP_PLATFORM } from "./gateway_test_support.ts";
import { PeerFetch } from "./peer_fetch.ts";
import type { PlatformPort } from "./ports.ts";
import { RolloutController } from "./rollout_controller.ts";
import { SnapshotKind } from "./snapshot_server.ts";
import { SpendingRecorder } from "./spending_recorder.ts";
import { StoreRecorder } from "./store_recorder.ts";
import { TargetListConfirmation } from "./target_list_confirmation.ts";
import { collectUnhandled } from "./unhandled_errors_test_support.ts";

/** Longer than any delay before a retry. */
const STEP_MS = 5000;
const INVALID_PORT = 65_536;

const clock = { atMs: 0, nowMs: () => clock.atMs };
const log = new EventLog(
  clock,
  "i1",
  new Writable({ write: (_chunk, _encoding, done) => done() }),
);
const board = boardOf(["t1"]);
const coordinator = new Coordinator(board, {
  retryBudget: { ratio: 0.2, slack: 5, windowS: 10 },
  allotmentTolerance: { windowMs: 8000, overage: 0, slack: 0 },
});

/** Number of rejected calls. */
let rejected = 0;

function reject(): Promise<never> {
  rejected++;
  return Promise.reject(new Error("broken call"));
}

const platform: PlatformPort = {
  ...NO_OP_PLATFORM,
  readSpending: reject,
  readTargets: reject,
  writeRolloutStatus: reject,
};

function rolloutController(): RolloutController {
  const controller = new RolloutController({
    board,
    coordinator,
    platform,
    clock,
    log,
    metrics: new GatewayMetrics(),
    reachesStore: () => true,
  });
  const order = { pool: "p", version: "v2", rowVersion: 10, withinMs: STEP_MS };
  controller.ordered(order);
  return controller;
}

/** Starts each kind of call, if none is in progress. */
const CALLS: Readonly<Record<string, () => () => unknown>> = {
  "a read of the list of targets": () => {
    const confirmation = new TargetListConfirmation({
      board,
      coordinator: { awaitsStreams: true },
      platform,
      clock,
      reachesStore: () => true,
      targetsLagMs: () => 0,
      onConfirmed: () => {},
    });
    return () => confirmation.tick();
  },
  "a write of a record": () => {
    const recorder = new StoreRecorder({
      clock,
      minIntervalMs: 1,
      retryDelayMs: 1,
      next: () => [],
      write: reject,
      onFailed: () => {},
    });
    return () => void recorder.record();
  },
  "a read of the record of spending": () => {
    const recorder = new SpendingRecorder({
      members: new MemberView(memberOf("i1")),
      recorderId: "i1.1",
      coordinator,
      platform,
      clock,
      log,
      windowMs: 8000,
    });
    return () => recorder.record();
  },
  "a write of the status of a roll-out": () => {
    const controller = rolloutController();
    return () => controller.tick(1);
  },
  "a fetch from a peer": () => {
    const fetch = new PeerFetch({
      clock,
      log,
      snapshotPort: INVALID_PORT,
    }, {
      kind: SnapshotKind.Targets,
      schema: z.unknown(),
      minIntervalMs: 1,
      onFetched: () => {},
    });
    return () => rejected += Number(fetch.fetchFrom(memberOf("i2")));
  },
};

// Guards against calls that are never made again, as the one that was rejected
// counts as still in progress.
for (const [name, create] of Object.entries(CALLS)) {
  test(`${name} is repeated after one was rejected`, () =>
    collectUnhandled(async (messages) => {
      rejected = 0;
      const start = create();
      for (const expected of [1, 2]) {
        clock.atMs += STEP_MS;
        start();
        await new Promise((resolve) => setImmediate(resolve));
        assert.is(rejected, expected);
        assert.is(messages.length, expected);
      }
    }));
}

test.run();
