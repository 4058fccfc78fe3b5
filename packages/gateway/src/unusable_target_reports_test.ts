/** Tests of how a holder reports targets that it cannot use. */

import { Agent } from "node:http";
import { type AddressInfo, createServer } from "node:net";
import { Writable } from "node:stream";
import { boardOf, routeOf } from "@chestnuthatch/routing/routing_test_support";
import {
  type AskDecision,
  AskRefusal,
  type WorkAsk,
} from "@chestnuthatch/routing/work_ask";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { AnswerMemory } from "./answer_memory.ts";
import type { CallerReply } from "./caller_reply.ts";
import { EventLog } from "./event_log.ts";
import { GatewayMetrics } from "./gateway_metrics.ts";
import type { GatewayParts } from "./gateway_parts.ts";
import { RoutedRequest } from "./routed_request.ts";

const REFUSED = {
  refusal: AskRefusal.NoTarget,
  retryAfterMs: 1000,
  figures: {},
};

const clock = { nowMs: () => 0 };
const log = new EventLog(
  clock,
  "i1",
  new Writable({ write: (_chunk, _code, done) => done() }),
);

/** @returns The address of a port that refuses connections. */
async function closedAddress(): Promise<string> {
  const server = createServer();
  await new Promise<void>((done) => server.listen(0, "127.0.0.1", done));
  const { port } = server.address() as AddressInfo;
  await new Promise((done) => server.close(done));
  return `127.0.0.1:${port}`;
}

// Guards against a coordinator that does not learn why its placements fail.
test("a holder names a target that has left, and reports one that refuses connections", async () => {
  const board = boardOf(["t1", "t2"]);
  board.targets.announcedLeaving("t1");
  const address = await closedAddress();
  const { removedAtMs: _, ...entry } = board.targets.get("t2")!;
  const row = { targetId: "t2", rowVersion: 9, entry: { ...entry, address } };
  board.targets.apply([row], 0);
  const reports: unknown[] = [];
  const placements = ["t1", "t2"];
  await new Promise<void>((onDone) => {
    const parts = {
      answerMemory: new AnswerMemory(),
      board,
      clock,
      log,
      metrics: new GatewayMetrics(),
      nextAskId: () => `a${placements.length}`,
      onPlacedAtLeavingTarget: () => {},
      agentFor: () => new Agent(),
      protocol: { forwardHeaders: () => [] },
      reachability: { relayFor: () => undefined, findRelay: () => undefined },
      placementClient: {
        ask: (ask: WorkAsk, decide: (decision: AskDecision) => void) => {
          const targetId = placements.shift();
          decide(
            targetId === undefined
              ? { ...ask, ...REFUSED }
              : { ...ask, targetId, expectedMs: 50, cameBackMs: 0 },
          );
        },
        drop: (...args: unknown[]) => reports.push(args),
        reportEnd: ({ targetId, unreachable }: Record<string, unknown>) =>
          reports.push([targetId, unreachable]),
      },
    } as unknown as GatewayParts;
    new RoutedRequest(parts, {
      call: {
        facts: { requestId: "q1", key: "k1", promptParts: [] },
        route: routeOf(),
        pool: "p",
        configurationVersion: 1,
        method: "GET",
        path: "/r/",
        rawHeaders: [],
        arrivedAtMs: 0,
      },
      reply: { hasBegun: false, sendError: () => {} } as unknown as CallerReply,
      onDone,
    }).start();
  });
  assert.equal(reports, [["a2", "t1"], ["t2", true]]);
});

test.run();
