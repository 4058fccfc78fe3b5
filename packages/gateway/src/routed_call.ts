/** A caller's request after it was read and matched to a route. */

import type { Buffer } from "node:buffer";
import type {
  RoutePolicy,
  WorkspacePolicy,
} from "@chestnuthatch/routing/fleet_configuration";
import type { CallMetadata } from "./ports.ts";

/** One request, with the route, workspace and pool that apply to it. */
export interface RoutedCall {
  readonly facts: CallMetadata;
  readonly route: RoutePolicy;
  readonly workspace?: WorkspacePolicy;
  readonly pool: string;
  /** Version of the configuration that the route was taken from. */
  readonly configurationVersion: number;
  readonly method: string;
  /** Path and query as received from the caller. */
  readonly path: string;
  /** Header names and values, alternating, as received from the caller. */
  readonly rawHeaders: readonly string[];
  /** Absent if the request has no body. */
  readonly body?: Buffer;
  /** Local time at which the request's headers were read, in milliseconds. */
  readonly arrivedAtMs: number;
}

/**
 * Computes a request's deadline: the earlier of its caller's and its route's.
 *
 * @param call The request.
 * @returns A local time, in milliseconds.
 */
export function deadlineAtMs(call: RoutedCall): number {
  const { facts, route, arrivedAtMs } = call;
  const timeoutMs = Math.min(facts.deadlineMs ?? Infinity, route.timeoutMs);
  return arrivedAtMs + timeoutMs;
}

/**
 * Lists the parts of a request's prompt that other requests may share.
 *
 * @param call A request.
 * @returns Ids of the parts; all but the last one, which is its own.
 */
export function sharedPartsOf({ facts }: RoutedCall): string[] {
  return [...new Set(facts.promptParts.slice(0, -1))];
}

/**
 * Callers disconnect from a stream that has not begun after the longest of
 * these: a fixed time, a multiple of the route's objective, and a multiple of
 * its longest gap between events.
 */
const MIN_PATIENCE_MS = 2000;
const PATIENCE_OBJECTIVE_RATIO = 4;
const PATIENCE_GAP_RATIO = 8;

/**
 * Computes the patience of a stream's caller: the time without an event after
 * which it disconnects.
 *
 * @param route The stream's route.
 * @returns A duration in milliseconds.
 */
export function streamPatienceMs(route: RoutePolicy): number {
  return Math.max(
    MIN_PATIENCE_MS,
    PATIENCE_OBJECTIVE_RATIO * route.objectiveMs,
    PATIENCE_GAP_RATIO * route.longestGapMs,
  );
}
