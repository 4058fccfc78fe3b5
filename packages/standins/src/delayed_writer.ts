/** Writes lines to a response, each after a delay and all in order. */

import type { ServerResponse } from "node:http";
import type { NowMs } from "./http_host.ts";

interface DelayedAction {
  readonly dueAtMs: number;
  readonly run: () => void;
}

/** One response, written in order however delays change. */
export class DelayedWriter {
  readonly #response: ServerResponse;
  readonly #nowMs: NowMs;
  readonly #actions: DelayedAction[] = [];
  #timer: NodeJS.Timeout | undefined;

  /**
   * @param response Where to write.
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
   * @param line The line without its end.
   * @param delayMs How long to hold it back.
   */
  write(line: string, delayMs: number): void {
    this.#add(() => this.#response.write(`${line}\n`), delayMs);
  }

  /** @param delayMs How long to hold the end back. */
  end(delayMs: number): void {
    this.#add(() => this.#response.end(), delayMs);
  }

  /**
   * Cuts the connection once what was written has left.
   *
   * @param delayMs How long to hold the cut back.
   */
  cut(delayMs: number): void {
    this.#add(() => this.#response.socket?.destroySoon(), delayMs);
  }

  #add(run: () => void, delayMs: number): void {
    if (delayMs <= 0 && this.#actions.length === 0) {
      run();
      return;
    }
    this.#actions.push({ dueAtMs: this.#nowMs() + delayMs, run });
    this.#arm();
  }

  #arm(): void {
    const next = this.#actions.at(0);
    if (next === undefined || this.#timer !== undefined) {
      return;
    }
    const waitMs = Math.max(0, next.dueAtMs - this.#nowMs());
    this.#timer = setTimeout(() => this.#runDue(), waitMs);
  }

  #runDue(): void {
    this.#timer = undefined;
    let next = this.#actions.at(0);
    while (next !== undefined && next.dueAtMs <= this.#nowMs()) {
      this.#actions.shift();
      next.run();
      next = this.#actions.at(0);
    }
    this.#arm();
  }
}
