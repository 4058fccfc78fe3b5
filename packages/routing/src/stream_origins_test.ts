import { test } from "uvu";
import * as assert from "uvu/assert";
import {
  type GroupOptions,
  streamKeyOf,
  StreamOrigins,
} from "./stream_origins.ts";

const V1 = { pool: "p", version: "v1" };
const V2 = { pool: "p", version: "v2" };
const OTHER = { pool: "q", version: "v1" };
const POOLS = new Set(["p"]);

function groupsOf(
  origins: StreamOrigins,
  of: Partial<GroupOptions> & { nowMs: number },
): Record<string, readonly number[]> {
  const groups = origins.groups({
    pools: POOLS,
    onlyOwn: false,
    maxStreams: Infinity,
    ...of,
  });
  return Object.fromEntries(
    groups.map(({ pool, version, keys }) => [`${pool} ${version}`, keys]),
  );
}

test("a stream is known while its caller may return", () => {
  const origins = new StreamOrigins();
  origins.record(1, V1, { nowMs: 0, windowMs: 10_000 });
  origins.record(2, V2, { nowMs: 0, windowMs: 10_000 });
  origins.record(2, V2, { nowMs: 8000, windowMs: 10_000 });
  origins.record(3, V1, { nowMs: 8000, windowMs: 10_000 });
  origins.completed(3, 8500);
  const knownAt = (nowMs: number) =>
    [1, 2, 3].filter((key) => origins.get(key, nowMs) !== undefined);
  assert.equal([9999, 10_000, 11_499, 11_500, 18_000].map(knownAt), [
    [1, 2, 3],
    [2, 3],
    [2, 3],
    [2],
    [],
  ]);
  assert.equal(origins.get(2, 9000), V2);
});

test("streams are listed by origin, the newest ones where they are too many", () => {
  const origins = new StreamOrigins();
  const at = { nowMs: 0, windowMs: 10_000 };
  origins.record(1, V1, { ...at, isOwn: true });
  origins.record(2, V2, at);
  origins.record(3, OTHER, { ...at, isOwn: true });
  origins.merge([{ ...V1, keys: [4, 5] }], at);
  // The coordinator of the same instance records it again.
  origins.record(1, V1, at);
  assert.equal(groupsOf(origins, { nowMs: 1 }), {
    "p v2": [2],
    "p v1": [4, 5, 1],
  });
  assert.equal(groupsOf(origins, { nowMs: 1, onlyOwn: true }), { "p v1": [1] });
  assert.equal(groupsOf(origins, { nowMs: 1, maxStreams: 2 }), {
    "p v1": [5, 1],
  });
  origins.completed(5, 1);
  assert.equal(groupsOf(origins, { nowMs: 2 }), {
    "p v2": [2],
    "p v1": [4, 1],
  });
  assert.equal(groupsOf(origins, { nowMs: 10_000 }), {});
});

test("streams that were recorded recently are listed, renewed ones too", () => {
  const origins = new StreamOrigins();
  origins.record(1, V1, { nowMs: 0, windowMs: 10_000 });
  origins.record(2, V1, { nowMs: 0, windowMs: 10_000 });
  origins.record(3, V2, { nowMs: 500, windowMs: 10_000 });
  origins.record(1, V1, { nowMs: 600, windowMs: 10_000 });
  origins.completed(3, 650);
  origins.record(4, V2, { nowMs: 700, windowMs: 10_000 });
  assert.equal(groupsOf(origins, { nowMs: 1000, withinMs: 501 }), {
    "p v1": [1],
    "p v2": [4],
  });
  assert.equal(groupsOf(origins, { nowMs: 1200, withinMs: 500 }), {});
});

// Guards against streams that are kept for ever: a coordinator is a holder too,
// and its reports to itself list its own streams again and again.
test("a repeated report keeps no stream longer, and opens none again", () => {
  const origins = new StreamOrigins();
  const report = [{ ...V1, keys: [1, 2] }];
  for (let nowMs = 0; nowMs < 10_000; nowMs += 500) {
    origins.merge(report, { nowMs, windowMs: 10_000 });
    if (nowMs === 1000) {
      origins.completed(2, nowMs);
    }
  }
  assert.equal(groupsOf(origins, { nowMs: 9999 }), { "p v1": [1] });
  assert.is(origins.get(1, 10_000), undefined);
});

test("the number of streams is bounded, and expired ones are evicted", () => {
  const origins = new StreamOrigins();
  for (let key = 0; key < 100_005; key++) {
    origins.record(key, V1, { nowMs: 0, windowMs: 10_000 });
  }
  assert.is(origins.size, 100_000);
  assert.is(origins.get(4, 1), undefined);
  assert.equal(origins.get(5, 1), V1);
  origins.record(7, V1, { nowMs: 20_000, windowMs: 10_000 });
  assert.is(origins.size, 1);
});

// Guards against a caller that names the stream of another workspace.
test("keys tell streams and workspaces apart", () => {
  const keys = ["w", "v", ""].flatMap((workspace) =>
    Array.from({ length: 20_000 }, (_, id) => streamKeyOf(workspace, `r${id}`))
  );
  assert.is(new Set(keys).size, keys.length);
  assert.ok(keys.every((key) => Number.isSafeInteger(key) && key >= 0));
  assert.is(streamKeyOf("w", "r1"), streamKeyOf("w", "r1"));
});

test.run();
