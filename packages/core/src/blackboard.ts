/**
 * The one state of an instance. Each section is written by the controller
 * named in its comment and only read by the others.
 */

import type { AskDetail, RunningWork } from "@chestnuthatch/wire/peer_messages";
import type { ErrorKind, TargetLoad } from "@chestnuthatch/wire/work";
import type {
  SettingsInForce,
  TierPolicy,
} from "@chestnuthatch/settings/policy";
import type { DecisionLog } from "./decision_log.ts";
import type { Outcome, RequestSpec, RequestState } from "./request.ts";

/** Who this instance is; fixed at start, but for `leaving`. */
export interface SelfSection {
  readonly instanceId: string;
  /** Rises with every start of the instance. */
  readonly incarnation: number;
  readonly failureDomain: string;
  readonly region: string;
  /** Written by ShutdownController. */
  leaving: boolean;
}

/** Written by SettingsController. */
export interface SettingsSection {
  /** Absent until the instance has settings from the store or a peer. */
  inForce?: SettingsInForce;
  /** Text of the version in force, to offer to peers. */
  content: string;
  changeId: string;
  lastPollAtMs: number;
}

/** One entry instance as this one knows it. */
export interface Member {
  readonly instanceId: string;
  failureDomain: string;
  address: string;
  incarnation: number;
  heartbeat: number;
  leaving: boolean;
  settingsVersion: number;
  /** Local time at which its heartbeat last advanced. */
  lastAdvancedMs: number;
  /** Whether the list or the start settings name it. */
  listed: boolean;
  connected: boolean;
}

/** Written by MembershipController. Holds this instance too. */
export interface MembersSection {
  readonly byId: Map<string, Member>;
  /** This instance's own heartbeat. */
  heartbeat: number;
  lastHeartbeatAtMs: number;
  lastListPollAtMs: number;
  /** Rises whenever the set of live members changes. */
  viewNumber: number;
}

/** What has been learned of one target's speed. */
export interface LearnedRates {
  prefillMsPerToken: number;
  decodeMsPerToken: number;
  callMs: number;
  samples: number;
  /** Recent over long-term time; 1 is normal, above 1 is slower. */
  slowdown: number;
}

/** Whether a target may get work. */
export enum TargetHealth {
  Healthy = "healthy",
  /** Refused a connection or went silent; probed until it answers. */
  Unreachable = "unreachable",
}

/** One target as this instance knows it. */
export interface Target {
  readonly targetId: string;
  health: TargetHealth;
  leaving: boolean;
  signNumber: number;
  /** Latest load report and the local time it speaks of. */
  load?: TargetLoad;
  loadAsOfMs: number;
  lastPollAtMs: number;
  pollPending: boolean;
  failedPolls: number;
  unreachableSinceMs: number;
  rates: LearnedRates;
  /** Highest cache event sequence read. */
  cacheSequence: number;
}

/** Written by TargetController. */
export interface TargetsSection {
  readonly byId: Map<string, Target>;
}

/** State of one ask of one request at one shard's coordinator. */
export enum AskState {
  Sent = "sent",
  Queued = "queued",
  Refused = "refused",
}

/** One ask that is out for a request. */
export interface OutAsk {
  readonly failureDomain: string;
  coordinatorId: string;
  coordinatorIncarnation: number;
  askNumber: number;
  sentAtMs: number;
  state: AskState;
  /** Coordinators that did not answer in time, skipped for this request. */
  readonly silentIds: Set<string>;
  refusal?: { error: ErrorKind; retryAfterMs: number; reason: string };
}

/** The one attempt of a request on a target. */
export interface Attempt {
  readonly attemptNonce: string;
  readonly targetId: string;
  readonly grantId: string;
  readonly coordinatorId: string;
  readonly failureDomain: string;
  readonly sentAtMs: number;
  firstTokenAtMs: number;
  cachedTokens: number;
  readonly pieces: string[];
  endSeen: boolean;
  resumes: number;
}

/** One request on its holder. */
export interface HeldRequest {
  readonly spec: RequestSpec;
  readonly policy: TierPolicy;
  readonly idempotent: boolean;
  readonly maxOutputTokens: number;
  readonly expectedOutputTokens: number;
  readonly arrivedAtMs: number;
  readonly deadlineAtMs: number;
  state: RequestState;
  /** Calls that wait for this request's outcome, the first call's included. */
  readonly callIds: Set<string>;
  /** Nonce of the claim and of the attempt. */
  readonly nonce: string;
  claimHeld: boolean;
  claimAskedAtMs: number;
  readonly asks: Map<string, OutAsk>;
  askNumber: number;
  readonly excludedTargetIds: string[];
  attempt?: Attempt;
  outcome?: Outcome;
  finishedAtMs: number;
  readonly callLog: string[];
}

/** Written by RequestController and its helpers. */
export interface RequestsSection {
  readonly byId: Map<string, HeldRequest>;
  /** Calls that joined another call's request, by call id. */
  readonly joined: Map<string, string>;
  /** Request id by workspace and idempotency key. */
  readonly byKey: Map<string, string>;
  /** This holder's beat, and when each recent beat was begun. */
  holderBeat: number;
  readonly beatSentAtMs: Map<number, number>;
  lastReportAtMs: number;
  /** Largest gap seen between ticks lately: a sign of having been paused. */
  lastTickAtMs: number;
}

/** One ask waiting at a coordinator. */
export interface WaitingAsk {
  readonly holderId: string;
  readonly holderIncarnation: number;
  holderBeat: number;
  detail: AskDetail;
  readonly arrivedAtMs: number;
  deadlineAtMs: number;
  renewedAtMs: number;
}

/** One grant in a coordinator's account of a target. */
export interface GrantAccount {
  readonly grantId: string;
  readonly requestId: string;
  readonly holderId: string;
  readonly holderIncarnation: number;
  readonly holderBeat: number;
  readonly work: RunningWork;
  /** Tokens of KV memory set aside for it. */
  readonly kvTokens: number;
  readonly grantedAtMs: number;
  /** When it is expected to end. */
  readonly expectedEndMs: number;
  used: boolean;
  preempted: boolean;
}

/** One pool's targets in one failure domain, as their coordinator keeps it. */
export interface Shard {
  readonly pool: string;
  readonly failureDomain: string;
  readonly waiting: Map<string, WaitingAsk>;
  readonly grants: Map<string, GrantAccount>;
  /** Work given to each workspace by tier, for fair shares, in cost units. */
  readonly served: Map<string, number>;
  /** Local time this instance became the coordinator. */
  sinceMs: number;
}

/** Written by CoordinatorController. */
export interface ShardsSection {
  /** By `pool@failureDomain`. */
  readonly byKey: Map<string, Shard>;
  grantCounter: number;
}

/** All sections. */
export interface Blackboard {
  readonly self: SelfSection;
  readonly settings: SettingsSection;
  readonly members: MembersSection;
  readonly targets: TargetsSection;
  readonly requests: RequestsSection;
  readonly shards: ShardsSection;
  /** Any controller appends. */
  readonly decisions: DecisionLog;
}

/**
 * Names a shard.
 *
 * @param pool Name of the pool.
 * @param failureDomain The domain whose targets it holds.
 * @returns The key in {@link ShardsSection.byKey}.
 */
export function shardKey(pool: string, failureDomain: string): string {
  return `${pool}@${failureDomain}`;
}
