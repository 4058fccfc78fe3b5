/** Refuses a call whose body has not been read, and closes its connection. */

import type { IncomingMessage, ServerResponse } from "node:http";
import type { Refusal } from "@chestnuthatch/core/request";
import type { CallerLimits } from "./caller_limits.ts";
import { refusalReply } from "./caller_reply.ts";
import type { Timers } from "./timers.ts";

/** What a call is refused with. */
export interface RefuseUnreadOptions {
  readonly request: IncomingMessage;
  readonly limits: CallerLimits;
  readonly timers: Timers;
}

/**
 * Sends a refusal at once and closes the connection soon after. Closing it with
 * unread bytes would reset it, and the caller could lose the refusal; so a
 * bounded part of the body is dropped first.
 *
 * @param response The response.
 * @param refusal The refusal.
 * @param options The request and the bounds.
 */
export function refuseUnread(
  response: ServerResponse,
  refusal: Refusal,
  options: RefuseUnreadOptions,
): void {
  const reply = refusalReply(refusal);
  response.setHeader("connection", "close");
  response.writeHead(reply.status, reply.headers);
  response.write(reply.body);
  discardBody(options, () => response.end());
}

function discardBody(options: RefuseUnreadOptions, done: () => void): void {
  const { request, limits } = options;
  if (request.readableEnded || request.destroyed) {
    done();
    return;
  }
  let discardedBytes = 0;
  const cancelTimer = options.timers.schedule(limits.discardTimeoutMs, done);
  const finish = (): void => {
    cancelTimer();
    done();
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
