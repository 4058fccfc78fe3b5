import { TargetKind } from "@chestnuthatch/wire/shared_types";
import { test } from "uvu";
import * as assert from "uvu/assert";
import type { GrantAccount, Target } from "./blackboard.ts";
import { slotsForTier, TargetRoom } from "./capacity.ts";
import { FakeShard } from "./fake_shard.ts";

const AS_OF_MS = 1000;

/** A room whose target reported three slots and 900 tokens in use at 1000. */
function roomWith(
  works: { usedAtMs: number }[],
  ended: { usedAtMs: number; endedAtMs: number; kvTokens: number }[] = [],
): TargetRoom {
  const fake = new FakeShard({ targets: [{ slots: 8 }] });
  const target: Target = fake.board.targets.byId.get("t0")!;
  target.load = { ...target.load!, slotsUsed: 3, kvUsedTokens: 900 };
  target.loadAsOfMs = AS_OF_MS;
  const work = { promptTokens: 150, maxOutputTokens: 50 };
  const grants = works.map((each) => ({ kvTokens: 200, work, ...each }));
  return new TargetRoom({
    settings: fake.board.settings.inForce!.targets.get("t0")!,
    kind: TargetKind.Engine,
    target,
    grants: grants as unknown as GrantAccount[],
    ended,
    lastReadAtMs: -Infinity,
  });
}

/** Room left for the answer of each stream that is not in the account. */
const GROWTH = 1024;

test("should count foreign work that only the report shows, and let it grow", () => {
  assert.equal(roomWith([{ usedAtMs: 900 }]).used, {
    slots: 3,
    kvTokens: 200 + (900 - 150) + 2 * GROWTH,
  });
});

test("should add what was granted since the report's own time", () => {
  const room = roomWith([{ usedAtMs: 900 }, { usedAtMs: 1100 }, {
    usedAtMs: Infinity,
  }]);
  assert.equal(room.used, {
    slots: 5,
    kvTokens: 3 * 200 + (900 - 150) + 2 * GROWTH,
  });
});

test("should take off what ended since, but only where the report shows it", () => {
  const ended = [
    { usedAtMs: 900, endedAtMs: 1200, kvTokens: 150 },
    { usedAtMs: 1050, endedAtMs: 1200, kvTokens: 150 },
    { usedAtMs: 800, endedAtMs: 950, kvTokens: 150 },
  ];
  assert.equal(roomWith([], ended).used, {
    slots: 2,
    kvTokens: 750 + 2 * GROWTH,
  });
});

test("should trust its own account where the report shows less", () => {
  const works = Array.from({ length: 5 }, () => ({ usedAtMs: 900 }));
  assert.equal(roomWith(works).used, { slots: 5, kvTokens: 1000 });
});

test("should keep headroom whole, but leave every tier a slot", () => {
  assert.is(slotsForTier(8, 0), 8);
  assert.is(slotsForTier(8, 0.25), 6);
  assert.is(slotsForTier(8, 0.3), 5);
  assert.is(slotsForTier(1, 0.5), 1);
  assert.is(slotsForTier(0, 0), 0);
});

test.run();
