/** Requests to targets that refuse connections or break them during a call. */

import { shardKey } from "@chestnuthatch/core/blackboard";
import { rankMembers } from "@chestnuthatch/core/coordinators";
import { RequestState } from "@chestnuthatch/core/request";
import {
  type InstanceStatus,
  MemberLiveness,
} from "@chestnuthatch/core/status";
import { TargetFaultKind } from "@chestnuthatch/standins/target_faults";
import { ErrorKind, RunState } from "@chestnuthatch/wire/shared_types";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { engineRequest, serviceRequest } from "./fleet_requests.ts";
import { FleetPool } from "./fleet_settings.ts";
import {
  expectAnswer,
  expectRefusal,
  expectStreamError,
} from "./outcome_checks.ts";
import {
  type ProcessFleet,
  type ProcessFleetOptions,
  withFleet,
} from "./process_fleet.ts";
import { waitFor } from "./wait_for.ts";

const TARGET_FAILED = {
  error: ErrorKind.TargetFailed,
  ran: RunState.MayHaveRun,
};
const SHORT_DEADLINE_MS = 1_500;
const CALL_MS = 600;
const FAILURE_DOMAIN = "njiro-hall";
const INSTANCES = [
  { id: "njiro-1", failureDomain: FAILURE_DOMAIN },
  { id: "njiro-2", failureDomain: FAILURE_DOMAIN },
];

test("should answer from another target when one refuses connections", () =>
  withFleet(makeFleetOptions({ slots: 1 }), async (fleet) => {
    const [holder] = [...fleet.instances.values()];
    await waitForKnownLoads(fleet);
    await fleet.targetRelay("desk-1").cut();
    const requests = [serviceRequest(), serviceRequest()];
    const outcomes = await Promise.all(
      requests.map((request) => holder.send(request)),
    );
    const answers = outcomes.map((outcome, i) =>
      expectAnswer(outcome, requests[i])
    );
    const explanations = await Promise.all(
      answers.map(({ requestId }) => holder.explainRequest(requestId)),
    );
    assert.match(explanations.join(), /Not sent to desk-1/);
    const { dispatchesByTarget } = await fleet.readCounts();
    assert.is(dispatchesByTarget["desk-1"], 0);
    assert.is(dispatchesByTarget["desk-2"], requests.length);
  }));

test("should not retry a request that a target dropped", () =>
  withFleet(makeFleetOptions({ slots: 4 }), async (fleet) => {
    const [holder, other] = [...fleet.instances.values()];
    for (const id of ["desk-1", "desk-2"]) {
      await fleet.setTargetFault(id, {
        kind: TargetFaultKind.DropBeforeAnswer,
        times: 1,
      });
    }
    const request = serviceRequest();
    const refusal = expectRefusal(await holder.send(request), TARGET_FAILED);
    assert.ok(refusal.mayRetry, "a key makes a retry safe");
    expectRefusal(await holder.send(request), TARGET_FAILED);
    expectRefusal(
      await other.send({ ...request, deadlineMs: SHORT_DEADLINE_MS }),
      { error: ErrorKind.DeadlineExceeded, ran: RunState.MayHaveRun },
    );
    assert.is((await fleet.readCounts()).dispatches, 1);
  }));

test("should refuse as possibly run when the link breaks during a call", () =>
  withFleet(makeFleetOptions({ slots: 4 }), async (fleet) => {
    const [holder] = [...fleet.instances.values()];
    const requests = [
      serviceRequest(),
      serviceRequest({ idempotencyKey: undefined }),
    ];
    const outcomes = requests.map((request) => holder.send(request));
    await fleet.waitForCounts(
      "both calls",
      ({ dispatches }) => dispatches === requests.length,
    );
    await fleet.targetRelay("desk-1").cut();
    await fleet.targetRelay("desk-2").cut();
    const [keyed, keyless] = (await Promise.all(outcomes))
      .map((outcome) => expectRefusal(outcome, TARGET_FAILED));
    assert.ok(keyed.mayRetry, "a key makes a retry safe");
    assert.not.ok(keyless.mayRetry, "without a key a retry would run again");
    await fleet.targetRelay("desk-1").heal();
    await fleet.targetRelay("desk-2").heal();
    const next = serviceRequest();
    expectAnswer(await holder.send(next), next);
    assert.is((await fleet.readCounts()).maxDispatchesPerRequest, 1);
    assert.is((await fleet.readCounts()).dispatches, requests.length + 1);
  }));

test("should end a stream with an error when its engine is lost", () =>
  withFleet(makeFleetOptions({ slots: 4 }), async (fleet) => {
    const [holder] = [...fleet.instances.values()];
    const request = engineRequest(1000);
    const stream = holder.stream(request);
    await stream.waitForText();
    await holder.waitForRequests(RequestState.Dispatched, 1);
    await fleet.targetRelay("engine-1").cut();
    await fleet.targetRelay("engine-2").cut();
    await stream.ended;
    const { ran, mayRetry } = expectStreamError(stream);
    assert.equal({ ran, mayRetry }, {
      ran: RunState.MayHaveRun,
      mayRetry: true,
    });
    assert.is((await fleet.readCounts()).dispatches, 1);
  }));

/**
 * Waits until the coordinator of the services knows the loads of both targets
 * and every instance lists all members, so that all agree on the coordinator.
 * Without a first load report a target gets no work, and the next report comes
 * long after the test. An instance that started alone may have been coordinator
 * itself and be the only one that knows the loads.
 */
async function waitForKnownLoads(fleet: ProcessFleet): Promise<void> {
  const instances = [...fleet.instances.values()];
  await waitFor("the coordinator to know the loads of the desks", async () => {
    const statuses = await Promise.all(
      instances.map((each) => each.readStatus()),
    );
    const [coordinator] = rankMembers(statuses, {
      key: shardKey(FleetPool.Services, FAILURE_DOMAIN),
      failureDomain: FAILURE_DOMAIN,
    });
    const knownIds = coordinator!.targets
      .filter(({ loadAgeMs }) => loadAgeMs !== undefined)
      .map(({ targetId }) => targetId);
    return statuses.every(listsAllInstances) &&
      ["desk-1", "desk-2"].every((id) => knownIds.includes(id));
  });
}

function listsAllInstances({ members, settingsVersion }: InstanceStatus) {
  const eligible = members
    .filter(({ liveness }) => liveness === MemberLiveness.Eligible);
  return eligible.length === INSTANCES.length && settingsVersion > 0;
}

/**
 * Describes the fleet of these tests. Loads are polled only every 10 s, so that
 * a dispatch, not a poll, is the first to use a cut link.
 */
function makeFleetOptions({ slots }: { slots: number }): ProcessFleetOptions {
  const common = { failureDomain: FAILURE_DOMAIN, slots };
  const service = { ...common, pool: FleetPool.Services, callMs: CALL_MS };
  const engine = {
    ...common,
    pool: FleetPool.Engines,
    decodeTokensPerSecond: 50,
  };
  return {
    instances: INSTANCES,
    targets: [
      { ...service, id: "desk-1" },
      { ...service, id: "desk-2" },
      { ...engine, id: "engine-1" },
      { ...engine, id: "engine-2" },
    ],
    settings: [[["fleet", "timing", "loadPollMs"], 10_000]],
  };
}

test.run();
