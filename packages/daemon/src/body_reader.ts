/** Reads the body of a caller's request within size and time limits. */

import { Buffer } from "node:buffer";
import type { IncomingMessage } from "node:http";
import { ErrorKind } from "@chestnuthatch/wire/shared_types";
import { err, ok, type Result } from "neverthrow";
import type { ByteBudget } from "./byte_budget.ts";
import type { CallerLimits } from "./caller_limits.ts";
import type { CancelTimer, Timers } from "./timers.ts";

/** Reason why a body could not be read completely. */
export type BodyFault =
  | ErrorKind.BodyTooLarge
  | ErrorKind.SlowCaller
  | ErrorKind.TooManyOpenRequests
  | ErrorKind.CallerGone;

/** Options for reading a body. */
export interface BodyReaderOptions {
  readonly limits: CallerLimits;
  readonly timers: Timers;
  /** Reserves the body's bytes until the owner of the body releases them. */
  readonly budget: ByteBudget;
}

/**
 * Reads a complete body, or stops at the first fault.
 *
 * @param request The caller's HTTP request.
 * @param options Limits, timers and the byte budget of all bodies.
 * @returns The body, with its bytes reserved in the budget, or the fault, with
 *   nothing reserved.
 */
export function readBody(
  request: IncomingMessage,
  options: BodyReaderOptions,
): Promise<Result<Buffer, BodyFault>> {
  if (contentLengthBytes(request) > options.limits.maxBodyBytes) {
    return Promise.resolve(err(ErrorKind.BodyTooLarge));
  }
  return new Promise((resolve) => {
    new BodyReadOperation(request, { ...options, onDone: resolve });
  });
}

function contentLengthBytes(request: IncomingMessage): number {
  return Number(request.headers["content-length"] ?? 0);
}

interface BodyReadOperationOptions extends BodyReaderOptions {
  /** Called once, with the body or the fault. */
  readonly onDone: (result: Result<Buffer, BodyFault>) => void;
}

/** Collects the chunks of one body and reports its result once. */
class BodyReadOperation {
  readonly #request: IncomingMessage;
  readonly #options: BodyReadOperationOptions;
  readonly #chunks: Buffer[] = [];
  readonly #cancelTimer: CancelTimer;
  #bytesRead = 0;

  constructor(request: IncomingMessage, options: BodyReadOperationOptions) {
    this.#request = request;
    this.#options = options;
    this.#cancelTimer = options.timers.schedule(
      options.limits.bodyTimeoutMs,
      () => this.#fail(ErrorKind.SlowCaller),
    );
    request.on("data", this.#onData);
    request.on("end", this.#onEnd);
    request.on("close", this.#onClose);
  }

  readonly #onData = (chunk: Buffer): void => {
    if (this.#bytesRead + chunk.length > this.#options.limits.maxBodyBytes) {
      this.#fail(ErrorKind.BodyTooLarge);
      return;
    }
    if (!this.#options.budget.tryReserve(chunk.length)) {
      this.#fail(ErrorKind.TooManyOpenRequests);
      return;
    }
    this.#bytesRead += chunk.length;
    this.#chunks.push(chunk);
  };

  readonly #onEnd = (): void => {
    this.#stopListening();
    this.#options.onDone(ok(Buffer.concat(this.#chunks, this.#bytesRead)));
  };

  readonly #onClose = (): void => this.#fail(ErrorKind.CallerGone);

  #fail(fault: BodyFault): void {
    this.#stopListening();
    this.#request.pause();
    this.#options.budget.release(this.#bytesRead);
    this.#options.onDone(err(fault));
  }

  #stopListening(): void {
    this.#cancelTimer();
    this.#request.off("data", this.#onData);
    this.#request.off("end", this.#onEnd);
    this.#request.off("close", this.#onClose);
  }
}
