/** Cancels of attempts at their targets. */

import { LogLevel, LogPart } from "@chestnuthatch/core/effects";
import { callHttp } from "./http_call.ts";
import type { HttpRequest } from "./http_exchange.ts";
import { type EdgeContext, EdgeCounterName } from "./ports.ts";
import type { TargetLink } from "./target_connections.ts";

/** One cancel. */
export interface CancelOptions {
  readonly link: TargetLink;
  readonly request: HttpRequest;
}

const CANCEL_TIMEOUT_MS = 1000;
const CANCEL_TRIES = 2;
const MAX_CANCEL_ANSWER_BYTES = 64 * 1024;

/**
 * Sends a cancel, again if it gets no answer: it may run any number of times.
 *
 * @param edge The instance's sinks and clock.
 * @param options The target, and what to send.
 */
export async function sendCancel(
  edge: EdgeContext,
  { link, request }: CancelOptions,
): Promise<void> {
  for (let tries = 0; tries < CANCEL_TRIES; tries++) {
    edge.count(EdgeCounterName.TargetCalls, { call: "cancel" }, 1);
    const answer = await callHttp(link.control, request, {
      clock: edge.clock,
      timeoutMs: CANCEL_TIMEOUT_MS,
      maxAnswerBytes: MAX_CANCEL_ANSWER_BYTES,
    });
    if (answer.isOk()) {
      return;
    }
  }
  edge.log(
    LogLevel.Warn,
    LogPart.Targets,
    `A cancel at ${link.address} got no answer.`,
  );
}
