/** An instance partitioned from the platform and the other failure domain. */

import { ErrorKind, RunState } from "@chestnuthatch/wire/shared_types";
import type { FleetInstance } from "./fleet_instance.ts";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { engineRequest, serviceRequest } from "./fleet_requests.ts";
import { FleetPool } from "./fleet_settings.ts";
import {
  expectAnswer,
  expectRefusal,
  expectWholeStream,
} from "./outcome_checks.ts";
import {
  type ProcessFleet,
  type ProcessFleetOptions,
  withFleet,
} from "./process_fleet.ts";

const OWN_DOMAIN = "njiro-hall";
const OTHER_DOMAIN = "sakina-hall";
const SLOTS = 2;

const FLEET: ProcessFleetOptions = {
  instances: [
    { id: "njiro-1", failureDomain: OWN_DOMAIN },
    { id: "sakina-1", failureDomain: OTHER_DOMAIN },
  ],
  targets: [OWN_DOMAIN, OTHER_DOMAIN].flatMap((failureDomain) => [
    {
      id: `engine-${failureDomain}`,
      pool: FleetPool.Engines,
      failureDomain,
      slots: SLOTS,
    },
    {
      id: `desk-${failureDomain}`,
      pool: FleetPool.Services,
      failureDomain,
      slots: SLOTS,
      callMs: 400,
    },
  ]),
};

test("should serve its own domain in a partition, and all domains after it", () =>
  withFleet(FLEET, async (fleet) => {
    const isolated = fleet.instance("njiro-1");
    const bothDomains = [OWN_DOMAIN, OTHER_DOMAIN].join();
    assert.is(await findServingDomains(isolated), bothDomains);
    const request = engineRequest(400);
    const running = isolated.stream(request);
    await running.waitForText();
    await setPartitioned(fleet, true);
    assert.is(await findServingDomains(isolated), OWN_DOMAIN);
    await isolated.waitForMembers(["njiro-1"]);
    assert.is(await findServingDomains(isolated), OWN_DOMAIN);
    await running.ended;
    expectWholeStream(running, request);
    const keyed = serviceRequest();
    expectRefusal(await isolated.send({ ...keyed, firstAttempt: true }), {
      error: ErrorKind.StoreUnavailable,
      ran: RunState.NotRun,
    });
    assert.ok((await isolated.readReadiness()).ready);
    await setPartitioned(fleet, false);
    await fleet.waitUntilReady();
    expectAnswer(await isolated.send(keyed), keyed);
    assert.is(await findServingDomains(isolated), bothDomains);
    const counts = await fleet.readCounts();
    assert.is(counts.maxDispatchesPerRequest, 1);
    assert.is(counts.runsOfKey(keyed.idempotencyKey), 1);
  }));

/**
 * Sends more calls than one domain has slots, all of which must be answered.
 *
 * @returns The failure domains that answered, sorted and joined by commas.
 */
async function findServingDomains(instance: FleetInstance): Promise<string> {
  const answers = Array.from({ length: 2 * SLOTS }, async () => {
    const request = serviceRequest({ idempotencyKey: undefined });
    return expectAnswer(await instance.send(request), request);
  });
  const domains = (await Promise.all(answers))
    .map(({ targetId }) => targetId.slice("desk-".length));
  return [...new Set(domains)].sort().join();
}

/**
 * Cuts or restores all links between the two domains, and the link from
 * `njiro-1` to the platform.
 */
async function setPartitioned(
  fleet: ProcessFleet,
  isCut: boolean,
): Promise<void> {
  const instances = [...fleet.instances.values()];
  const links = [
    ...instances.map(({ peerRelay }) => peerRelay),
    fleet.instance("njiro-1").platformRelay,
    fleet.targetRelay(`engine-${OTHER_DOMAIN}`),
    fleet.targetRelay(`desk-${OTHER_DOMAIN}`),
  ];
  await Promise.all(links.map((link) => isCut ? link.cut() : link.heal()));
}

test.run();
