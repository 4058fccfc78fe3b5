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
import type * as z from "zod";
import type { HttpRequest } from "./http_exchange.ts";
import { parseJson } from "./ndjson_reader.ts";
import {
  type CallOptions,
  type PlatformCall,
  PlatformCalls,
  type PlatformCallsOptions,
  PlatformFault,
  PlatformRate,
  type PlatformResult,
} from "./platform_calls.ts";

export {
  type CallOptions,
  type PlatformCallsOptions as PlatformHttpOptions,
  PlatformFault,
  type PlatformResult,
};

/** Which part of a prefix to scan. */
export interface ScanRange {
  readonly prefix: string;
  /** Key after which the scan goes on; empty for the first page. */
  readonly after?: string;
  readonly limit: number;
}

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
  readonly #calls: PlatformCalls;

  /** @param options Where the platform is. */
  constructor(options: PlatformCallsOptions) {
    this.#calls = new PlatformCalls(options);
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
    const answer = await this.#calls.run({
      ...options,
      name: "transact",
      rate: PlatformRate.Writes,
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
    const call = {
      ...options,
      name: "read",
      rate: PlatformRate.Reads,
      request,
    };
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
      { name: "scan", rate: PlatformRate.Reads, request },
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
    const answer = await this.#calls.run({
      name: "put_object",
      rate: PlatformRate.Writes,
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
    const answer = await this.#calls.run({
      name: "get_object",
      rate: PlatformRate.Reads,
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
      {
        name: "instances",
        rate: PlatformRate.Reads,
        request: get("/instances"),
      },
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
    const answer = await this.#calls.run({
      name: "weights",
      rate: PlatformRate.Reads,
      request: get(`/weights/${encodeURIComponent(name)}`),
    });
    return answer.andThen(({ statusCode, body }) =>
      statusCode === STATUS_OK ? ok(body) : err(faultOf(statusCode))
    );
  }

  /** Cuts all connections; calls in progress fail as unreachable. */
  async stop(): Promise<void> {
    await this.#calls.stop();
  }

  async #callFor<T>(
    call: PlatformCall,
    schema: z.ZodType<T>,
  ): PlatformResult<T> {
    const answer = await this.#calls.run(call);
    return answer.andThen(({ statusCode, body }) =>
      statusCode === STATUS_OK
        ? parseBody(body, schema)
        : err(faultOf(statusCode))
    );
  }
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

function parseBody<T>(
  body: Buffer,
  schema: z.ZodType<T>,
): Result<T, PlatformFault> {
  const json = parseJson(body.toString("utf8"));
  const parsed = schema.safeParse(json.unwrapOr(undefined));
  return parsed.success ? ok(parsed.data) : err(PlatformFault.BadAnswer);
}
