/** Tests of requests that get their placement while the instance stops. */

import { Agent } from "node:http";
import { Writable } from "node:stream";
import { RequestKind } from "@chestnuthatch/routing/fleet_configuration";
import { RoutedError } from "@chestnuthatch/routing/routed_error";
import { boardOf, routeOf } from "@chestnuthatch/routing/routing_test_support";
import type { AskDecision, WorkAsk } from "@chestnuthatch/routing/work_ask";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { AnswerMemory } from "./answer_memory.ts";
import type { CallerReply, ErrorFacts } from "./caller_reply.ts";
import { EventLog } from "./event_log.ts";
import { GatewayMetrics } from "./gateway_metrics.ts";
import type { GatewayParts } from "./gateway_parts.ts";
import { RoutedRequest } from "./routed_request.ts";
import { RunDurations } from "./run_durations.ts";

const RUN_MS = 2400;

/** A request of a route whose runs take `RUN_MS`, and what became of it. */
class WaitingRequest {
  leftMs = Infinity;
  placementCount = 0;
  readonly answers: unknown[] = [];
  readonly droppedIds: string[] = [];
  readonly request: RoutedRequest;
  readonly board = boardOf(["t1"]);
  #decide?: (targetId: string) => void;

  constructor() {
    const clock = { nowMs: () => 0 };
    const output = new Writable({ write: (_chunk, _code, done) => done() });
    const runDurations = new RunDurations();
    for (let run = 0; run < 20; run++) {
      runDurations.record({ route: "r", units: 1 }, RUN_MS);
    }
    const parts = {
      answerMemory: new AnswerMemory(),
      board: this.board,
      clock,
      log: new EventLog(clock, "i1", output),
      metrics: new GatewayMetrics(),
      onPlacedAtLeavingTarget: () => {},
      nextAskId: () => "a1",
      agentFor: () => new Agent(),
      protocol: { forwardHeaders: () => [] },
      reachability: { relayFor: () => undefined, findRelay: () => undefined },
      placementClient: {
        ask: (ask: WorkAsk, decide: (decision: AskDecision) => void) => {
          this.#decide = (targetId) =>
            decide({ ...ask, targetId, expectedMs: 50, cameBackMs: 0 });
        },
        drop: (askId: string) => this.droppedIds.push(askId),
        reportEnd: () => {},
      },
    } as unknown as GatewayParts;
    const reply = {
      hasBegun: false,
      sendError: (error: RoutedError, { retryAfterMs }: ErrorFacts) =>
        this.answers.push([error, retryAfterMs]),
    };
    const route = routeOf({ kind: RequestKind.Stream });
    this.request = new RoutedRequest(parts, {
      call: {
        facts: { requestId: "q1", key: "k1", promptParts: [] },
        route,
        pool: "p",
        configurationVersion: 1,
        method: "GET",
        path: "/r/",
        rawHeaders: [],
        arrivedAtMs: 0,
      } as unknown as ConstructorParameters<typeof RoutedRequest>[1]["call"],
      reply: reply as unknown as CallerReply,
      stop: { runDurations, leftMs: () => this.leftMs },
      onDone: () => {},
    });
    this.request.start();
  }

  place(): void {
    this.#decide!("t1");
  }

  assertRefused(): void {
    assert.is(this.request.runCount, 0);
    assert.equal(this.answers, [[RoutedError.Leaving, 50]]);
    assert.equal(this.droppedIds, ["a1"]);
  }
}

// Guards against a stream that waited for a slot, was sent late and was cut.
test("a placement that comes too late in the stop is returned, not used", () => {
  const waiting = new WaitingRequest();
  waiting.leftMs = RUN_MS;
  waiting.place();
  waiting.request.abort();
  waiting.assertRefused();
});

// Guards against requests that wait until the end of the stop for a refusal.
test("a request that waits is refused once it would not finish", () => {
  const waiting = new WaitingRequest();
  waiting.leftMs = 3 * RUN_MS;
  waiting.request.refuseIfTooLate();
  assert.equal(waiting.answers, []);
  waiting.leftMs = RUN_MS;
  waiting.request.refuseIfTooLate();
  waiting.assertRefused();
});

// Guards against another ask that is placed too late, after a failed attempt.
test("a request whose target is gone is refused if another run would not finish", () => {
  const waiting = new WaitingRequest();
  waiting.board.targets.announcedLeaving("t1");
  waiting.leftMs = RUN_MS;
  waiting.place();
  waiting.assertRefused();
});

test("a placement that leaves enough time is used", () => {
  const waiting = new WaitingRequest();
  waiting.leftMs = 3 * RUN_MS;
  waiting.place();
  assert.is(waiting.request.runCount, 1);
  waiting.request.abort();
});

test.run();
