/** The end of an instance: what it has read is answered before it goes. */

import type { OpenConnections } from "./caller_connections.ts";
import { type EventLog, LogPart } from "./event_log.ts";
import type { Clock } from "./ports.ts";

/**
 * Least time from the handling of a stop signal to the end: the balancer needs
 * two failed readiness checks, one second apart, before it sends no more callers.
 */
const LEAST_STOPPING_MS = 3000;

/**
 * Time from a stop signal after which requests are refused: by then the
 * balancer sends no new callers, and what still arrives on kept connections
 * might outlast the grace time.
 */
const REFUSE_AFTER_MS = 2600;

/**
 * Most of the grace time in which requests are still taken. Twice as much is
 * left to finish them: large answers to slow callers take seconds to write out.
 */
const TAKING_SHARE = 1 / 3;

/**
 * Time before the kill at which requests are ended whose callers have got no part
 * of an answer: ten looks, as a slow instance may be late for some. What is left
 * lets refusals and errors reach these callers.
 */
const ABORT_MARGIN_MS = 500;

/**
 * Time before the kill at which begun answers are broken off, and the process
 * ends even if bytes still wait. An answer broken off is lost, so that it gets as
 * long as there is.
 */
const END_MARGIN_MS = 200;

/**
 * Least time for these to be written out, also where the grace time was made
 * shorter meanwhile.
 */
const LEAST_WRITE_OUT_MS = 100;

/** Time between two looks at whether all is answered. */
const LOOK_MS = 50;

/** The server for callers, as far as stopping it goes. */
export interface StoppingServer {
  /** Requests in progress. */
  readonly openCount: number;
  readonly connections: OpenConnections;
  /**
   * From now on, answers tell callers to close their connections.
   *
   * @param leftMs Tells the time until answers are broken off.
   */
  announceClosing(leftMs: () => number): void;
  /** From now on, requests are refused and idle connections are closed. */
  refuseRequests(): void;
  /** Ends requests whose answers have not begun; their callers are told so. */
  abortRequests(): void;
  /** Breaks off answers that have begun. */
  breakOffAnswers(): void;
}

/** What is stopped, and how long it may take. */
export interface StopParts {
  readonly front: StoppingServer;
  readonly clock: Clock;
  readonly log: EventLog;
  /** @returns Time from the stop signal to the kill. */
  graceMs(): number;
  /** @returns Once some milliseconds have passed. */
  pause(forMs: number): Promise<void>;
}

/** Stops serving callers within the grace time. */
export class GracefulStop {
  readonly #parts: StopParts;
  /** When the signal came, at the earliest. */
  readonly #beganAtMs: number;
  /** When it was handled, and the instance said that it is not ready. */
  readonly #handledAtMs: number;

  /**
   * @param parts What is stopped.
   * @param lateMs By how much the process was late. The grace time counts from
   * the signal, which may have waited for so long.
   */
  constructor(parts: StopParts, lateMs = 0) {
    this.#parts = parts;
    this.#handledAtMs = parts.clock.nowMs();
    this.#beganAtMs = this.#handledAtMs - lateMs;
  }

  /**
   * Finishes what is in progress, refuses what comes late, and breaks off only
   * what outlasts the grace time.
   *
   * @returns Once every answer is written out, or the time is over.
   */
  async run(): Promise<void> {
    const { front, log } = this.#parts;
    front.announceClosing(() => this.#leftMs - END_MARGIN_MS);
    log.info(LogPart.Process, "stopping", {
      openRequests: front.openCount,
      ...front.connections,
      graceMs: this.#parts.graceMs(),
    });
    await this.#finishRequests();
    const openRequests = front.openCount;
    front.abortRequests();
    const abortedRequests = openRequests - front.openCount;
    await this.#writeOut();
    const cutRequests = front.openCount;
    if (cutRequests > 0) {
      front.breakOffAnswers();
    }
    log.info(LogPart.Process, "stopped", {
      abortedRequests,
      cutRequests,
      ...front.connections,
      tookMs: Math.round(this.#spentMs),
    });
  }

  async #finishRequests(): Promise<void> {
    const { clock, front } = this.#parts;
    while (!this.#isWithin(ABORT_MARGIN_MS)) {
      const toldMs = clock.nowMs() - this.#handledAtMs;
      if (this.#isIdle && toldMs >= LEAST_STOPPING_MS) {
        return;
      }
      if (this.#spentMs >= this.#refuseAfterMs) {
        front.refuseRequests();
      }
      await this.#parts.pause(LOOK_MS);
    }
  }

  async #writeOut(): Promise<void> {
    const leastMs = this.#spentMs + LEAST_WRITE_OUT_MS;
    const isOver = () =>
      this.#isWithin(END_MARGIN_MS) && this.#spentMs >= leastMs;
    while (!this.#isIdle && !isOver()) {
      await this.#parts.pause(LOOK_MS);
    }
  }

  /** Whether no request is in progress and every answer is written out. */
  get #isIdle(): boolean {
    const { connections, openCount } = this.#parts.front;
    return openCount === 0 && connections.owedAnswers === 0;
  }

  get #refuseAfterMs(): number {
    return Math.min(REFUSE_AFTER_MS, TAKING_SHARE * this.#parts.graceMs());
  }

  get #spentMs(): number {
    return this.#parts.clock.nowMs() - this.#beganAtMs;
  }

  /** Time until the kill. */
  get #leftMs(): number {
    return this.#parts.graceMs() - this.#spentMs;
  }

  /** Whether the kill is at most so far away. */
  #isWithin(marginMs: number): boolean {
    return this.#leftMs <= marginMs;
  }
}
