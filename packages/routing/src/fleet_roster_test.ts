import { test } from "uvu";
import * as assert from "uvu/assert";
import { FleetRoster } from "./fleet_roster.ts";
import { memberOf } from "./routing_test_support.ts";

const HOUR_MS = 60 * 60 * 1000;
const ONLY_I1 = new Set(["i1"]);

function rosterOf(ids: readonly string[]): FleetRoster {
  const roster = new FleetRoster();
  ids.forEach((id) => roster.record(memberOf(id), 0));
  return roster;
}

// Guards against two sides of a partition that take each other for gone.
test("silent instances count for as long as regions may lose each other", () => {
  const roster = rosterOf(["i1", "i2", "i3"]);
  assert.is(roster.size(ONLY_I1, HOUR_MS), 3);
  assert.is(roster.size(ONLY_I1, 3 * HOUR_MS), 1);
});

// Guards against two sides that both hand out the part of an instance which was
// started again behind a partition.
test("an instance that left counts while it may have been started again", () => {
  const roster = rosterOf(["i1", "i2"]);
  roster.record(memberOf("i2", { leaving: true }), 100);
  assert.is(roster.size(ONLY_I1, 200), 2);
  assert.is(roster.size(ONLY_I1, 61_000), 1);
  roster.record(memberOf("i3"), 61_000);
  assert.is(roster.size(ONLY_I1, 62_000), 3, "i3 is silent");
  assert.is(roster.size(new Set(["i1", "i3"]), 62_000), 2);
  roster.record(memberOf("i2", { incarnation: 2 }), 63_000);
  assert.is(roster.size(new Set(["i1", "i3"]), 63_000), 3, "it is back");
});

test("what is older than is known already changes nothing", () => {
  const roster = rosterOf(["i1"]);
  roster.record(memberOf("i2", { incarnation: 2, leaving: true }), 100);
  roster.record(memberOf("i2", { incarnation: 1 }), 200);
  roster.record(memberOf("i2", { incarnation: 2 }), 50);
  assert.is(roster.size(ONLY_I1, HOUR_MS), 1);
});

test("a report has the age that its sender knows", () => {
  const roster = rosterOf(["i1"]);
  roster.record(memberOf("i2"), -1.5 * HOUR_MS);
  assert.is(roster.size(ONLY_I1, 0), 2);
  assert.is(roster.size(ONLY_I1, HOUR_MS), 1);
  const [absent] = roster.absent(ONLY_I1, 0);
  assert.is(absent!.knownAtMs, -1.5 * HOUR_MS);
  roster.evictExpired(HOUR_MS);
  assert.equal(roster.absent(ONLY_I1, 0), []);
});

test.run();
