import { test } from "uvu";
import * as assert from "uvu/assert";
import { layerShareOf, SpendingByShare } from "./spending_by_share.ts";

const FLEET_SIZE = 195;
const HISTORY = { workspace: "w", spent: 30, bySecond: [10, 20] };

// Guards against accounts that grow with the fleet, as a process has a layer for
// each share that it ever had, and against spending that is counted short.
test("all shares of a large fleet have few layers, none above its share", () => {
  const shares = Array.from(
    { length: FLEET_SIZE },
    (_, i) => (i + 1) / FLEET_SIZE,
  );
  assert.ok(shares.every((share) => layerShareOf(share) <= share));
  assert.ok(new Set(shares.map(layerShareOf)).size <= 20);
  for (let eighths = 1; eighths <= 8; eighths++) {
    assert.is(layerShareOf(eighths / 8), eighths / 8);
  }
});

// Guards against spending that counts again with each account that contains it,
// and against the opposite fault: two processes' spending that counts once.
test("layers of one process are merged, those of several are added", () => {
  const sums = new SpendingByShare(8000);
  for (const origin of ["i1.1", "i1.1", "i2.1"]) {
    sums.merge({ share: 0.5, origin, spending: [HISTORY] }, 0);
  }
  assert.is(sums.spent("w", 0), 60);
});

test("the latest revision of what a process derived replaces the others", () => {
  const sums = new SpendingByShare(8000);
  for (const [revision, spent] of [[1, 30], [3, 20], [2, 40]] as const) {
    const spending = [{ workspace: "w", spent, bySecond: [spent] }];
    const share = revision / 4;
    sums.merge({ share, origin: "i1.1", revision, spending }, 0);
  }
  assert.is(sums.spent("w", 0), 20);
});

test.run();
