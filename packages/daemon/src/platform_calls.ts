/** HTTP calls to the platform, limited to this process's share of its rates. */

import { err, type Result } from "neverthrow";
import { Pool } from "undici";
import { CallRateLimiter } from "./call_rate_limiter.ts";
import { callHttp, type HttpAnswer, type HttpCallFault } from "./http_call.ts";
import type { HttpRequest } from "./http_exchange.ts";
import { type Clock, type CountSink, EdgeCounterName } from "./ports.ts";

/** Ways in which a platform call can fail; the values are metric labels. */
export enum PlatformFault {
  /** The connection failed or was lost: a write may have taken effect. */
  Unreachable = "unreachable",
  /** No complete answer arrived in time: a write may have taken effect. */
  TimedOut = "timed_out",
  /** The platform reports that it is down: a write may have taken effect. */
  Unavailable = "unavailable",
  /**
   * The platform's rate or this process's share of it is exceeded: the call was
   * not executed.
   */
  RateLimited = "rate_limited",
  /** The answer is invalid: a write may have taken effect. */
  BadAnswer = "bad_answer",
}

/** Result of a call to the platform, or the fault it failed with. */
export type PlatformResult<T> = Promise<Result<T, PlatformFault>>;

/** The platform's rate limit that a call counts towards. */
export enum PlatformRate {
  Reads = "reads",
  Writes = "writes",
}

/** Address, rate shares and timeout of the platform's client. */
export interface PlatformCallsOptions {
  /** `host:port`, or a URL with scheme `http`. */
  readonly address: string;
  readonly clock: Clock;
  /** Receives the counts of calls and failures. */
  readonly count?: CountSink;
  /** This process's share of the platform's read rate. */
  readonly readsPerSecond?: number;
  /** This process's share of the platform's write rate. */
  readonly writesPerSecond?: number;
  /** Maximum time of a call, including the wait for the rate limit. */
  readonly callTimeoutMs?: number;
}

/** Options of a single call to the platform. */
export interface CallOptions {
  /** Timeout of the call; capped by the client's `callTimeoutMs`. */
  readonly timeoutMs?: number;
}

/** A call to the platform. */
export interface PlatformCall extends CallOptions {
  /** Name of the call in metrics. */
  readonly name: string;
  readonly rate: PlatformRate;
  readonly request: HttpRequest;
}

/** Keeps eight instances within the platform's 2000 reads per second. */
const DEFAULT_READS_PER_SECOND = 200;
/** Keeps eight instances within the platform's 400 writes per second. */
const DEFAULT_WRITES_PER_SECOND = 50;
const DEFAULT_CALL_TIMEOUT_MS = 2000;
const MAX_CONNECTIONS = 16;
const CONNECT_TIMEOUT_MS = 1000;
const KEEP_ALIVE_TIMEOUT_MS = 4000;
const MAX_ANSWER_BYTES = 64 * 1024 * 1024;

/** Makes rate-limited calls to the platform; it never retries a call. */
export class PlatformCalls {
  readonly #pool: Pool;
  readonly #clock: Clock;
  readonly #count: CountSink;
  readonly #callTimeoutMs: number;
  readonly #rateLimiters: Readonly<Record<PlatformRate, CallRateLimiter>>;

  /** @param options Address, rate shares and timeout. */
  constructor(options: PlatformCallsOptions) {
    this.#clock = options.clock;
    this.#count = options.count ?? (() => {});
    this.#callTimeoutMs = options.callTimeoutMs ?? DEFAULT_CALL_TIMEOUT_MS;
    this.#rateLimiters = {
      [PlatformRate.Reads]: this.#createRateLimiter(
        options.readsPerSecond ?? DEFAULT_READS_PER_SECOND,
      ),
      [PlatformRate.Writes]: this.#createRateLimiter(
        options.writesPerSecond ?? DEFAULT_WRITES_PER_SECOND,
      ),
    };
    this.#pool = new Pool(originOf(options.address), {
      connections: MAX_CONNECTIONS,
      pipelining: 1,
      connectTimeout: CONNECT_TIMEOUT_MS,
      keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
    });
  }

  /**
   * Makes a call and counts it.
   *
   * @param call Name, rate and request of the call.
   * @returns The HTTP answer, whatever its status.
   */
  async run(call: PlatformCall): PlatformResult<HttpAnswer> {
    this.#count(EdgeCounterName.PlatformCalls, { call: call.name }, 1);
    const result = await this.#runRateLimited(call);
    if (result.isErr()) {
      const labels = { call: call.name, fault: result.error };
      this.#count(EdgeCounterName.PlatformFailures, labels, 1);
    }
    return result;
  }

  /** Destroys all connections; calls in progress fail as unreachable. */
  async stop(): Promise<void> {
    await this.#pool.destroy();
  }

  #createRateLimiter(callsPerSecond: number): CallRateLimiter {
    return new CallRateLimiter({
      callsPerSecond,
      maxWaitMs: this.#callTimeoutMs,
      maxConcurrentCalls: MAX_CONNECTIONS,
    });
  }

  async #runRateLimited(call: PlatformCall): PlatformResult<HttpAnswer> {
    const timeoutMs = Math.min(
      call.timeoutMs ?? Infinity,
      this.#callTimeoutMs,
    );
    const deadlineAtMs = this.#clock.nowMs() + timeoutMs;
    const result = await this.#rateLimiters[call.rate].run(() =>
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

function faultOfCall(fault: HttpCallFault): PlatformFault {
  return fault.timedOut ? PlatformFault.TimedOut : PlatformFault.Unreachable;
}
