/** Coordinators that die or pause while requests wait and run. */

import type { SentOutcome } from "@chestnuthatch/cli/send_request";
import { shardKey } from "@chestnuthatch/core/blackboard";
import { hash32 } from "@chestnuthatch/core/text_hash";
import { CounterName } from "@chestnuthatch/core/effects";
import { RequestState } from "@chestnuthatch/core/request";
import type { CallerRequest } from "@chestnuthatch/wire/caller_protocol";
import { test } from "uvu";
import * as assert from "uvu/assert";
import type { FleetInstance } from "./fleet_instance.ts";
import { engineRequest, serviceRequest } from "./fleet_requests.ts";
import { FleetPool } from "./fleet_settings.ts";
import { expectAnswer } from "./outcome_checks.ts";
import {
  type ProcessFleet,
  type ProcessFleetOptions,
  withFleet,
} from "./process_fleet.ts";
import { waitFor } from "./wait_for.ts";

const FAILURE_DOMAIN = "njiro-hall";
const CALLS_PER_HOLDER = 4;
const SHORT_PAUSE_COUNT = 3;
/** Far beyond what the load needs, also on a busy machine. */
const DEADLINE_MS = 45_000;

const FLEET: ProcessFleetOptions = {
  instances: ["njiro-1", "njiro-2", "njiro-3"]
    .map((id) => ({ id, failureDomain: FAILURE_DOMAIN })),
  targets: [
    {
      id: "desk-1",
      pool: FleetPool.Services,
      failureDomain: FAILURE_DOMAIN,
      slots: 2,
      callMs: 700,
    },
    {
      id: "engine-1",
      pool: FleetPool.Engines,
      failureDomain: FAILURE_DOMAIN,
      slots: 2,
      decodeTokensPerSecond: 100,
    },
  ],
};

for (const pool of Object.values(FleetPool)) {
  test(`should answer all when the coordinator of ${pool} dies`, () =>
    withFleet(FLEET, async (fleet) => {
      const { coordinator, holders } = await findRoles(fleet, pool);
      const load = await startLoad(holders);
      await coordinator.kill();
      await expectAllAnswered(fleet, load);
    }));

  test(`should answer all when the coordinator of ${pool} pauses`, () =>
    withFleet(FLEET, async (fleet) => {
      const { coordinator, holders } = await findRoles(fleet, pool);
      const load = await startLoad(holders);
      await coordinator.pause();
      await expectAllAnswered(fleet, load);
      coordinator.resume();
      await fleet.waitUntilReady();
      await expectAllAnswered(fleet, await startLoad([coordinator]));
    }));
}

test("should not run again what a paused coordinator grants late", () =>
  withFleet(FLEET, async (fleet) => {
    const pool = FleetPool.Services;
    const { coordinator, holders: [holder] } = await findRoles(fleet, pool);
    for (let pauses = 0; pauses < SHORT_PAUSE_COUNT; pauses++) {
      await coordinator.pause();
      const request = serviceRequest();
      const outcome = holder.send(request);
      await fleet.waitForCounts(
        "another coordinator's grant",
        (counts) => counts.runsOfKey(request.idempotencyKey) === 1,
      );
      coordinator.resume();
      expectAnswer(await outcome, request);
    }
    assert.is((await fleet.readCounts()).mostDispatchesOfOne, 1);
    assert.ok(await holder.readCounter(CounterName.GrantsReturned) > 0);
  }));

/** Requests under way. */
type PendingRequests = readonly {
  readonly request: CallerRequest;
  readonly outcome: Promise<SentOutcome>;
}[];

async function findRoles(
  fleet: ProcessFleet,
  pool: FleetPool,
): Promise<{ coordinator: FleetInstance; holders: FleetInstance[] }> {
  const [coordinator, ...holders] = [...fleet.instances.values()]
    .sort((a, b) => coordinatorScore(b, pool) - coordinatorScore(a, pool));
  const request = pool === FleetPool.Services
    ? serviceRequest()
    : engineRequest(1);
  expectAnswer(await holders[0].send(request), request);
  const { shards } = await coordinator.readStatus();
  assert.ok(shards.some((shard) => shard.pool === pool), "another coordinates");
  return { coordinator, holders };
}

function coordinatorScore(
  { identity: place }: FleetInstance,
  pool: FleetPool,
): number {
  return hash32(`${shardKey(pool, place.failureDomain)}/${place.id}`);
}

/** Sends more than the targets have room for, and waits until some run. */
async function startLoad(
  holders: readonly FleetInstance[],
): Promise<PendingRequests> {
  const load = holders.flatMap((holder) =>
    Array.from({ length: CALLS_PER_HOLDER }, () => [
      send(holder, serviceRequest({ deadlineMs: DEADLINE_MS })),
      send(holder, engineRequest(60, { deadlineMs: DEADLINE_MS })),
    ]).flat()
  );
  await waitFor("requests that wait and run", async () => {
    const states = await Promise.all(
      holders.map(async (holder) =>
        (await holder.readStatus()).requestsByState
      ),
    );
    const sum = (state: RequestState) =>
      states.reduce((total, byState) => total + byState[state], 0);
    return sum(RequestState.Waiting) > 0 && sum(RequestState.Dispatched) > 0;
  });
  return load;
}

function send(
  holder: FleetInstance,
  request: CallerRequest,
): PendingRequests[number] {
  return { request, outcome: holder.send(request) };
}

async function expectAllAnswered(
  fleet: ProcessFleet,
  load: PendingRequests,
): Promise<void> {
  for (const { request, outcome } of load) {
    expectAnswer(await outcome, request);
  }
  const counts = await fleet.readCounts();
  assert.is(counts.mostDispatchesOfOne, 1);
}

test.run();
