/** Settings that reach instances which the platform does not. */

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
/** Readiness is asked for this often while there can be none. */
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

test("should put a change in force where only peers are in reach", () =>
  withFleet(FLEET, async (fleet) => {
    const cutOff = fleet.instance("njiro-2");
    await cutOff.platformRelay.cut();
    const request = engineRequest(5, { workspace: NEW_WORKSPACE });
    expectRefusal(await cutOff.send(request), {
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
    expectAnswer(await cutOff.send(request), request);
  }));

test("should be ready after a restart only with a peer's settings", () =>
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
    for (let looks = 0; looks < READINESS_CHECKS; looks++) {
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
