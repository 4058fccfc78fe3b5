/** Refusal of a call whose body has not been read to its end. */

import type { IncomingMessage, ServerResponse } from "node:http";
import type { Refusal } from "@chestnuthatch/core/request";
import type { CallerLimits } from "./caller_limits.ts";
import { refusalReply } from "./caller_reply.ts";
import type { Timers } from "./timers.ts";

/** Options for refusing a call with an unread body. */
export interface UnreadRefusalOptions {
  readonly request: IncomingMessage;
  readonly limits: CallerLimits;
  readonly timers: Timers;
}

/**
 * Sends a refusal at once, then discards a limited part of the body and closes
 * the connection. Closing with unread bytes would reset the connection, and the
 * caller could lose the refusal.
 *
 * @param response Response of the refused call.
 * @param refusal Refusal to send.
 * @param options The request, and limits for discarding its body.
 */
export function refuseUnreadBody(
  response: ServerResponse,
  refusal: Refusal,
  options: UnreadRefusalOptions,
): void {
  const reply = refusalReply(refusal);
  response.setHeader("connection", "close");
  response.writeHead(reply.status, reply.headers);
  response.write(reply.body);
  discardBody(options, () => response.end());
}

function discardBody(options: UnreadRefusalOptions, onDone: () => void): void {
  const { request, limits } = options;
  if (request.readableEnded || request.destroyed) {
    onDone();
    return;
  }
  let discardedBytes = 0;
  const cancelTimer = options.timers.schedule(limits.discardTimeoutMs, onDone);
  const finish = (): void => {
    cancelTimer();
    onDone();
  };
  request.on("data", (chunk) => {
    discardedBytes += chunk.length;
    if (discardedBytes > limits.maxDiscardedBytes) {
      request.pause();
      finish();
    }
  });
  request.once("end", finish);
  request.resume();
}
