import { test } from "uvu";
import * as assert from "uvu/assert";
import { RankShares } from "./rank_shares.ts";

function recordOutcomes(
  shares: RankShares,
  rank: number,
  served: number,
  refused: number,
) {
  for (let i = 0; i < served; i++) {
    shares.recordOutcome(rank, true, 0);
  }
  for (let i = 0; i < refused; i++) {
    shares.recordOutcome(rank, false, 0);
  }
}

test("a rank that is served far less than those above is starved", () => {
  const shares = new RankShares();
  recordOutcomes(shares, 0, 8, 2);
  recordOutcomes(shares, 1, 6, 4);
  recordOutcomes(shares, 2, 1, 9);
  assert.equal([...shares.starved(0)], [2]);
});

test("a rank of short work is starved unless it is served as often as the best above", () => {
  const shares = new RankShares();
  recordOutcomes(shares, 0, 8, 2);
  recordOutcomes(shares, 1, 5, 5);
  recordOutcomes(shares, 2, 8, 2);
  assert.equal([...shares.starved(0)], []);
  shares.recordDuration(0, 2000, 0);
  shares.recordDuration(1, 1500, 0);
  shares.recordDuration(2, 200, 0);
  assert.equal([...shares.starved(0)], []);
  recordOutcomes(shares, 2, 0, 2);
  assert.equal([...shares.starved(0)], [2]);
});

test("neither the highest rank nor one with few requests counts as starved", () => {
  const shares = new RankShares();
  recordOutcomes(shares, 0, 1, 9);
  recordOutcomes(shares, 1, 9, 1);
  recordOutcomes(shares, 2, 0, 2);
  assert.equal([...shares.starved(0)], []);
});

test("old outcomes do not count", () => {
  const shares = new RankShares();
  recordOutcomes(shares, 0, 10, 0);
  recordOutcomes(shares, 2, 0, 10);
  assert.equal([...shares.starved(0)], [2]);
  assert.equal([...shares.starved(30_000)], []);
});

test.run();
