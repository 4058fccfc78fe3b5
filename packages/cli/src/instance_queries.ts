/** Queries entry instances for their status and for requests. */

import type { InstanceStatus } from "@chestnuthatch/core/status";
import type { RequestExplanation } from "@chestnuthatch/core/request_explanation";
import { callHttp } from "@chestnuthatch/daemon/http_call";
import { parseJson } from "@chestnuthatch/daemon/ndjson_reader";
import { err, ok, type Result } from "neverthrow";
import { Pool } from "undici";
import { badInput, type CommandFailure } from "./command_result.ts";
import { PROCESS_CLOCK } from "./platform_connection.ts";
import { type InstanceOptions, INSTANCES_VARIABLE } from "./shared_options.ts";

/** An instance that gave no usable answer to a query. */
export interface SilentInstance {
  /** `host:port` of its interface for callers. */
  readonly address: string;
  /** Why the query failed. */
  readonly reason: string;
}

/** The answer of one instance to a query. */
export interface InstanceAnswer<T> {
  /** `host:port` of its interface for callers. */
  readonly address: string;
  readonly value: T;
}

/** Results of one query to several instances, in the order of the addresses. */
export interface InstanceAnswers<T> {
  readonly answers: readonly InstanceAnswer<T>[];
  readonly silent: readonly SilentInstance[];
}

/** What one instance has recorded about a request. */
export interface InstanceExplanation {
  readonly instanceId: string;
  readonly explanation: RequestExplanation;
}

/** Timeout of one query to one instance. */
const TIMEOUT_MS = 5000;
const MAX_ANSWER_BYTES = 16 * 1024 * 1024;
const STATUS_OK = 200;
const STATUS_NOT_FOUND = 404;

/**
 * Reads the addresses of the entry instances from the options of a command.
 *
 * @param options Options of the command.
 * @returns Addresses as `host:port`, or a failure if there is none.
 */
export function instanceAddresses(
  { instance = [] }: InstanceOptions,
): Result<readonly string[], CommandFailure> {
  return instance.length > 0 ? ok(instance) : badInput({
    message: "No entry instance's address is known.",
    next: `Give --instance host:port, or set ${INSTANCES_VARIABLE}.`,
  });
}

/**
 * Reads the status of every instance.
 *
 * @param addresses `host:port` of the instances.
 * @returns The statuses, and the instances that returned none.
 */
export function readStatuses(
  addresses: readonly string[],
): Promise<InstanceAnswers<InstanceStatus>> {
  return queryAll(addresses, readStatus);
}

/**
 * Reads what every instance has recorded about a request.
 *
 * @param addresses `host:port` of the instances.
 * @param requestId Id of the request.
 * @returns The explanations; undefined for instances without a record of it.
 */
export function readExplanations(
  addresses: readonly string[],
  requestId: string,
): Promise<InstanceAnswers<InstanceExplanation | undefined>> {
  return queryAll(addresses, (pool) => readExplanation(pool, requestId));
}

async function queryAll<T>(
  addresses: readonly string[],
  query: (pool: Pool) => Promise<Result<T, string>>,
): Promise<InstanceAnswers<T>> {
  const answers: InstanceAnswer<T>[] = [];
  const silent: SilentInstance[] = [];
  await Promise.all(addresses.map(async (address) => {
    const pool = new Pool(`http://${address}`, { connections: 1 });
    const answer = await query(pool);
    await pool.destroy();
    answer.match(
      (value) => answers.push({ address, value }),
      (reason) => silent.push({ address, reason }),
    );
  }));
  const addressIndex = ({ address }: { readonly address: string }) =>
    addresses.indexOf(address);
  return {
    answers: answers.sort((a, b) => addressIndex(a) - addressIndex(b)),
    silent: silent.sort((a, b) => addressIndex(a) - addressIndex(b)),
  };
}

async function readStatus(
  pool: Pool,
): Promise<Result<InstanceStatus, string>> {
  const read = await readJson(pool, "/v1/status");
  return read.andThen(({ statusCode, json }) =>
    statusCode === STATUS_OK && isStatus(json)
      ? ok(json)
      : err(`no status (HTTP ${statusCode})`)
  );
}

async function readExplanation(
  pool: Pool,
  requestId: string,
): Promise<Result<InstanceExplanation | undefined, string>> {
  const path = `/v1/why/${encodeURIComponent(requestId)}`;
  const read = await readJson(pool, path);
  if (read.isErr()) {
    return err(read.error);
  }
  const { statusCode, json } = read.value;
  if (statusCode === STATUS_NOT_FOUND) {
    return ok(undefined);
  }
  if (statusCode !== STATUS_OK || !isExplanation(json)) {
    return err(`no explanation (HTTP ${statusCode})`);
  }
  const status = await readStatus(pool);
  return status.map(({ instanceId }) => ({ instanceId, explanation: json }));
}

async function readJson(
  pool: Pool,
  path: string,
): Promise<Result<{ statusCode: number; json: unknown }, string>> {
  const answer = await callHttp(pool, { method: "GET", path }, {
    clock: PROCESS_CLOCK,
    timeoutMs: TIMEOUT_MS,
    maxAnswerBytes: MAX_ANSWER_BYTES,
  });
  return answer
    .mapErr(({ reason }) => reason)
    .andThen(({ statusCode, body }) =>
      parseJson(body.toString("utf8"))
        .mapErr(() => "the answer is not JSON")
        .map((json) => ({ statusCode, json }))
    );
}

function isStatus(json: unknown): json is InstanceStatus {
  const status = json as Partial<InstanceStatus> | null;
  return typeof status?.instanceId === "string" &&
    typeof status.settingsVersion === "number" &&
    Array.isArray(status.members) && Array.isArray(status.shards) &&
    Array.isArray(status.targets);
}

function isExplanation(json: unknown): json is RequestExplanation {
  const explanation = json as Partial<RequestExplanation> | null;
  return typeof explanation?.requestId === "string" &&
    Array.isArray(explanation.decisions) && Array.isArray(explanation.callLog);
}
