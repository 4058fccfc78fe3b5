import { TargetKind } from "@chestnuthatch/wire/shared_types";
import { test } from "uvu";
import * as assert from "uvu/assert";
import type { GrantRecord, Target } from "./blackboard.ts";
import { slotsForTier, TargetCapacity } from "./capacity.ts";
import { FakeShard } from "./fake_shard.ts";

const AS_OF_MS = 1000;

/** A target that reported 3 slots and 900 tokens in use at 1000 ms. */
function capacityWith(
  grantTimes: { usedAtMs: number }[],
  ended: { usedAtMs: number; endedAtMs: number; kvTokens: number }[] = [],
): TargetCapacity {
  const fake = new FakeShard({ targets: [{ slots: 8 }] });
  const target: Target = fake.board.targets.byId.get("t0")!;
  target.load = { ...target.load!, slotsUsed: 3, kvUsedTokens: 900 };
  target.loadAsOfMs = AS_OF_MS;
  const work = { promptTokens: 150, maxOutputTokens: 50 };
  const grants = grantTimes.map((each) => ({ kvTokens: 200, work, ...each }));
  return new TargetCapacity({
    settings: fake.board.settings.inForce!.targets.get("t0")!,
    kind: TargetKind.Engine,
    target,
    grants: grants as unknown as GrantRecord[],
    ended,
    lastReadAtMs: -Infinity,
  });
}

/** Output assumed for each stream that the coordinator has no grant for. */
const ASSUMED_OUTPUT_TOKENS = 1024;

test("should count work that only the report shows, and the output it may produce", () => {
  assert.equal(capacityWith([{ usedAtMs: 900 }]).used, {
    slots: 3,
    kvTokens: 200 + (900 - 150) + 2 * ASSUMED_OUTPUT_TOKENS,
  });
});

test("should add work granted after the report was made", () => {
  const capacity = capacityWith([{ usedAtMs: 900 }, { usedAtMs: 1100 }, {
    usedAtMs: Infinity,
  }]);
  assert.equal(capacity.used, {
    slots: 5,
    kvTokens: 3 * 200 + (900 - 150) + 2 * ASSUMED_OUTPUT_TOKENS,
  });
});

test("should subtract work that ended after the report was made, if the report includes it", () => {
  const ended = [
    { usedAtMs: 900, endedAtMs: 1200, kvTokens: 150 },
    { usedAtMs: 1050, endedAtMs: 1200, kvTokens: 150 },
    { usedAtMs: 800, endedAtMs: 950, kvTokens: 150 },
  ];
  assert.equal(capacityWith([], ended).used, {
    slots: 2,
    kvTokens: 750 + 2 * ASSUMED_OUTPUT_TOKENS,
  });
});

test("should count its own grants where the report shows less", () => {
  const grantTimes = Array.from({ length: 5 }, () => ({ usedAtMs: 900 }));
  assert.equal(capacityWith(grantTimes).used, { slots: 5, kvTokens: 1000 });
});

test("should round headroom up to whole slots, but leave every tier one slot", () => {
  assert.is(slotsForTier(8, 0), 8);
  assert.is(slotsForTier(8, 0.25), 6);
  assert.is(slotsForTier(8, 0.3), 5);
  assert.is(slotsForTier(1, 0.5), 1);
  assert.is(slotsForTier(0, 0), 0);
});

test.run();
