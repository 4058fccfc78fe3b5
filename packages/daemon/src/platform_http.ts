/**
 * Typed calls to the platform: table, object store, instance list and weight
 * store.
 */

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

/** Page of a prefix scan of the table. */
export interface ScanRange {
  readonly prefix: string;
  /** Last key of the previous page; empty for the first page. */
  readonly after?: string;
  /** Maximum number of rows in the page. */
  readonly limit: number;
}

const STATUS_OK = 200;
const STATUS_NO_CONTENT = 204;
const STATUS_CREATED = 201;
const STATUS_NOT_FOUND = 404;
const STATUS_CONFLICT = 409;
const STATUS_TOO_MANY_REQUESTS = 429;
const STATUS_SERVICE_UNAVAILABLE = 503;

const FAULT_BY_STATUS: ReadonlyMap<number, PlatformFault> = new Map([
  [STATUS_TOO_MANY_REQUESTS, PlatformFault.RateLimited],
  [STATUS_SERVICE_UNAVAILABLE, PlatformFault.Unavailable],
]);
const TRANSACT_STATUSES: ReadonlySet<number> = new Set([
  STATUS_OK,
  STATUS_CONFLICT,
]);
const PUT_STATUSES: ReadonlySet<number> = new Set([
  STATUS_OK,
  STATUS_CREATED,
  STATUS_NO_CONTENT,
]);

/** Client of the platform's HTTP protocol; it never retries a call. */
export class PlatformHttp {
  readonly #calls: PlatformCalls;

  /** @param options Address, rate shares and timeout. */
  constructor(options: PlatformCallsOptions) {
    this.#calls = new PlatformCalls(options);
  }

  /**
   * Writes rows in a transaction if every condition holds.
   *
   * @param request Conditions, puts and deletes.
   * @param options Timeout of the call.
   * @returns Whether the transaction was committed; after a fault other than
   * RateLimited it may or may not have been.
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
      TRANSACT_STATUSES.has(statusCode)
        ? parseBody(body, transactAnswerSchema)
        : err(faultOf(statusCode))
    );
  }

  /**
   * Reads rows of the table.
   *
   * @param keys Keys of the rows.
   * @param options Timeout of the call.
   * @returns The rows that exist.
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
    return this.#callAndParse(call, rowsAnswerSchema);
  }

  /**
   * Reads a page of rows in key order.
   *
   * @param range Key prefix and page.
   * @returns Rows of the page.
   */
  scan(range: ScanRange): PlatformResult<RowsAnswer> {
    const query = new URLSearchParams({
      prefix: range.prefix,
      after: range.after ?? "",
      limit: String(range.limit),
    });
    const request = get(`/table/scan?${query}`);
    return this.#callAndParse(
      { name: "scan", rate: PlatformRate.Reads, request },
      rowsAnswerSchema,
    );
  }

  /**
   * Writes an object to the object store.
   *
   * @param key Key of the object.
   * @param content Text of the object.
   * @returns Nothing, or a fault; after a fault other than RateLimited the
   * object may or may not have been stored.
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
   * Reads an object from the object store.
   *
   * @param key Key of the object.
   * @returns Text of the object, or undefined if it does not exist.
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

  /**
   * Reads the list of instances and targets.
   *
   * @returns The list, which lags behind by the time that it states.
   */
  instances(): PlatformResult<InstanceList> {
    return this.#callAndParse(
      {
        name: "instances",
        rate: PlatformRate.Reads,
        request: get("/instances"),
      },
      instanceListSchema,
    );
  }

  /**
   * Reads an item of the weight store.
   *
   * @param name Name of the item.
   * @returns Content of the item.
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

  /** Destroys all connections; calls in progress fail as unreachable. */
  async stop(): Promise<void> {
    await this.#calls.stop();
  }

  async #callAndParse<T>(
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

/** Encodes the key as one path segment, so that none of it acts as a path. */
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
