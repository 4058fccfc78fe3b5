/** What must hold of a fleet once all faults of its seed are over. */

import { ROUTES } from "@chestnuthatch/platform/standin_fleet";
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

/** Time within which a request is refused that no target may get. */
const REFUSED_WITHIN_MS = 250;

/** One look at whether an instance answers a kind of call as it should. */
interface RecoveryLook {
  readonly fleet: SoakFleet;
  readonly callers: SoakCallers;
  readonly instance: SoakInstance;
  readonly kind: CallKind;
}

/**
 * Once all faults are over, every instance serves every kind of call again, and
 * no target that is leaving gets any. Where the operators have left a pool with
 * no target but those of a version that was rolled back, its calls are refused
 * at once, with a time to come back, and reach no target.
 *
 * @param fleet The fleet.
 * @param callers Sends the calls.
 * @returns The promise, if it is broken.
 */
export async function notRecovered(
  fleet: SoakFleet,
  callers: SoakCallers,
): Promise<BrokenPromise[]> {
  let instanceId = "";
  try {
    await fleet.allReady();
    for (const instance of fleet.instances) {
      instanceId = instance.id;
      for (const kind of CALL_KINDS) {
        const look = { fleet, callers, instance, kind };
        const isAsOwed = fleet.hasUsable(poolOf(kind))
          ? isServedWell
          : isRefusedWell;
        const what = isAsOwed === isServedWell ? "served" : "refused";
        await waitFor(
          `${kind.path} to be ${what} by ${instanceId}`,
          () => isAsOwed(look),
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
 * @param record A call.
 * @returns Whether its caller got the whole answer.
 */
export function isServed({ result }: CallRecord): boolean {
  return result?.status === STATUS_OK && result.whole;
}

function poolOf({ path }: CallKind): string {
  return ROUTES.find(({ prefix }) => prefix === path)!.service;
}

async function isServedWell(look: RecoveryLook): Promise<boolean> {
  const { fleet, callers, instance, kind } = look;
  const seenByLeaving = () =>
    fleet.targets.filter(({ leavingAtMs }) => leavingAtMs !== undefined)
      .map(({ target }) => target.seen.length).join();
  const before = seenByLeaving();
  const record = await callers.send(kind, instance);
  return isServed(record) && seenByLeaving() === before;
}

async function isRefusedWell(look: RecoveryLook): Promise<boolean> {
  const { fleet, callers, instance, kind } = look;
  const record = await callers.send(kind, instance);
  const { requestId, result, startedAtMs, endedAtMs } = record;
  const hasReached = fleet.targets.some(({ target }) =>
    target.seen.some((seen) => seen.requestId === requestId)
  );
  return result?.status === STATUS_UNAVAILABLE &&
    Number(result.headers["retry-after"]) > 0 &&
    endedAtMs - startedAtMs < REFUSED_WITHIN_MS && !hasReached;
}
