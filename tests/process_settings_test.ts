/** Settings at instances that can reach only peers, not the platform. */

import { ErrorKind, RunState } from "@chestnuthatch/wire/shared_types";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { engineRequest } from "./fleet_requests.ts";
import { FleetPool, type SettingsOverride } from "./fleet_settings.ts";
import { expectAnswer, expectRefusal } from "./outcome_checks.ts";
import { type ProcessFleetOptions, withFleet } from "./process_fleet.ts";
import { waitFor } from "./wait_for.ts";

const NEW_WORKSPACE = "kilimo-plots";
const ADDED_WORKSPACE: readonly SettingsOverride[] = [
  [["workspaces", NEW_WORKSPACE], {}],
];
/** Number of checks that an instance without settings is not ready. */
const READINESS_CHECKS = 20;

const FLEET: ProcessFleetOptions = {
  instances: [
    { id: "njiro-1", failureDomain: "njiro-hall" },
    { id: "njiro-2", failureDomain: "njiro-hall" },
  ],
  targets: [{
    id: "engine-1",
    pool: FleetPool.Engines,
    failureDomain: "njiro-hall",
    slots: 4,
  }],
};

test("should apply a change at an instance that can reach only peers", () =>
  withFleet(FLEET, async (fleet) => {
    const isolated = fleet.instance("njiro-2");
    await isolated.platformRelay.cut();
    const request = engineRequest(5, { workspace: NEW_WORKSPACE });
    expectRefusal(await isolated.send(request), {
      error: ErrorKind.UnknownWorkspace,
      ran: RunState.NotRun,
    });
    const version = await fleet.changeSettings(ADDED_WORKSPACE);
    for (const instance of fleet.instances.values()) {
      await waitFor(
        `version ${version} in force at ${instance.identity.id}`,
        async () => (await instance.readStatus()).settingsVersion === version,
      );
    }
    expectAnswer(await isolated.send(request), request);
  }));

test("should be ready after a restart only with settings from a peer", () =>
  withFleet(FLEET, async (fleet) => {
    const version = await fleet.changeSettings(ADDED_WORKSPACE);
    const peer = fleet.instance("njiro-1");
    await waitFor(
      "the change in force",
      async () => (await peer.readStatus()).settingsVersion === version,
    );
    const restarted = fleet.instance("njiro-2");
    await restarted.kill();
    const links = [
      peer.platformRelay,
      peer.peerRelay,
      restarted.platformRelay,
      restarted.peerRelay,
    ];
    await Promise.all(links.map((link) => link.cut()));
    await restarted.start([peer]);
    const request = engineRequest(5, { workspace: NEW_WORKSPACE });
    for (let checks = 0; checks < READINESS_CHECKS; checks++) {
      assert.not.ok((await restarted.readReadiness()).ready);
      expectRefusal(await restarted.send(request), {
        error: ErrorKind.NotReady,
        ran: RunState.NotRun,
      });
    }
    await peer.peerRelay.heal();
    await restarted.waitUntilReady();
    assert.is((await restarted.readStatus()).settingsVersion, version);
    expectAnswer(await restarted.send(request), request);
  }));

test.run();
