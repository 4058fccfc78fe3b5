/** The W3C `traceparent` header. */

import {
  isSpanContextValid,
  type SpanContext,
  type TraceFlags,
} from "@opentelemetry/api";

/** The header's name. */
export const TRACEPARENT_HEADER = "traceparent";

const VERSION = "00";
const INVALID_VERSION = "ff";
const TRACEPARENT =
  /^([0-9a-f]{2})-([0-9a-f]{32})-([0-9a-f]{16})-([0-9a-f]{2})(-.*)?$/;
const HEX_RADIX = 16;
const FLAGS_DIGITS = 2;

/**
 * Parses a `traceparent` header.
 *
 * @param header The header's value.
 * @returns The caller's span, or nothing where the header is not valid.
 */
export function parseTraceparent(header: string): SpanContext | undefined {
  const match = TRACEPARENT.exec(header);
  if (match === null) {
    return undefined;
  }
  const [, version, traceId, spanId, flags, more] = match;
  const longerThanAllowed = version === VERSION && more !== undefined;
  if (version === INVALID_VERSION || longerThanAllowed) {
    return undefined;
  }
  const traceFlags: TraceFlags = parseInt(flags, HEX_RADIX);
  const context = { traceId, spanId, traceFlags, isRemote: true };
  return isSpanContextValid(context) ? context : undefined;
}

/**
 * Formats a `traceparent` header.
 *
 * @param context The span that the receiver's spans belong under.
 * @returns The header's value.
 */
export function formatTraceparent(context: SpanContext): string {
  const flags = context.traceFlags.toString(HEX_RADIX);
  const paddedFlags = flags.padStart(FLAGS_DIGITS, "0");
  return [VERSION, context.traceId, context.spanId, paddedFlags].join("-");
}
