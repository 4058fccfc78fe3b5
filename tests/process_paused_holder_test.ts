/** Holders that are paused until their request's time is over. */

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
 * Beyond the grant's lifetime and the member timeout: after such a pause the
 * holder has no duties for a moment, so that it cannot grant to itself.
 */
const LONG_PAUSE_MS = 3_000;

const DEADLINE_EXCEEDED_NOT_RUN = {
  error: ErrorKind.DeadlineExceeded,
  ran: RunState.NotRun,
};

/** The one target's domain has an instance of its own, which coordinates. */
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

test("should not dispatch after a pause over the deadline in the claim", () =>
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

test("should not dispatch after a pause over the deadline with a grant", () =>
  withFleet(FLEET, async (fleet) => {
    const holder = fleet.instance("sakina-1");
    const request = serviceRequest({
      deadlineMs: DEADLINE_MS,
      firstAttempt: true,
    });
    const outcome = await pauseBeforeGrant(fleet, request);
    await waitUntilPast(performance.now() + DEADLINE_MS);
    holder.resume();
    expectRefusal(await outcome.sent, DEADLINE_EXCEEDED_NOT_RUN);
    await expectNotDispatched(fleet, request);
  }));

test("should not use a grant that lapsed during a pause", () =>
  withFleet(FLEET, async (fleet) => {
    const holder = fleet.instance("sakina-1");
    const request = serviceRequest();
    const outcome = await pauseBeforeGrant(fleet, request);
    await waitUntilPast(performance.now() + LONG_PAUSE_MS);
    holder.resume();
    const { requestId } = expectAnswer(await outcome.sent, request);
    const story = await holder.explainRequest(requestId);
    assert.match(story, /returned: too old/, story);
    assert.is((await fleet.readCounts()).dispatchesOf(requestId), 1);
  }));

/**
 * Sends a request, and pauses its holder when the coordinator has granted it a
 * target, but before the holder hears of it; on return the grant is there.
 */
async function pauseBeforeGrant(
  fleet: ProcessFleet,
  request: CallerRequest,
): Promise<{ sent: Promise<SentOutcome> }> {
  const holder = fleet.instance("sakina-1");
  const coordinator = fleet.instance("njiro-1");
  // Either side may have dialled the link that is in use.
  coordinator.peerRelay.holdInbound();
  holder.peerRelay.holdOutbound();
  const sent = holder.send(request);
  await waitFor("a grant for the holder", async () => {
    const { shards } = await coordinator.readStatus();
    return shards.some(({ grants, grantsInUse }) =>
      grants === 1 && grantsInUse === 0
    );
  });
  await holder.pause();
  await coordinator.peerRelay.heal();
  await holder.peerRelay.heal();
  return { sent };
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
