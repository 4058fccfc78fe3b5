/** Software versions by pool, between which streams have to be told apart. */

import type { RoutingBoard } from "./routing_board.ts";
import { returnWindowMs } from "./stream_origins.ts";

/** A pool, and the versions that its targets have or had recently. */
export interface PoolVersions {
  readonly pool: string;
  readonly versions: readonly string[];
}

/**
 * Finds the versions of each pool's targets, including those that they had so
 * recently that callers may still take up a stream of them.
 *
 * @param board Routing state of the instance.
 * @param nowMs The local time.
 * @returns The configured pools, with their versions.
 */
export function poolVersions(
  { routes, targets }: Pick<RoutingBoard, "routes" | "targets">,
  nowMs: number,
): PoolVersions[] {
  const windowMs = returnWindowMs(routes);
  return (routes?.configuration.pools ?? []).map(({ name }) => ({
    pool: name,
    versions: targets.versionsWithin(name, { windowMs, nowMs }),
  }));
}

/**
 * @param of A pool.
 * @returns Whether its streams have to be told apart by their version.
 */
export function hasSeveralVersions({ versions }: PoolVersions): boolean {
  return versions.length > 1;
}
