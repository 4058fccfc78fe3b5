/** Finds the pools in which streams are bound to a software version. */

import type { RoutingBoard } from "./routing_board.ts";
import { returnWindowMs } from "./stream_origins.ts";

/** A pool whose targets have several software versions. */
export interface MixedPool {
  readonly pool: string;
  readonly versions: readonly string[];
}

/**
 * Finds the pools whose targets have several software versions, or had them so
 * recently that callers may still take up a stream of each.
 *
 * @param board Routing state of the instance.
 * @param nowMs The local time.
 * @returns The pools, with these versions.
 */
export function mixedPools(
  { routes, targets }: Pick<RoutingBoard, "routes" | "targets">,
  nowMs: number,
): MixedPool[] {
  const windowMs = returnWindowMs(routes);
  return (routes?.configuration.pools ?? [])
    .map(({ name }) => ({
      pool: name,
      versions: targets.versionsWithin(name, { windowMs, nowMs }),
    }))
    .filter(({ versions }) => versions.length > 1);
}
