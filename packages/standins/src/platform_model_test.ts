/** Tests of the platform model. */

import { ListedKind } from "@chestnuthatch/wire/platform_protocol";
import { test } from "uvu";
import * as assert from "uvu/assert";
import {
  PlatformModel,
  type PlatformModelOptions,
  PlatformOutcome,
} from "./platform_model.ts";

function platform(changes: Partial<PlatformModelOptions> = {}): PlatformModel {
  return new PlatformModel({
    listLagMs: 2_000,
    weightLimit: { perSecond: 1, burst: 1 },
    ...changes,
  });
}

function put(key: string, value: string, version = 0) {
  return {
    conditions: [{ key, version }],
    puts: [{ key, value }],
    deletes: [],
  };
}

test("should let one of two conditional writers win", () => {
  const model = platform();
  assert.ok(model.transact(put("claim/a", "one"), 0).answer?.committed);
  const lost = model.transact(put("claim/a", "two"), 0).answer;
  assert.equal(lost, {
    committed: false,
    rows: [],
    conflicts: [{ key: "claim/a", value: "one", version: 1 }],
  });
});

test("should raise versions across deletes", () => {
  const model = platform();
  model.transact(put("a", "one"), 0);
  model.transact({ conditions: [], puts: [], deletes: ["a"] }, 0);
  const again = model.transact(put("a", "two"), 0).answer;
  assert.is(again?.rows[0].version, 3);
  assert.not(model.transact(put("a", "three", 1), 0).answer?.committed);
});

test("should write nothing when one condition of many fails", () => {
  const model = platform();
  const request = put("a", "one");
  const conditions = [...request.conditions, { key: "b", version: 4 }];
  const { answer } = model.transact({ ...request, conditions }, 0);
  assert.equal(answer, { committed: false, rows: [], conflicts: [] });
  assert.equal(model.read(["a"], 0).answer?.rows, []);
});

test("should scan in key order from after a key", () => {
  const model = platform();
  ["p/c", "p/a", "q/a", "p/b"].forEach((key) =>
    model.transact(put(key, "x"), 0)
  );
  const scan = { prefix: "p/", after: "p/a", limit: 1 };
  const keysOf = (limit: number) =>
    model.scan({ ...scan, limit }, 0).answer?.rows.map(({ key }) => key);
  assert.equal(keysOf(1), ["p/b"]);
  assert.equal(keysOf(9), ["p/b", "p/c"]);
});

test("should lose the answer of a write that took effect", () => {
  const model = platform();
  model.loseAnswers(1);
  const reply = model.transact(put("a", "one"), 0);
  assert.is(reply.outcome, PlatformOutcome.Lost);
  assert.is(reply.answer, undefined);
  assert.is(model.read(["a"], 0).answer?.rows[0].value, "one");
  assert.not(model.transact(put("a", "two"), 0).answer?.committed);
});

test("should lose a write without effect", () => {
  const model = platform();
  model.loseWrites(1);
  const reply = model.transact(put("a", "one"), 0);
  assert.is(reply.outcome, PlatformOutcome.Lost);
  assert.ok(model.transact(put("a", "two"), 0).answer?.committed);
});

test("should do nothing while down", () => {
  const model = platform();
  model.setDown(true);
  const { outcome } = model.transact(put("a", "one"), 0);
  assert.is(outcome, PlatformOutcome.Unavailable);
  assert.is(model.instances(0).outcome, PlatformOutcome.Unavailable);
  model.setDown(false);
  assert.equal(model.read(["a"], 0).answer?.rows, []);
});

test("should limit rates", () => {
  const model = platform({ writeLimit: { perSecond: 2, burst: 1 } });
  const outcomes = [0, 100, 500].map((atMs) =>
    model.transact(put(`k${atMs}`, "x"), atMs).outcome
  );
  const { Ok, RateLimited } = PlatformOutcome;
  assert.equal(outcomes, [Ok, RateLimited, Ok]);
  assert.is(model.weights("w", 0).outcome, Ok);
  assert.is(model.weights("w", 10).outcome, RateLimited);
});

test("should show changes of the list one lag late", () => {
  const model = platform();
  const listed = {
    id: "msaidizi-1",
    kind: ListedKind.Target,
    failureDomain: "tengeru",
    address: "127.0.1.1:80",
    leaving: false,
  };
  const leavingAt = (nowMs: number) =>
    model.instances(nowMs).answer?.instances.map(({ leaving }) => leaving);
  model.list.put(listed, -Infinity);
  assert.equal(leavingAt(0), [false]);
  model.list.markLeaving("msaidizi-1", 1_000);
  assert.equal(leavingAt(2_999), [false]);
  assert.equal(leavingAt(3_000), [true]);
  model.list.remove("msaidizi-1", 4_000);
  assert.equal(leavingAt(5_999), [true]);
  assert.equal(leavingAt(6_000), []);
});

test.run();
