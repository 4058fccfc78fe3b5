/** Tests of the engine model. */

import {
  type EngineEvent,
  EngineEventKind,
  type GenerateRequest,
  OrderKind,
} from "@chestnuthatch/wire/target_protocol";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { EngineModel, type EngineOutput } from "./engine_model.ts";
import type { EngineModelOptions } from "./engine_options.ts";
import { seededRandomSource } from "@chestnuthatch/core/random_source";

const MAX_STEPS = 100_000;
const OPTIONS: EngineModelOptions = {
  targetId: "msaidizi-1",
  model: "msaidizi",
  slots: 2,
  kvTokens: 10_000,
  prefillTokensPerSecond: 1_000,
  decodeTokensPerSecond: 100,
  decodeSlowdownPerStream: 0.5,
  blockTokens: 64,
  prefixCacheTokens: 640,
  loadLagMs: 500,
  cacheEventLagMs: 1_000,
  cacheEventLossShare: 0,
  checksFencing: true,
  seed: 7,
};

function engine(changes: Partial<EngineModelOptions> = {}): EngineModel {
  return new EngineModel({ ...OPTIONS, ...changes });
}

function request(
  requestId: string,
  changes: Partial<GenerateRequest> = {},
): GenerateRequest {
  return {
    requestId,
    attemptNonce: `${requestId}-a`,
    model: "msaidizi",
    prompt: `stuck in maize ${requestId} [output=10]`,
    promptTokens: 100,
    maxOutputTokens: 20,
    blockHashes: [],
    ...changes,
  };
}

function runToEnd(model: EngineModel): EngineOutput[] {
  const outputs: EngineOutput[] = [];
  for (let i = 0; i < MAX_STEPS; i++) {
    const nextAtMs = model.nextEventAtMs();
    if (nextAtMs === undefined) {
      return outputs;
    }
    outputs.push(...model.advance(nextAtMs));
  }
  throw new Error("the engine never came to rest");
}

function textOf(events: readonly EngineEvent[]): string {
  return events.map((event) =>
    event.kind === EngineEventKind.Token ? event.text : ""
  ).join("");
}

test("should give a whole answer at the rates of the engine", () => {
  const model = engine();
  model.admit(request("r1", { idempotencyKey: "k1" }), 1_000);
  const outputs = runToEnd(model);
  assert.is(outputs[0].event.kind, EngineEventKind.Start);
  assert.is(Math.round(outputs[0].atMs), 1_100);
  const last = outputs[outputs.length - 1];
  assert.equal(last.event, {
    kind: EngineEventKind.End,
    requestId: "r1",
    attemptNonce: "r1-a",
    outputTokens: 10,
  });
  assert.is(Math.round(last.atMs), 1_200);
  assert.match(textOf(outputs.map(({ event }) => event)), /^\[r1\|.*maize r1/);
  assert.is(model.counts.dispatchesByRequestId.get("r1"), 1);
  assert.is(model.counts.runsByKey.get("k1"), 1);
  assert.is(model.counts.promptTokensPrefilled, 100);
  assert.is(model.counts.tokensGenerated, 10);
  assert.is(model.counts.maxKvUsedTokens, 110);
});

test("should give the same text and times when tokens are coalesced", () => {
  const [one, whole] = [false, true].map((coalesceTokens) => {
    const model = engine({ coalesceTokens });
    ["r1", "r2", "r3"].forEach((id, i) => model.admit(request(id), i * 30));
    return runToEnd(model);
  });
  const endsOf = (outputs: EngineOutput[]) =>
    outputs.filter(({ event }) => event.kind === EngineEventKind.End)
      .map(({ requestId, atMs }) => [requestId, Math.round(atMs * 1_000)]);
  const textsOf = (outputs: EngineOutput[]) =>
    ["r1", "r2", "r3"].map((id) =>
      textOf(outputs.filter((o) => o.requestId === id).map((o) => o.event))
    );
  assert.equal(endsOf(whole), endsOf(one));
  assert.equal(textsOf(whole), textsOf(one));
  assert.is(whole.length, 9);
});

test("should never exceed its KV memory or slots, and leave nobody out", () => {
  const model = engine({ slots: 4, kvTokens: 2_000 });
  const randomness = seededRandomSource(3);
  const ids = Array.from({ length: 200 }, (_, i) => `r${i}`);
  const events: EngineOutput[] = [];
  ids.forEach((id, i) => {
    const promptTokens = 1 + Math.floor(randomness.next() * 1_500);
    const prompt = "no length named";
    const maxOutputTokens = 1 + Math.floor(randomness.next() * 400);
    model.admit(
      request(id, { prompt, promptTokens, maxOutputTokens }),
      i * 50,
    );
    events.push(...model.advance(i * 50));
    assert.ok(model.load(i * 50).slotsUsed <= 4);
  });
  events.push(...runToEnd(model));
  const ends = events.filter(({ event }) => event.kind === EngineEventKind.End);
  assert.equal(new Set(ends.map((end) => end.requestId)), new Set(ids));
  assert.is(ends.length, ids.length);
  assert.ok(model.counts.maxKvUsedTokens <= 2_000);
  assert.ok(
    events.every(({ atMs }, i) => i === 0 || events[i - 1].atMs <= atMs),
  );
});

test("should refuse as not run what it can never hold", () => {
  const model = engine();
  model.admit(request("r1", { promptTokens: 9_990 }), 0);
  model.admit(request("r2", { model: "another" }), 0);
  const events = model.advance(0).map(({ event }) => event);
  const notRun = events.map((event) =>
    event.kind === EngineEventKind.Error && event.notRun
  );
  assert.equal(notRun, [true, true]);
  assert.is(model.counts.runsByRequestId.size, 0);
  assert.is(model.counts.dispatchesByRequestId.get("r1"), 1);
});

test("should tell whether a cancelled request had run", () => {
  const model = engine({ slots: 1 });
  model.admit(request("running"), 0);
  model.admit(request("waiting"), 0);
  model.admit(request("next"), 0);
  const refOf = (requestId: string) => ({
    requestId,
    attemptNonce: `${requestId}-a`,
  });
  assert.ok(model.cancel(refOf("waiting"), 40));
  assert.ok(model.cancel(refOf("running"), 50));
  assert.not(model.cancel(refOf("running"), 50));
  const notRun = model.advance(50).map(({ requestId, event }) => [
    requestId,
    event.kind === EngineEventKind.Error && event.notRun,
  ]);
  assert.equal(notRun, [["waiting", true], ["running", false]]);
  assert.is(model.counts.promptTokensPrefilled, 50);
  assert.equal([...model.counts.runsByRequestId.keys()], ["running", "next"]);
  assert.is(model.counts.cancelled, 2);
});

test("should resume a stream from a token while it runs and after", () => {
  const model = engine();
  model.admit(request("r1"), 0);
  const attempt = { requestId: "r1", attemptNonce: "r1-a" };
  const before = model.advance(145).map(({ event }) => event);
  const running = model.resume(attempt, 2) ?? [];
  assert.is(running.length, 2);
  const after = runToEnd(model).map(({ event }) => event);
  const ended = model.resume(attempt, 4) ?? [];
  assert.equal(ended, after);
  const whole = textOf(model.resume(attempt, 0) ?? []);
  assert.is(textOf([...before, ...ended]), whole);
  const unknown = { ...attempt, attemptNonce: "other" };
  assert.is(model.resume(unknown, 0), undefined);
});

test("should work only the part of a prompt that is not cached", () => {
  const model = engine();
  const blockHashes = ["b0", "b1"];
  const shared = { promptTokens: 200, blockHashes };
  model.admit(request("r1", shared), 0);
  runToEnd(model);
  model.admit(request("r2", shared), 5_000);
  const start = model.advance(10_000)[0].event;
  assert.ok(start.kind === EngineEventKind.Start);
  assert.is(start.cachedTokens, 128);
  assert.is(start.prefilledTokens, 72);
  assert.is(model.counts.promptTokensPrefilled, 272);
});

test("should publish cache events late and with gaps", () => {
  const blocks = Array.from({ length: 30 }, (_, i) => `b${i}`);
  const model = engine({ cacheEventLossShare: 0.5, cacheEventLagMs: 1_000 });
  model.admit(request("r1", { blockHashes: blocks.slice(0, 10) }), 0);
  model.advance(100);
  assert.is(model.cacheEvents(0, 1_000).events.length, 0);
  const { events, lastSequence } = model.cacheEvents(0, 1_200);
  assert.ok(events.length > 0 && events.length < 10);
  assert.is(lastSequence, events.at(-1)?.sequence);
  assert.is(model.cacheEvents(lastSequence, 1_200).events.length, 0);
});

test("should report the load of some time ago", () => {
  const model = engine();
  model.admit(request("r1"), 1_000);
  assert.is(model.load(1_499).slotsUsed, 0);
  const load = model.load(1_650);
  assert.is(load.slotsUsed, 1);
  assert.is(load.kvUsedTokens, 105);
  assert.is(load.ageMs, 500);
  model.setLeaving(true, 1_700);
  assert.not(model.load(2_199).leaving);
  assert.ok(model.load(2_200).leaving);
  model.admit(request("r2"), 2_500);
  assert.equal(model.counts.dispatchesAfterLeavingMs, [800]);
});

test("should slow down as a straggler", () => {
  const model = engine();
  model.admit(request("r1"), 0);
  model.setSlowdown(10, 50);
  const outputs = runToEnd(model);
  assert.is(Math.round(outputs[0].atMs), 550);
  assert.is(Math.round(outputs[outputs.length - 1].atMs), 1_550);
});

test("should lose everything when killed", () => {
  const model = engine();
  model.admit(request("r1"), 0);
  model.kill(50);
  assert.not(model.admit(request("r2"), 60));
  assert.is(model.nextEventAtMs(), undefined);
  model.revive(100);
  assert.is(model.resume(request("r1"), 0), undefined);
  assert.is(model.counts.promptTokensPrefilledByRequestId.get("r1"), 50);
  assert.ok(model.admit(request("r3"), 100));
  assert.is(runToEnd(model).at(-1)?.event.kind, EngineEventKind.End);
});

test("should check fencing numbers only where told to", () => {
  const order = (fencingNumber: number) => ({
    orderId: `o${fencingNumber}`,
    fencingNumber,
    kind: OrderKind.SetVersion,
    value: `v${fencingNumber}`,
  });
  const checking = engine();
  assert.ok(checking.order(order(5)).obeyed);
  assert.not(checking.order(order(4)).obeyed);
  assert.is(checking.state().version, "v5");
  assert.equal(checking.counts.ordersObeyed, [5]);
  const ignoring = engine({ checksFencing: false });
  ignoring.order(order(5));
  assert.ok(ignoring.order(order(4)).obeyed);
  assert.is(ignoring.state().version, "v4");
});

test.run();
