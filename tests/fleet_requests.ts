/** Requests that tests send, each with a body and a key of its own. */

import type { CallerRequest } from "@chestnuthatch/wire/caller_protocol";
import { FleetPool } from "./fleet_settings.ts";

/** Deadline of requests that no test wants to end by it. */
export const LONG_DEADLINE_MS = 120_000;

let requestsMade = 0;

/**
 * Makes a request for an engine.
 *
 * @param outputTokens Length its answer will have.
 * @param rest What differs.
 * @returns An idempotent request without a key.
 */
export function engineRequest(
  outputTokens: number,
  rest: Partial<CallerRequest> = {},
): CallerRequest {
  requestsMade += 1;
  return {
    workspace: "arusha-clinics",
    tier: "urgent",
    pool: FleetPool.Engines,
    body: `Fault note ${requestsMade} [output=${outputTokens}]`,
    maxOutputTokens: outputTokens,
    deadlineMs: LONG_DEADLINE_MS,
    ...rest,
  };
}

/**
 * Makes a request for a service.
 *
 * @param rest What differs.
 * @returns A non-idempotent request under a key of its own.
 */
export function serviceRequest(
  rest: Partial<CallerRequest> = {},
): CallerRequest {
  requestsMade += 1;
  return {
    workspace: "arusha-clinics",
    tier: "urgent",
    pool: FleetPool.Services,
    body: `Status post ${requestsMade}`,
    deadlineMs: LONG_DEADLINE_MS,
    idempotent: false,
    idempotencyKey: `post-${requestsMade}`,
    ...rest,
  };
}
