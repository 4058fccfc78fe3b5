/** Reads a caller's body within its limits. */

import { Buffer } from "node:buffer";
import type { IncomingMessage } from "node:http";
import { ErrorKind } from "@chestnuthatch/wire/shared_types";
import { err, ok, type Result } from "neverthrow";
import type { ByteBudget } from "./byte_budget.ts";
import type { CallerLimits } from "./caller_limits.ts";
import type { CancelTimer, Timers } from "./timers.ts";

/** Why a body was not read to its end. */
export type BodyFault =
  | ErrorKind.BodyTooLarge
  | ErrorKind.SlowCaller
  | ErrorKind.TooManyOpenRequests
  | ErrorKind.CallerGone;

/** What a body is read with. */
export interface BodyReaderOptions {
  readonly limits: CallerLimits;
  readonly timers: Timers;
  /** Holds the body's bytes until its owner gives them back. */
  readonly budget: ByteBudget;
}

/**
 * Reads a body whole, or stops reading at the first fault.
 *
 * @param request The caller's HTTP request.
 * @param options Limits, timers and the budget of kept bytes.
 * @returns The body, its bytes taken from the budget, or the fault.
 */
export function readBody(
  request: IncomingMessage,
  options: BodyReaderOptions,
): Promise<Result<Buffer, BodyFault>> {
  if (announcedBytes(request) > options.limits.maxBodyBytes) {
    return Promise.resolve(err(ErrorKind.BodyTooLarge));
  }
  return new Promise((resolve) => {
    new BodyReading(request, { ...options, done: resolve });
  });
}

function announcedBytes(request: IncomingMessage): number {
  return Number(request.headers["content-length"] ?? 0);
}

interface BodyReadingOptions extends BodyReaderOptions {
  readonly done: (result: Result<Buffer, BodyFault>) => void;
}

/** One body being read. */
class BodyReading {
  readonly #request: IncomingMessage;
  readonly #options: BodyReadingOptions;
  readonly #chunks: Buffer[] = [];
  readonly #cancelTimer: CancelTimer;
  #bytes = 0;

  constructor(request: IncomingMessage, options: BodyReadingOptions) {
    this.#request = request;
    this.#options = options;
    this.#cancelTimer = options.timers.after(
      options.limits.bodyTimeoutMs,
      () => this.#fail(ErrorKind.SlowCaller),
    );
    request.on("data", this.#onData);
    request.on("end", this.#onEnd);
    request.on("close", this.#onClose);
  }

  readonly #onData = (chunk: Buffer): void => {
    if (this.#bytes + chunk.length > this.#options.limits.maxBodyBytes) {
      this.#fail(ErrorKind.BodyTooLarge);
      return;
    }
    if (!this.#options.budget.take(chunk.length)) {
      this.#fail(ErrorKind.TooManyOpenRequests);
      return;
    }
    this.#bytes += chunk.length;
    this.#chunks.push(chunk);
  };

  readonly #onEnd = (): void => {
    this.#stop();
    this.#options.done(ok(Buffer.concat(this.#chunks, this.#bytes)));
  };

  readonly #onClose = (): void => this.#fail(ErrorKind.CallerGone);

  #fail(fault: BodyFault): void {
    this.#stop();
    this.#request.pause();
    this.#options.budget.giveBack(this.#bytes);
    this.#options.done(err(fault));
  }

  #stop(): void {
    this.#cancelTimer();
    this.#request.off("data", this.#onData);
    this.#request.off("end", this.#onEnd);
    this.#request.off("close", this.#onClose);
  }
}
