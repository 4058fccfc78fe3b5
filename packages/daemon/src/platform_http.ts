/** Typed calls to the platform: table, object store, list, weight store. */

import type { Buffer } from "node:buffer";
import {
  type InstanceList,
  instanceListSchema,
  type RowsAnswer,
  rowsAnswerSchema,
  type TransactAnswer,
  transactAnswerSchema,
  type TransactRequest,
} from "@chestnuthatch/wire/platform_protocol";
import { err, ok, type Result } from "neverthrow";
import { Pool } from "undici";
import type { z } from "zod";
import { CallGate } from "./call_gate.ts";
import { type CallFault, callHttp, type HttpAnswer } from "./http_call.ts";
import type { HttpRequest } from "./http_exchange.ts";
import { parseJson } from "./ndjson_reader.ts";
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

/** Where the platform is, and this process's share of its rates. */
export interface PlatformHttpOptions {
  /** `host:port`, or a URL with scheme `http`. */
  readonly address: string;
  readonly clock: Clock;
  readonly count?: CountSink;
  readonly readsPerSecond?: number;
  readonly writesPerSecond?: number;
  readonly callTimeoutMs?: number;
}

/** Which part of a prefix to scan. */
export interface ScanRange {
  readonly prefix: string;
  /** Key after which the scan goes on; empty for the first page. */
  readonly after?: string;
  readonly limit: number;
}

/** How one call may differ from the others. */
export interface CallOptions {
  /** Time until the answer must be here, at most the client's own. */
  readonly timeoutMs?: number;
}

interface PlatformCall extends CallOptions {
  readonly name: string;
  readonly gate: CallGate;
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

const STATUS_OK = 200;
const STATUS_NO_CONTENT = 204;
const STATUS_CREATED = 201;
const STATUS_NOT_FOUND = 404;
const STATUS_CONFLICT = 409;
const STATUS_TOO_MANY = 429;
const STATUS_UNAVAILABLE = 503;

const FAULT_BY_STATUS: ReadonlyMap<number, PlatformFault> = new Map([
  [STATUS_TOO_MANY, PlatformFault.RateLimited],
  [STATUS_UNAVAILABLE, PlatformFault.Unavailable],
]);
const TABLE_STATUSES: ReadonlySet<number> = new Set([
  STATUS_OK,
  STATUS_CONFLICT,
]);
const PUT_STATUSES: ReadonlySet<number> = new Set([
  STATUS_OK,
  STATUS_CREATED,
  STATUS_NO_CONTENT,
]);

/** The platform's client. It never sends anything twice of itself. */
export class PlatformHttp {
  readonly #pool: Pool;
  readonly #clock: Clock;
  readonly #count: CountSink;
  readonly #callTimeoutMs: number;
  readonly #reads: CallGate;
  readonly #writes: CallGate;

  /** @param options Where the platform is. */
  constructor(options: PlatformHttpOptions) {
    this.#clock = options.clock;
    this.#count = options.count ?? (() => {});
    this.#callTimeoutMs = options.callTimeoutMs ?? DEFAULT_CALL_TIMEOUT_MS;
    this.#reads = this.#gate(options.readsPerSecond, DEFAULT_READS_PER_SECOND);
    this.#writes = this.#gate(
      options.writesPerSecond,
      DEFAULT_WRITES_PER_SECOND,
    );
    this.#pool = new Pool(originOf(options.address), {
      connections: CONNECTIONS,
      pipelining: 1,
      connectTimeout: CONNECT_TIMEOUT_MS,
      keepAliveTimeout: KEEP_ALIVE_MS,
    });
  }

  /**
   * Writes rows if every condition holds.
   *
   * @param request Conditions and writes.
   * @param options Its timeout.
   * @returns Whether it was committed; a fault leaves that open, unless it is
   * RateLimited.
   */
  async transact(
    request: TransactRequest,
    options: CallOptions = {},
  ): PlatformResult<TransactAnswer> {
    const answer = await this.#call({
      ...options,
      name: "transact",
      gate: this.#writes,
      request: post("/table/transact", request),
    });
    return answer.andThen(({ statusCode, body }) =>
      TABLE_STATUSES.has(statusCode)
        ? parseBody(body, transactAnswerSchema)
        : err(faultOf(statusCode))
    );
  }

  /**
   * Reads rows.
   *
   * @param keys Their keys.
   * @param options Its timeout.
   * @returns The rows there are.
   */
  read(
    keys: readonly string[],
    options: CallOptions = {},
  ): PlatformResult<RowsAnswer> {
    const request = post("/table/read", { keys });
    const call = { ...options, name: "read", gate: this.#reads, request };
    return this.#callFor(call, rowsAnswerSchema);
  }

  /**
   * Reads rows in key order.
   *
   * @param range Prefix and page.
   * @returns The rows of the page.
   */
  scan(range: ScanRange): PlatformResult<RowsAnswer> {
    const query = new URLSearchParams({
      prefix: range.prefix,
      after: range.after ?? "",
      limit: String(range.limit),
    });
    const request = get(`/table/scan?${query}`);
    return this.#callFor(
      { name: "scan", gate: this.#reads, request },
      rowsAnswerSchema,
    );
  }

  /**
   * Stores an object.
   *
   * @param key Its key.
   * @param content Its text.
   * @returns Nothing of use; a fault leaves open whether it was stored.
   */
  async putObject(key: string, content: string): PlatformResult<void> {
    const answer = await this.#call({
      name: "put_object",
      gate: this.#writes,
      request: { method: "PUT", path: objectPath(key), body: content },
    });
    return answer.andThen(({ statusCode }) =>
      PUT_STATUSES.has(statusCode) ? ok() : err(faultOf(statusCode))
    );
  }

  /**
   * Reads an object.
   *
   * @param key Its key.
   * @returns Its text, or undefined when there is none.
   */
  async getObject(key: string): PlatformResult<string | undefined> {
    const answer = await this.#call({
      name: "get_object",
      gate: this.#reads,
      request: get(objectPath(key)),
    });
    return answer.andThen(({ statusCode, body }) => {
      if (statusCode === STATUS_NOT_FOUND) {
        return ok(undefined);
      }
      return statusCode === STATUS_OK
        ? ok(body.toString("utf8"))
        : err(faultOf(statusCode));
    });
  }

  /** @returns The lagging list of instances and targets. */
  instances(): PlatformResult<InstanceList> {
    return this.#callFor(
      { name: "instances", gate: this.#reads, request: get("/instances") },
      instanceListSchema,
    );
  }

  /**
   * Reads from the weight store.
   *
   * @param name What to read.
   * @returns Its bytes.
   */
  async weights(name: string): PlatformResult<Buffer> {
    const answer = await this.#call({
      name: "weights",
      gate: this.#reads,
      request: get(`/weights/${encodeURIComponent(name)}`),
    });
    return answer.andThen(({ statusCode, body }) =>
      statusCode === STATUS_OK ? ok(body) : err(faultOf(statusCode))
    );
  }

  /** Cuts all connections; calls in progress fail as unreachable. */
  async stop(): Promise<void> {
    await this.#pool.destroy();
  }

  #gate(perSecond: number | undefined, defaultPerSecond: number): CallGate {
    return new CallGate({
      callsPerSecond: perSecond ?? defaultPerSecond,
      maxWaitMs: this.#callTimeoutMs,
      concurrency: CONNECTIONS,
    });
  }

  async #callFor<T>(
    call: PlatformCall,
    schema: z.ZodType<T>,
  ): PlatformResult<T> {
    const answer = await this.#call(call);
    return answer.andThen(({ statusCode, body }) =>
      statusCode === STATUS_OK
        ? parseBody(body, schema)
        : err(faultOf(statusCode))
    );
  }

  async #call(call: PlatformCall): PlatformResult<HttpAnswer> {
    this.#count(EdgeCounterName.PlatformCalls, { call: call.name }, 1);
    const result = await this.#callInTurn(call);
    if (result.isErr()) {
      const labels = { call: call.name, fault: result.error };
      this.#count(EdgeCounterName.PlatformFailures, labels, 1);
    }
    return result;
  }

  async #callInTurn(call: PlatformCall): PlatformResult<HttpAnswer> {
    const timeoutMs = Math.min(
      call.timeoutMs ?? Infinity,
      this.#callTimeoutMs,
    );
    const deadlineAtMs = this.#clock.nowMs() + timeoutMs;
    const result = await call.gate.run(() =>
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

function get(path: string): HttpRequest {
  return { method: "GET", path };
}

function post(path: string, body: unknown): HttpRequest {
  return { method: "POST", path, body: JSON.stringify(body) };
}

/** The key is one path segment, so that no part of it can act as a path. */
function objectPath(key: string): string {
  return `/objects/${encodeURIComponent(key)}`;
}

function faultOf(statusCode: number): PlatformFault {
  return FAULT_BY_STATUS.get(statusCode) ?? PlatformFault.BadAnswer;
}

function faultOfCall(fault: CallFault): PlatformFault {
  return fault.timedOut ? PlatformFault.TimedOut : PlatformFault.Unreachable;
}

function parseBody<T>(
  body: Buffer,
  schema: z.ZodType<T>,
): Result<T, PlatformFault> {
  const json = parseJson(body.toString("utf8"));
  const parsed = schema.safeParse(json.unwrapOr(undefined));
  return parsed.success ? ok(parsed.data) : err(PlatformFault.BadAnswer);
}
