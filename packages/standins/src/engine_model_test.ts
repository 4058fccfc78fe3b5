/** Tests of {@link EngineModel}: phases, rates, limits, faults and orders. */

import {
  type EngineEvent,
  EngineEventKind,
  type GenerateRequest,
  OrderKind,
} from "@chestnuthatch/wire/target_protocol";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { EngineModel, type EngineOutput } from "./engine_model.ts";
import type { EngineModelOptions } from "./engine_model_options.ts";
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

function createEngine(changes: Partial<EngineModelOptions> = {}): EngineModel {
  return new EngineModel({ ...OPTIONS, ...changes });
}

function createRequest(
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

function advanceToEnd(model: EngineModel): EngineOutput[] {
  const outputs: EngineOutput[] = [];
  for (let i = 0; i < MAX_STEPS; i++) {
    const nextAtMs = model.nextOutputAtMs();
    if (nextAtMs === undefined) {
      return outputs;
    }
    outputs.push(...model.advance(nextAtMs));
  }
  throw new Error(
    "the engine still had outputs after the maximum number of steps",
  );
}

function joinText(events: readonly EngineEvent[]): string {
  return events.map((event) =>
    event.kind === EngineEventKind.Token ? event.text : ""
  ).join("");
}

test("should emit a whole answer at the configured rates", () => {
  const model = createEngine();
  model.submit(createRequest("r1", { idempotencyKey: "k1" }), 1_000);
  const outputs = advanceToEnd(model);
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
  assert.match(
    joinText(outputs.map(({ event }) => event)),
    /^\[r1\|.*maize r1/,
  );
  assert.is(model.counts.dispatchesByRequestId.get("r1"), 1);
  assert.is(model.counts.runsByKey.get("k1"), 1);
  assert.is(model.counts.promptTokensPrefilled, 100);
  assert.is(model.counts.tokensGenerated, 10);
  assert.is(model.counts.maxKvUsedTokens, 110);
});

test("should emit the same texts and times when tokens are coalesced", () => {
  const [one, whole] = [false, true].map((coalesceTokens) => {
    const model = createEngine({ coalesceTokens });
    ["r1", "r2", "r3"].forEach((id, i) =>
      model.submit(createRequest(id), i * 30)
    );
    return advanceToEnd(model);
  });
  const endsOf = (outputs: EngineOutput[]) =>
    outputs.filter(({ event }) => event.kind === EngineEventKind.End)
      .map(({ requestId, atMs }) => [requestId, Math.round(atMs * 1_000)]);
  const textsOf = (outputs: EngineOutput[]) =>
    ["r1", "r2", "r3"].map((id) =>
      joinText(outputs.filter((o) => o.requestId === id).map((o) => o.event))
    );
  assert.equal(endsOf(whole), endsOf(one));
  assert.equal(textsOf(whole), textsOf(one));
  assert.is(whole.length, 9);
});

test("should never exceed KV memory or slots, and answer every request", () => {
  const model = createEngine({ slots: 4, kvTokens: 2_000 });
  const randomness = seededRandomSource(3);
  const ids = Array.from({ length: 200 }, (_, i) => `r${i}`);
  const events: EngineOutput[] = [];
  ids.forEach((id, i) => {
    const promptTokens = 1 + Math.floor(randomness.next() * 1_500);
    const prompt = "no length named";
    const maxOutputTokens = 1 + Math.floor(randomness.next() * 400);
    model.submit(
      createRequest(id, { prompt, promptTokens, maxOutputTokens }),
      i * 50,
    );
    events.push(...model.advance(i * 50));
    assert.ok(model.load(i * 50).slotsUsed <= 4);
  });
  events.push(...advanceToEnd(model));
  const ends = events.filter(({ event }) => event.kind === EngineEventKind.End);
  assert.equal(new Set(ends.map((end) => end.requestId)), new Set(ids));
  assert.is(ends.length, ids.length);
  assert.ok(model.counts.maxKvUsedTokens <= 2_000);
  assert.ok(
    events.every(({ atMs }, i) => i === 0 || events[i - 1].atMs <= atMs),
  );
});

test("should reject requests that it can never run, marked as not run", () => {
  const model = createEngine();
  model.submit(createRequest("r1", { promptTokens: 9_990 }), 0);
  model.submit(createRequest("r2", { model: "another" }), 0);
  const events = model.advance(0).map(({ event }) => event);
  const notRun = events.map((event) =>
    event.kind === EngineEventKind.Error && event.notRun
  );
  assert.equal(notRun, [true, true]);
  assert.is(model.counts.runsByRequestId.size, 0);
  assert.is(model.counts.dispatchesByRequestId.get("r1"), 1);
});

test("should report whether a cancelled request had run", () => {
  const model = createEngine({ slots: 1 });
  model.submit(createRequest("running"), 0);
  model.submit(createRequest("waiting"), 0);
  model.submit(createRequest("next"), 0);
  const createAttemptRef = (requestId: string) => ({
    requestId,
    attemptNonce: `${requestId}-a`,
  });
  assert.ok(model.cancel(createAttemptRef("waiting"), 40));
  assert.ok(model.cancel(createAttemptRef("running"), 50));
  assert.not(model.cancel(createAttemptRef("running"), 50));
  const notRun = model.advance(50).map(({ requestId, event }) => [
    requestId,
    event.kind === EngineEventKind.Error && event.notRun,
  ]);
  assert.equal(notRun, [["waiting", true], ["running", false]]);
  assert.is(model.counts.promptTokensPrefilled, 50);
  assert.equal([...model.counts.runsByRequestId.keys()], ["running", "next"]);
  assert.is(model.counts.cancelled, 2);
});

test("should resume a stream from a token, both running and ended", () => {
  const model = createEngine();
  model.submit(createRequest("r1"), 0);
  const attempt = { requestId: "r1", attemptNonce: "r1-a" };
  const before = model.advance(145).map(({ event }) => event);
  const running = model.resume(attempt, 2) ?? [];
  assert.is(running.length, 2);
  const after = advanceToEnd(model).map(({ event }) => event);
  const ended = model.resume(attempt, 4) ?? [];
  assert.equal(ended, after);
  const whole = joinText(model.resume(attempt, 0) ?? []);
  assert.is(joinText([...before, ...ended]), whole);
  const unknown = { ...attempt, attemptNonce: "other" };
  assert.is(model.resume(unknown, 0), undefined);
});

test("should prefill only the part of a prompt that is not cached", () => {
  const model = createEngine();
  const blockHashes = ["b0", "b1"];
  const shared = { promptTokens: 200, blockHashes };
  model.submit(createRequest("r1", shared), 0);
  advanceToEnd(model);
  model.submit(createRequest("r2", shared), 5_000);
  const start = model.advance(10_000)[0].event;
  assert.ok(start.kind === EngineEventKind.Start);
  assert.is(start.cachedTokens, 128);
  assert.is(start.prefilledTokens, 72);
  assert.is(model.counts.promptTokensPrefilled, 272);
});

test("should publish cache events after a delay and with gaps", () => {
  const blocks = Array.from({ length: 30 }, (_, i) => `b${i}`);
  const model = createEngine({
    cacheEventLossShare: 0.5,
    cacheEventLagMs: 1_000,
  });
  model.submit(createRequest("r1", { blockHashes: blocks.slice(0, 10) }), 0);
  model.advance(100);
  assert.is(model.cacheEvents(0, 1_000).events.length, 0);
  const { events, lastSequence } = model.cacheEvents(0, 1_200);
  assert.ok(events.length > 0 && events.length < 10);
  assert.is(lastSequence, events.at(-1)?.sequence);
  assert.is(model.cacheEvents(lastSequence, 1_200).events.length, 0);
});

test("should report the load as it was one lag before", () => {
  const model = createEngine();
  model.submit(createRequest("r1"), 1_000);
  assert.is(model.load(1_499).slotsUsed, 0);
  const load = model.load(1_650);
  assert.is(load.slotsUsed, 1);
  assert.is(load.kvUsedTokens, 105);
  assert.is(load.ageMs, 500);
  model.setLeaving(true, 1_700);
  assert.not(model.load(2_199).leaving);
  assert.ok(model.load(2_200).leaving);
  model.submit(createRequest("r2"), 2_500);
  assert.equal(model.counts.dispatchesAfterLeavingMs, [800]);
});

test("should work slower as a straggler", () => {
  const model = createEngine();
  model.submit(createRequest("r1"), 0);
  model.setSlowdown(10, 50);
  const outputs = advanceToEnd(model);
  assert.is(Math.round(outputs[0].atMs), 550);
  assert.is(Math.round(outputs[outputs.length - 1].atMs), 1_550);
});

test("should lose all work when killed, and work after a restart", () => {
  const model = createEngine();
  model.submit(createRequest("r1"), 0);
  model.kill(50);
  assert.not(model.submit(createRequest("r2"), 60));
  assert.is(model.nextOutputAtMs(), undefined);
  model.restart(100);
  assert.is(model.resume(createRequest("r1"), 0), undefined);
  assert.is(model.counts.promptTokensPrefilledByRequestId.get("r1"), 50);
  assert.ok(model.submit(createRequest("r3"), 100));
  assert.is(advanceToEnd(model).at(-1)?.event.kind, EngineEventKind.End);
});

test("should refuse outdated fencing numbers only if configured to", () => {
  const createOrder = (fencingNumber: number) => ({
    orderId: `o${fencingNumber}`,
    fencingNumber,
    kind: OrderKind.SetVersion,
    value: `v${fencingNumber}`,
  });
  const checking = createEngine();
  assert.ok(checking.applyOrder(createOrder(5)).obeyed);
  assert.not(checking.applyOrder(createOrder(4)).obeyed);
  assert.is(checking.state().version, "v5");
  assert.equal(checking.counts.ordersObeyed, [5]);
  const ignoring = createEngine({ checksFencing: false });
  ignoring.applyOrder(createOrder(5));
  assert.ok(ignoring.applyOrder(createOrder(4)).obeyed);
  assert.is(ignoring.state().version, "v4");
});

test.run();
