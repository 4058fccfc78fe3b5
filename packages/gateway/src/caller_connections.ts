/** Registry of callers' connections; records how each one ended. */

import type { Socket } from "node:net";
import { CallerConnection, ConnectionEnd } from "./caller_connection.ts";
import type { ShutdownStage } from "./shutdown_stage.ts";
import { type EventLog, LogPart } from "./event_log.ts";
import type { GatewayMetrics } from "./gateway_metrics.ts";
import type { UnfinishedAnswer } from "./unfinished_answer.ts";
import type { Clock } from "./ports.ts";

/** Parts of the instance that the registry uses. */
export interface CallerConnectionsParts {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly metrics: GatewayMetrics;
  /** @returns The current stage of the instance's shutdown. */
  stage(): ShutdownStage;
  /** @returns Longest time that a connection may be idle, in milliseconds. */
  idleTimeoutMs(): number;
}

/** Counts of open connections and unfinished answers at one time. */
export interface OpenConnections {
  readonly openConnections: number;
  /**
   * Number of requests that were read and whose answers are not written out.
   * The name is a key of log lines.
   */
  readonly owedAnswers: number;
  /** Buffered bytes of these answers. */
  readonly waitingBytes: number;
}

/**
 * Tracks open connections. When one ends, counts its cause and logs the
 * requests that it leaves unanswered.
 */
export class CallerConnections {
  readonly #parts: CallerConnectionsParts;
  readonly #open = new Map<Socket, CallerConnection>();

  /** @param parts Parts of the instance that the registry uses. */
  constructor(parts: CallerConnectionsParts) {
    this.#parts = parts;
  }

  /** Current counts of open connections and unfinished answers. */
  get summary(): OpenConnections {
    const open = [...this.#open.values()];
    open.forEach((connection) => connection.updateWaitingBytes());
    return {
      openConnections: open.length,
      owedAnswers: sum(
        open.map(({ unfinishedAnswers }) => unfinishedAnswers.length),
      ),
      waitingBytes: sum(open.map(({ waitingBytes }) => waitingBytes)),
    };
  }

  /**
   * Registers a new connection.
   *
   * @param socket The connection of a caller.
   */
  add(socket: Socket): void {
    const connection = new CallerConnection(socket, {
      clock: this.#parts.clock,
      idleTimeoutMs: () => this.#parts.idleTimeoutMs(),
      onClosed: () => this.#onEnded(socket),
    });
    this.#open.set(socket, connection);
  }

  /**
   * Returns whether a connection is closing.
   *
   * @param socket A caller's connection.
   * @returns Whether it is closed or closes after an answer, so that a request
   * read on it now cannot be answered.
   */
  isClosing(socket: Socket): boolean {
    return this.#open.get(socket)?.isClosing ?? true;
  }

  /**
   * Returns how long a caller took at most to read an answer.
   *
   * @param socket A caller's connection.
   * @returns Longest time from a request to the last byte of its answer, in
   * milliseconds, among answers that were buffered until the caller read; 0 if
   * none was.
   */
  slowestAnswerMs(socket: Socket): number {
    return this.#open.get(socket)?.slowestAnswerMs ?? 0;
  }

  /**
   * @param answer An unfinished answer.
   * @returns Whether its request is the only one read on its connection so far.
   */
  isFirstRequest(answer: UnfinishedAnswer): boolean {
    return this.#open.get(answer.response.req.socket)?.requestsRead === 1;
  }

  /**
   * @param answer An unfinished answer.
   * @returns Whether it can still be sent.
   */
  isAnswerable(answer: UnfinishedAnswer): boolean {
    return this.#open.get(answer.response.req.socket)?.isAnswerable ?? false;
  }

  /**
   * Handles an invalid request, or one whose headers arrived too slowly.
   *
   * @param socket The connection, on which no further request can be read.
   * @param error The error reported by Node.js.
   */
  handleUnreadable(socket: Socket, error: Error): void {
    this.#open.get(socket)?.handleUnreadable(error);
  }

  /**
   * Tracks an answer until it is written out or its connection ends.
   *
   * @param answer The answer to a request that was just read.
   */
  trackAnswer(answer: UnfinishedAnswer): void {
    this.#open.get(answer.response.req.socket)?.trackAnswer(answer);
  }

  /**
   * Records the cause of the end of an answer's connection.
   *
   * @param answer An answer that the instance is about to abort.
   * @param end The cause.
   */
  recordEnd(answer: UnfinishedAnswer, end: ConnectionEnd): void {
    this.#open.get(answer.response.req.socket)?.recordEnd(end);
  }

  /**
   * Closes the connection of an answer after it.
   *
   * @param answer An answer that is about to be sent.
   * @returns False if the connection has to stay open for later answers.
   */
  closeAfter(answer: UnfinishedAnswer): boolean {
    const connection = this.#open.get(answer.response.req.socket);
    return connection?.closeAfter(answer) ?? false;
  }

  /**
   * Lets the end of an answer's connection delimit the answer.
   *
   * @param answer An answer that is about to be sent.
   * @returns False if the connection has to stay open for later answers.
   */
  endAfter(answer: UnfinishedAnswer): boolean {
    answer.isUnframed = this.closeAfter(answer);
    return answer.isUnframed;
  }

  /**
   * Closes connections without an unfinished answer or a partial request.
   *
   * @param minIdleMs Time for which they must have been idle, in milliseconds.
   */
  closeIdle(minIdleMs = 0): void {
    const connections = this.#idleConnections()
      .filter(({ idleMs }) => idleMs >= minIdleMs);
    for (const connection of connections) {
      connection.recordEnd(ConnectionEnd.ClosedIdle);
      connection.close();
    }
  }

  /**
   * Extends the timeout of connections that are idle now. Callers assume the
   * newest configured limit, so that a connection must stay open that long.
   *
   * @param idleTimeMs Idle timeout from now, in milliseconds.
   */
  setIdleTimeout(idleTimeMs: number): void {
    this.#idleConnections().forEach((connection) =>
      connection.setIdleTimeout(idleTimeMs)
    );
  }

  /**
   * Runs a function that closes connections, and records the cause of those
   * that it closed. Resets those whose answers are not written out and would
   * look complete.
   *
   * @param end The cause.
   * @param close Closes any of the connections.
   */
  closeAndRecord(end: ConnectionEnd, close: () => void): void {
    const open = [...this.#open.values()]
      .filter(({ isDestroyed }) => !isDestroyed);
    open.forEach((connection) => connection.updateWaitingBytes());
    open.forEach((connection) => connection.resetIfUnframed());
    close();
    open.filter(({ isDestroyed }) => isDestroyed)
      .forEach((connection) => connection.recordEnd(end));
  }

  /**
   * Records the end of all open connections at once, since the process exits
   * before their `close` events.
   *
   * @param end The cause, for connections without a recorded one.
   */
  recordEndOfAll(end: ConnectionEnd): void {
    for (const [socket, connection] of this.#open) {
      connection.recordEnd(end);
      this.#onEnded(socket);
    }
  }

  #idleConnections(): CallerConnection[] {
    return [...this.#open.values()].filter(({ isIdle }) => isIdle);
  }

  #onEnded(socket: Socket): void {
    const connection = this.#open.get(socket);
    if (connection === undefined) {
      return;
    }
    this.#open.delete(socket);
    this.#parts.metrics.connectionEnded(connection.end);
    for (const answer of connection.unfinishedAnswers) {
      this.#recordUnanswered(connection, answer);
      answer.onConnectionEnded();
    }
  }

  #recordUnanswered(
    connection: CallerConnection,
    answer: UnfinishedAnswer,
  ): void {
    const { clock, log, metrics } = this.#parts;
    const { end, reason, waitingBytes } = connection;
    const { requestId, arrivedAtMs } = answer.facts;
    const { state } = answer;
    metrics.unanswered(end, state);
    log.info(LogPart.Request, "connection ended unanswered", {
      requestId,
      end,
      reason,
      stage: this.#parts.stage(),
      answer: state,
      runs: answer.countRuns(),
      waitingBytes,
      tookMs: Math.round(clock.nowMs() - arrivedAtMs),
    });
  }
}

function sum(numbers: readonly number[]): number {
  return numbers.reduce((total, number) => total + number, 0);
}
