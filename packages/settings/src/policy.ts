/**
 * What the rest of the system reads of the settings: everything resolved,
 * checked and typed.
 */

import type { TargetKind } from "@chestnuthatch/wire/work";

/** What holds for one (region, workspace, tier) after inheritance. */
export interface TierPolicy {
  readonly tier: string;
  /** 0 is the highest tier. */
  readonly rank: number;
  /** Worth of one answered request, in the operators' own unit. */
  readonly value: number;
  /** Deadline of a request that names none, in milliseconds. */
  readonly deadlineMs: number;
  /** Longest deadline a caller may name, in milliseconds. */
  readonly maxDeadlineMs: number;
  /** Bound on generated tokens where the request names none. */
  readonly maxOutputTokens: number;
  /** Expected generated tokens until something has been learned. */
  readonly expectedOutputTokens: number;
  /** Share (0 to 1) of a target's slots that this tier must leave free. */
  readonly headroomShare: number;
  /** Weight of the workspace among workspaces of the same tier. */
  readonly fairShareWeight: number;
  /** Requests a second accepted on one instance. */
  readonly maxRequestsPerSecond: number;
  /** Open requests accepted on one instance. */
  readonly maxOpenRequests: number;
  /** Longest wait for the platform's table before a refusal. */
  readonly claimWaitMs: number;
  /** Smallest retry hint of a refusal. */
  readonly retryAfterMs: number;
  /** Whether running streams of this tier may be cancelled for higher tiers. */
  readonly preemptible: boolean;
}

/** A pool of targets that can stand in for one another. */
export interface PoolSettings {
  readonly name: string;
  readonly kind: TargetKind;
  /** Model the pool's engines serve; empty for services. */
  readonly model: string;
  /** Most tokens of prompt and answer together; 0 for services. */
  readonly contextTokens: number;
  /** False where a call of this pool may not be repeated unless it says so. */
  readonly idempotentByDefault: boolean;
}

/** One target as the operators describe it. */
export interface TargetSettings {
  readonly id: string;
  readonly pool: string;
  readonly failureDomain: string;
  /** `host:port` of its HTTP interface. */
  readonly address: string;
  readonly slots: number;
  /** Bound of its KV memory in tokens; 0 for services. */
  readonly kvTokens: number;
  /** Hardware generation or kind, for comparing like with like. */
  readonly hardware: string;
  /** Whether it refuses orders with an old fencing number. */
  readonly checksFencing: boolean;
  /** Rates assumed until some have been learned. */
  readonly prefillTokensPerSecond: number;
  readonly decodeTokensPerSecond: number;
  /** Time of one call on a service until learned, in milliseconds. */
  readonly callMs: number;
  /** Set by `drain target`. */
  readonly draining: boolean;
}

/** Times that govern the system's own working, in milliseconds. */
export interface TimingSettings {
  readonly heartbeatMs: number;
  /** Silence after which a member counts as gone. */
  readonly memberTimeoutMs: number;
  /** An ask unanswered this long goes to the next coordinator. */
  readonly askTimeoutMs: number;
  readonly grantLifetimeMs: number;
  /** An ask not renewed this long is dropped by its coordinator. */
  readonly askExpiryMs: number;
  readonly holderReportMs: number;
  readonly loadPollMs: number;
  readonly settingsPollMs: number;
  readonly listPollMs: number;
}

/** A fleet's settings at one version, ready for use. */
export interface SettingsInForce {
  readonly version: number;
  /** Region of each failure domain. */
  readonly regionOfDomain: ReadonlyMap<string, string>;
  readonly pools: ReadonlyMap<string, PoolSettings>;
  readonly targets: ReadonlyMap<string, TargetSettings>;
  readonly workspaces: ReadonlySet<string>;
  /** Tier names, highest first. */
  readonly tiers: readonly string[];
  /** Entry instances that operators are draining. */
  readonly drainingInstances: ReadonlySet<string>;
  readonly timing: TimingSettings;
  /**
   * Resolves the tree for one request.
   *
   * @param scope Names that {@link SettingsInForce} knows.
   * @returns The policy in force there.
   */
  policyFor(scope: PolicyScope): TierPolicy;
}

/** Where a policy is asked for. */
export interface PolicyScope {
  readonly region: string;
  readonly workspace: string;
  readonly tier: string;
}
