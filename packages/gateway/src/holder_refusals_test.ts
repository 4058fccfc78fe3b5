import { peerMessageSchema } from "@chestnuthatch/routing/peer_messages";
import { askOf } from "@chestnuthatch/routing/routing_test_support";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { HolderRefusals } from "./holder_refusals.ts";

test("refusals are taken once, by pool and rank", () => {
  const refusals = new HolderRefusals();
  refusals.record(askOf("a1", { rank: 1, callHash: 5 }));
  refusals.record(askOf("a2", { rank: 1 }));
  refusals.record(askOf("a3", { rank: 2, callHash: 6 }));
  assert.equal(refusals.take(), [
    { pool: "p", rank: 1, count: 2, callHashes: [5] },
    { pool: "p", rank: 2, count: 1, callHashes: [6] },
  ]);
  assert.not(refusals.isPending);
});

// Guards against reports that outgrow a datagram or are invalid.
test("a report is bounded, and what exceeds it follows with the next", () => {
  const refusals = new HolderRefusals();
  for (let index = 0; index < 200; index++) {
    refusals.record(askOf("a", { rank: index % 40, callHash: index + 1 }));
  }
  const refused = refusals.take();
  const report = { holderId: "i", running: [], waiting: [], spent: [] };
  const message = { kind: "report", report: { ...report, refused } };
  assert.ok(peerMessageSchema.safeParse(message).success);
  const hashes = refused.flatMap(({ callHashes }) => callHashes);
  assert.ok(hashes.length <= 64, String(hashes.length));
  const counts = [...refused, ...refusals.take()].map(({ count }) => count);
  assert.equal(counts, Array(40).fill(5));
});

// Guards against a forged forecast or report that is applied.
test("a field out of range is named, and an unknown one is ignored", () => {
  const pathOf = (refused: object) =>
    peerMessageSchema.safeParse({
      kind: "report",
      report: {
        holderId: "i",
        running: [],
        waiting: [],
        spent: [],
        ...refused,
      },
    }).error?.issues[0]?.path.join(".");
  const entry = { pool: "p", rank: 0, count: 1, callHashes: [] };
  assert.is(pathOf({ refused: [entry], unknown: 1 }), undefined);
  const path = "report.refused.0.count";
  assert.is(pathOf({ refused: [{ ...entry, count: 1e9 }] }), path);
  assert.is(pathOf({ refused: [{ ...entry, count: undefined }] }), path);
});

test.run();
