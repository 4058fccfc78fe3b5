/** Coordinators that are killed or paused while requests wait and run. */

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
/** Long enough for all requests to be answered on a busy machine. */
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
  test(`should answer all requests when the coordinator of ${pool} is killed`, () =>
    withFleet(FLEET, async (fleet) => {
      const { coordinator, holders } = await findRoles(fleet, pool);
      const requests = await startRequests(holders);
      await coordinator.kill();
      await expectAllAnswered(fleet, requests);
    }));

  test(`should answer all requests when the coordinator of ${pool} pauses`, () =>
    withFleet(FLEET, async (fleet) => {
      const { coordinator, holders } = await findRoles(fleet, pool);
      const requests = await startRequests(holders);
      await coordinator.pause();
      await expectAllAnswered(fleet, requests);
      coordinator.resume();
      await fleet.waitUntilReady();
      await expectAllAnswered(fleet, await startRequests([coordinator]));
    }));
}

test("should not run a request again on a late grant of a paused coordinator", () =>
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
    assert.is((await fleet.readCounts()).maxDispatchesPerRequest, 1);
    assert.ok(await holder.readCounter(CounterName.GrantsReturned) > 0);
  }));

/** Requests in flight, each with its pending outcome. */
type PendingRequests = readonly {
  readonly request: CallerRequest;
  readonly outcome: Promise<SentOutcome>;
}[];

/**
 * Finds the coordinator of a pool, the instance with the highest score, and
 * checks that it coordinates. The other instances are the holders.
 */
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
  assert.ok(
    shards.some((shard) => shard.pool === pool),
    "another instance coordinates",
  );
  return { coordinator, holders };
}

function coordinatorScore(
  { identity }: FleetInstance,
  pool: FleetPool,
): number {
  return hash32(`${shardKey(pool, identity.failureDomain)}/${identity.id}`);
}

/** Sends more requests than there are slots; waits until some wait and run. */
async function startRequests(
  holders: readonly FleetInstance[],
): Promise<PendingRequests> {
  const requests = holders.flatMap((holder) =>
    Array.from({ length: CALLS_PER_HOLDER }, () => [
      sendPending(holder, serviceRequest({ deadlineMs: DEADLINE_MS })),
      sendPending(holder, engineRequest(60, { deadlineMs: DEADLINE_MS })),
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
  return requests;
}

function sendPending(
  holder: FleetInstance,
  request: CallerRequest,
): PendingRequests[number] {
  return { request, outcome: holder.send(request) };
}

async function expectAllAnswered(
  fleet: ProcessFleet,
  requests: PendingRequests,
): Promise<void> {
  for (const { request, outcome } of requests) {
    expectAnswer(await outcome, request);
  }
  const counts = await fleet.readCounts();
  assert.is(counts.maxDispatchesPerRequest, 1);
}

test.run();
