/**
 * Types of the resolved settings that the other packages read: policies, pools,
 * targets and timing, checked and with defaults filled in.
 */

import type { TargetKind } from "@chestnuthatch/wire/shared_types";

/**
 * Limits and defaults for the requests of one (region, workspace, tier), after
 * the levels of the settings tree are merged.
 */
export interface TierPolicy {
  readonly tier: string;
  /** Priority of the tier; 0 is the highest. */
  readonly rank: number;
  /** Value of one answered request, in a unit that the operators choose. */
  readonly value: number;
  /** Deadline of a request that states none, in milliseconds. */
  readonly deadlineMs: number;
  /** Longest deadline that a caller may request, in milliseconds. */
  readonly maxDeadlineMs: number;
  /** Limit of generated tokens for a request that states none. */
  readonly maxOutputTokens: number;
  /** Estimate of generated tokens until there are measurements. */
  readonly expectedOutputTokens: number;
  /** Share (0 to 1) of a target's slots that this tier must leave free. */
  readonly headroomShare: number;
  /** Weight of the workspace in fair sharing among those of the same tier. */
  readonly fairShareWeight: number;
  /** Most requests accepted by one instance per second. */
  readonly maxRequestsPerSecond: number;
  /** Most requests open on one instance at once. */
  readonly maxOpenRequests: number;
  /** Longest wait for the platform's table before a refusal, in ms. */
  readonly claimWaitMs: number;
  /** Lower bound of the retry delay that a refusal states, in milliseconds. */
  readonly retryAfterMs: number;
  /** Whether a running stream may be cancelled in favour of a higher tier. */
  readonly preemptible: boolean;
}

/** A pool of interchangeable targets. */
export interface PoolSettings {
  readonly name: string;
  readonly kind: TargetKind;
  /** Model that the pool's engines serve; empty for services. */
  readonly model: string;
  /** Maximum tokens of prompt and answer together; 0 for services. */
  readonly contextTokens: number;
  /** Whether a call that does not state it counts as idempotent. */
  readonly idempotentByDefault: boolean;
}

/** One target as the settings tree describes it. */
export interface TargetSettings {
  readonly id: string;
  readonly pool: string;
  readonly failureDomain: string;
  /** `host:port` of its HTTP interface. */
  readonly address: string;
  /** Requests that the target serves at once. */
  readonly slots: number;
  /** Capacity of its KV cache in tokens; 0 for services. */
  readonly kvTokens: number;
  /** Hardware type, so that only targets of the same type are compared. */
  readonly hardware: string;
  /** Whether it refuses orders with an outdated fencing number. */
  readonly checksFencing: boolean;
  /** Prompt processing rate assumed until there are measurements. */
  readonly prefillTokensPerSecond: number;
  /** Token generation rate assumed until there are measurements. */
  readonly decodeTokensPerSecond: number;
  /**
   * Duration of one call of a service in milliseconds, assumed until there are
   * measurements.
   */
  readonly callMs: number;
  /** Whether the target gets no new work; set by `drain target`. */
  readonly draining: boolean;
}

/** Intervals and timeouts between instances, in milliseconds. */
export interface TimingSettings {
  /** Interval between two heartbeats of an instance. */
  readonly heartbeatMs: number;
  /** Time without a new heartbeat after which a member counts as gone. */
  readonly memberTimeoutMs: number;
  /** Time after which an unanswered ask goes to the next coordinator. */
  readonly askTimeoutMs: number;
  /** Time within which a grant must be used, from the beat that it echoes. */
  readonly grantLifetimeMs: number;
  /** Time after which a coordinator drops an ask that was not renewed. */
  readonly askExpiryMs: number;
  /** Interval between two reports of a holder to a coordinator. */
  readonly holderReportMs: number;
  /** Interval between two reads of a target's load. */
  readonly loadPollMs: number;
  /** Interval between two reads of the settings head row. */
  readonly settingsPollMs: number;
  /** Interval between two reads of the platform's instance list. */
  readonly listPollMs: number;
}

/** A fleet's settings at one version, resolved and indexed for lookups. */
export interface SettingsInForce {
  /** Version in the platform's table. */
  readonly version: number;
  /** Region of each failure domain. */
  readonly regionOfDomain: ReadonlyMap<string, string>;
  readonly pools: ReadonlyMap<string, PoolSettings>;
  readonly targets: ReadonlyMap<string, TargetSettings>;
  readonly workspaces: ReadonlySet<string>;
  /** Tier names, highest first. */
  readonly tiers: readonly string[];
  /** Ids of the entry instances that operators are draining. */
  readonly drainingInstances: ReadonlySet<string>;
  readonly timing: TimingSettings;
  /**
   * Returns the policy for the requests of one region, workspace and tier.
   *
   * @param scope Region, workspace and tier; the tier must be one of the
   * settings.
   * @returns The policy; an unknown region or workspace gets the values of the
   * levels that do not name it.
   * @throws {RangeError} When the tier is unknown.
   */
  policyFor(scope: PolicyScope): TierPolicy;
}

/** The region, workspace and tier that a policy applies to. */
export interface PolicyScope {
  readonly region: string;
  readonly workspace: string;
  readonly tier: string;
}
