/** Membership and settings of several cores under partitions and restarts. */

import { readFileSync } from "node:fs";
import { EventKind } from "@chestnuthatch/core/events";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { CoreNet, type CoreNetOptions } from "./core_net.ts";

const SETTINGS_YAML = readFileSync(
  new URL("../sessions/trust.settings.yaml", import.meta.url),
  "utf8",
);
const DOMAINS = ["njiro-hall", "sakina-hall", "usa-river", "tengeru"];

function makeNet(options: Partial<CoreNetOptions> = {}): CoreNet {
  const instances = DOMAINS.flatMap((failureDomain) =>
    [1, 2].map((number) => ({
      instanceId: `${failureDomain}-${number}`,
      failureDomain,
      region: "arusha",
    }))
  );
  return new CoreNet({
    instances,
    seed: 3,
    settingsYaml: SETTINGS_YAML,
    ...options,
  });
}

function cutOff(net: CoreNet, domain: string, action: "cut" | "heal"): void {
  for (const other of DOMAINS) {
    if (other !== domain) net[action](domain, other);
  }
}

function viewOf(net: CoreNet, id: string): string[] {
  return [...net.core(id).board.members.view ?? []].sort();
}

function versionOf(net: CoreNet, id: string): number {
  return net.core(id).board.settings.inForce?.version ?? 0;
}

test("should keep one view over a quiet minute", () => {
  const net = makeNet();
  net.advance(2000);
  const before = net.instanceIds.map((id) =>
    net.core(id).board.members.viewNumber
  );
  net.advance(60_000);
  net.instanceIds.forEach((id, index) => {
    assert.is(viewOf(net, id).length, net.instanceIds.length);
    assert.is(net.core(id).board.members.viewNumber, before[index]);
  });
});

test("should give each side of a partition its own view, and one after it", () => {
  const net = makeNet();
  net.advance(2000);
  cutOff(net, "usa-river", "cut");
  net.advance(4000);
  assert.equal(viewOf(net, "usa-river-1"), ["usa-river-1/1", "usa-river-2/1"]);
  assert.is(viewOf(net, "tengeru-1").length, 6);
  cutOff(net, "usa-river", "heal");
  net.advance(1000);
  for (const id of net.instanceIds) assert.is(viewOf(net, id).length, 8);
});

test("should know a restarted instance by its new incarnation alone", () => {
  const net = makeNet();
  net.advance(2000);
  net.kill("tengeru-2");
  net.advance(100);
  assert.not(viewOf(net, "njiro-hall-1").includes("tengeru-2/1"));
  net.restart("tengeru-2");
  net.advance(1000);
  for (const id of net.instanceIds) {
    assert.ok(viewOf(net, id).includes("tengeru-2/2"));
    assert.not(viewOf(net, id).includes("tengeru-2/1"));
  }
});

test("should pass settings to instances that only peers can reach", () => {
  const net = makeNet({ settingsYaml: undefined });
  net.advance(1000);
  net.send("njiro-hall-1", {
    kind: EventKind.SettingsRead,
    version: 9,
    content: SETTINGS_YAML,
    changeId: "change-9",
  });
  net.advance(1500);
  for (const id of net.instanceIds) assert.is(versionOf(net, id), 9);
});

test("should catch up on settings once a partition ends", () => {
  const net = makeNet();
  net.advance(1000);
  cutOff(net, "tengeru", "cut");
  net.advance(5000);
  net.send("njiro-hall-1", {
    kind: EventKind.SettingsRead,
    version: 2,
    content: SETTINGS_YAML,
    changeId: "change-2",
  });
  net.advance(2000);
  assert.is(versionOf(net, "tengeru-1"), 1);
  cutOff(net, "tengeru", "heal");
  net.advance(1000);
  for (const id of net.instanceIds) assert.is(versionOf(net, id), 2);
});

test("should give the same effects for the same seed, with losses", () => {
  const play = () => {
    const net = makeNet({ dropShare: 0.1, duplicateShare: 0.1 });
    net.advance(3000);
    net.pause("njiro-hall-1");
    net.advance(4000);
    net.resume("njiro-hall-1");
    net.advance(1000);
    return net.instanceIds.map((id) => net.effects(id));
  };
  assert.equal(play(), play());
});

test.run();
