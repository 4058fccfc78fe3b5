import { test } from "uvu";
import * as assert from "uvu/assert";
import { CandidateIndex } from "./candidate_index.ts";
import { type Candidate, IDLE_USE } from "./target_choice.ts";
import { LatencyModel } from "./latency_model.ts";

const DOMAINS = ["a", "b", "c", "d"];
const SLOTS = 2;

function candidateOf(index: number): Candidate {
  const target = {
    targetId: `t${index}`,
    incarnation: 1,
    pool: "p",
    address: `10.0.0.${index}:80`,
    failureDomain: DOMAINS[index % DOMAINS.length]!,
    slots: SLOTS,
    leaving: false,
    version: "v1",
    rowVersion: 1,
    warmAtMs: 0,
  };
  return { target, use: IDLE_USE, latencyModel: new LatencyModel() };
}

function indexOf(count: number): CandidateIndex {
  return new CandidateIndex(
    Array.from({ length: count }, (_, index) => candidateOf(index)),
  );
}

function useOf(running: number) {
  return { running, tokensAhead: 0, kvTokens: 0 };
}

function idsOf(candidates: readonly Candidate[]): string[] {
  return candidates.map(({ target }) => target.targetId);
}

test("all free targets of a small pool are compared", () => {
  const index = indexOf(6);
  index.updateUse("t1", useOf(SLOTS));
  index.updateUse("t2", useOf(1));
  assert.equal(idsOf(index.sampleFree("a")), ["t0", "t2", "t3", "t4", "t5"]);
  index.updateUse("t1", useOf(1));
  assert.is(index.sampleFree("a").length, 6);
});

test("a sample of a large pool is compared, mostly local targets, changing each time", () => {
  const index = indexOf(2000);
  const seen = new Set<string>();
  for (let turn = 0; turn < 60; turn++) {
    const free = index.sampleFree("b");
    assert.ok(free.length <= 70, `${free.length} compared`);
    const own = free.filter(({ target }) => target.failureDomain === "b");
    assert.ok(own.length >= 48);
    assert.is(new Set(idsOf(free)).size, free.length);
    idsOf(own).forEach((id) => seen.add(id));
  }
  assert.is(seen.size, 500, "every target of the domain was sampled");
});

test("the sample for a domain without free targets comes from the other domains", () => {
  const index = indexOf(400);
  for (let i = 0; i < 400; i += DOMAINS.length) {
    index.updateUse(`t${i}`, useOf(SLOTS));
  }
  const free = index.sampleFree("a");
  assert.ok(free.length >= 48);
  assert.ok(free.every(({ target }) => target.failureDomain !== "a"));
});

test("a pool without a free target is detected", () => {
  const index = indexOf(2);
  index.updateUse("t0", useOf(SLOTS));
  assert.ok(index.hasFree);
  index.updateUse("t1", useOf(SLOTS));
  assert.not.ok(index.hasFree);
  index.updateUse("elsewhere", useOf(0));
  assert.not.ok(index.hasFree);
});

test.run();
