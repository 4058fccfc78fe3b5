import { test } from "uvu";
import * as assert from "uvu/assert";
import { CandidateIndex } from "./candidate_index.ts";
import { type Candidate, IDLE_USE } from "./target_choice.ts";
import { TargetPace } from "./target_pace.ts";

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
  return { target, use: IDLE_USE, pace: new TargetPace() };
}

function indexOf(count: number): CandidateIndex {
  return new CandidateIndex(
    Array.from({ length: count }, (_, index) => candidateOf(index)),
  );
}

function use(running: number) {
  return { running, tokensAhead: 0, kvTokens: 0 };
}

function idsOf(candidates: readonly Candidate[]): string[] {
  return candidates.map(({ target }) => target.targetId);
}

test("of a small pool all free targets are compared", () => {
  const index = indexOf(6);
  index.updateUse("t1", use(SLOTS));
  index.updateUse("t2", use(1));
  assert.equal(idsOf(index.sampleFree("a")), ["t0", "t2", "t3", "t4", "t5"]);
  index.updateUse("t1", use(1));
  assert.is(index.sampleFree("a").length, 6);
});

test("of a large pool few are, most of the own domain, others each time", () => {
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
  assert.is(seen.size, 500, "all of the domain had their turn");
});

test("a domain that is full leaves its requests to the others", () => {
  const index = indexOf(400);
  for (let i = 0; i < 400; i += DOMAINS.length) {
    index.updateUse(`t${i}`, use(SLOTS));
  }
  const free = index.sampleFree("a");
  assert.ok(free.length >= 48);
  assert.ok(free.every(({ target }) => target.failureDomain !== "a"));
});

test("a pool knows when none is free", () => {
  const index = indexOf(2);
  index.updateUse("t0", use(SLOTS));
  assert.ok(index.hasFree);
  index.updateUse("t1", use(SLOTS));
  assert.not.ok(index.hasFree);
  index.updateUse("elsewhere", use(0));
  assert.not.ok(index.hasFree);
});

test.run();
