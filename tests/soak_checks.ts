/**
 * Checks of a seed's calls against records of callers, targets and processes.
 */

import type { ReceivedRequest } from "@chestnuthatch/platform/standin_target";
import type { CallRecord } from "./soak_callers.ts";
import { AnswerEndChecker } from "./soak_answer_ends.ts";
import type { ConfiguredMinimums, SoakTarget } from "./soak_fleet.ts";
import { EndCause, type SoakInstance } from "./soak_instance.ts";

/** A violation of a promise of the platform. */
export interface BrokenPromise {
  readonly promise: string;
  /** Id of the request; empty if the violation concerns no single request. */
  readonly requestId: string;
  /** Id of the instance; empty if the violation concerns no single instance. */
  readonly instanceId: string;
  readonly detail: string;
}

/** Records of a seed by callers, targets and processes. */
export interface SoakEvidence {
  readonly records: readonly CallRecord[];
  readonly targets: readonly SoakTarget[];
  readonly instances: readonly SoakInstance[];
  readonly minimums: ConfiguredMinimums;
}

/** Returns details of the violations of one promise by a call. */
type Check = (record: CallRecord, runs: readonly ReceivedRequest[]) => string[];

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

const CHECKS: Readonly<Record<string, Check>> = {
  "runs once at most": ({ kind }, runs) =>
    kind.atMostOnce && runs.length > 1 ? [`ran ${runs.length} times`] : [],
  "a refusal is true": ({ result }, runs) =>
    NOT_RUN_STATUSES.has(result!.status) && runs.length > 0
      ? [`status ${result!.status}, but it ran`]
      : [],
  "keys stay with the entry": (_record, runs) =>
    runs.some(({ headers }) => headers.authorization !== undefined)
      ? ["a target saw the key"]
      : [],
};

/** Promises that processes break by ending, by the cause of the end. */
const END_PROMISES: Readonly<Partial<Record<EndCause, string>>> = {
  [EndCause.GraceExceeded]: "a stopping process ends within its grace time",
  [EndCause.Unexpected]: "a process ends only when it is asked to",
};

/**
 * Checks the calls and processes of a seed.
 *
 * @param evidence Records of callers, targets and processes.
 * @returns The violations found; empty if every promise was kept.
 */
export function findBrokenPromises(evidence: SoakEvidence): BrokenPromise[] {
  const runsById = new Map<string, ReceivedRequest[]>();
  for (
    const request of evidence.targets.flatMap(({ target }) =>
      target.receivedRequests
    )
  ) {
    if (request.ran) {
      const runs = runsById.get(request.requestId) ?? [];
      runsById.set(request.requestId, [...runs, request]);
    }
  }
  const ends = new AnswerEndChecker(evidence);
  const checks: Readonly<Record<string, Check>> = {
    ...CHECKS,
    "an answer is its own and whole": (record) =>
      findAnswerFaults(record, ends.mayBeShort(record)),
    "a request that was read ends as an answer, a refusal or an error": (
      record,
    ) => ends.findFaults(record),
  };
  const callViolations = evidence.records.flatMap((record) =>
    Object.entries(checks).flatMap(([promise, check]) =>
      check(record, runsById.get(record.requestId) ?? []).map((detail) => ({
        promise,
        requestId: record.requestId,
        instanceId: record.instance.id,
        detail,
      }))
    )
  );
  return [
    ...callViolations,
    ...evidence.instances.flatMap(findBadEnds),
    ...evidence.instances.flatMap(findErrors),
  ];
}

function findErrors({ id, errorLines }: SoakInstance): BrokenPromise[] {
  return errorLines.map((detail) => ({
    promise: "an instance meets no unexpected error",
    requestId: "",
    instanceId: id,
    detail,
  }));
}

function findBadEnds({ id, ends }: SoakInstance): BrokenPromise[] {
  return ends.flatMap(({ cause, code, signal }) => {
    const promise = END_PROMISES[cause];
    const detail = `ended ${cause}, code ${code}, signal ${signal}`;
    return promise === undefined
      ? []
      : [{ promise, requestId: "", instanceId: id, detail }];
  });
}

function findAnswerFaults(record: CallRecord, mayBeShort: boolean): string[] {
  const { kind, requestId, result, bodyBytes, takesUp } = record;
  const { status, isWhole, body, headers } = result!;
  if (status !== STATUS_OK) {
    return [];
  }
  const answered = headers["x-request-id"];
  if (answered !== undefined && answered !== requestId) {
    return [`answers ${String(answered)}`];
  }
  if (kind.events === 0) {
    const start = `answer to ${requestId} by `;
    const isOwn = body.startsWith(start) ||
      (mayBeShort && start.startsWith(body));
    const isShort = !mayBeShort && bodyBytes < (kind.answerBytes ?? 0);
    return isWhole && (!isOwn || isShort)
      ? [`is no answer to it: ${body}, ${bodyBytes} bytes`]
      : [];
  }
  const ids = [...body.matchAll(/^id: (\d+)$/gm)].map(([, id]) => Number(id));
  const before = takesUp?.lastEventId ?? 0;
  const isInOrder = ids.every((id, index) => id === before + index + 1);
  if (!isInOrder) {
    return [`events ${ids.join()}`];
  }
  const count = before + ids.length;
  return isWhole && count !== kind.events
    ? [`ended as whole after ${count} of ${kind.events} events`]
    : [];
}
