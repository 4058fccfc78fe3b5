/**
 * Watches how late the process is for its timers, and why: late timers are late
 * answers to callers and to other instances.
 */

import { type EventLog, type LogFacts, LogPart } from "./event_log.ts";
import type { GatewayMetrics } from "./gateway_metrics.ts";
import type { Clock } from "./ports.ts";

/** Time between two lines on a process that is late. */
const TELL_MS = 1000;

/**
 * A timer that is later than this is told of: answers to other instances take a
 * few milliseconds where nothing holds them up.
 */
const LATE_MS = 50;

/** Time over which work and busy time are compared. */
const SPAN_MS = 250;

/** Part of the time that a process is busy at least, to count as loaded. */
const LOADED_PART = 0.7;

/**
 * Part of its usual work that a process gets done in its busy time, below which
 * it counts as slowed. Well below what the mix of requests and messages changes,
 * as a loaded coordinator is not to make way for one that knows less.
 */
const SLOWED_PART = 0.35;

/** Weight of a new span in what is usual, so that it takes seconds to change. */
const USUAL_WEIGHT = 0.05;

/** Pieces of work that a span has at least, to say anything of what is usual. */
const FEWEST_PIECES = 10;

/** What the watch works with. */
export interface LoopParts {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly metrics: GatewayMetrics;
  /** @returns Time for which the process has been busy since its start. */
  busyMs(): number;
  /** @returns What the process has to do now, for the log. */
  load(): LogFacts;
}

/** Tells when the process does not keep up. */
export class LoopWatch {
  readonly #parts: LoopParts;
  readonly #done = new Map<string, { count: number; tookMs: number }>();
  #toldAtMs = 0;
  #mostLateMs = 0;
  #toldBusyMs = 0;
  #spanBeganAtMs = 0;
  #spanBusyMs = 0;
  #pieces = 0;
  /** Pieces of work in a millisecond of busy time. */
  #usualPieces?: number;
  #isLoaded = false;

  /** @param parts What the watch works with. */
  constructor(parts: LoopParts) {
    this.#parts = parts;
  }

  /**
   * Whether the process has more to do than it can, while it gets done what it
   * usually does.
   */
  get isLoaded(): boolean {
    return this.#isLoaded;
  }

  /**
   * Does a piece of work, and notes the time that it takes.
   *
   * @param kind Kind of the work: of a message from another instance, or another.
   * @param work The work.
   */
  run(kind: string, work: () => void): void {
    const { clock } = this.#parts;
    const beganAtMs = clock.nowMs();
    work();
    const done = this.#done.get(kind) ?? { count: 0, tookMs: 0 };
    this.#done.set(kind, done);
    done.count++;
    this.#pieces++;
    done.tookMs += clock.nowMs() - beganAtMs;
  }

  /** @param lateMs By how much a timer was late. */
  timerFired(lateMs: number): void {
    const { clock, metrics } = this.#parts;
    metrics.timerLate(Math.max(0, lateMs));
    this.#mostLateMs = Math.max(this.#mostLateMs, lateMs);
    const nowMs = clock.nowMs();
    if (nowMs - this.#spanBeganAtMs >= SPAN_MS) {
      this.#endSpan(nowMs);
    }
    if (nowMs - this.#toldAtMs >= TELL_MS) {
      this.#toldAtMs = nowMs;
      this.#tell();
    }
  }

  #endSpan(nowMs: number): void {
    const spanMs = nowMs - this.#spanBeganAtMs;
    const busyMs = this.#parts.busyMs() - this.#spanBusyMs;
    const pieces = this.#pieces / Math.max(1, busyMs);
    const usual = this.#usualPieces ?? pieces;
    this.#isLoaded = busyMs >= LOADED_PART * spanMs &&
      pieces >= SLOWED_PART * usual;
    if (this.#pieces >= FEWEST_PIECES) {
      this.#usualPieces = usual + USUAL_WEIGHT * (pieces - usual);
    }
    this.#spanBeganAtMs = nowMs;
    this.#spanBusyMs += busyMs;
    this.#pieces = 0;
  }

  #tell(): void {
    const busyMs = this.#parts.busyMs() - this.#toldBusyMs;
    this.#toldBusyMs += busyMs;
    if (this.#mostLateMs >= LATE_MS) {
      const work = [...this.#done].map(([kind, { count, tookMs }]) =>
        `${kind} ${count} in ${Math.round(tookMs)} ms`
      );
      this.#parts.log.warn(LogPart.Process, "process is late", {
        mostLateMs: Math.round(this.#mostLateMs),
        busyMs: Math.round(busyMs),
        work,
        ...this.#parts.load(),
      });
    }
    this.#done.clear();
    this.#mostLateMs = 0;
  }
}
