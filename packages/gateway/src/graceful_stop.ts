/** Graceful shutdown: requests that were read are answered before the end. */

import type { OpenConnections } from "./caller_connections.ts";
import { pollOfEventLoop } from "./event_loop_poll.ts";
import { type EventLog, LogPart } from "./event_log.ts";
import type { Clock } from "./ports.ts";

/**
 * Minimum time from the handling of a stop signal to the end of the process.
 * The load balancer stops routing callers here after two failed readiness
 * checks, one second apart.
 */
const MIN_STOP_MS = 3000;

/**
 * Maximum time from a stop signal for which requests are accepted. By then the
 * load balancer routes no new callers here, and requests that still arrive on
 * persistent connections might outlast the grace period.
 */
const MAX_ACCEPT_MS = 2600;

/**
 * Maximum share of the grace period in which requests are accepted. Twice as
 * much time is left to finish them, as writing large answers to slow callers
 * takes seconds.
 */
const MAX_ACCEPT_SHARE = 1 / 3;

/**
 * Time before the end of the grace period at which requests whose answers have
 * not begun are ended. It is ten poll intervals, as a slow instance may be late
 * for some of them, and lets refusals and errors reach the callers.
 */
const ABORT_MARGIN_MS = 500;

/**
 * Time before the end of the grace period at which begun answers are aborted,
 * and the process ends even if bytes are still buffered. An aborted answer is
 * lost, so this margin is as short as possible.
 */
const END_MARGIN_MS = 200;

/**
 * Minimum time to write out refusals and errors, even if the grace period was
 * shortened during the stop.
 */
const MIN_FLUSH_MS = 100;

/** Time between two checks whether every request is answered. */
const POLL_INTERVAL_MS = 50;

/** What a graceful stop needs of the server for callers. */
export interface StoppingServer {
  /** Number of requests in progress. */
  readonly openCount: number;
  readonly connections: OpenConnections;
  /**
   * Makes all answers from now on ask callers to close their connections.
   *
   * @param remainingMs Returns the time until begun answers are aborted.
   */
  announceClosing(remainingMs: () => number): void;
  /** Refuses all requests from now on, and closes idle connections. */
  refuseRequests(): void;
  /** Ends requests whose answers have not begun, with an error answer. */
  abortRequests(): void;
  /** Refuses the requests that have arrived and are not read yet. */
  refuseUnread(): Promise<void>;
  /** Aborts answers that have begun. */
  abortAnswers(): void;
}

/** Collaborators of a `GracefulStop`, and its grace period. */
export interface GracefulStopParts {
  readonly front: StoppingServer;
  /** Server of requests that other instances have relayed through this one. */
  readonly relay: { readonly openCount: number };
  readonly clock: Clock;
  readonly log: EventLog;
  /** @returns Time in milliseconds from the stop signal to a forced kill. */
  graceMs(): number;
  /**
   * Waits.
   *
   * @param forMs Time to wait.
   * @returns A promise that is fulfilled after that time.
   */
  pause(forMs: number): Promise<void>;
}

/** Ends the service to callers within the grace period. */
export class GracefulStop {
  readonly #parts: GracefulStopParts;
  /** Earliest local time at which the stop signal may have arrived. */
  readonly #signalledAtMs: number;
  /** Local time at which it was handled, and readiness ended. */
  readonly #handledAtMs: number;

  /**
   * @param parts Collaborators, and the grace period.
   * @param lateMs Delay of the event loop. The grace period starts with the
   * signal, which may have been pending for so long before it was handled.
   */
  constructor(parts: GracefulStopParts, lateMs = 0) {
    this.#parts = parts;
    this.#handledAtMs = parts.clock.nowMs();
    this.#signalledAtMs = this.#handledAtMs - lateMs;
  }

  /**
   * Finishes requests in progress, refuses those that arrive late, and aborts
   * only those that outlast the grace period.
   *
   * @returns A promise that is fulfilled when every answer is written out or
   * the grace period is over.
   */
  async run(): Promise<void> {
    const { front, log } = this.#parts;
    front.announceClosing(() => this.#remainingMs - END_MARGIN_MS);
    log.info(LogPart.Process, "stopping", {
      openRequests: front.openCount,
      ...front.connections,
      graceMs: this.#parts.graceMs(),
    });
    await this.#finishRequests();
    front.refuseRequests();
    // Answers of targets that have arrived are still forwarded.
    await pollOfEventLoop();
    const openRequests = front.openCount;
    front.abortRequests();
    const abortedRequests = openRequests - front.openCount;
    await this.#flushAnswers();
    await front.refuseUnread();
    const cutRequests = front.openCount;
    if (cutRequests > 0) {
      front.abortAnswers();
    }
    log.info(LogPart.Process, "stopped", {
      abortedRequests,
      cutRequests,
      ...front.connections,
      tookMs: Math.round(this.#elapsedMs),
    });
  }

  async #finishRequests(): Promise<void> {
    const { clock, front } = this.#parts;
    while (!this.#endsWithin(ABORT_MARGIN_MS)) {
      const sinceHandledMs = clock.nowMs() - this.#handledAtMs;
      if (this.#isIdle && sinceHandledMs >= MIN_STOP_MS) {
        return;
      }
      if (this.#elapsedMs >= this.#refuseAfterMs) {
        front.refuseRequests();
      }
      await this.#parts.pause(POLL_INTERVAL_MS);
    }
  }

  async #flushAnswers(): Promise<void> {
    const minElapsedMs = this.#elapsedMs + MIN_FLUSH_MS;
    const isTimeOver = () =>
      this.#endsWithin(END_MARGIN_MS) && this.#elapsedMs >= minElapsedMs;
    while (!this.#isIdle && !isTimeOver()) {
      await this.#parts.pause(POLL_INTERVAL_MS);
    }
  }

  /** Whether no request is in progress and every answer is written out. */
  get #isIdle(): boolean {
    const { front: { connections, openCount }, relay } = this.#parts;
    return openCount === 0 && connections.owedAnswers === 0 &&
      relay.openCount === 0;
  }

  get #refuseAfterMs(): number {
    return Math.min(MAX_ACCEPT_MS, MAX_ACCEPT_SHARE * this.#parts.graceMs());
  }

  get #elapsedMs(): number {
    return this.#parts.clock.nowMs() - this.#signalledAtMs;
  }

  /** Time until the end of the grace period. */
  get #remainingMs(): number {
    return this.#parts.graceMs() - this.#elapsedMs;
  }

  /** Whether the grace period ends within a time. */
  #endsWithin(marginMs: number): boolean {
    return this.#remainingMs <= marginMs;
  }
}
