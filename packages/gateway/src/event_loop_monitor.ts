/**
 * Measurement of the event loop's delay and of the tasks that cause it. A
 * delayed loop delays answers to callers and to other instances.
 */

import { type EventLog, type LogFacts, LogPart } from "./event_log.ts";
import type { GatewayMetrics } from "./gateway_metrics.ts";
import type { Clock } from "./ports.ts";

/** Minimum time between two log lines about a delayed event loop. */
const LOG_INTERVAL_MS = 1000;

/**
 * Minimum delay of a timer that is logged. Answers to other instances take a
 * few milliseconds while nothing blocks the event loop.
 */
const MIN_LOGGED_DELAY_MS = 50;

/** Duration of a sample, over which tasks and busy time are compared. */
const SAMPLE_INTERVAL_MS = 250;

/** Minimum busy share of a sample for the process to count as loaded. */
const MIN_LOADED_BUSY_SHARE = 0.7;

/**
 * Ratio of a sample's throughput per busy time to the baseline, below which the
 * process counts as slow rather than loaded. It lies well below the variation
 * from the mix of requests and messages, as a loaded coordinator should not be
 * replaced by one with less knowledge of the fleet.
 */
const MIN_THROUGHPUT_SHARE = 0.35;

/** Weight of a new sample in the baseline, which so adapts over seconds. */
const BASELINE_WEIGHT = 0.05;

/** Minimum number of tasks in a sample that updates the baseline. */
const MIN_BASELINE_TASKS = 10;

/** Collaborators of an `EventLoopMonitor`. */
export interface EventLoopMonitorParts {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly metrics: GatewayMetrics;
  /** @returns Busy time of the event loop since the process started, in ms. */
  busyMs(): number;
  /** @returns The present load of the process, as facts of a log line. */
  loadFacts(): LogFacts;
}

/** Measures the event loop's delay, and detects overload. */
export class EventLoopMonitor {
  readonly #parts: EventLoopMonitorParts;
  readonly #tasksByKind = new Map<string, { count: number; tookMs: number }>();
  #loggedAtMs = 0;
  #maxDelayMs = 0;
  #loggedBusyMs = 0;
  #sampleStartedAtMs = 0;
  #sampleStartBusyMs = 0;
  #sampleTasks = 0;
  /** Moving average of the tasks per millisecond of busy time. */
  #baselineTasksPerBusyMs?: number;
  #isLoaded = false;

  /** @param parts Collaborators. */
  constructor(parts: EventLoopMonitorParts) {
    this.#parts = parts;
  }

  /**
   * Whether the process is busy at its usual throughput; false if it is busy
   * but gets less done than usual.
   */
  get isLoaded(): boolean {
    return this.#isLoaded;
  }

  /**
   * Runs a task, and records its duration for the log.
   *
   * @param kind Label of the task, such as the kind of a message from another
   * instance.
   * @param task The task.
   */
  runTask(kind: string, task: () => void): void {
    const { clock } = this.#parts;
    const beganAtMs = clock.nowMs();
    task();
    const total = this.#tasksByKind.get(kind) ?? { count: 0, tookMs: 0 };
    this.#tasksByKind.set(kind, total);
    total.count++;
    this.#sampleTasks++;
    total.tookMs += clock.nowMs() - beganAtMs;
  }

  /**
   * Records a timer's delay, and ends the sample or writes a log line when due.
   *
   * @param lateMs Time from when the timer was due until it fired.
   */
  recordTimer(lateMs: number): void {
    const { clock, metrics } = this.#parts;
    metrics.timerDelayed(Math.max(0, lateMs));
    this.#maxDelayMs = Math.max(this.#maxDelayMs, lateMs);
    const nowMs = clock.nowMs();
    if (nowMs - this.#sampleStartedAtMs >= SAMPLE_INTERVAL_MS) {
      this.#endSample(nowMs);
    }
    if (nowMs - this.#loggedAtMs >= LOG_INTERVAL_MS) {
      this.#loggedAtMs = nowMs;
      this.#logIfLate();
    }
  }

  #endSample(nowMs: number): void {
    const sampleMs = nowMs - this.#sampleStartedAtMs;
    const busyMs = this.#parts.busyMs() - this.#sampleStartBusyMs;
    const tasksPerBusyMs = this.#sampleTasks / Math.max(1, busyMs);
    const baseline = this.#baselineTasksPerBusyMs ?? tasksPerBusyMs;
    this.#isLoaded = busyMs >= MIN_LOADED_BUSY_SHARE * sampleMs &&
      tasksPerBusyMs >= MIN_THROUGHPUT_SHARE * baseline;
    if (this.#sampleTasks >= MIN_BASELINE_TASKS) {
      this.#baselineTasksPerBusyMs = baseline +
        BASELINE_WEIGHT * (tasksPerBusyMs - baseline);
    }
    this.#sampleStartedAtMs = nowMs;
    this.#sampleStartBusyMs += busyMs;
    this.#sampleTasks = 0;
  }

  #logIfLate(): void {
    const busyMs = this.#parts.busyMs() - this.#loggedBusyMs;
    this.#loggedBusyMs += busyMs;
    if (this.#maxDelayMs >= MIN_LOGGED_DELAY_MS) {
      const work = [...this.#tasksByKind].map(([kind, { count, tookMs }]) =>
        `${kind} ${count} in ${Math.round(tookMs)} ms`
      );
      this.#parts.log.warn(LogPart.Process, "event loop is delayed", {
        mostLateMs: Math.round(this.#maxDelayMs),
        busyMs: Math.round(busyMs),
        work,
        ...this.#parts.loadFacts(),
      });
    }
    this.#tasksByKind.clear();
    this.#maxDelayMs = 0;
  }
}
