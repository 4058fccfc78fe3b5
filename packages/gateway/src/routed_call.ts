/** A caller's request, once it was read and its route was found. */

import type { Buffer } from "node:buffer";
import type {
  RoutePolicy,
  WorkspacePolicy,
} from "@chestnuthatch/routing/fleet_configuration";
import type { CallMetadata } from "./ports.ts";

/** One request with all that decides how it is treated. */
export interface RoutedCall {
  readonly facts: CallMetadata;
  readonly route: RoutePolicy;
  readonly workspace?: WorkspacePolicy;
  readonly pool: string;
  /** Version of the configuration that it is treated by. */
  readonly configurationVersion: number;
  readonly method: string;
  /** Path and query as the caller sent them. */
  readonly path: string;
  readonly rawHeaders: readonly string[];
  /** Absent where the caller sent none. */
  readonly body?: Buffer;
  readonly arrivedAtMs: number;
}

/**
 * Tells when a request's time is over: the caller's own, or its route's.
 *
 * @param call The request.
 * @returns A local time.
 */
export function deadlineAtMs(call: RoutedCall): number {
  const { facts, route, arrivedAtMs } = call;
  const timeoutMs = Math.min(facts.deadlineMs ?? Infinity, route.timeoutMs);
  return arrivedAtMs + timeoutMs;
}

/** Callers leave a stream that has not begun after the longest of these. */
const LEAST_PATIENCE_MS = 2000;
const PATIENCE_OBJECTIVES = 4;
const PATIENCE_GAPS = 8;

/**
 * Tells how long a caller waits for a stream's first event.
 *
 * @param route The stream's route.
 * @returns A duration in milliseconds.
 */
export function streamPatienceMs(route: RoutePolicy): number {
  return Math.max(
    LEAST_PATIENCE_MS,
    PATIENCE_OBJECTIVES * route.objectiveMs,
    PATIENCE_GAPS * route.longestGapMs,
  );
}
