/**
 * Checks that answers broke off or were missing only for an excusable cause.
 */

import { type CallRecord, DEADLINE_MS } from "./soak_callers.ts";
import type { ConfiguredMinimums, SoakTarget } from "./soak_fleet.ts";
import { GRACE_MS, type SoakInstance, type TimeSpan } from "./soak_instance.ts";

/**
 * Records of which targets and instances received a request, and of the faults
 * in effect at that time.
 */
export interface AnswerEndEvidence {
  readonly targets: readonly SoakTarget[];
  readonly instances: readonly SoakInstance[];
  readonly minimums: ConfiguredMinimums;
}

/**
 * Longest time from sending a request until its connection closes, for a
 * request that the instance did not read.
 */
const MAX_UNREAD_MS = 1000;

/**
 * Last share of the grace time, in which an instance may break off answers that
 * targets still work on. The deployment's page sets it, and the latest time
 * after the shutdown signal at which such a request was sent.
 */
const GRACE_END_SHARE = 1 / 6;
const MAX_SENT_AFTER_SIGNAL_MS = 3000;

/** Shortest default timeout of the routes with streams. */
const MIN_STREAM_TIMEOUT_MS = 5000;

const REQUEST_ID = /"requestId":"([^"]+)"/;

/** Reports ends of answers that no fault or planned stop excuses. */
export class AnswerEndChecker {
  readonly #minimums: ConfiguredMinimums;
  readonly #cutSpans: readonly TimeSpan[];
  readonly #targetsById = new Map<string, SoakTarget[]>();
  /** Ids of requests whose answers were cut off while a target sent them. */
  readonly #cutOffIds = new Set<string>();
  /** Ids of requests in logs of instances, which had therefore read them. */
  readonly #loggedIds: ReadonlySet<string>;

  /** @param evidence Records of targets and instances. */
  constructor({ targets, instances, minimums }: AnswerEndEvidence) {
    this.#minimums = minimums;
    this.#cutSpans = instances.flatMap(({ cutSpans }) => cutSpans);
    for (const target of targets) {
      for (const { requestId, isCutOff } of target.target.receivedRequests) {
        const others = this.#targetsById.get(requestId) ?? [];
        this.#targetsById.set(requestId, [...others, target]);
        if (isCutOff) {
          this.#cutOffIds.add(requestId);
        }
      }
    }
    this.#loggedIds = new Set(
      instances.flatMap(({ logLines }) => logLines)
        .flatMap((line) => REQUEST_ID.exec(line)?.[1] ?? []),
    );
  }

  /**
   * Checks the end of a call's answer.
   *
   * @param record The call, ended.
   * @returns Descriptions of the faults; empty if the end is complete or
   * excused.
   */
  findFaults(record: CallRecord): string[] {
    const { result, instance, hasDisconnected } = record;
    const { status, isWhole, body } = result!;
    const isExcused = hasDisconnected || (status !== 0 && isWhole) ||
      instance.killedAtMs.some((atMs) => isDuring(record, atMs)) ||
      (status === 0
        ? this.#isExcusedAsUnread(record)
        : this.#isExcusedAsCutOff(record));
    if (isExcused) {
      return [];
    }
    const end = status === 0
      ? "no answer"
      : `answer broke off, status ${status}, ${record.bodyBytes} bytes, ` +
        `${[...body.matchAll(/^id: /gm)].length} events`;
    return [
      `${end}, ${record.kind.path}, ${this.#describeCircumstances(record)}`,
    ];
  }

  /**
   * Checks whether an answer may lack a part although its connection ended
   * regularly: only that end delimits it, and a target was disturbed or the
   * instance was killed meanwhile.
   *
   * @param record The call, ended.
   * @returns Whether its answer may be short.
   */
  mayBeShort(record: CallRecord): boolean {
    const { instance, result } = record;
    const { headers } = result!;
    const isFramed = headers["content-length"] !== undefined ||
      headers["transfer-encoding"] !== undefined;
    return !isFramed && (
      instance.killedAtMs.some((atMs) => isDuring(record, atMs)) ||
      this.#wasTargetDisturbed(record)
    );
  }

  #wasTargetDisturbed(record: CallRecord): boolean {
    return this.#targetsOf(record.requestId).some(({ faultSpans }) =>
      faultSpans.some((span) => overlaps(record, span))
    );
  }

  /**
   * Returns whether no instance read the request for an excusable cause: there
   * was no running process, or the connection closed soon after the request was
   * sent, because of a stop or an idle timeout.
   */
  #isExcusedAsUnread(record: CallRecord): boolean {
    const { requestId, instance, result, startedAtMs, endedAtMs } = record;
    if (this.#targetsById.has(requestId) || this.#loggedIds.has(requestId)) {
      return false;
    }
    if (instance.pausedSpans.some((span) => overlaps(record, span))) {
      return true;
    }
    const hadNoProcess = instance.downSpans.some(({ fromMs, untilMs }) =>
      fromMs <= startedAtMs && startedAtMs <= untilMs
    );
    if (hadNoProcess) {
      return true;
    }
    const mayIdleOut = result!.reused &&
      this.#minimums.idleReducedAtMs <= endedAtMs;
    const isStopping = instance.unavailableSpans.some((span) =>
      overlaps(record, span)
    );
    return endedAtMs - startedAtMs <= MAX_UNREAD_MS &&
      (mayIdleOut || isStopping);
  }

  /**
   * Returns whether a fault, a timeout or the end of the grace time excuses
   * that a stream broke off: once its status is sent, it cannot report an
   * error.
   */
  #isExcusedAsCutOff(record: CallRecord): boolean {
    const { requestId, kind, startedAtMs, endedAtMs } = record;
    const timeoutMs = MIN_STREAM_TIMEOUT_MS * this.#minimums.timeoutShare;
    const limitMs = Math.min(DEADLINE_MS, timeoutMs);
    return kind.events > 0 && (
      endedAtMs - startedAtMs >= limitMs || wasPausedDuringGrace(record) ||
      (this.#cutOffIds.has(requestId) && exceededGrace(record)) ||
      this.#wasCutOff(record) ||
      this.#wasTargetDisturbed(record)
    );
  }

  /**
   * Whether the instance or one that it relayed the request through was cut off
   * from the target. An instance relays only after it was cut off.
   */
  #wasCutOff(record: CallRecord): boolean {
    return record.instance.cutSpans.some(({ fromMs }) =>
      fromMs <= record.endedAtMs
    ) && this.#cutSpans.some((span) => overlaps(record, span));
  }

  #targetsOf(requestId: string): readonly SoakTarget[] {
    return this.#targetsById.get(requestId) ?? [];
  }

  #describeCircumstances(record: CallRecord): string {
    const { requestId, instance, startedAtMs, endedAtMs, result } = record;
    const stop = instance.unavailableSpans.findLast(({ fromMs }) =>
      fromMs <= endedAtMs
    );
    const sinceStop = stop === undefined
      ? "never stopped before"
      : `sent ${Math.round(startedAtMs - stop.fromMs)} ms and ended ` +
        `${Math.round(endedAtMs - stop.fromMs)} ms after the last signal`;
    const targets = this.#targetsOf(requestId).map(({ target }) => target.id);
    return `took ${Math.round(endedAtMs - startedAtMs)} ms, ${sinceStop}, ` +
      `reused ${result!.reused}, told ${this.#loggedIds.has(requestId)}, ` +
      `seen by ${targets.join() || "none"}`;
  }
}

function isDuring(
  { startedAtMs, endedAtMs }: CallRecord,
  atMs: number,
): boolean {
  return startedAtMs <= atMs && atMs <= endedAtMs;
}

function overlaps(record: CallRecord, { fromMs, untilMs }: TimeSpan): boolean {
  return record.startedAtMs <= untilMs && record.endedAtMs >= fromMs;
}

/** Whether a pause during shutdown left the process no grace time. */
function wasPausedDuringGrace(record: CallRecord): boolean {
  const { instance } = record;
  return instance.unavailableSpans.some((stop) =>
    endedLateInGrace(record, stop) &&
    instance.pausedSpans.some((span) =>
      overlaps(record, span) && span.untilMs >= stop.fromMs
    )
  );
}

/**
 * Whether a call that was sent in time lasted until the end of the grace time.
 */
function exceededGrace(record: CallRecord): boolean {
  return record.instance.unavailableSpans.some((stop) =>
    endedLateInGrace(record, stop) &&
    record.startedAtMs <= stop.fromMs + MAX_SENT_AFTER_SIGNAL_MS
  );
}

/** Whether a call ended in the last share of the grace time of a stop. */
function endedLateInGrace(record: CallRecord, stop: TimeSpan): boolean {
  const lateMs = GRACE_MS * (1 - GRACE_END_SHARE);
  return overlaps(record, stop) && record.endedAtMs - stop.fromMs >= lateMs;
}
