/** Asks entry instances what they know. */

import type { InstanceStatus } from "@chestnuthatch/core/status";
import type { RequestExplanation } from "@chestnuthatch/core/request_explanation";
import { callHttp } from "@chestnuthatch/daemon/http_call";
import { parseJson } from "@chestnuthatch/daemon/ndjson_reader";
import { err, ok, type Result } from "neverthrow";
import { Pool } from "undici";
import { badInput, type CommandFailure } from "./command_result.ts";
import { PROCESS_CLOCK } from "./platform_connection.ts";
import { type InstanceOptions, INSTANCES_VARIABLE } from "./shared_options.ts";

/** An instance that gave no usable answer. */
export interface SilentInstance {
  readonly address: string;
  readonly reason: string;
}

/** What one instance said, with its address. */
export interface InstanceAnswer<T> {
  readonly address: string;
  readonly value: T;
}

/** What the instances asked said. */
export interface InstanceAnswers<T> {
  readonly answers: readonly InstanceAnswer<T>[];
  readonly silent: readonly SilentInstance[];
}

/** A request's story as one instance tells it. */
export interface InstanceStory {
  readonly instanceId: string;
  readonly story: RequestExplanation;
}

const TIMEOUT_MS = 5000;
const MAX_ANSWER_BYTES = 16 * 1024 * 1024;
const STATUS_OK = 200;
const STATUS_NOT_FOUND = 404;

/**
 * Names the instances to ask.
 *
 * @param options The command's options.
 * @returns Their addresses, or that none is known.
 */
export function instancesOf(
  { instance = [] }: InstanceOptions,
): Result<readonly string[], CommandFailure> {
  return instance.length > 0 ? ok(instance) : badInput({
    message: "No entry instance's address is known.",
    next: `Give --instance host:port, or set ${INSTANCES_VARIABLE}.`,
  });
}

/**
 * Asks every instance for its status.
 *
 * @param addresses The instances.
 * @returns Their statuses, and who gave none.
 */
export function readStatuses(
  addresses: readonly string[],
): Promise<InstanceAnswers<InstanceStatus>> {
  return askAll(addresses, readStatus);
}

/**
 * Asks every instance for a request's story.
 *
 * @param addresses The instances.
 * @param requestId The request.
 * @returns The stories of those who know it; undefined for the others.
 */
export function readStories(
  addresses: readonly string[],
  requestId: string,
): Promise<InstanceAnswers<InstanceStory | undefined>> {
  return askAll(addresses, (pool) => readStory(pool, requestId));
}

async function askAll<T>(
  addresses: readonly string[],
  ask: (pool: Pool) => Promise<Result<T, string>>,
): Promise<InstanceAnswers<T>> {
  const answers: InstanceAnswer<T>[] = [];
  const silent: SilentInstance[] = [];
  await Promise.all(addresses.map(async (address) => {
    const pool = new Pool(`http://${address}`, { connections: 1 });
    const answer = await ask(pool);
    await pool.destroy();
    answer.match(
      (value) => answers.push({ address, value }),
      (reason) => silent.push({ address, reason }),
    );
  }));
  const place = ({ address }: { readonly address: string }) =>
    addresses.indexOf(address);
  return {
    answers: answers.sort((a, b) => place(a) - place(b)),
    silent: silent.sort((a, b) => place(a) - place(b)),
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

async function readStory(
  pool: Pool,
  requestId: string,
): Promise<Result<InstanceStory | undefined, string>> {
  const path = `/v1/why/${encodeURIComponent(requestId)}`;
  const read = await readJson(pool, path);
  if (read.isErr()) {
    return err(read.error);
  }
  const { statusCode, json } = read.value;
  if (statusCode === STATUS_NOT_FOUND) {
    return ok(undefined);
  }
  if (statusCode !== STATUS_OK || !isStory(json)) {
    return err(`no story (HTTP ${statusCode})`);
  }
  const status = await readStatus(pool);
  return status.map(({ instanceId }) => ({ instanceId, story: json }));
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

function isStory(json: unknown): json is RequestExplanation {
  const story = json as Partial<RequestExplanation> | null;
  return typeof story?.requestId === "string" &&
    Array.isArray(story.decisions) && Array.isArray(story.callLog);
}
