/** Membership and settings of a simulated fleet in partitions and restarts. */

import { readFileSync } from "node:fs";
import { EventKind } from "@chestnuthatch/core/events";
import { test } from "uvu";
import * as assert from "uvu/assert";
import {
  SimulatedFleet,
  type SimulatedFleetOptions,
} from "./simulated_fleet.ts";

const SETTINGS_YAML = readFileSync(
  new URL("../sessions/trust.settings.yaml", import.meta.url),
  "utf8",
);
const DOMAINS = ["njiro-hall", "sakina-hall", "usa-river", "tengeru"];

function makeFleet(
  options: Partial<SimulatedFleetOptions> = {},
): SimulatedFleet {
  const instances = DOMAINS.flatMap((failureDomain) =>
    [1, 2].map((number) => ({
      instanceId: `${failureDomain}-${number}`,
      failureDomain,
      region: "arusha",
    }))
  );
  return new SimulatedFleet({
    instances,
    seed: 3,
    settingsYaml: SETTINGS_YAML,
    ...options,
  });
}

/** Cuts or restores the links between a domain and all others. */
function setPartition(
  fleet: SimulatedFleet,
  domain: string,
  action: "cut" | "heal",
): void {
  for (const other of DOMAINS) {
    if (other !== domain) fleet[action](domain, other);
  }
}

function sortedView(fleet: SimulatedFleet, id: string): string[] {
  return [...fleet.core(id).board.members.view ?? []].sort();
}

function settingsVersionInForce(fleet: SimulatedFleet, id: string): number {
  return fleet.core(id).board.settings.inForce?.version ?? 0;
}

test("should keep one view during a minute without faults", () => {
  const fleet = makeFleet();
  fleet.advance(2000);
  const before = fleet.instanceIds.map((id) =>
    fleet.core(id).board.members.viewNumber
  );
  fleet.advance(60_000);
  fleet.instanceIds.forEach((id, index) => {
    assert.is(sortedView(fleet, id).length, fleet.instanceIds.length);
    assert.is(fleet.core(id).board.members.viewNumber, before[index]);
  });
});

test("should have one view per side of a partition, and one view after it", () => {
  const fleet = makeFleet();
  fleet.advance(2000);
  setPartition(fleet, "usa-river", "cut");
  fleet.advance(4000);
  assert.equal(sortedView(fleet, "usa-river-1"), [
    "usa-river-1/1",
    "usa-river-2/1",
  ]);
  assert.is(sortedView(fleet, "tengeru-1").length, 6);
  setPartition(fleet, "usa-river", "heal");
  fleet.advance(1000);
  for (const id of fleet.instanceIds) {
    assert.is(sortedView(fleet, id).length, 8);
  }
});

test("should list a restarted instance by its new incarnation only", () => {
  const fleet = makeFleet();
  fleet.advance(2000);
  fleet.kill("tengeru-2");
  fleet.advance(100);
  assert.not(sortedView(fleet, "njiro-hall-1").includes("tengeru-2/1"));
  fleet.restart("tengeru-2");
  fleet.advance(1000);
  for (const id of fleet.instanceIds) {
    assert.ok(sortedView(fleet, id).includes("tengeru-2/2"));
    assert.not(sortedView(fleet, id).includes("tengeru-2/1"));
  }
});

test("should pass settings to instances that can reach only peers", () => {
  const fleet = makeFleet({ settingsYaml: undefined });
  fleet.advance(1000);
  fleet.deliver("njiro-hall-1", {
    kind: EventKind.SettingsRead,
    version: 9,
    content: SETTINGS_YAML,
    changeId: "change-9",
  });
  fleet.advance(1500);
  for (const id of fleet.instanceIds) {
    assert.is(settingsVersionInForce(fleet, id), 9);
  }
});

test("should apply missed settings after a partition ends", () => {
  const fleet = makeFleet();
  fleet.advance(1000);
  setPartition(fleet, "tengeru", "cut");
  fleet.advance(5000);
  fleet.deliver("njiro-hall-1", {
    kind: EventKind.SettingsRead,
    version: 2,
    content: SETTINGS_YAML,
    changeId: "change-2",
  });
  fleet.advance(2000);
  assert.is(settingsVersionInForce(fleet, "tengeru-1"), 1);
  setPartition(fleet, "tengeru", "heal");
  fleet.advance(1000);
  for (const id of fleet.instanceIds) {
    assert.is(settingsVersionInForce(fleet, id), 2);
  }
});

test("should issue the same effects for the same seed, with drops", () => {
  const run = () => {
    const fleet = makeFleet({ dropShare: 0.1, duplicateShare: 0.1 });
    fleet.advance(3000);
    fleet.pause("njiro-hall-1");
    fleet.advance(4000);
    fleet.resume("njiro-hall-1");
    fleet.advance(1000);
    return fleet.instanceIds.map((id) => fleet.effects(id));
  };
  assert.equal(run(), run());
});

test.run();
