/** Checks that a fleet recovers once all faults of its seed are over. */

import { DEFAULT_ROUTES } from "@chestnuthatch/platform/standin_fleet";
import {
  CALL_KINDS,
  type CallKind,
  type CallRecord,
  type SoakCallers,
} from "./soak_callers.ts";
import type { BrokenPromise } from "./soak_checks.ts";
import type { SoakFleet } from "./soak_fleet.ts";
import type { SoakInstance } from "./soak_instance.ts";
import { waitFor } from "./wait_for.ts";

const STATUS_OK = 200;
const STATUS_UNAVAILABLE = 503;

/** Longest time until a request is refused that no target may get. */
const MAX_REFUSAL_MS = 250;

/** A check of how one instance answers one kind of call. */
interface RecoveryProbe {
  readonly fleet: SoakFleet;
  readonly callers: SoakCallers;
  readonly instance: SoakInstance;
  readonly kind: CallKind;
}

/**
 * Checks that every instance serves every kind of call again once all faults
 * are over, and that no leaving target gets any. A pool may be left with no
 * targets but those of a version that was rolled back. Its calls must then be
 * refused at once, with a Retry-After header, and reach no target.
 *
 * @param fleet The fleet.
 * @param callers Sender of the calls.
 * @returns The broken promise; empty if the fleet recovered.
 */
export async function findUnrecovered(
  fleet: SoakFleet,
  callers: SoakCallers,
): Promise<BrokenPromise[]> {
  let instanceId = "";
  try {
    await fleet.waitUntilReady();
    for (const instance of fleet.instances) {
      instanceId = instance.id;
      for (const kind of CALL_KINDS) {
        const probe = { fleet, callers, instance, kind };
        const isAsExpected = fleet.hasUsableTarget(poolOf(kind))
          ? isServedAsExpected
          : isRefusedAsExpected;
        const what = isAsExpected === isServedAsExpected ? "served" : "refused";
        await waitFor(
          `${kind.path} to be ${what} by ${instanceId}`,
          () => isAsExpected(probe),
        );
      }
    }
    return [];
  } catch (error) {
    const promise = "serves again once faults are over";
    return [{ promise, requestId: "", instanceId, detail: String(error) }];
  }
}

/**
 * Checks that a call was served.
 *
 * @param record The call.
 * @returns Whether its caller got a complete answer with status 200.
 */
export function isServed({ result }: CallRecord): boolean {
  return result?.status === STATUS_OK && result.isWhole;
}

function poolOf({ path }: CallKind): string {
  return DEFAULT_ROUTES.find(({ prefix }) => prefix === path)!.service;
}

async function isServedAsExpected(probe: RecoveryProbe): Promise<boolean> {
  const { fleet, callers, instance, kind } = probe;
  const leavingRequestCounts = () =>
    fleet.targets.filter(({ leavingAtMs }) => leavingAtMs !== undefined)
      .map(({ target }) => target.receivedRequests.length).join();
  const before = leavingRequestCounts();
  const record = await callers.send(kind, instance);
  return isServed(record) && leavingRequestCounts() === before;
}

async function isRefusedAsExpected(probe: RecoveryProbe): Promise<boolean> {
  const { fleet, callers, instance, kind } = probe;
  const record = await callers.send(kind, instance);
  const { requestId, result, startedAtMs, endedAtMs } = record;
  const hasReached = fleet.targets.some(({ target }) =>
    target.receivedRequests.some((request) => request.requestId === requestId)
  );
  return result?.status === STATUS_UNAVAILABLE &&
    Number(result.headers["retry-after"]) > 0 &&
    endedAtMs - startedAtMs < MAX_REFUSAL_MS && !hasReached;
}
