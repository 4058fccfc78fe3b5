/** Callers that close their connection while their request runs. */

import { RequestState } from "@chestnuthatch/core/request";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { engineRequest, serviceRequest } from "./fleet_requests.ts";
import { FleetPool } from "./fleet_settings.ts";
import { expectAnswer, expectWholeStream } from "./outcome_checks.ts";
import { type ProcessFleetOptions, withFleet } from "./process_fleet.ts";
import { waitFor } from "./wait_for.ts";

const LONG_ANSWER_TOKENS = 20_000;

const FLEET: ProcessFleetOptions = {
  instances: [
    { id: "njiro-1", failureDomain: "njiro-hall" },
    { id: "njiro-2", failureDomain: "njiro-hall" },
  ],
  targets: [
    {
      id: "engine-1",
      pool: FleetPool.Engines,
      failureDomain: "njiro-hall",
      slots: 1,
    },
    {
      id: "desk-1",
      pool: FleetPool.Services,
      failureDomain: "njiro-hall",
      slots: 1,
      callMs: 1_000,
    },
  ],
};

for (const holderId of ["njiro-1", "njiro-2"]) {
  test(`should cancel a stream after its caller hangs up, at ${holderId}`, () =>
    withFleet(FLEET, async (fleet) => {
      const holder = fleet.instance(holderId);
      const abandoned = holder.stream(engineRequest(LONG_ANSWER_TOKENS));
      await abandoned.waitForText();
      const next = engineRequest(10);
      const answered = holder.send(next);
      await holder.waitForRequests(RequestState.Waiting, 1);
      abandoned.hangUp();
      await fleet.waitForCounts("a cancel", ({ cancelled }) => cancelled === 1);
      expectAnswer(await answered, next);
      await waitFor("no grants to be left", async () => {
        const statuses = await Promise.all(
          [...fleet.instances.values()].map((each) => each.readStatus()),
        );
        return statuses.flatMap(({ shards }) => shards)
          .every(({ grants }) => grants === 0);
      });
      const counts = await fleet.readCounts();
      assert.is(counts.dispatches, 2);
      assert.is(counts.cancelled, 1);
    }));
}

test("should continue a stream that another caller of its key waits for", () =>
  withFleet(FLEET, async (fleet) => {
    const holder = fleet.instance("njiro-1");
    const request = engineRequest(200, { idempotencyKey: "plan" });
    const abandoned = holder.stream(request);
    await abandoned.waitForText();
    const remaining = holder.stream(request);
    await remaining.waitForText();
    abandoned.hangUp();
    await abandoned.ended;
    await remaining.ended;
    expectWholeStream(remaining, request);
    const counts = await fleet.readCounts();
    assert.is(counts.dispatches, 1);
    assert.is(counts.cancelled, 0);
  }));

test("should keep the answer of a call that may not be repeated", () =>
  withFleet(FLEET, async (fleet) => {
    const holder = fleet.instance("njiro-1");
    const request = serviceRequest();
    const abandoned = holder.stream(request);
    await fleet.waitForCounts(
      "the run",
      (counts) => counts.runsOfKey(request.idempotencyKey) === 1,
    );
    abandoned.hangUp();
    await abandoned.ended;
    expectAnswer(await holder.send(request), request);
    const other = fleet.instance("njiro-2");
    expectAnswer(await other.send(request), request);
    assert.is((await fleet.readCounts()).dispatches, 1);
  }));

test.run();
