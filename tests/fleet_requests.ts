/** Creates requests for tests, each with a unique body and key. */

import type { CallerRequest } from "@chestnuthatch/wire/caller_protocol";
import { FleetPool } from "./fleet_settings.ts";

/** Deadline of requests that must not end by their deadline. */
export const LONG_DEADLINE_MS = 120_000;

let requestCount = 0;

/**
 * Creates a request for an engine.
 *
 * @param outputTokens Number of output tokens of the answer.
 * @param overrides Fields that differ from the defaults.
 * @returns An idempotent request without a key.
 */
export function engineRequest(
  outputTokens: number,
  overrides: Partial<CallerRequest> = {},
): CallerRequest {
  requestCount += 1;
  return {
    workspace: "arusha-clinics",
    tier: "urgent",
    pool: FleetPool.Engines,
    body: `Fault note ${requestCount} [output=${outputTokens}]`,
    maxOutputTokens: outputTokens,
    deadlineMs: LONG_DEADLINE_MS,
    ...overrides,
  };
}

/**
 * Creates a request for a service.
 *
 * @param overrides Fields that differ from the defaults.
 * @returns A non-idempotent request with a unique idempotency key.
 */
export function serviceRequest(
  overrides: Partial<CallerRequest> = {},
): CallerRequest {
  requestCount += 1;
  return {
    workspace: "arusha-clinics",
    tier: "urgent",
    pool: FleetPool.Services,
    body: `Status post ${requestCount}`,
    deadlineMs: LONG_DEADLINE_MS,
    idempotent: false,
    idempotencyKey: `post-${requestCount}`,
    ...overrides,
  };
}
