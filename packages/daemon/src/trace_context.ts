/** Parsing and formatting of the W3C `traceparent` header. */

import {
  isSpanContextValid,
  type SpanContext,
  type TraceFlags,
} from "@opentelemetry/api";

/** Name of the header that carries the trace context. */
export const TRACEPARENT_HEADER = "traceparent";

const VERSION = "00";
const INVALID_VERSION = "ff";
const TRACEPARENT_PATTERN =
  /^([0-9a-f]{2})-([0-9a-f]{32})-([0-9a-f]{16})-([0-9a-f]{2})(-.*)?$/;
const HEX_RADIX = 16;
const FLAGS_DIGITS = 2;

/**
 * Parses a `traceparent` header.
 *
 * @param header Value of the header.
 * @returns Context of the caller's span; `undefined` if the value is invalid.
 */
export function parseTraceparent(header: string): SpanContext | undefined {
  const match = TRACEPARENT_PATTERN.exec(header);
  if (match === null) {
    return undefined;
  }
  const [, version, traceId, spanId, flags, extraFields] = match;
  const hasUnexpectedFields = version === VERSION && extraFields !== undefined;
  if (version === INVALID_VERSION || hasUnexpectedFields) {
    return undefined;
  }
  const traceFlags: TraceFlags = parseInt(flags, HEX_RADIX);
  const context = { traceId, spanId, traceFlags, isRemote: true };
  return isSpanContextValid(context) ? context : undefined;
}

/**
 * Formats a `traceparent` header.
 *
 * @param context Context of the parent span of the receiver's spans.
 * @returns Value of the header.
 */
export function formatTraceparent(context: SpanContext): string {
  const flags = context.traceFlags.toString(HEX_RADIX);
  const paddedFlags = flags.padStart(FLAGS_DIGITS, "0");
  return [VERSION, context.traceId, context.spanId, paddedFlags].join("-");
}
