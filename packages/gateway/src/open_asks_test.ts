import { askOf } from "@chestnuthatch/routing/routing_test_support";
import { test } from "uvu";
import * as assert from "uvu/assert";
import {
  isHeld,
  mayWaitMs,
  MOST_UNHEARD,
  NOBODY,
  type OpenAsk,
  OpenAsks,
} from "./open_asks.ts";

function openOf(
  askId: string,
  over: Parameters<typeof askOf>[1] = {},
): OpenAsk {
  return {
    ask: askOf(askId, over),
    sinceMs: 0,
    onDecision: () => {},
    coordinatorId: NOBODY,
    sentAtMs: 0,
    firstSentAtMs: 0,
    heard: false,
    againMs: 40,
  };
}

function opensWith(asks: readonly OpenAsk[]): OpenAsks {
  const opens = new OpenAsks();
  asks.forEach((open) => opens.add(open));
  return opens;
}

function sendAll(opens: OpenAsks): string[] {
  const sent = opens.toSend();
  sent.forEach((open) => {
    open.coordinatorId = "i2";
  });
  return sent.map(({ ask }) => ask.askId);
}

test("few asks of a pool are out without a word, the most valuable first", () => {
  const opens = opensWith([
    ...["b1", "b2", "b3"].map((id) => openOf(id, { rank: 1 })),
    ...["a1", "a2", "a3"].map((id) => openOf(id, { rank: 0 })),
    openOf("other", { pool: "q", rank: 2 }),
  ]);
  assert.equal(sendAll(opens), ["a1", "a2", "a3", "b1", "other"]);
  assert.equal(sendAll(opens), []);
  opens.get("a2")!.heard = true;
  assert.equal(sendAll(opens), ["b2"]);
});

test("what has a place or came to nothing makes room", () => {
  const ids = Array.from({ length: MOST_UNHEARD + 2 }, (_, i) => `a${i}`);
  const opens = opensWith(ids.map((id) => openOf(id)));
  sendAll(opens);
  opens.remove("a0");
  assert.equal(sendAll(opens), [`a${MOST_UNHEARD}`]);
  const work = { pool: "p", targetId: "t1", rank: 0, promptTokens: 1 };
  const running = { ...work, askId: "a1", outputTokens: 1, firstSeen: false };
  opens.get("a1")!.running = running;
  assert.equal(sendAll(opens), [`a${MOST_UNHEARD + 1}`]);
  assert.equal(opens.running(), [running]);
});

test("asks of lower ranks and other pools do not go out before one", () => {
  const low = openOf("low", { rank: 2 });
  const high = openOf("high", { rank: 0 });
  const opens = opensWith([low, high, openOf("q", { pool: "q", rank: 0 })]);
  assert.is(opens.heldUpTo(high), 1);
  assert.is(opens.heldUpTo(low), 2);
});

test("an ask is held back for half of its objective, and a little if late", () => {
  assert.is(mayWaitMs(openOf("a", { objectiveLeftMs: 800 })), 400);
  assert.is(mayWaitMs(openOf("a", { objectiveLeftMs: -500 })), 50);
});

test("one that is out waits for as long as its caller, and for the word", () => {
  const open = openOf("a", { patienceLeftMs: 2000 });
  open.coordinatorId = "i2";
  assert.not.ok(isHeld(open));
  assert.is(mayWaitMs(open), 2100);
  const late = openOf("b", { patienceLeftMs: -300 });
  late.coordinatorId = "i2";
  assert.is(mayWaitMs(late), 100);
});

test("work that ended lately is remembered, and only some of it", () => {
  const opens = opensWith([openOf("a")]);
  opens.ended("a");
  assert.is(opens.get("a"), undefined);
  assert.ok(opens.hasEnded("a"));
  for (let i = 0; i < 256; i++) {
    opens.ended(`b${i}`);
  }
  assert.not.ok(opens.hasEnded("a"));
  assert.ok(opens.hasEnded("b0"));
});

test.run();
