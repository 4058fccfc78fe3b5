import { test } from "uvu";
import * as assert from "uvu/assert";
import { type Effect, EffectKind } from "./effects.ts";
import { EventKind } from "./events.ts";
import {
  effectsOf,
  makeFakeCore,
  START_MS,
  TEST_SETTINGS,
} from "./fake_core.ts";
import { RequestState } from "./request.ts";
import type { SchedulerCore } from "./scheduler_core.ts";
import { statusOf } from "./status.ts";
import { explainRequest } from "./request_explanation.ts";

function coreWithRequest(): SchedulerCore {
  const core = makeFakeCore(["njiro-2"]);
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

function isDone(effects: readonly Effect[]): boolean {
  return effectsOf(effects, EffectKind.ShutdownDone).length > 0;
}

test("should end only when nothing it holds is unfinished, and once", () => {
  const core = coreWithRequest();
  const held = core.board.requests.byId.get("request-1")!;
  const at = (kind: EventKind.Tick | EventKind.ShutdownRequested, ms: number) =>
    core.handle({ kind, nowMs: START_MS + ms });
  assert.not(isDone(at(EventKind.ShutdownRequested, 1)));
  assert.not(isDone(at(EventKind.Tick, 50)));
  held.state = RequestState.Answered;
  assert.ok(isDone(at(EventKind.Tick, 100)));
  assert.not(isDone(at(EventKind.Tick, 150)));
});

test("should end at once when forced", () => {
  const core = coreWithRequest();
  const forced = { kind: EventKind.ShutdownForced, nowMs: START_MS + 1 };
  const effects = core.handle(forced as never);
  assert.ok(isDone(effects));
  assert.is(effectsOf(effects, EffectKind.RefuseCaller).length, 1);
});

test("should tell its status and a request's story as plain JSON", () => {
  const core = coreWithRequest();
  const status = statusOf(core.board, START_MS);
  const story = explainRequest(core.board, "request-1");
  assert.ok(story.known);
  const open = status.requestsByState;
  assert.is(open.claiming + open.waiting + open.dispatched, 1);
  assert.not.match(JSON.stringify([status, story]), /null/);
  assert.not(explainRequest(core.board, "request-2").known);
});

test.run();
