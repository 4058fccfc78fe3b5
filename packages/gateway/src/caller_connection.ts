/** One open connection of a caller: how it ends, and what is owed on it. */

import type { Socket } from "node:net";
import type { OwedAnswer } from "./owed_answer.ts";
import type { Clock } from "./ports.ts";

/** What ended a connection. The first cause seen counts. */
export enum ConnectionEnd {
  /** No request came within the time that a connection may idle. */
  IdleTime = "idle_time",
  /** A request's headers were not whole within their time limit. */
  HeadersTime = "headers_time",
  /** The instance closed its idle connections while it stopped. */
  ClosedIdle = "closed_idle",
  /** The instance closed all connections: the process ends. */
  ProcessEnd = "process_end",
  /** The instance closed it after an answer that said so. */
  AfterAnswer = "after_answer",
  /** The instance broke an answer off that it had begun. */
  BrokenOff = "broken_off",
  /** The caller closed it. */
  CallerLeft = "caller_left",
  /** The caller or the network reset it, or a write to it failed. */
  Reset = "reset",
  /** What came was no request in the protocol. */
  Unreadable = "unreadable",
  /** None of the above was seen. */
  Unknown = "unknown",
}

const HEADERS_TIME_CODE = "ERR_HTTP_REQUEST_TIMEOUT";

/** Answers to what cannot be read, by the code of the runtime's error. */
const UNREADABLE_ANSWERS: Readonly<Record<string, string>> = {
  [HEADERS_TIME_CODE]: "408 Request Timeout",
  HPE_HEADER_OVERFLOW: "431 Request Header Fields Too Large",
};
const BAD_REQUEST = "400 Bad Request";

/** Prefix of the codes of errors of the runtime's HTTP parser. */
const PARSER_CODE_PREFIX = "HPE_";

/** Observes one connection, and closes it only where nothing is owed on it. */
export class CallerConnection {
  readonly #socket: Socket;
  readonly #owed = new Set<OwedAnswer>();
  #end?: ConnectionEnd;
  #reason?: string;
  #waitingBytes = 0;
  #requestsRead = 0;
  /** Bytes that had been read when its last answer was written out. */
  #idleAtBytes?: number;
  readonly #clock: Clock;
  #slowestAnswerMs = 0;

  /**
   * @param socket The connection.
   * @param parts The local time, and what is called once it has closed.
   */
  constructor(
    socket: Socket,
    { clock, onClosed }: { clock: Clock; onClosed: () => void },
  ) {
    this.#socket = socket;
    this.#clock = clock;
    // Ahead of the server's own listeners, which close the connection.
    socket.prependListener("end", () => this.endsBy(ConnectionEnd.CallerLeft));
    socket.prependListener(
      "timeout",
      () => this.endsBy(ConnectionEnd.IdleTime),
    );
    socket.prependListener("error", (error) => this.#failed(error));
    socket.on("close", onClosed);
  }

  /** What ended it, as far as was seen. */
  get end(): ConnectionEnd {
    return this.#end ?? ConnectionEnd.Unknown;
  }

  /** Code or text of the error that it ended with, if any. */
  get reason(): string | undefined {
    return this.#reason;
  }

  /**
   * Longest time from a request to the last byte of its answer, of answers that
   * had to wait for the caller to read; 0 if none had to.
   */
  get slowestAnswerMs(): number {
    return this.#slowestAnswerMs;
  }

  /** Requests that were read on it. */
  get requestsRead(): number {
    return this.#requestsRead;
  }

  /** Whether it was seen to end. */
  get hasEnded(): boolean {
    return this.#end !== undefined;
  }

  /** Whether the instance has let go of it. */
  get isDestroyed(): boolean {
    return this.#socket.destroyed;
  }

  /** Answers that are not written out, oldest first. */
  get owed(): readonly OwedAnswer[] {
    return [...this.#owed];
  }

  /**
   * Bytes that were not known to be written out when last looked at. A write
   * counts whole until its last byte is written.
   */
  get waitingBytes(): number {
    return this.#waitingBytes;
  }

  /**
   * Whether its last answer is written out and no part of another request has
   * come. The runtime takes a connection for idle as soon as an answer is handed
   * to it, though bytes of it may still wait for the caller.
   */
  get isIdle(): boolean {
    return this.#owed.size === 0 &&
      this.#socket.bytesRead === this.#idleAtBytes;
  }

  /** Whether it closes after an answer, so that no more can be answered. */
  get isClosing(): boolean {
    return this.#end !== undefined ||
      this.owed.some(({ facts }) => facts.closesAfter);
  }

  /**
   * Takes in that what came is no request, or came too slowly. What is owed on
   * the connection is still given: the runtime would write its own answer in
   * place of the one that is owed, and with 408 promise that what a target runs
   * has not run.
   *
   * @param error The runtime's error.
   */
  unreadable(error: NodeJS.ErrnoException): void {
    this.#failed(error);
    const owed = this.owed.filter(({ response }) => response.req.complete);
    const last = owed.at(-1)?.response;
    if (last === undefined) {
      this.#socket.end(answerTo(error.code), () => this.#socket.destroy());
      return;
    }
    this.#socket.pause();
    last.on("finish", () => this.#socket.destroySoon());
  }

  /** Closes it. */
  close(): void {
    this.#socket.destroy();
  }

  /** @param idleTimeMs Time from now that it may idle. */
  mayIdle(idleTimeMs: number): void {
    this.#socket.setTimeout(idleTimeMs);
  }

  /** @param answer An answer that the connection owes from now on. */
  owe(answer: OwedAnswer): void {
    this.#requestsRead++;
    this.#owed.add(answer);
    answer.response.on("prefinish", () => this.#handedOver(answer));
    answer.response.on("finish", () => this.#finished(answer));
  }

  /** @param end What is about to end the connection, or has. */
  endsBy(end: ConnectionEnd): void {
    this.look();
    this.#end ??= end;
  }

  /** Notes how much waits, while the runtime still tells. */
  look(): void {
    const { destroyed, writableLength } = this.#socket;
    const bytes = writableLength + this.#queuedBytes();
    this.#waitingBytes = destroyed
      ? Math.max(this.#waitingBytes, bytes)
      : bytes;
  }

  /** Bytes of answers that wait for those of earlier requests to go out. */
  #queuedBytes(): number {
    let bytes = 0;
    for (const { response } of this.#owed) {
      bytes += response.socket === null ? response.writableLength : 0;
    }
    return bytes;
  }

  /** Where no byte had to wait, the answer is written out already. */
  #handedOver(answer: OwedAnswer): void {
    this.look();
    if (!this.#socket.destroyed && this.#socket.writableLength === 0) {
      this.#written(answer);
    }
  }

  /** The runtime tells `finish` also where it gave the bytes up. */
  #finished(answer: OwedAnswer): void {
    if (!this.#socket.destroyed && this.#socket.errored === null) {
      this.look();
      this.#noteSlow(answer);
      this.#written(answer);
    }
  }

  #noteSlow(answer: OwedAnswer): void {
    if (this.#owed.has(answer)) {
      const tookMs = this.#clock.nowMs() - answer.facts.arrivedAtMs;
      this.#slowestAnswerMs = Math.max(this.#slowestAnswerMs, tookMs);
    }
  }

  #written(answer: OwedAnswer): void {
    this.#owed.delete(answer);
    this.#idleAtBytes = this.#socket.bytesRead;
    if (answer.facts.closesAfter) {
      this.endsBy(ConnectionEnd.AfterAnswer);
    }
  }

  #failed(error: NodeJS.ErrnoException): void {
    this.#reason = error.code ?? error.message;
    this.endsBy(endOfCode(error.code ?? ""));
  }
}

function answerTo(code = ""): string {
  const status = UNREADABLE_ANSWERS[code] ?? BAD_REQUEST;
  return `HTTP/1.1 ${status}\r\nConnection: close\r\n\r\n`;
}

function endOfCode(code: string): ConnectionEnd {
  if (code === HEADERS_TIME_CODE) {
    return ConnectionEnd.HeadersTime;
  }
  return code.startsWith(PARSER_CODE_PREFIX)
    ? ConnectionEnd.Unreadable
    : ConnectionEnd.Reset;
}
