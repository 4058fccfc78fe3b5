/** How requests are ranked: by their workspaces first, then by their routes. */

/** Ranks that routes have at most. */
const MAX_ROUTE_RANKS = 1000;

/**
 * @param workspaceRank Rank of the workspace; 0 where it has none.
 * @param routeRank Rank of the route.
 * @returns A rank that orders both; 0 is the most valuable.
 */
export function rankOf(workspaceRank: number, routeRank: number): number {
  return workspaceRank * MAX_ROUTE_RANKS + routeRank;
}

/**
 * @param rank A rank made by {@link rankOf}.
 * @returns The route's part of it.
 */
export function routeRankOf(rank: number): number {
  return rank % MAX_ROUTE_RANKS;
}
