/** Short JSON calls to instances and stand-ins. */

import { Agent, request } from "undici";

const CALL_TIMEOUT_MS = 5_000;
const HTTP_OK = 200;

/** Every call has a connection of its own, so that none is found broken. */
const agent = new Agent({
  pipelining: 0,
  connectTimeout: CALL_TIMEOUT_MS,
  headersTimeout: CALL_TIMEOUT_MS,
  bodyTimeout: CALL_TIMEOUT_MS,
});

/** A status code and a JSON body. */
export interface JsonReply<T> {
  readonly statusCode: number;
  readonly body: T;
}

/**
 * Gets JSON, whatever its status code.
 *
 * @param address `host:port`.
 * @param path Path and query.
 * @returns The status code and the body.
 */
export async function getReply<T>(
  address: string,
  path: string,
): Promise<JsonReply<T>> {
  const { statusCode, body } = await request(`http://${address}${path}`, {
    dispatcher: agent,
  });
  return { statusCode, body: await body.json() as T };
}

/**
 * Gets JSON.
 *
 * @param address `host:port`.
 * @param path Path and query.
 * @returns The body.
 */
export async function getJson<T>(address: string, path: string): Promise<T> {
  const { statusCode, body } = await getReply<T>(address, path);
  if (statusCode !== HTTP_OK) {
    throw new Error(`GET ${path}: ${statusCode} ${JSON.stringify(body)}`);
  }
  return body;
}

/**
 * Gets text.
 *
 * @param address `host:port`.
 * @param path Path and query.
 * @returns The body.
 */
export async function getText(address: string, path: string): Promise<string> {
  const { body } = await request(`http://${address}${path}`, {
    dispatcher: agent,
  });
  return await body.text();
}

/**
 * Posts JSON.
 *
 * @param address `host:port`.
 * @param path Path.
 * @param content What to post.
 * @returns The body of the answer.
 */
export async function postJson<T>(
  address: string,
  path: string,
  content: unknown,
): Promise<T> {
  const { statusCode, body } = await request(`http://${address}${path}`, {
    dispatcher: agent,
    method: "POST",
    headers: { "content-type": "application/json" },
    body: JSON.stringify(content),
  });
  const answer = await body.json() as T;
  if (statusCode !== HTTP_OK) {
    throw new Error(`POST ${path}: ${statusCode} ${JSON.stringify(answer)}`);
  }
  return answer;
}
