/** Writer of response lines that delays each line and keeps their order. */

import type { ServerResponse } from "node:http";
import type { NowMs } from "./http_server.ts";

interface DelayedOperation {
  readonly dueAtMs: number;
  readonly run: () => void;
}

/** Writes one response in order, even when a later line has a shorter delay. */
export class DelayedWriter {
  readonly #response: ServerResponse;
  readonly #nowMs: NowMs;
  readonly #pending: DelayedOperation[] = [];
  #timer: NodeJS.Timeout | undefined;

  /**
   * @param response The response to write to.
   * @param nowMs The clock.
   */
  constructor(response: ServerResponse, nowMs: NowMs) {
    this.#response = response;
    this.#nowMs = nowMs;
    response.on("close", () => clearTimeout(this.#timer));
  }

  /**
   * Writes one line.
   *
   * @param line The line without its line break.
   * @param delayMs Delay before the line is written.
   */
  write(line: string, delayMs: number): void {
    this.#schedule(() => this.#response.write(`${line}\n`), delayMs);
  }

  /** @param delayMs Delay before the response is ended. */
  end(delayMs: number): void {
    this.#schedule(() => this.#response.end(), delayMs);
  }

  /**
   * Closes the connection without ending the response, once the lines written
   * before have been sent.
   *
   * @param delayMs Delay before the connection is closed.
   */
  closeSocket(delayMs: number): void {
    this.#schedule(() => this.#response.socket?.destroySoon(), delayMs);
  }

  #schedule(run: () => void, delayMs: number): void {
    if (delayMs <= 0 && this.#pending.length === 0) {
      run();
      return;
    }
    this.#pending.push({ dueAtMs: this.#nowMs() + delayMs, run });
    this.#startTimer();
  }

  #startTimer(): void {
    const next = this.#pending.at(0);
    if (next === undefined || this.#timer !== undefined) {
      return;
    }
    const waitMs = Math.max(0, next.dueAtMs - this.#nowMs());
    this.#timer = setTimeout(() => this.#runDue(), waitMs);
  }

  #runDue(): void {
    this.#timer = undefined;
    let next = this.#pending.at(0);
    while (next !== undefined && next.dueAtMs <= this.#nowMs()) {
      this.#pending.shift();
      next.run();
      next = this.#pending.at(0);
    }
    this.#startTimer();
  }
}
