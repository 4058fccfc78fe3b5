/** How the answers of a seed ended, and which of these ends nothing excuses. */

import { type CallRecord, DEADLINE_MS } from "./soak_callers.ts";
import type { ConfiguredMinimums, SoakTarget } from "./soak_fleet.ts";
import { GRACE_MS, type SoakInstance, type TimeSpan } from "./soak_instance.ts";

/** What tells who had a request, and what was wrong meanwhile. */
export interface AnswerEndEvidence {
  readonly targets: readonly SoakTarget[];
  readonly instances: readonly SoakInstance[];
  readonly minimums: ConfiguredMinimums;
}

/** Time after which callers give up what an instance has not read. */
const MAX_UNREAD_MS = 1000;

/**
 * Part of the grace time, at its end, in which what targets still work on may be
 * broken off; the deployment's sheet says so, and until when after the signal a
 * request must have been sent for it.
 */
const GRACE_END_SHARE = 1 / 6;
const MAX_SENT_AFTER_SIGNAL_MS = 3000;

/** Least of the usual timeouts of routes with streams. */
const MIN_STREAM_TIMEOUT_MS = 5000;

const REQUEST_ID = /"requestId":"([^"]+)"/;

/** Judges ends of answers. */
export class AnswerEndChecker {
  readonly #minimums: ConfiguredMinimums;
  readonly #targetsById = new Map<string, SoakTarget[]>();
  /** Ids of requests whose targets were still at work when they were cut. */
  readonly #cutOffIds = new Set<string>();
  /** Ids that instances told of: they had read these requests. */
  readonly #loggedIds: ReadonlySet<string>;

  /** @param evidence What targets and instances saw. */
  constructor({ targets, instances, minimums }: AnswerEndEvidence) {
    this.#minimums = minimums;
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
   * @param record A call.
   * @returns What is wrong with the end of its answer, if anything.
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
   * Nobody read the request, and there was no process to do so, or its
   * connection closed soon after it was sent and with a reason.
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
    const isAway = instance.unavailableSpans.some((span) =>
      overlaps(record, span)
    );
    return endedAtMs - startedAtMs <= MAX_UNREAD_MS && (mayIdleOut || isAway);
  }

  /** A stream that began can tell of a fault only by its end. */
  #isExcusedAsCutOff(record: CallRecord): boolean {
    const { requestId, kind, startedAtMs, endedAtMs } = record;
    const timeoutMs = MIN_STREAM_TIMEOUT_MS * this.#minimums.timeoutShare;
    const limitMs = Math.min(DEADLINE_MS, timeoutMs);
    return kind.events > 0 && (
      endedAtMs - startedAtMs >= limitMs || wasPausedDuringGrace(record) ||
      (this.#cutOffIds.has(requestId) && exceededGrace(record)) ||
      this.#targetsOf(requestId).some(({ faultSpans }) =>
        faultSpans.some((span) => overlaps(record, span))
      )
    );
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

/** Its process was paused while stopping, and had no time left after it. */
function wasPausedDuringGrace(record: CallRecord): boolean {
  const { instance } = record;
  return instance.unavailableSpans.some((span) =>
    endedLateInGrace(record, span) &&
    instance.pausedSpans.some((span) =>
      overlaps(record, span) && span.untilMs >= span.fromMs
    )
  );
}

/** It was sent in time, and yet ran until the end of the grace time. */
function exceededGrace(record: CallRecord): boolean {
  return record.instance.unavailableSpans.some((span) =>
    endedLateInGrace(record, span) &&
    record.startedAtMs <= span.fromMs + MAX_SENT_AFTER_SIGNAL_MS
  );
}

function endedLateInGrace(record: CallRecord, span: TimeSpan): boolean {
  const lateMs = GRACE_MS * (1 - GRACE_END_SHARE);
  return overlaps(record, span) && record.endedAtMs - span.fromMs >= lateMs;
}
