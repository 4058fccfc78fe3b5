/** Writes answers to callers as HTTP. */

import { Buffer } from "node:buffer";
import type { OutgoingHttpHeaders, ServerResponse } from "node:http";
import { ERROR_TABLE } from "@chestnuthatch/core/error_table";
import type { Refusal } from "@chestnuthatch/core/request";
import {
  type CallerEvent,
  REQUEST_ID_HEADER,
} from "@chestnuthatch/wire/caller_protocol";

/** Media type of a JSON body. */
export const JSON_TYPE = "application/json; charset=utf-8";
/** Media type of a stream of events, one JSON object a line. */
export const NDJSON_TYPE = "application/x-ndjson; charset=utf-8";

const MS_PER_SECOND = 1000;

/** A whole HTTP answer. */
export interface WholeReply {
  readonly status: number;
  readonly headers: OutgoingHttpHeaders;
  readonly body: string;
}

/**
 * Words a JSON answer.
 *
 * @param status The HTTP status.
 * @param value What the body says.
 * @returns The answer.
 */
export function jsonReply(status: number, value: unknown): WholeReply {
  return wholeReply(status, {
    body: JSON.stringify(value),
    headers: { "content-type": JSON_TYPE },
  });
}

/**
 * Words a refusal as one JSON body.
 *
 * @param refusal The refusal.
 * @returns The answer, with the refusal's status and headers.
 */
export function refusalReply(refusal: Refusal): WholeReply {
  return wholeReply(ERROR_TABLE[refusal.error].httpStatus, {
    body: JSON.stringify(refusal),
    headers: { "content-type": JSON_TYPE, ...refusalHeaders(refusal) },
  });
}

/**
 * Words an answer.
 *
 * @param status The HTTP status.
 * @param content The body and its headers, its length apart.
 * @returns The answer.
 */
export function wholeReply(
  status: number,
  content: { readonly body: string; readonly headers: OutgoingHttpHeaders },
): WholeReply {
  const length = Buffer.byteLength(content.body);
  return {
    status,
    headers: { ...content.headers, "content-length": length },
    body: content.body,
  };
}

/**
 * Sends a whole answer and ends the response.
 *
 * @param response The response.
 * @param reply The answer.
 */
export function sendReply(response: ServerResponse, reply: WholeReply): void {
  response.writeHead(reply.status, reply.headers);
  response.end(reply.body);
}

/**
 * Words the headers that only refusals have.
 *
 * @param refusal The refusal.
 * @returns The request's id, and when to come back where there is a hint.
 */
export function refusalHeaders(refusal: Refusal): OutgoingHttpHeaders {
  const headers: OutgoingHttpHeaders = {
    [REQUEST_ID_HEADER]: refusal.requestId,
  };
  if (refusal.retryAfterMs !== undefined) {
    const seconds = Math.ceil(refusal.retryAfterMs / MS_PER_SECOND);
    headers["retry-after"] = String(seconds);
  }
  return headers;
}

/**
 * Words one event of a stream.
 *
 * @param event The event.
 * @returns Its line.
 */
export function eventLine(event: CallerEvent): string {
  return `${JSON.stringify(event)}\n`;
}
