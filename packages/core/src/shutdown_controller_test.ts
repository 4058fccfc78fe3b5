import { test } from "uvu";
import * as assert from "uvu/assert";
import { type Effect, EffectKind } from "./effects.ts";
import { EventKind } from "./events.ts";
import {
  createTestCore,
  effectsOf,
  START_MS,
  TEST_SETTINGS,
} from "./test_core.ts";
import { RequestState } from "./request.ts";
import type { SchedulerCore } from "./scheduler_core.ts";
import { statusOf } from "./status.ts";
import { explainRequest } from "./request_explanation.ts";

function createCoreWithRequest(): SchedulerCore {
  const core = createTestCore(["njiro-2"]);
  core.handle({
    kind: EventKind.SettingsRead,
    nowMs: START_MS,
    version: 1,
    content: TEST_SETTINGS,
    changeId: "change-1",
  });
  core.handle({
    kind: EventKind.RequestArrived,
    nowMs: START_MS,
    spec: {
      requestId: "request-1",
      workspace: "shamba-safi",
      tier: "fault-notes",
      pool: "kazi-desk",
      promptTokens: 0,
      idempotent: false,
      stream: false,
      contentHash: "hash",
      blockHashes: [],
    },
  });
  return core;
}

function isComplete(effects: readonly Effect[]): boolean {
  return effectsOf(effects, EffectKind.ShutdownDone).length > 0;
}

test("should complete the shutdown once, when no request is unfinished", () => {
  const core = createCoreWithRequest();
  const request = core.board.requests.byId.get("request-1")!;
  const handleAt = (
    kind: EventKind.Tick | EventKind.ShutdownRequested,
    ms: number,
  ) => core.handle({ kind, nowMs: START_MS + ms });
  assert.not(isComplete(handleAt(EventKind.ShutdownRequested, 1)));
  assert.not(isComplete(handleAt(EventKind.Tick, 50)));
  request.state = RequestState.Answered;
  assert.ok(isComplete(handleAt(EventKind.Tick, 100)));
  assert.not(isComplete(handleAt(EventKind.Tick, 150)));
});

test("should complete the shutdown at once when forced", () => {
  const core = createCoreWithRequest();
  const forced = { kind: EventKind.ShutdownForced, nowMs: START_MS + 1 };
  const effects = core.handle(forced as never);
  assert.ok(isComplete(effects));
  assert.is(effectsOf(effects, EffectKind.RefuseCaller).length, 1);
});

test("should give its status and the explanation of a request as plain JSON", () => {
  const core = createCoreWithRequest();
  const status = statusOf(core.board, START_MS);
  const explanation = explainRequest(core.board, "request-1");
  assert.ok(explanation.known);
  const requestCounts = status.requestsByState;
  assert.is(
    requestCounts.claiming + requestCounts.waiting + requestCounts.dispatched,
    1,
  );
  assert.not.match(JSON.stringify([status, explanation]), /null/);
  assert.not(explainRequest(core.board, "request-2").known);
});

test.run();
