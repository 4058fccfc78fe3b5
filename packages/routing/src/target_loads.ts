/**
 * Newest load that each target reported.
 *
 * Load pattern: targets share machines with others, so that in slow periods of
 * some hundred milliseconds work takes a multiple of its usual time. Latency
 * models learn from answers, and would know of a slow period when it is over.
 */

import {
  decayedRatio,
  invalidFieldOf,
  type LoadReport,
  usedRatio,
} from "./load_report.ts";

/** Age from which a report is not used any more. */
const MAX_REPORT_AGE_MS = 1000;

/** Slowdown from which a target is in a slow period. */
const SLOW_PERIOD_RATIO = 1.5;

/**
 * Time after a report for which a target with requests of its own gets no new
 * work, about the duration of a short stream.
 */
const HOLD_MS = 300;

/** What became of a report. */
export enum LoadReportResult {
  Used = "used",
  /** Too old, of an earlier process, or older than another one. */
  Outdated = "outdated",
  /** A field is out of range. */
  Invalid = "invalid",
}

/** A report that was handled, for metrics and the log. */
export interface HandledLoadReport {
  readonly targetId: string;
  readonly result: LoadReportResult;
  /** Name of the field that is out of range; absent if none is. */
  readonly field?: keyof LoadReport;
  /** Value of that field. */
  readonly value?: number;
}

/**
 * Returns the slowdown to assume for a target now, relative to its usual speed;
 * 1 if it is not known.
 */
export type SlowdownLookup = (targetId: string) => number;

/** The newest report of a target. */
interface Observation {
  readonly ratio: number;
  /** Local time at which the report arrived at its holder. */
  readonly atMs: number;
}

/** Newest reports by target id, of the targets' present processes. */
export class TargetLoads {
  readonly #observations = new Map<string, Observation>();
  /** Local times until which targets should get no new work. */
  readonly #heldUntilMs = new Map<string, number>();
  /** Local times of recent restarts; earlier reports are outdated. */
  readonly #restartedAtMs = new Map<string, number>();
  readonly #onReport: (report: HandledLoadReport) => void;

  /** @param onReport Called for each report that was handled. */
  constructor(onReport: (report: HandledLoadReport) => void = () => {}) {
    this.#onReport = onReport;
  }

  /**
   * Records a report of a target.
   *
   * @param targetId Id of the target.
   * @param report The report.
   * @param of Whether the coordinator accounts for fewer requests than the
   * target has slots, and the current local time.
   */
  record(
    targetId: string,
    report: LoadReport,
    of: { hasFreeSlot: boolean; nowMs: number },
  ): void {
    const field = invalidFieldOf(report);
    if (field !== undefined) {
      const result = LoadReportResult.Invalid;
      this.#onReport({ targetId, result, field, value: report[field] });
      return;
    }
    const atMs = of.nowMs - report.ageMs;
    if (!this.#isCurrent(targetId, report.ageMs, atMs)) {
      this.#onReport({ targetId, result: LoadReportResult.Outdated });
      return;
    }
    const ratio = usedRatio(report.slowdownRatio);
    this.#observations.set(targetId, { ratio, atMs });
    if (report.waiting === 0) {
      this.#heldUntilMs.delete(targetId);
    } else if (of.hasFreeSlot) {
      // What waits there is not in this coordinator's account: work of earlier
      // coordinators, or canceled work that still runs.
      this.#heldUntilMs.set(targetId, atMs + HOLD_MS);
    }
    this.#onReport({ targetId, result: LoadReportResult.Used });
  }

  #isCurrent(targetId: string, ageMs: number, atMs: number): boolean {
    const newestAtMs = this.#observations.get(targetId)?.atMs ?? -Infinity;
    const restartedAtMs = this.#restartedAtMs.get(targetId) ?? -Infinity;
    return ageMs <= MAX_REPORT_AGE_MS && atMs >= newestAtMs &&
      atMs > restartedAtMs;
  }

  /**
   * Returns the slowdowns of all targets at one moment.
   *
   * @param nowMs Current local time in milliseconds.
   * @returns A function that looks up the slowdown of a target; undefined while
   * there are no reports.
   */
  slowdownsAt(nowMs: number): SlowdownLookup | undefined {
    if (this.#observations.size === 0) {
      return undefined;
    }
    return (targetId) => {
      const observation = this.#observations.get(targetId);
      if (observation === undefined) {
        return 1;
      }
      const ageMs = nowMs - observation.atMs;
      return ageMs > MAX_REPORT_AGE_MS
        ? 1
        : decayedRatio(observation.ratio, ageMs);
    };
  }

  /** Whether any target may be held back from new work. */
  get hasHeld(): boolean {
    return this.#heldUntilMs.size > 0;
  }

  /**
   * Returns whether a target should get no new work while others are free, as
   * requests wait there that the coordinator does not account for.
   *
   * @param targetId Id of the target.
   * @param nowMs Current local time in milliseconds.
   * @returns Whether it is held back from new work.
   */
  isHeld(targetId: string, nowMs: number): boolean {
    return nowMs < (this.#heldUntilMs.get(targetId) ?? -Infinity);
  }

  /**
   * Lists the targets whose newest report states a slow period, without those
   * whose report has expired.
   *
   * @returns The slowdowns of these targets, by target id.
   */
  slowTargets(): Map<string, number> {
    const slow = new Map<string, number>();
    for (const [targetId, { ratio }] of this.#observations) {
      if (ratio >= SLOW_PERIOD_RATIO) {
        slow.set(targetId, ratio);
      }
    }
    return slow;
  }

  /**
   * Discards the reports of a target whose process was restarted.
   *
   * @param targetId Id of the target.
   * @param nowMs Current local time in milliseconds.
   */
  restarted(targetId: string, nowMs: number): void {
    this.#observations.delete(targetId);
    this.#heldUntilMs.delete(targetId);
    this.#restartedAtMs.set(targetId, nowMs);
  }

  /**
   * Evicts reports that are too old to be used.
   *
   * @param nowMs Current local time in milliseconds.
   */
  evictExpired(nowMs: number): void {
    for (const [targetId, { atMs }] of this.#observations) {
      if (nowMs - atMs > MAX_REPORT_AGE_MS) {
        this.#observations.delete(targetId);
      }
    }
    for (const [targetId, untilMs] of this.#heldUntilMs) {
      if (nowMs >= untilMs) {
        this.#heldUntilMs.delete(targetId);
      }
    }
    for (const [targetId, atMs] of this.#restartedAtMs) {
      if (nowMs - atMs > MAX_REPORT_AGE_MS) {
        this.#restartedAtMs.delete(targetId);
      }
    }
  }

  /**
   * Evicts the reports of targets that no longer exist.
   *
   * @param targetIds Ids of the targets that still exist.
   */
  keepOnly(targetIds: ReadonlySet<string>): void {
    for (
      const byId of [
        this.#observations,
        this.#heldUntilMs,
        this.#restartedAtMs,
      ]
    ) {
      for (const targetId of byId.keys()) {
        if (!targetIds.has(targetId)) {
          byId.delete(targetId);
        }
      }
    }
  }
}
