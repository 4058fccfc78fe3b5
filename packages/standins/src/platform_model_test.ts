/** Tests of {@link PlatformModel}: table, faults, limits and list lag. */

import { ListedKind } from "@chestnuthatch/wire/platform_protocol";
import { test } from "uvu";
import * as assert from "uvu/assert";
import {
  PlatformModel,
  type PlatformModelOptions,
  PlatformOutcome,
} from "./platform_model.ts";

function createPlatform(
  changes: Partial<PlatformModelOptions> = {},
): PlatformModel {
  return new PlatformModel({
    listLagMs: 2_000,
    weightLimit: { ratePerSecond: 1, burst: 1 },
    ...changes,
  });
}

function createPut(key: string, value: string, version = 0) {
  return {
    conditions: [{ key, version }],
    puts: [{ key, value }],
    deletes: [],
  };
}

test("should commit only one of two conflicting conditional writes", () => {
  const model = createPlatform();
  assert.ok(model.transact(createPut("claim/a", "one"), 0).answer?.committed);
  const lost = model.transact(createPut("claim/a", "two"), 0).answer;
  assert.equal(lost, {
    committed: false,
    rows: [],
    conflicts: [{ key: "claim/a", value: "one", version: 1 }],
  });
});

test("should keep increasing a key's versions across deletes", () => {
  const model = createPlatform();
  model.transact(createPut("a", "one"), 0);
  model.transact({ conditions: [], puts: [], deletes: ["a"] }, 0);
  const again = model.transact(createPut("a", "two"), 0).answer;
  assert.is(again?.rows[0].version, 3);
  assert.not(model.transact(createPut("a", "three", 1), 0).answer?.committed);
});

test("should apply no write when one of several conditions fails", () => {
  const model = createPlatform();
  const request = createPut("a", "one");
  const conditions = [...request.conditions, { key: "b", version: 4 }];
  const { answer } = model.transact({ ...request, conditions }, 0);
  assert.equal(answer, { committed: false, rows: [], conflicts: [] });
  assert.equal(model.read(["a"], 0).answer?.rows, []);
});

test("should scan in key order, starting after a key", () => {
  const model = createPlatform();
  ["p/c", "p/a", "q/a", "p/b"].forEach((key) =>
    model.transact(createPut(key, "x"), 0)
  );
  const scan = { prefix: "p/", after: "p/a", limit: 1 };
  const scanKeys = (limit: number) =>
    model.scan({ ...scan, limit }, 0).answer?.rows.map(({ key }) => key);
  assert.equal(scanKeys(1), ["p/b"]);
  assert.equal(scanKeys(9), ["p/b", "p/c"]);
});

test("should not answer a write whose answer is lost, but apply it", () => {
  const model = createPlatform();
  model.loseAnswers(1);
  const reply = model.transact(createPut("a", "one"), 0);
  assert.is(reply.outcome, PlatformOutcome.Lost);
  assert.is(reply.answer, undefined);
  assert.is(model.read(["a"], 0).answer?.rows[0].value, "one");
  assert.not(model.transact(createPut("a", "two"), 0).answer?.committed);
});

test("should not apply a write that is lost", () => {
  const model = createPlatform();
  model.loseWrites(1);
  const reply = model.transact(createPut("a", "one"), 0);
  assert.is(reply.outcome, PlatformOutcome.Lost);
  assert.ok(model.transact(createPut("a", "two"), 0).answer?.committed);
});

test("should have no effect and answer as unavailable while down", () => {
  const model = createPlatform();
  model.setDown(true);
  const { outcome } = model.transact(createPut("a", "one"), 0);
  assert.is(outcome, PlatformOutcome.Unavailable);
  assert.is(model.listInstances(0).outcome, PlatformOutcome.Unavailable);
  model.setDown(false);
  assert.equal(model.read(["a"], 0).answer?.rows, []);
});

test("should limit the rates of writes and of weight downloads", () => {
  const model = createPlatform({ writeLimit: { ratePerSecond: 2, burst: 1 } });
  const outcomes = [0, 100, 500].map((atMs) =>
    model.transact(createPut(`k${atMs}`, "x"), atMs).outcome
  );
  const { Ok, RateLimited } = PlatformOutcome;
  assert.equal(outcomes, [Ok, RateLimited, Ok]);
  assert.is(model.fetchWeights("w", 0).outcome, Ok);
  assert.is(model.fetchWeights("w", 10).outcome, RateLimited);
});

test("should show changes to the list after the list's lag", () => {
  const model = createPlatform();
  const listed = {
    id: "msaidizi-1",
    kind: ListedKind.Target,
    failureDomain: "tengeru",
    address: "127.0.1.1:80",
    leaving: false,
  };
  const listLeavingAt = (nowMs: number) =>
    model.listInstances(nowMs).answer?.instances.map(({ leaving }) => leaving);
  model.instanceList.put(listed, -Infinity);
  assert.equal(listLeavingAt(0), [false]);
  model.instanceList.markLeaving("msaidizi-1", 1_000);
  assert.equal(listLeavingAt(2_999), [false]);
  assert.equal(listLeavingAt(3_000), [true]);
  model.instanceList.remove("msaidizi-1", 4_000);
  assert.equal(listLeavingAt(5_999), [true]);
  assert.equal(listLeavingAt(6_000), []);
});

test.run();
