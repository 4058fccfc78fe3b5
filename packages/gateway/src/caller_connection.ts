/** One open connection of a caller: its unfinished answers and its end. */

import type { Socket } from "node:net";
import type { UnfinishedAnswer } from "./unfinished_answer.ts";
import type { Clock } from "./ports.ts";

/** Cause of a connection's end; the first one observed is recorded. */
export enum ConnectionEnd {
  /** No request arrived within the idle timeout. */
  IdleTime = "idle_time",
  /** A request's headers were not complete within their timeout. */
  HeadersTime = "headers_time",
  /** The instance closed its idle connections during its shutdown. */
  ClosedIdle = "closed_idle",
  /** The instance closed all connections because the process exits. */
  ProcessEnd = "process_end",
  /** The instance closed it after an answer with `Connection: close`. */
  AfterAnswer = "after_answer",
  /** The instance aborted an answer that had begun. */
  Aborted = "broken_off",
  /** The caller closed it. */
  CallerLeft = "caller_left",
  /** The caller or the network reset it, or a write to it failed. */
  Reset = "reset",
  /** The bytes received were not a valid HTTP request. */
  Unreadable = "unreadable",
  /** No cause was observed. */
  Unknown = "unknown",
}

const HEADERS_TIMEOUT_CODE = "ERR_HTTP_REQUEST_TIMEOUT";

/** Status lines for unreadable requests, by the code of the Node.js error. */
const UNREADABLE_ANSWERS: Readonly<Record<string, string>> = {
  [HEADERS_TIMEOUT_CODE]: "408 Request Timeout",
  HPE_HEADER_OVERFLOW: "431 Request Header Fields Too Large",
};
const BAD_REQUEST = "400 Bad Request";

/**
 * Time for which a connection is read after its last answer, so that a caller
 * that does not close it does not keep it open.
 */
const READ_REST_TIMEOUT_MS = 1000;

/** Prefix of the error codes of the HTTP parser in Node.js. */
const PARSER_CODE_PREFIX = "HPE_";

/** Options of {@link CallerConnection}. */
export interface CallerConnectionOptions {
  readonly clock: Clock;
  /** @returns Longest time that a connection may be idle, in milliseconds. */
  idleTimeoutMs(): number;
  /** Called when the connection has closed. */
  onClosed(): void;
}

/** Tracks one connection's unfinished answers and the cause of its end. */
export class CallerConnection {
  readonly #socket: Socket;
  readonly #unfinishedAnswers = new Set<UnfinishedAnswer>();
  #end?: ConnectionEnd;
  #reason?: string;
  #waitingBytes = 0;
  #requestsRead = 0;
  /** Bytes received by the time the last answer was written out. */
  #bytesReadWhenIdle?: number;
  /** Local time at which the last answer was written out. */
  #idleSinceMs = Infinity;
  readonly #clock: Clock;
  readonly #idleTimeoutMs: () => number;
  #slowestAnswerMs = 0;

  /**
   * @param socket The connection.
   * @param options The clock, the current limits, and a callback.
   */
  constructor(
    socket: Socket,
    { clock, idleTimeoutMs, onClosed }: CallerConnectionOptions,
  ) {
    this.#socket = socket;
    this.#clock = clock;
    this.#idleTimeoutMs = idleTimeoutMs;
    // Prepended to the server's own listeners, which close the connection.
    socket.prependListener(
      "end",
      () => this.recordEnd(ConnectionEnd.CallerLeft),
    );
    socket.prependListener(
      "timeout",
      () => this.recordEnd(ConnectionEnd.IdleTime),
    );
    socket.prependListener("error", (error) => this.#onError(error));
    socket.on("close", () => onClosed());
    // Node.js closes the connection in this way after its last answer.
    socket.destroySoon = () => this.#endAndRead();
  }

  /** Cause of the connection's end, `Unknown` if none was observed. */
  get end(): ConnectionEnd {
    return this.#end ?? ConnectionEnd.Unknown;
  }

  /** Code or message of the error that ended the connection, if any. */
  get reason(): string | undefined {
    return this.#reason;
  }

  /**
   * Longest time from a request to the last byte of its answer, in
   * milliseconds, among answers that were buffered until the caller read; 0 if
   * none was.
   */
  get slowestAnswerMs(): number {
    return this.#slowestAnswerMs;
  }

  /** Number of requests read on the connection. */
  get requestsRead(): number {
    return this.#requestsRead;
  }

  /**
   * Whether a request that was read can still be answered. Bytes after it that
   * are no request end the connection only after its answer.
   */
  get isAnswerable(): boolean {
    return !this.#socket.destroyed &&
      (this.#end === undefined || this.#end === ConnectionEnd.Unreadable ||
        this.#end === ConnectionEnd.HeadersTime);
  }

  get #hasCallerLeft(): boolean {
    return this.#end === ConnectionEnd.CallerLeft ||
      this.#end === ConnectionEnd.Reset;
  }

  /** Whether the instance has destroyed the socket. */
  get isDestroyed(): boolean {
    return this.#socket.destroyed;
  }

  /** Answers that are not written out, oldest first. */
  get unfinishedAnswers(): readonly UnfinishedAnswer[] {
    return [...this.#unfinishedAnswers];
  }

  /**
   * Buffered bytes of answers at the last update. A write counts in full until
   * its last byte is written.
   */
  get waitingBytes(): number {
    return this.#waitingBytes;
  }

  /**
   * Whether the last answer is written out and no part of another request has
   * arrived. Node.js regards a connection as idle as soon as the answer ends,
   * although bytes of it may still be buffered for the caller.
   */
  get isIdle(): boolean {
    return this.#unfinishedAnswers.size === 0 &&
      this.#socket.bytesRead === this.#bytesReadWhenIdle;
  }

  /** Time since the last answer was written out, in milliseconds. */
  get idleMs(): number {
    return this.#clock.nowMs() - this.#idleSinceMs;
  }

  /** Whether the connection ends, or closes after an unfinished answer. */
  get isClosing(): boolean {
    return this.#end !== undefined ||
      this.unfinishedAnswers.some(({ closesConnection }) => closesConnection);
  }

  /**
   * Handles an invalid request, or one whose headers arrived too slowly. The
   * answers to earlier requests are still sent: Node.js would write its own in
   * their place, and its 408 would promise that a request did not run which a
   * target is running.
   *
   * @param error The error reported by Node.js.
   */
  handleUnreadable(error: NodeJS.ErrnoException): void {
    if (error.code === HEADERS_TIMEOUT_CODE && this.#socket.bytesRead === 0) {
      // Node.js counts from the connection's start, but no request has begun.
      this.#socket.setTimeout(this.#idleTimeoutMs());
      return;
    }
    this.#onError(error);
    if (this.#hasCallerLeft) {
      this.#socket.destroy();
      return;
    }
    const unfinished = this.unfinishedAnswers.filter(({ response }) =>
      response.req.complete
    );
    const last = unfinished.at(-1)?.response;
    if (last === undefined) {
      this.#socket.end(
        unreadableAnswerOf(error.code),
        () => this.#socket.destroy(),
      );
      return;
    }
    this.#socket.pause();
    last.on("finish", () => this.#socket.destroySoon());
  }

  /** Closes the connection at once. */
  close(): void {
    this.#socket.destroy();
  }

  /** Resets the connection if its regular end would complete an answer. */
  resetIfUnframed(): void {
    if (this.unfinishedAnswers.some(({ isUnframed }) => isUnframed)) {
      this.#socket.resetAndDestroy();
    }
  }

  /**
   * Closes the connection after an answer, unless a later request on it was
   * read, which could not be answered any more.
   *
   * @param answer An answer that is about to be sent.
   * @returns Whether the connection closes after the answer.
   */
  closeAfter(answer: UnfinishedAnswer): boolean {
    answer.isLast = this.unfinishedAnswers.at(-1) === answer;
    return answer.isLast;
  }

  /**
   * Restarts the socket's idle timeout.
   *
   * @param idleTimeMs Idle timeout from now, in milliseconds.
   */
  setIdleTimeout(idleTimeMs: number): void {
    this.#socket.setTimeout(idleTimeMs);
  }

  /**
   * Tracks an answer until it is written out.
   *
   * @param answer The answer to a request that was just read.
   */
  trackAnswer(answer: UnfinishedAnswer): void {
    if (this.#requestsRead === 0) {
      // An idle timeout from before the first request must not end its answer.
      this.#socket.setTimeout(0);
    }
    this.#requestsRead++;
    this.#unfinishedAnswers.add(answer);
    answer.response.on("prefinish", () => this.#onPrefinish(answer));
    answer.response.on("finish", () => this.#onFinish(answer));
  }

  /**
   * Records the cause of the connection's end, unless one is recorded already.
   *
   * @param end The cause.
   */
  recordEnd(end: ConnectionEnd): void {
    this.updateWaitingBytes();
    this.#end ??= end;
  }

  /** Updates the count of buffered bytes, while the socket still reports it. */
  updateWaitingBytes(): void {
    const { destroyed, writableLength } = this.#socket;
    const bytes = writableLength + this.#pipelinedBytes();
    this.#waitingBytes = destroyed
      ? Math.max(this.#waitingBytes, bytes)
      : bytes;
  }

  /**
   * Closes the connection once the caller has closed it, too. If it was closed
   * with bytes unread, it would be reset, and a caller that is sending would lose
   * the rest of the answer.
   */
  #endAndRead(): void {
    const socket = this.#socket;
    if (!socket.writable) {
      socket.destroy();
      return;
    }
    socket.end(() => {
      const timer = setTimeout(() => socket.destroy(), READ_REST_TIMEOUT_MS);
      socket.once("close", () => clearTimeout(timer));
    });
  }

  /** Buffered bytes of pipelined answers that wait for earlier ones. */
  #pipelinedBytes(): number {
    let bytes = 0;
    for (const { response } of this.#unfinishedAnswers) {
      bytes += response.socket === null ? response.writableLength : 0;
    }
    return bytes;
  }

  /** Records an answer as written out if none of its bytes was buffered. */
  #onPrefinish(answer: UnfinishedAnswer): void {
    this.updateWaitingBytes();
    if (!this.#socket.destroyed && this.#socket.writableLength === 0) {
      this.#onWrittenOut(answer);
    }
  }

  /** Node.js emits `finish` also if it discarded the bytes after an error. */
  #onFinish(answer: UnfinishedAnswer): void {
    if (!this.#socket.destroyed && this.#socket.errored === null) {
      this.updateWaitingBytes();
      this.#recordSlowAnswer(answer);
      this.#onWrittenOut(answer);
    }
  }

  #recordSlowAnswer(answer: UnfinishedAnswer): void {
    if (this.#unfinishedAnswers.has(answer)) {
      const tookMs = this.#clock.nowMs() - answer.facts.arrivedAtMs;
      this.#slowestAnswerMs = Math.max(this.#slowestAnswerMs, tookMs);
    }
  }

  #onWrittenOut(answer: UnfinishedAnswer): void {
    this.#unfinishedAnswers.delete(answer);
    this.#bytesReadWhenIdle = this.#socket.bytesRead;
    this.#idleSinceMs = this.#clock.nowMs();
    if (answer.closesConnection) {
      this.recordEnd(ConnectionEnd.AfterAnswer);
    }
  }

  #onError(error: NodeJS.ErrnoException): void {
    this.#reason = error.code ?? error.message;
    this.recordEnd(connectionEndOf(error.code ?? ""));
  }
}

function unreadableAnswerOf(code = ""): string {
  const status = UNREADABLE_ANSWERS[code] ?? BAD_REQUEST;
  return `HTTP/1.1 ${status}\r\nConnection: close\r\n\r\n`;
}

function connectionEndOf(code: string): ConnectionEnd {
  if (code === HEADERS_TIMEOUT_CODE) {
    return ConnectionEnd.HeadersTime;
  }
  return code.startsWith(PARSER_CODE_PREFIX)
    ? ConnectionEnd.Unreadable
    : ConnectionEnd.Reset;
}
