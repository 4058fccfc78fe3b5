/** What must hold in every seed, from what callers and targets saw. */

import type { SeenRequest } from "@chestnuthatch/platform/standin_target";
import type { CallRecord } from "./soak_callers.ts";
import type { SoakTarget } from "./soak_fleet.ts";

/** A promise that was broken. */
export interface BrokenPromise {
  readonly promise: string;
  readonly requestId: string;
  readonly instanceId: string;
  readonly detail: string;
}

/** All that callers and targets saw. */
export interface SoakEvidence {
  readonly records: readonly CallRecord[];
  readonly targets: readonly SoakTarget[];
}

type Check = (record: CallRecord, runs: readonly SeenRequest[]) => string[];

const STATUS_OK = 200;
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([
  401,
  404,
  408,
  413,
  421,
  429,
  503,
]);

/**
 * Time before its instance went away within which a call may have been on its
 * way to a connection that was just being closed.
 */
const CLOSING_MS = 250;

const CHECKS: Readonly<Record<string, Check>> = {
  "runs once at most": ({ kind }, runs) =>
    kind.once && runs.length > 1 ? [`ran ${runs.length} times`] : [],
  "a refusal is true": ({ result }, runs) =>
    NOT_RUN_STATUSES.has(result!.status) && runs.length > 0
      ? [`status ${result!.status}, but it ran`]
      : [],
  "an answer is its own and whole": (record) => foreignParts(record),
  "every call gets an answer": (record) => unanswered(record),
  "keys stay with the entry": (_record, runs) =>
    runs.some(({ headers }) => headers.authorization !== undefined)
      ? ["a target saw the key"]
      : [],
};

/**
 * Checks a seed.
 *
 * @param evidence All that callers and targets saw.
 * @returns The promises that were broken.
 */
export function brokenPromises(evidence: SoakEvidence): BrokenPromise[] {
  const runsById = new Map<string, SeenRequest[]>();
  for (const seen of evidence.targets.flatMap(({ target }) => target.seen)) {
    if (seen.ran) {
      const runs = runsById.get(seen.requestId) ?? [];
      runsById.set(seen.requestId, [...runs, seen]);
    }
  }
  return evidence.records.flatMap((record) =>
    Object.entries(CHECKS).flatMap(([promise, check]) =>
      check(record, runsById.get(record.requestId) ?? []).map((detail) => ({
        promise,
        requestId: record.requestId,
        instanceId: record.instance.id,
        detail,
      }))
    )
  );
}

function foreignParts({ kind, requestId, result }: CallRecord): string[] {
  const { status, whole, body, headers } = result!;
  if (status !== STATUS_OK) {
    return [];
  }
  const answered = headers["x-request-id"];
  if (answered !== undefined && answered !== requestId) {
    return [`answers ${String(answered)}`];
  }
  if (kind.events === 0) {
    const isOwn = body.startsWith(`answer to ${requestId} by `);
    return whole && !isOwn ? [`is no answer to it: ${body}`] : [];
  }
  const ids = [...body.matchAll(/^id: (\d+)$/gm)].map(([, id]) => Number(id));
  const isInOrder = ids.every((id, index) => id === index + 1);
  if (!isInOrder) {
    return [`events ${ids.join()}`];
  }
  return whole && ids.length !== kind.events
    ? [`ended as whole after ${ids.length} of ${kind.events} events`]
    : [];
}

/** A call goes without any answer only where its instance went away. */
function unanswered(
  { instance, result, startedAtMs, endedAtMs, left }: CallRecord,
): string[] {
  const wentAway = instance.away.some(({ fromMs, untilMs }) =>
    startedAtMs <= untilMs && endedAtMs >= fromMs - CLOSING_MS
  );
  return result!.status === 0 && !left && !wentAway
    ? [`no answer after ${Math.round(endedAtMs - startedAtMs)} ms`]
    : [];
}
