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

const DOMAIN = "njiro-hall";
const CALLS_OF_EACH = 4;
const SHORT_PAUSES = 3;
/** Far beyond what the load needs, also on a busy machine. */
const DEADLINE_MS = 45_000;

const FLEET: ProcessFleetOptions = {
  instances: ["njiro-1", "njiro-2", "njiro-3"]
    .map((id) => ({ id, failureDomain: DOMAIN })),
  targets: [
    {
      id: "desk-1",
      pool: FleetPool.Services,
      failureDomain: DOMAIN,
      slots: 2,
      callMs: 700,
    },
    {
      id: "engine-1",
      pool: FleetPool.Engines,
      failureDomain: DOMAIN,
      slots: 2,
      decodeTokensPerSecond: 100,
    },
  ],
};

for (const pool of Object.values(FleetPool)) {
  test(`should answer all when the coordinator of ${pool} dies`, () =>
    withFleet(FLEET, async (fleet) => {
      const { coordinator, holders } = await rolesIn(fleet, pool);
      const load = await startLoad(holders);
      await coordinator.kill();
      await expectAllAnswered(fleet, load);
    }));

  test(`should answer all when the coordinator of ${pool} pauses`, () =>
    withFleet(FLEET, async (fleet) => {
      const { coordinator, holders } = await rolesIn(fleet, pool);
      const load = await startLoad(holders);
      await coordinator.freeze();
      await expectAllAnswered(fleet, load);
      coordinator.thaw();
      await fleet.ready();
      await expectAllAnswered(fleet, await startLoad([coordinator]));
    }));
}

test("should not run again what a paused coordinator grants late", () =>
  withFleet(FLEET, async (fleet) => {
    const pool = FleetPool.Services;
    const { coordinator, holders: [holder] } = await rolesIn(fleet, pool);
    for (let pauses = 0; pauses < SHORT_PAUSES; pauses++) {
      await coordinator.freeze();
      const request = serviceRequest();
      const outcome = holder.send(request);
      await fleet.countsUntil(
        "another coordinator's grant",
        (counts) => counts.runsOfKey(request.idempotencyKey) === 1,
      );
      coordinator.thaw();
      expectAnswer(await outcome, request);
    }
    assert.is((await fleet.counts()).maxDispatchesPerRequest, 1);
    assert.ok(await holder.count(CounterName.GrantsReturned) > 0);
  }));

/** Requests under way. */
type Load = readonly {
  readonly request: CallerRequest;
  readonly outcome: Promise<SentOutcome>;
}[];

async function rolesIn(
  fleet: ProcessFleet,
  pool: FleetPool,
): Promise<{ coordinator: FleetInstance; holders: FleetInstance[] }> {
  const [coordinator, ...holders] = [...fleet.instances.values()]
    .sort((a, b) => scoreOf(b, pool) - scoreOf(a, pool));
  const request = pool === FleetPool.Services
    ? serviceRequest()
    : engineRequest(1);
  expectAnswer(await holders[0].send(request), request);
  const { shards } = await coordinator.status();
  assert.ok(shards.some((shard) => shard.pool === pool), "another coordinates");
  return { coordinator, holders };
}

function scoreOf({ place }: FleetInstance, pool: FleetPool): number {
  return hash32(`${shardKey(pool, place.failureDomain)}/${place.id}`);
}

/** Sends more than the targets have room for, and waits until some run. */
async function startLoad(holders: readonly FleetInstance[]): Promise<Load> {
  const load = holders.flatMap((holder) =>
    Array.from({ length: CALLS_OF_EACH }, () => [
      send(holder, serviceRequest({ deadlineMs: DEADLINE_MS })),
      send(holder, engineRequest(60, { deadlineMs: DEADLINE_MS })),
    ]).flat()
  );
  await waitFor("requests that wait and run", async () => {
    const states = await Promise.all(
      holders.map(async (holder) => (await holder.status()).requestsByState),
    );
    const sum = (state: RequestState) =>
      states.reduce((total, byState) => total + byState[state], 0);
    return sum(RequestState.Waiting) > 0 && sum(RequestState.Dispatched) > 0;
  });
  return load;
}

function send(holder: FleetInstance, request: CallerRequest): Load[number] {
  return { request, outcome: holder.send(request) };
}

async function expectAllAnswered(
  fleet: ProcessFleet,
  load: Load,
): Promise<void> {
  for (const { request, outcome } of load) {
    expectAnswer(await outcome, request);
  }
  const counts = await fleet.counts();
  assert.is(counts.maxDispatchesPerRequest, 1);
}

test.run();
