/** Cancellation of attempts at their targets. */

import { LogLevel, LogPart } from "@chestnuthatch/core/effects";
import { callHttp } from "./http_call.ts";
import type { HttpRequest } from "./http_exchange.ts";
import { type EdgeContext, EdgeCounterName } from "./ports.ts";
import type { TargetPools } from "./target_connections.ts";

/** Target and content of a cancel. */
export interface CancelOptions {
  /** Connections to the target. */
  readonly pools: TargetPools;
  /** HTTP request that cancels the attempt. */
  readonly request: HttpRequest;
}

const CANCEL_TIMEOUT_MS = 1000;
const MAX_CANCEL_ATTEMPTS = 2;
const MAX_CANCEL_ANSWER_BYTES = 64 * 1024;

/**
 * Sends a cancel, and once more if no answer arrives; cancels are idempotent.
 *
 * @param context Clock, log and counters of the instance.
 * @param options Target and content of the cancel.
 */
export async function sendCancel(
  context: EdgeContext,
  { pools, request }: CancelOptions,
): Promise<void> {
  for (let attempts = 0; attempts < MAX_CANCEL_ATTEMPTS; attempts++) {
    context.count(EdgeCounterName.TargetCalls, { call: "cancel" }, 1);
    const answer = await callHttp(pools.controlPool, request, {
      clock: context.clock,
      timeoutMs: CANCEL_TIMEOUT_MS,
      maxAnswerBytes: MAX_CANCEL_ANSWER_BYTES,
    });
    if (answer.isOk()) {
      return;
    }
  }
  context.log(
    LogLevel.Warn,
    LogPart.Targets,
    `A cancel sent to ${pools.address} was not answered.`,
  );
}
