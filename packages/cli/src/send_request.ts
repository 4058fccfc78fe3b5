/** Sends one request to an entry instance and reads its whole outcome. */

import { request } from "undici";
import {
  type CallerAnswer,
  callerAnswerSchema,
  type CallerRefusal,
  callerRefusalSchema,
  type CallerRequest,
} from "@chestnuthatch/wire/caller_protocol";

/** How a sent request ended, as its caller saw it. */
export type SentOutcome =
  | { readonly answer: CallerAnswer }
  | { readonly refusal: CallerRefusal }
  | { readonly broken: string };

/** Beyond the deadline, for an instance that answers at the last moment. */
const TIMEOUT_MARGIN_MS = 10_000;
const DEFAULT_TIMEOUT_MS = 300_000;

/**
 * Sends one request.
 *
 * @param address `host:port` of an instance's interface for callers.
 * @param body The request.
 * @returns Its answer, its refusal, or why neither came.
 */
export async function sendRequest(
  address: string,
  body: CallerRequest,
): Promise<SentOutcome> {
  const timeoutMs = body.deadlineMs === undefined
    ? DEFAULT_TIMEOUT_MS
    : body.deadlineMs + TIMEOUT_MARGIN_MS;
  try {
    const response = await request(`http://${address}/v1/requests`, {
      method: "POST",
      headers: { "content-type": "application/json" },
      body: JSON.stringify(body),
      headersTimeout: timeoutMs,
      bodyTimeout: timeoutMs,
    });
    return readOutcome(await response.body.json());
  } catch (error) {
    return { broken: error instanceof Error ? error.message : String(error) };
  }
}

function readOutcome(json: unknown): SentOutcome {
  const answer = callerAnswerSchema.safeParse(json);
  if (answer.success) {
    return { answer: answer.data };
  }
  const refusal = callerRefusalSchema.safeParse(json);
  if (refusal.success) {
    return { refusal: refusal.data };
  }
  return { broken: "neither an answer nor a refusal" };
}
