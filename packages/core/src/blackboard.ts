/**
 * The one state of an instance. Each section is written by the controller
 * named in its comment and only read by the others.
 */

import type { LRUCache } from "lru-cache";
import type { AskDetail, RunningWork } from "@chestnuthatch/wire/peer_messages";
import type { ErrorKind, TargetLoad } from "@chestnuthatch/wire/shared_types";
import type {
  SettingsInForce,
  TierPolicy,
} from "@chestnuthatch/settings/settings_types";
import type { ClaimRow } from "./events.ts";
import type { DecisionLog } from "./decision_log.ts";
import type { PrefixIndex } from "./prefix_index.ts";
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
  /** When the store is to be read next; absent until the first read. */
  nextPollAtMs?: number;
  /** When another peer may be asked for a higher version. */
  nextWantedAtMs?: number;
  /** The last offer made to each peer. */
  offers?: Map<string, { version: number; atMs: number }>;
  /** The last content that was refused, so that it is logged once. */
  refused?: { version: number; content: string };
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
  /** Whether the newest list names it as leaving. */
  listedLeaving?: boolean;
  /** Address it is kept connected to; absent where none is kept by design. */
  dialledAddress?: string;
}

/** Written by MembershipController. Holds this instance too. */
export interface MembersSection {
  readonly byId: Map<string, Member>;
  /** This instance's own heartbeat. */
  heartbeat: number;
  lastHeartbeatAtMs: number;
  /** Connected peers whose turn for a heartbeat is still to come. */
  beatQueue?: readonly string[];
  lastListPollAtMs: number;
  /** Rises whenever the set of eligible members changes. */
  viewNumber: number;
  /** The eligible members that `viewNumber` stands for, as `id/incarnation`. */
  view?: ReadonlySet<string>;
  nextListPollAtMs?: number;
  /** Local time that the newest instance list speaks of. */
  listAsOfMs?: number;
  /** Local time of the latest event of any kind. */
  lastEventAtMs?: number;
  /** When this instance last woke from a pause that cost it its duties. */
  wokenAtMs?: number;
  /** Set once another process was heard under this instance's id. */
  replacementLogged?: boolean;
}

/** What has been learned of one target's speed. */
export interface LearnedRates {
  prefillMsPerToken: number;
  decodeMsPerToken: number;
  callMs: number;
  /** By how much reading other prompts has lately stretched decodes. */
  decodeStretch: number;
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
  lastCachePollAtMs?: number;
  /** Since when it counts as leaving. */
  leavingSinceMs?: number;
  /** Whether the newest instance list names it as leaving. */
  listedLeaving?: boolean;
  /** How its speed has gone; absent until something was measured. */
  pace?: TargetPace;
}

/** How a target's speed has gone, and what it may hold therefore. */
export interface TargetPace {
  /** Share (0 to 1) of its slots that it may fill. */
  slotShare: number;
  /** Long-term rates, to compare the recent ones with. */
  readonly longTerm: {
    prefillMsPerToken: number;
    decodeMsPerToken: number;
    callMs: number;
  };
  lastRecoveryAtMs: number;
}

/** Written by TargetController. */
export interface TargetsSection {
  readonly byId: Map<string, Target>;
  /** Shards that this instance coordinates, by one view and version. */
  coordinated?: {
    readonly viewNumber: number;
    readonly settingsVersion: number;
    readonly shardKeys: readonly string[];
  };
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
  refusal?: {
    error: ErrorKind;
    retryAfterMs: number;
    reason: string;
    atMs: number;
  };
}

/** The one attempt of a request on a target. */
export interface Attempt {
  readonly attemptNonce: string;
  readonly targetId: string;
  readonly grantId: string;
  readonly coordinatorId: string;
  readonly failureDomain: string;
  readonly sentAtMs: number;
  /** Whether the target has begun its answer. */
  promptRead: boolean;
  firstTokenAtMs: number;
  cachedTokens: number;
  readonly pieces: string[];
  /** Tokens received without a gap; the next one's index. */
  tokensReceived: number;
  resumes: number;
  /** When to ask for the rest of a broken stream; absent while it flows. */
  resumeAtMs?: number;
}

/** One caller waiting for a request's outcome. */
export interface WaitingCall {
  readonly callId: string;
  readonly deadlineAtMs: number;
  readonly arrivedAtMs: number;
  readonly stream: boolean;
}

/** A claim as its holder knows it. */
export interface HeldClaim {
  readonly key: string;
  readonly askedAtMs: number;
  held: boolean;
  /** The row that holds the key instead of ours. */
  foundElsewhere?: ClaimRow;
  /** When to look again for the answer kept by the other holder. */
  lookAgainAtMs?: number;
}

/** One request on its holder. */
export interface HeldRequest {
  readonly spec: RequestSpec;
  readonly policy: TierPolicy;
  readonly idempotent: boolean;
  /** Whether the target can cancel it: a stream of a model engine. */
  readonly streams: boolean;
  /** Whether it may be cancelled to make room for a higher tier. */
  readonly cancellable: boolean;
  readonly maxOutputTokens: number;
  readonly expectedOutputTokens: number;
  readonly arrivedAtMs: number;
  readonly deadlineAtMs: number;
  state: RequestState;
  /** Callers that wait for the outcome, by call id. */
  readonly calls: Map<string, WaitingCall>;
  /** Nonce of the claim; attempts add their number to it. */
  readonly nonce: string;
  /** Where the claim stands; absent for requests that need none. */
  claim?: HeldClaim;
  readonly asks: Map<string, OutAsk>;
  /** Domains it may be asked at, by one version of the settings. */
  domains?: { settingsVersion: number; names: readonly string[] };
  askNumber: number;
  readonly excludedTargetIds: string[];
  /** The member view its asks were placed by. */
  askViewNumber: number;
  /** When it began to wait for a grant. */
  waitingSinceMs: number;
  attempts: number;
  attempt?: Attempt;
  outcome?: Outcome;
  finishedAtMs: number;
  readonly callLog: string[];
}

/** Written by RequestController and its helpers. */
export interface RequestsSection {
  readonly byId: Map<string, HeldRequest>;
  /** Those of them that have no outcome yet. */
  readonly unfinished: Map<string, HeldRequest>;
  lastForgetAtMs: number;
  /** Request id by call id, for calls that joined another call's request. */
  readonly joined: Map<string, string>;
  /** Request id by workspace and idempotency key. */
  readonly byKey: Map<string, string>;
  /** This holder's beat, and when each recent beat was begun. */
  holderBeat: number;
  readonly beatBegunAtMs: Map<number, number>;
  lastBeatAtMs: number;
  lastReportAtMs: number;
  /** Coordinators that last got a report, by shard key. */
  readonly reportedTo: Map<string, Set<string>>;
  nonceCounter: number;
  /** Open requests by workspace and tier. */
  readonly openByScope: Map<string, number>;
  /** Token buckets of the request rate by workspace and tier. */
  readonly rateBuckets: Map<string, RateBucket>;
  /** Learned quantile of answer length by workspace, tier and pool. */
  readonly learnedOutputTokens: Map<string, number>;
}

/** A token bucket. */
export interface RateBucket {
  tokens: number;
  filledAtMs: number;
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
  /** Predicted service on the best target of the shard while idle. */
  idleServiceMs: number;
  /** The same while all its slots are taken: its cost for fair shares. */
  costMs: number;
  /** The part of it that reading the prompt takes. */
  prefillMs: number;
  /** KV memory it would need, in tokens. */
  kvTokens: number;
  /** Room kept for it on one target. */
  reservation?: Reservation;
  /** When streams were last cancelled for it. */
  preemptedForAtMs?: number;
}

/** Room kept on a target for one waiting ask. */
export interface Reservation {
  readonly targetId: string;
  /** When the room is expected; work that ends before may use it. */
  readonly readyAtMs: number;
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
  /** When its use was heard of; Infinity until then. */
  usedAtMs: number;
  /** Beat of the last holder's report that listed it; -1 before any. */
  listedBeat: number;
  /** Charged to its workspace's fair share. */
  readonly costMs: number;
  /** Prompt work that stood before its own on the target when granted. */
  readonly prefillQueueMs: number;
  /** Time that its own prompt was predicted to take. */
  readonly prefillMs: number;
  /** Whether its holder has told that its prompt was read. */
  promptRead: boolean;
  /** All prompt work granted on the target so far, this one's included. */
  readonly prefillGrantedMs: number;
  /** By how much the load then was expected to stretch its decode. */
  readonly loadFactor: number;
  /** When its holder was found gone; absent while the holder lives. */
  orphanedAtMs?: number;
}

/** Work that ended, until a load report made after its end is heard. */
export interface EndedWork {
  readonly usedAtMs: number;
  readonly endedAtMs: number;
  /** KV memory that it certainly gave back, in tokens. */
  readonly kvTokens: number;
}

/** A holder as a coordinator last heard it. */
export interface HolderSeen {
  readonly incarnation: number;
  beat: number;
  /** Local time at which the beat last rose. */
  beatHeardAtMs: number;
  reportBeat: number;
}

/** Waiting asks of one workspace in one tier, with their totals. */
export interface Lane {
  readonly tierRank: number;
  readonly workspace: string;
  readonly asks: Map<string, WaitingAsk>;
  costMs: number;
  /** KV memory times the time it is held, in token milliseconds. */
  kvTokenMs: number;
  /** Waiting prompt work. */
  prefillMs: number;
}

/** An ask or a grant that is over, remembered against late messages. */
export interface ClosedWork {
  readonly askNumber: number;
  readonly closedAtMs: number;
}

/** One pool's targets in one failure domain, as their coordinator keeps it. */
export interface Shard {
  readonly pool: string;
  readonly failureDomain: string;
  readonly waiting: Map<string, WaitingAsk>;
  readonly grants: Map<string, GrantAccount>;
  /** Until when nothing below a tier is served, by the tier's rank. */
  readonly floorUntilMs: Map<number, number>;
  /** Until when nothing below a tier is granted, by the tier's rank. */
  readonly grantHoldUntilMs: Map<number, number>;
  /** When a prompt was last heard to have been read, by target. */
  readonly lastReadAtMs: Map<string, number>;
  /** All prompt work ever granted, by target. */
  readonly prefillGrantedMs: Map<string, number>;
  /** Work given to each workspace by tier, for fair shares, in cost units. */
  readonly served: Map<string, number>;
  /** Local time this instance became the coordinator. */
  sinceMs: number;
  /** Virtual time of each tier, by which fair shares are measured. */
  readonly virtualTimeByTier: Map<number, number>;
  /** The waiting asks by tier and workspace. */
  readonly lanes: Map<string, Lane>;
  /** Ended work by target. */
  readonly ended: Map<string, EndedWork[]>;
  readonly holders: Map<string, HolderSeen>;
  /** Closed asks by request id, closed grants by grant id. */
  readonly closed: LRUCache<string, ClosedWork>;
  /** Own used grants beyond the slots of the last report, by target. */
  readonly excessByTarget: Map<string, number>;
  /** Prompt prefixes thought to be cached, by target. */
  readonly prefixes: Map<string, PrefixIndex>;
  /** Local time of its last ask or report. */
  lastActiveMs: number;
  /** When its queue is to be looked through for hopeless asks again. */
  nextQueueCheckMs: number;
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
