/** SIGTERM to an instance while its streams run and its requests wait. */

import { RequestState } from "@chestnuthatch/core/request";
import { ErrorKind, RunState } from "@chestnuthatch/wire/shared_types";
import { test } from "uvu";
import * as assert from "uvu/assert";
import type { FleetInstance } from "./fleet_instance.ts";
import { engineRequest, serviceRequest } from "./fleet_requests.ts";
import { FleetPool } from "./fleet_settings.ts";
import {
  expectAnswer,
  expectRefusal,
  expectStreamError,
  expectTruthful,
  expectWholeStream,
} from "./outcome_checks.ts";
import { type ProcessFleetOptions, withFleet } from "./process_fleet.ts";
import { waitFor } from "./wait_for.ts";

const SLOTS = 2;
const DECODE_TOKENS_PER_SECOND = 100;
const CLEAN_EXIT = { code: 0, signal: null };
const SHUTTING_DOWN = {
  error: ErrorKind.ShuttingDown,
  ran: RunState.NotRun,
};

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
      slots: SLOTS,
      decodeTokensPerSecond: DECODE_TOKENS_PER_SECOND,
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

for (const leavingId of ["njiro-1", "njiro-2"]) {
  test(`should finish its requests before it leaves, as ${leavingId}`, () =>
    withFleet(FLEET, async (fleet) => {
      const leaving = fleet.instance(leavingId);
      const staying = [...fleet.instances.values()]
        .find((instance) => instance !== leaving)!;
      const requests = Array.from(
        { length: 2 * SLOTS },
        () => engineRequest(150),
      );
      const calls = requests.map((request) => leaving.stream(request));
      const service = serviceRequest();
      const serviceOutcome = leaving.send(service);
      await leaving.waitForRequests(RequestState.Dispatched, SLOTS + 1);
      await leaving.waitForRequests(RequestState.Waiting, SLOTS);
      leaving.terminate();
      await waitForShutdownToBegin(leaving);
      const refused = await leaving.send(serviceRequest());
      if (!("broken" in refused)) {
        expectRefusal(refused, SHUTTING_DOWN);
      }
      for (const [i, call] of calls.entries()) {
        await call.ended;
        expectWholeStream(call, requests[i]);
      }
      expectAnswer(await serviceOutcome, service);
      assert.equal(await leaving.waitForEnd(), CLEAN_EXIT);
      const next = serviceRequest();
      expectAnswer(await staying.send(next), next);
      const counts = await fleet.readCounts();
      assert.is(counts.maxDispatchesPerRequest, 1);
      assert.is(counts.dispatches, requests.length + 2);
    }));
}

test("should refuse unfinished requests truthfully at a second SIGTERM", () =>
  withFleet(FLEET, async (fleet) => {
    const leaving = fleet.instance("njiro-1");
    const calls = Array.from(
      { length: 2 * SLOTS },
      () => leaving.stream(engineRequest(4_000)),
    );
    await leaving.waitForRequests(RequestState.Dispatched, SLOTS);
    await leaving.waitForRequests(RequestState.Waiting, SLOTS);
    leaving.terminate();
    await waitForShutdownToBegin(leaving);
    leaving.terminate();
    assert.equal(await leaving.waitForEnd(), CLEAN_EXIT);
    await Promise.all(calls.map(({ ended }) => ended));
    const refusals = calls.map(expectStreamError);
    const counts = await fleet.readCounts();
    refusals.forEach((refusal) => expectTruthful(refusal, counts));
    assert.equal(refusals.map(({ error }) => error), [
      ...Array(calls.length).fill(ErrorKind.ShuttingDown),
    ]);
    const notRun = refusals.filter(({ ran }) => ran === RunState.NotRun);
    assert.is(notRun.length, SLOTS);
    assert.is(counts.dispatches, SLOTS);
  }));

async function waitForShutdownToBegin(instance: FleetInstance): Promise<void> {
  await waitFor(
    "the shutdown to begin",
    async () =>
      instance.server.hasEnded || (await instance.readStatus()).leaving,
  );
}

test.run();
