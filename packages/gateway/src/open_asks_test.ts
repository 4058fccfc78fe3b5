import { askOf } from "@chestnuthatch/routing/routing_test_support";
import { test } from "uvu";
import * as assert from "uvu/assert";
import {
  isUnsent,
  MAX_UNACKNOWLEDGED_ASKS,
  maxWaitMs,
  NO_COORDINATOR,
  type OpenAsk,
  OpenAsks,
} from "./open_asks.ts";

function openAskOf(
  askId: string,
  overrides: Parameters<typeof askOf>[1] = {},
): OpenAsk {
  return {
    ask: askOf(askId, overrides),
    openedAtMs: 0,
    onDecision: () => {},
    coordinatorId: NO_COORDINATOR,
    sentAtMs: 0,
    firstSentAtMs: 0,
    acknowledged: false,
    resendAfterMs: 40,
  };
}

function openAsksWith(asks: readonly OpenAsk[]): OpenAsks {
  const openAsks = new OpenAsks();
  asks.forEach((open) => openAsks.add(open));
  return openAsks;
}

function sendAll(openAsks: OpenAsks): string[] {
  const sent = openAsks.sendable();
  sent.forEach((open) => {
    open.coordinatorId = "i2";
  });
  return sent.map(({ ask }) => ask.askId);
}

test("few asks of a pool are unacknowledged, and the most valuable go first", () => {
  const openAsks = openAsksWith([
    ...["b1", "b2", "b3"].map((id) => openAskOf(id, { rank: 1 })),
    ...["a1", "a2", "a3"].map((id) => openAskOf(id, { rank: 0 })),
    openAskOf("other", { pool: "q", rank: 2 }),
  ]);
  assert.equal(sendAll(openAsks), ["a1", "a2", "a3", "b1", "other"]);
  assert.equal(sendAll(openAsks), []);
  openAsks.get("a2")!.acknowledged = true;
  assert.equal(sendAll(openAsks), ["b2"]);
});

test("an ask that got a placement or was removed lets another be sent", () => {
  const ids = Array.from(
    { length: MAX_UNACKNOWLEDGED_ASKS + 2 },
    (_, i) => `a${i}`,
  );
  const openAsks = openAsksWith(ids.map((id) => openAskOf(id)));
  sendAll(openAsks);
  openAsks.remove("a0");
  assert.equal(sendAll(openAsks), [`a${MAX_UNACKNOWLEDGED_ASKS}`]);
  const work = { pool: "p", targetId: "t1", rank: 0, promptTokens: 1 };
  const running = { ...work, askId: "a1", outputTokens: 1, firstSeen: false };
  openAsks.get("a1")!.running = running;
  assert.equal(sendAll(openAsks), [`a${MAX_UNACKNOWLEDGED_ASKS + 1}`]);
  assert.equal(openAsks.running(), [running]);
});

test("asks of lower value and of other pools are not sent before an ask", () => {
  const low = openAskOf("low", { rank: 2 });
  const high = openAskOf("high", { rank: 0 });
  const openAsks = openAsksWith([
    low,
    high,
    openAskOf("q", { pool: "q", rank: 0 }),
  ]);
  assert.is(openAsks.unsentCountUpTo(high), 1);
  assert.is(openAsks.unsentCountUpTo(low), 2);
});

test("an ask stays unsent for half of its objective, or a minimum if late", () => {
  assert.is(maxWaitMs(openAskOf("a", { objectiveLeftMs: 800 })), 400);
  assert.is(maxWaitMs(openAskOf("a", { objectiveLeftMs: -500 })), 50);
});

test("a sent ask waits for the caller's patience and the refusal's margin", () => {
  const openAsk = openAskOf("a", { patienceLeftMs: 2000 });
  openAsk.coordinatorId = "i2";
  assert.not.ok(isUnsent(openAsk));
  assert.is(maxWaitMs(openAsk), 2100);
  const late = openAskOf("b", { patienceLeftMs: -300 });
  late.coordinatorId = "i2";
  assert.is(maxWaitMs(late), 100);
});

test("the ids of ended asks are retained up to a bound", () => {
  const openAsks = openAsksWith([openAskOf("a")]);
  openAsks.markEnded("a");
  assert.is(openAsks.get("a"), undefined);
  assert.ok(openAsks.hasEnded("a"));
  for (let i = 0; i < 256; i++) {
    openAsks.markEnded(`b${i}`);
  }
  assert.not.ok(openAsks.hasEnded("a"));
  assert.ok(openAsks.hasEnded("b0"));
});

test.run();
