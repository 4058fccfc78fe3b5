/** HTTP calls with JSON bodies to instances and stand-ins of a test fleet. */

import { Agent, request } from "undici";

const CALL_TIMEOUT_MS = 5_000;
const HTTP_OK = 200;

/** Opens a connection per call, so that no call reuses a broken one. */
const agent = new Agent({
  pipelining: 0,
  connectTimeout: CALL_TIMEOUT_MS,
  headersTimeout: CALL_TIMEOUT_MS,
  bodyTimeout: CALL_TIMEOUT_MS,
});

/** Status code and parsed JSON body of an HTTP response. */
export interface JsonResponse<T> {
  readonly statusCode: number;
  readonly body: T;
}

/**
 * Sends a GET request and parses the JSON body, whatever the status code.
 *
 * @param address `host:port`.
 * @param path Path and query.
 * @returns The status code and the body.
 */
export async function getJsonResponse<T>(
  address: string,
  path: string,
): Promise<JsonResponse<T>> {
  const { statusCode, body } = await request(`http://${address}${path}`, {
    dispatcher: agent,
  });
  return { statusCode, body: await body.json() as T };
}

/**
 * Sends a GET request and parses the JSON body.
 *
 * @param address `host:port`.
 * @param path Path and query.
 * @returns The parsed body.
 * @throws If the status code is not 200.
 */
export async function getJson<T>(address: string, path: string): Promise<T> {
  const { statusCode, body } = await getJsonResponse<T>(address, path);
  if (statusCode !== HTTP_OK) {
    throw new Error(`GET ${path}: ${statusCode} ${JSON.stringify(body)}`);
  }
  return body;
}

/**
 * Sends a GET request and reads the body as text, whatever the status code.
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
 * Sends a POST request with a JSON body.
 *
 * @param address `host:port`.
 * @param path Path.
 * @param content Value to send as JSON.
 * @returns The parsed body of the response.
 * @throws If the status code is not 200.
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
