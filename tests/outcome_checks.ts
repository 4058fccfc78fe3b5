/** Assertions about outcomes of requests, which hold under every fault. */

import type { SentOutcome } from "@chestnuthatch/cli/send_request";
import type {
  CallerAnswer,
  CallerRefusal,
  CallerRequest,
} from "@chestnuthatch/wire/caller_protocol";
import { CallerEventKind } from "@chestnuthatch/wire/caller_protocol";
import { type ErrorKind, RunState } from "@chestnuthatch/wire/shared_types";
import * as assert from "uvu/assert";
import type { StreamedCall } from "./streamed_call.ts";
import type { TargetCounts } from "./target_counts.ts";

/** Number of tokens in the answer of a service. */
const SERVICE_ANSWER_TOKENS = 4;
const PROMPT_TAIL_CHARS = 48;
const OUTPUT_TAG = /\[output=(\d+)\]$/;

/**
 * Asserts that a request got a complete answer, and that it is its own.
 *
 * @param outcome Outcome of the request.
 * @param sent The request.
 * @returns The answer.
 */
export function expectAnswer(
  outcome: SentOutcome,
  sent: CallerRequest,
): CallerAnswer {
  assert.ok("answer" in outcome, `no answer: ${JSON.stringify(outcome)}`);
  const { answer } = outcome as { answer: CallerAnswer };
  assert.is(answer.text, expectedText(answer.text, sent));
  return answer;
}

/**
 * Asserts that a request was refused.
 *
 * @param outcome Outcome of the request.
 * @param expected Kind of the error, and whether the request ran according to
 * it.
 * @returns The refusal.
 */
export function expectRefusal(
  outcome: SentOutcome,
  expected: { readonly error: ErrorKind; readonly ran: RunState },
): CallerRefusal {
  assert.ok("refusal" in outcome, `no refusal: ${JSON.stringify(outcome)}`);
  const { refusal } = outcome as { refusal: CallerRefusal };
  const { error, ran } = refusal;
  assert.equal({ error, ran }, expected, refusal.message);
  return refusal;
}

/**
 * Asserts that a streamed answer is complete, ends with its only final event,
 * and belongs to the request.
 *
 * @param call The streamed call, ended.
 * @param sent The request.
 */
export function expectWholeStream(
  call: StreamedCall,
  sent: CallerRequest,
): void {
  const kinds = call.endings.map(({ kind }) => kind);
  assert.equal(kinds, [CallerEventKind.Final], describe(call));
  assert.is(call.events.at(-1)?.kind, CallerEventKind.Final);
  assert.is(call.text, expectedText(call.text, sent));
}

/**
 * Asserts that a stream ended with its only error event.
 *
 * @param call The streamed call, ended.
 * @returns The refusal in the error event.
 */
export function expectStreamError(call: StreamedCall): CallerRefusal {
  const last = call.events.at(-1);
  assert.is(call.endings.length, 1, describe(call));
  assert.is(last?.kind, CallerEventKind.Error, describe(call));
  return (last as { refusal: CallerRefusal }).refusal;
}

/**
 * Asserts that a request was never sent to a target if its refusal says that it
 * did not run.
 *
 * @param refusal The refusal that the caller received.
 * @param counts Counts of the targets.
 */
export function expectTruthful(
  refusal: CallerRefusal,
  counts: TargetCounts,
): void {
  if (refusal.ran === RunState.NotRun) {
    assert.is(counts.dispatchesOf(refusal.requestId), 0, refusal.message);
  }
}

/** Returns a stand-in's complete answer to a request, with the id in `text`. */
function expectedText(text: string, sent: CallerRequest): string {
  const quotedId = text.slice(1, Math.max(1, text.indexOf("|")));
  const tag = OUTPUT_TAG.exec(sent.body)?.[1];
  const tokens = tag === undefined ? SERVICE_ANSWER_TOKENS : Number(tag);
  const later = Array.from({ length: tokens - 1 }, (_, i) => ` w${i + 1}`);
  const tail = sent.body.slice(-PROMPT_TAIL_CHARS);
  return `[${quotedId}|${tail}]${later.join("")}`;
}

function describe(call: StreamedCall): string {
  const endings = JSON.stringify(call.endings);
  return `${call.events.length} events, ${endings}, ${call.failure}`;
}
