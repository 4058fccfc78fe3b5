/** HTTP replies to callers: status, headers and body. */

import { Buffer } from "node:buffer";
import type { OutgoingHttpHeaders, ServerResponse } from "node:http";
import { ERROR_TABLE } from "@chestnuthatch/core/error_table";
import type { Refusal } from "@chestnuthatch/core/request";
import {
  type CallerEvent,
  REQUEST_ID_HEADER,
} from "@chestnuthatch/wire/caller_protocol";

/** Media type of a JSON body. */
export const JSON_MEDIA_TYPE = "application/json; charset=utf-8";
/** Media type of a stream of events, one JSON object per line. */
export const NDJSON_MEDIA_TYPE = "application/x-ndjson; charset=utf-8";

const MS_PER_SECOND = 1000;

/** A complete HTTP response to a caller. */
export interface CallerReply {
  /** HTTP status code. */
  readonly status: number;
  readonly headers: OutgoingHttpHeaders;
  readonly body: string;
}

/**
 * Creates a reply with a JSON body.
 *
 * @param status HTTP status code.
 * @param value Value that the body contains as JSON.
 * @returns The reply.
 */
export function jsonReply(status: number, value: unknown): CallerReply {
  return createReply(status, {
    body: JSON.stringify(value),
    headers: { "content-type": JSON_MEDIA_TYPE },
  });
}

/**
 * Creates the reply that carries a refusal as its JSON body.
 *
 * @param refusal Refusal to send.
 * @returns The reply, with the status and headers of the refusal.
 */
export function refusalReply(refusal: Refusal): CallerReply {
  return createReply(ERROR_TABLE[refusal.error].httpStatus, {
    body: JSON.stringify(refusal),
    headers: { "content-type": JSON_MEDIA_TYPE, ...refusalHeaders(refusal) },
  });
}

/**
 * Creates a reply and adds its `content-length` header.
 *
 * @param status HTTP status code.
 * @param content Body, and all other headers.
 * @returns The reply.
 */
export function createReply(
  status: number,
  content: { readonly body: string; readonly headers: OutgoingHttpHeaders },
): CallerReply {
  const lengthBytes = Buffer.byteLength(content.body);
  return {
    status,
    headers: { ...content.headers, "content-length": lengthBytes },
    body: content.body,
  };
}

/**
 * Sends a reply and ends the response.
 *
 * @param response Response to write to; its head must not have been sent.
 * @param reply Reply to send.
 */
export function sendReply(response: ServerResponse, reply: CallerReply): void {
  response.writeHead(reply.status, reply.headers);
  response.end(reply.body);
}

/**
 * Creates the headers that only refusals have.
 *
 * @param refusal Refusal to send.
 * @returns `x-request-id`, and `retry-after` in seconds if the refusal has a
 *   retry delay.
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
 * Formats an event of a stream as one line of JSON.
 *
 * @param event Event to send.
 * @returns The line, with its line feed.
 */
export function eventLine(event: CallerEvent): string {
  return `${JSON.stringify(event)}\n`;
}
