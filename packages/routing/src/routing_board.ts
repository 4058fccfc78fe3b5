/**
 * What one instance believes about the fleet. Each section is written by the
 * part named in its comment and only read by the others.
 */

import type { ConfigurationAge } from "./configuration_age.ts";
import type { UnreachableDomains } from "./unreachable_domains.ts";
import type { MemberView } from "./member_view.ts";
import type { Rollouts } from "./rollouts.ts";
import type { RouteTable } from "./route_table.ts";
import type { SuspectRequests } from "./suspect_requests.ts";
import type { TargetDirectory } from "./target_directory.ts";
import type { TargetHealth } from "./target_health.ts";
import type { TargetRateLimits } from "./target_rate_limits.ts";
import type { TargetPaces } from "./target_paces.ts";
import type { TargetBackoffs } from "./target_backoffs.ts";

/** The beliefs of one instance. */
export interface RoutingBoard {
  /** Written by the configuration keeper; absent until a version is known. */
  routes?: RouteTable;
  /** Written by the configuration keeper, from the store and from peers. */
  readonly configurationAge: ConfigurationAge;
  /** Written by the target keeper. */
  readonly targets: TargetDirectory;
  /** Written by the membership keeper. */
  readonly members: MemberView;
  /** Written by the holder, from what targets did to its own requests. */
  readonly health: TargetHealth;
  /** Written by the holder, from targets that gave no sign of life. */
  readonly cutDomains: UnreachableDomains;
  /** Written by the signal keeper, from answers of targets and from peers. */
  readonly rateLimits: TargetRateLimits;
  /** Written by the signal keeper, from targets that rejected requests. */
  readonly backoffs: TargetBackoffs;
  /** Written by the coordinator, from how work ended. */
  readonly paces: TargetPaces;
  /** Written by the roll-out keeper, and by the coordinator from answers. */
  readonly rollouts: Rollouts;
  /** Written by the coordinator and by holders, from targets that ended. */
  readonly suspects: SuspectRequests;
}
