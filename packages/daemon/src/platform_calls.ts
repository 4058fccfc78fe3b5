/** HTTP calls to the platform, within this process's share of its rates. */

import { err, type Result } from "neverthrow";
import { Pool } from "undici";
import { CallGate } from "./call_gate.ts";
import { type CallFault, callHttp, type HttpAnswer } from "./http_call.ts";
import type { HttpRequest } from "./http_exchange.ts";
import { type Clock, type CountSink, EdgeCounterName } from "./ports.ts";

/** Every way a call to the platform can fail. The list is closed. */
export enum PlatformFault {
  /** No connection, or it broke: a write may have taken effect. */
  Unreachable = "unreachable",
  /** No whole answer in time: a write may have taken effect. */
  TimedOut = "timed_out",
  /** The platform says it is down: a write may have taken effect. */
  Unavailable = "unavailable",
  /** Over the platform's rate or our share of it: nothing was done. */
  RateLimited = "rate_limited",
  /** The answer is not one: a write may have taken effect. */
  BadAnswer = "bad_answer",
}

/** What a call gives. */
export type PlatformResult<T> = Promise<Result<T, PlatformFault>>;

/** Which of the platform's rates a call counts towards. */
export enum PlatformRate {
  Reads = "reads",
  Writes = "writes",
}

/** Where the platform is, and this process's share of its rates. */
export interface PlatformCallsOptions {
  /** `host:port`, or a URL with scheme `http`. */
  readonly address: string;
  readonly clock: Clock;
  readonly count?: CountSink;
  readonly readsPerSecond?: number;
  readonly writesPerSecond?: number;
  readonly callTimeoutMs?: number;
}

/** How one call may differ from the others. */
export interface CallOptions {
  /** Time until the answer must be here, at most the client's own. */
  readonly timeoutMs?: number;
}

/** One call. */
export interface PlatformCall extends CallOptions {
  /** Told apart by it in metrics. */
  readonly name: string;
  readonly rate: PlatformRate;
  readonly request: HttpRequest;
}

/** Eight instances within 2000 reads a second. */
const DEFAULT_READS_PER_SECOND = 200;
/** Eight instances within 400 writes a second. */
const DEFAULT_WRITES_PER_SECOND = 50;
const DEFAULT_CALL_TIMEOUT_MS = 2000;
const CONNECTIONS = 16;
const CONNECT_TIMEOUT_MS = 1000;
const KEEP_ALIVE_MS = 4000;
const MAX_ANSWER_BYTES = 64 * 1024 * 1024;

/** Makes calls in turn. It never sends anything twice of itself. */
export class PlatformCalls {
  readonly #pool: Pool;
  readonly #clock: Clock;
  readonly #count: CountSink;
  readonly #callTimeoutMs: number;
  readonly #gates: Readonly<Record<PlatformRate, CallGate>>;

  /** @param options Where the platform is. */
  constructor(options: PlatformCallsOptions) {
    this.#clock = options.clock;
    this.#count = options.count ?? (() => {});
    this.#callTimeoutMs = options.callTimeoutMs ?? DEFAULT_CALL_TIMEOUT_MS;
    this.#gates = {
      [PlatformRate.Reads]: this.#gate(
        options.readsPerSecond ?? DEFAULT_READS_PER_SECOND,
      ),
      [PlatformRate.Writes]: this.#gate(
        options.writesPerSecond ?? DEFAULT_WRITES_PER_SECOND,
      ),
    };
    this.#pool = new Pool(originOf(options.address), {
      connections: CONNECTIONS,
      pipelining: 1,
      connectTimeout: CONNECT_TIMEOUT_MS,
      keepAliveTimeout: KEEP_ALIVE_MS,
    });
  }

  /**
   * Makes one call and counts it.
   *
   * @param call The call.
   * @returns The answer, of any status.
   */
  async run(call: PlatformCall): PlatformResult<HttpAnswer> {
    this.#count(EdgeCounterName.PlatformCalls, { call: call.name }, 1);
    const result = await this.#runInTurn(call);
    if (result.isErr()) {
      const labels = { call: call.name, fault: result.error };
      this.#count(EdgeCounterName.PlatformFailures, labels, 1);
    }
    return result;
  }

  /** Cuts all connections; calls in progress fail as unreachable. */
  async stop(): Promise<void> {
    await this.#pool.destroy();
  }

  #gate(callsPerSecond: number): CallGate {
    return new CallGate({
      callsPerSecond,
      maxWaitMs: this.#callTimeoutMs,
      concurrency: CONNECTIONS,
    });
  }

  async #runInTurn(call: PlatformCall): PlatformResult<HttpAnswer> {
    const timeoutMs = Math.min(
      call.timeoutMs ?? Infinity,
      this.#callTimeoutMs,
    );
    const deadlineAtMs = this.#clock.nowMs() + timeoutMs;
    const result = await this.#gates[call.rate].run(() =>
      this.#send(call.request, deadlineAtMs - this.#clock.nowMs())
    );
    return result ?? err(PlatformFault.RateLimited);
  }

  async #send(
    request: HttpRequest,
    timeoutMs: number,
  ): PlatformResult<HttpAnswer> {
    if (timeoutMs <= 0) {
      return err(PlatformFault.RateLimited);
    }
    const answer = await callHttp(this.#pool, request, {
      clock: this.#clock,
      timeoutMs,
      maxAnswerBytes: MAX_ANSWER_BYTES,
    });
    return answer.mapErr(faultOfCall);
  }
}

function originOf(address: string): string {
  return address.includes("://")
    ? new URL(address).origin
    : `http://${address}`;
}

function faultOfCall(fault: CallFault): PlatformFault {
  return fault.timedOut ? PlatformFault.TimedOut : PlatformFault.Unreachable;
}
