/** Ranks (priority classes) of requests: by workspace first, then by route. */

/** Upper bound, exclusive, of the ranks of routes. */
const MAX_ROUTE_RANKS = 1000;

/**
 * Combines the ranks of a workspace and of a route into one.
 *
 * @param workspaceRank Rank of the workspace; 0 where it has none.
 * @param routeRank Rank of the route.
 * @returns Rank by which requests are ordered; 0 is the highest priority.
 */
export function rankOf(workspaceRank: number, routeRank: number): number {
  return workspaceRank * MAX_ROUTE_RANKS + routeRank;
}

/**
 * Extracts the route's rank.
 *
 * @param rank A rank made by {@link rankOf}.
 * @returns Rank of the route.
 */
export function routeRankOf(rank: number): number {
  return rank % MAX_ROUTE_RANKS;
}
