/** Holders that are paused past a request's deadline or a grant's lifetime. */

import type { SentOutcome } from "@chestnuthatch/cli/send_request";
import type { CallerRequest } from "@chestnuthatch/wire/caller_protocol";
import { ErrorKind, RunState } from "@chestnuthatch/wire/shared_types";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { serviceRequest } from "./fleet_requests.ts";
import { FleetPool } from "./fleet_settings.ts";
import { expectAnswer, expectRefusal } from "./outcome_checks.ts";
import {
  type ProcessFleet,
  type ProcessFleetOptions,
  withFleet,
} from "./process_fleet.ts";
import { waitFor, waitUntilPast } from "./wait_for.ts";

const DEADLINE_MS = 2_000;
const GRANT_LIFETIME_MS = 2_000;
/**
 * Longer than the grant's lifetime and the member timeout: after such a pause
 * the holder is not eligible at first, so that it cannot grant to itself.
 */
const LONG_PAUSE_MS = 3_000;

const DEADLINE_EXCEEDED_NOT_RUN = {
  error: ErrorKind.DeadlineExceeded,
  ran: RunState.NotRun,
};

/** `njiro-1` coordinates, as the only target is in its failure domain. */
const FLEET: ProcessFleetOptions = {
  instances: [
    { id: "njiro-1", failureDomain: "njiro-hall" },
    { id: "sakina-1", failureDomain: "sakina-hall" },
  ],
  targets: [{
    id: "desk-1",
    pool: FleetPool.Services,
    failureDomain: "njiro-hall",
    slots: 1,
  }],
  settings: [
    [["fleet", "claimWaitMs"], 60_000],
    [["fleet", "timing", "grantLifetimeMs"], GRANT_LIFETIME_MS],
    [["fleet", "timing", "askTimeoutMs"], GRANT_LIFETIME_MS / 2],
    [["regions", "arusha", "failureDomains"], ["njiro-hall", "sakina-hall"]],
  ],
};

test("should not dispatch after a pause past the deadline during the claim", () =>
  withFleet(FLEET, async (fleet) => {
    const holder = fleet.instance("sakina-1");
    const request = serviceRequest({
      deadlineMs: DEADLINE_MS,
      firstAttempt: true,
    });
    holder.platformRelay.holdInbound();
    const outcome = holder.send(request);
    const { workspace, idempotencyKey } = request;
    await waitFor(
      "the claim",
      () => fleet.hasRow(`claim/${workspace}/${idempotencyKey}`),
    );
    await holder.pause();
    await holder.platformRelay.heal();
    await waitUntilPast(performance.now() + DEADLINE_MS);
    holder.resume();
    expectRefusal(await outcome, DEADLINE_EXCEEDED_NOT_RUN);
    await expectNotDispatched(fleet, request);
  }));

test("should not dispatch after a pause past the deadline with a grant", () =>
  withFleet(FLEET, async (fleet) => {
    const holder = fleet.instance("sakina-1");
    const request = serviceRequest({
      deadlineMs: DEADLINE_MS,
      firstAttempt: true,
    });
    const paused = await pauseBeforeGrant(fleet, request);
    await waitUntilPast(performance.now() + DEADLINE_MS);
    holder.resume();
    expectRefusal(await paused.outcome, DEADLINE_EXCEEDED_NOT_RUN);
    await expectNotDispatched(fleet, request);
  }));

test("should not use a grant that expired during a pause", () =>
  withFleet(FLEET, async (fleet) => {
    const holder = fleet.instance("sakina-1");
    const request = serviceRequest();
    const paused = await pauseBeforeGrant(fleet, request);
    await waitUntilPast(performance.now() + LONG_PAUSE_MS);
    holder.resume();
    const { requestId } = expectAnswer(await paused.outcome, request);
    const explanation = await holder.explainRequest(requestId);
    assert.match(explanation, /returned: too old/, explanation);
    assert.is((await fleet.readCounts()).dispatchesOf(requestId), 1);
  }));

/**
 * Sends a request and pauses its holder after the coordinator has granted a
 * target, but before the holder receives the grant. The grant then arrives
 * during the pause.
 */
async function pauseBeforeGrant(
  fleet: ProcessFleet,
  request: CallerRequest,
): Promise<{ outcome: Promise<SentOutcome> }> {
  const holder = fleet.instance("sakina-1");
  const coordinator = fleet.instance("njiro-1");
  // Holds both relays, as either side may have dialled the link in use.
  coordinator.peerRelay.holdInbound();
  holder.peerRelay.holdOutbound();
  const outcome = holder.send(request);
  await waitFor("a grant for the holder", async () => {
    const { shards } = await coordinator.readStatus();
    return shards.some(({ grants, grantsInUse }) =>
      grants === 1 && grantsInUse === 0
    );
  });
  await holder.pause();
  await coordinator.peerRelay.heal();
  await holder.peerRelay.heal();
  return { outcome };
}

async function expectNotDispatched(
  fleet: ProcessFleet,
  request: CallerRequest,
): Promise<void> {
  await fleet.waitUntilReady();
  const counts = await fleet.readCounts();
  assert.is(counts.runsOfKey(request.idempotencyKey), 0);
}

test.run();
