/** All open connections of callers, and an account of those that ended. */

import type { Socket } from "node:net";
import { CallerConnection, ConnectionEnd } from "./caller_connection.ts";
import type { ClosingStage } from "./closing_stage.ts";
import { type EventLog, LogPart } from "./event_log.ts";
import type { GatewayMetrics } from "./gateway_metrics.ts";
import type { OwedAnswer } from "./owed_answer.ts";
import type { Clock } from "./ports.ts";

/** Where the account goes, and what it tells beside the connection. */
export interface AccountParts {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly metrics: GatewayMetrics;
  /** @returns How far the shutdown has come. */
  stage(): ClosingStage;
}

/** What is open at a moment. */
export interface OpenConnections {
  readonly openConnections: number;
  /** Requests read whose answers are not written out. */
  readonly owedAnswers: number;
  readonly waitingBytes: number;
}

/** Tells how each connection ended, and which requests that left unanswered. */
export class CallerConnections {
  readonly #parts: AccountParts;
  readonly #open = new Map<Socket, CallerConnection>();

  /** @param parts Where the account goes. */
  constructor(parts: AccountParts) {
    this.#parts = parts;
  }

  /** What is open now. */
  get summary(): OpenConnections {
    const open = [...this.#open.values()];
    open.forEach((connection) => connection.look());
    return {
      openConnections: open.length,
      owedAnswers: sum(open.map(({ owed }) => owed.length)),
      waitingBytes: sum(open.map(({ waitingBytes }) => waitingBytes)),
    };
  }

  /** @param socket A connection that a caller has made. */
  add(socket: Socket): void {
    const connection = new CallerConnection(socket, {
      clock: this.#parts.clock,
      onClosed: () => this.#ended(socket),
    });
    this.#open.set(socket, connection);
  }

  /**
   * @param socket A caller's connection.
   * @returns Whether it closes after an answer, or is closed: a request read on
   * it cannot be answered any more.
   */
  isClosing(socket: Socket): boolean {
    return this.#open.get(socket)?.isClosing ?? true;
  }

  /**
   * @param socket A caller's connection.
   * @returns Longest time that an answer to its caller took, of those that had
   * to wait for the caller to read; 0 if none had to.
   */
  slowestAnswerMs(socket: Socket): number {
    return this.#open.get(socket)?.slowestAnswerMs ?? 0;
  }

  /**
   * @param answer An answer that is owed.
   * @returns Whether its request is the first on its connection.
   */
  isFirst(answer: OwedAnswer): boolean {
    return this.#open.get(answer.response.req.socket)?.requestsRead === 1;
  }

  /**
   * @param answer An answer that is owed.
   * @returns Whether its connection has ended, or is seen to end.
   */
  hasEnded(answer: OwedAnswer): boolean {
    return this.#open.get(answer.response.req.socket)?.hasEnded ?? true;
  }

  /**
   * @param socket A connection on which no request can be read any more.
   * @param error The runtime's error.
   */
  unreadable(socket: Socket, error: Error): void {
    this.#open.get(socket)?.unreadable(error);
  }

  /** @param answer The answer to a request just read. */
  owe(answer: OwedAnswer): void {
    this.#open.get(answer.response.req.socket)?.owe(answer);
  }

  /**
   * @param answer An answer that the instance is about to break off.
   * @param end Why.
   */
  endsBy(answer: OwedAnswer, end: ConnectionEnd): void {
    this.#open.get(answer.response.req.socket)?.endsBy(end);
  }

  /** Closes those on which nothing is owed and no request has begun. */
  closeIdle(): void {
    for (const connection of this.#idle()) {
      connection.endsBy(ConnectionEnd.ClosedIdle);
      connection.close();
    }
  }

  /**
   * Lets connections that idle now do so for longer. Callers go by the newest
   * limit: one that reuses a connection within it must not find it closed.
   *
   * @param idleTimeMs The time, from now.
   */
  mayIdle(idleTimeMs: number): void {
    this.#idle().forEach((connection) => connection.mayIdle(idleTimeMs));
  }

  /**
   * Closes connections, and notes which ended by that.
   *
   * @param end What these ended by.
   * @param close Closes any of them.
   */
  closing(end: ConnectionEnd, close: () => void): void {
    const open = [...this.#open.values()]
      .filter(({ isDestroyed }) => !isDestroyed);
    open.forEach((connection) => connection.look());
    close();
    open.filter(({ isDestroyed }) => isDestroyed)
      .forEach((connection) => connection.endsBy(end));
  }

  /**
   * Accounts for all that is still open: the process ends before it could be
   * told that they closed.
   *
   * @param end What they end by, where nothing else ended them before.
   */
  endAll(end: ConnectionEnd): void {
    for (const [socket, connection] of this.#open) {
      connection.endsBy(end);
      this.#ended(socket);
    }
  }

  #idle(): CallerConnection[] {
    return [...this.#open.values()].filter(({ isIdle }) => isIdle);
  }

  #ended(socket: Socket): void {
    const connection = this.#open.get(socket);
    if (connection === undefined) {
      return;
    }
    this.#open.delete(socket);
    this.#parts.metrics.connectionEnded(connection.end);
    for (const answer of connection.owed) {
      this.#unanswered(connection, answer);
      answer.onUnanswered();
    }
  }

  #unanswered(connection: CallerConnection, answer: OwedAnswer): void {
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
