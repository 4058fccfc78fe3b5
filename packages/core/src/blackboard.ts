/**
 * The whole mutable state of one instance (a blackboard architecture). Each
 * section has one writer, the controller named in its comment; all other
 * controllers only read it.
 *
 * All times are milliseconds on the instance's own monotonic clock, unless a
 * comment says otherwise.
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

/** Identity of this instance. Fixed at start, except for `leaving`. */
export interface SelfSection {
  readonly instanceId: string;
  /** Increases with every start of the instance. */
  readonly incarnation: number;
  readonly failureDomain: string;
  readonly region: string;
  /** Whether the instance is shutting down. Written by ShutdownController. */
  leaving: boolean;
}

/** The settings of this instance. Written by SettingsController. */
export interface SettingsSection {
  /** Absent until settings were received from the store or a peer. */
  inForce?: SettingsInForce;
  /** Text of the version in force, which is offered to peers. */
  content: string;
  /** Id of the settings change that wrote the version in force. */
  changeId: string;
  /** When the store was last read. */
  lastPollAtMs: number;
  /** When the store is read next; absent until the first read. */
  nextPollAtMs?: number;
  /** Earliest time of the next request to a peer for a higher version. */
  nextPeerRequestAtMs?: number;
  /** The latest offer sent to or received from each peer, by peer id. */
  lastOfferByPeer?: Map<string, { version: number; atMs: number }>;
  /** The latest content that was rejected, so that it is logged only once. */
  rejected?: { version: number; content: string };
}

/** This instance's record of one instance of the fleet. */
export interface Member {
  readonly instanceId: string;
  failureDomain: string;
  /** Address of its peer port. */
  address: string;
  incarnation: number;
  /** Highest heartbeat counter received; 0 before the first heartbeat. */
  heartbeat: number;
  /** Whether it announced its own shutdown. */
  leaving: boolean;
  /** Version of the settings it has in force. */
  settingsVersion: number;
  /** When its heartbeat counter last increased. */
  heartbeatAdvancedAtMs: number;
  /** Whether the instance list or the start settings name it. */
  listed: boolean;
  /** Whether a peer connection to it is open. */
  connected: boolean;
  /** Whether the latest instance list marks it as leaving. */
  listedLeaving?: boolean;
  /**
   * Address that this instance dials to keep a connection open; absent where
   * this instance does not dial it.
   */
  dialledAddress?: string;
}

/**
 * This instance's records of the fleet, itself included. Written by
 * MembershipController.
 */
export interface MembersSection {
  readonly byId: Map<string, Member>;
  /** This instance's own heartbeat counter. */
  heartbeat: number;
  /** When the own heartbeat counter last increased. */
  lastHeartbeatAtMs: number;
  /** Ids of connected peers not yet sent a heartbeat in this gossip round. */
  heartbeatQueue?: readonly string[];
  lastListPollAtMs: number;
  /** Increases whenever the set of eligible members changes. */
  viewNumber: number;
  /** The eligible members at `viewNumber`, each as `id/incarnation`. */
  view?: ReadonlySet<string>;
  nextListPollAtMs?: number;
  /** Time at which the content of the latest instance list was current. */
  listAsOfMs?: number;
  /** Time of the latest event of any kind. */
  lastEventAtMs?: number;
  /**
   * When this instance last resumed after a pause of its process so long that
   * other instances took over its shards.
   */
  resumedAtMs?: number;
  /**
   * Whether it was logged that another process sends messages under this
   * instance's id, so that it is logged only once.
   */
  replacementLogged?: boolean;
}

/** Speed of one target, estimated from the work that ended on it. */
export interface LearnedRates {
  /** Time to read one prompt token that is not cached, on an idle target. */
  prefillMsPerToken: number;
  /** Time to generate one output token, on an idle target. */
  decodeMsPerToken: number;
  /** Duration of one call of a service. */
  callMs: number;
  /**
   * Recent decode time with prompts read concurrently, over decode time
   * without; 1 is no interference.
   */
  prefillInterferenceRatio: number;
  /** Number of finished works that the rates were learned from. */
  samples: number;
  /** Recent time over expected time; 1 is normal, above 1 is slower. */
  slowdown: number;
}

/** Whether a target may be given work. */
export enum TargetHealth {
  Healthy = "healthy",
  /** Refused a connection or stopped answering; polled until it answers. */
  Unreachable = "unreachable",
}

/** This instance's record of one target. */
export interface Target {
  readonly targetId: string;
  health: TargetHealth;
  /** Whether it leaves service and is given no new work. */
  leaving: boolean;
  /**
   * Version of `leaving`: increases with every change of the flag and orders
   * the signs (gossiped changes) that instances send each other.
   */
  signNumber: number;
  /** The latest load report. */
  load?: TargetLoad;
  /** Time at which the content of the latest load report was current. */
  loadAsOfMs: number;
  /** When its load was last polled. */
  lastPollAtMs: number;
  isPollInFlight: boolean;
  /** Number of load polls that failed in a row. */
  failedPolls: number;
  unreachableSinceMs: number;
  rates: LearnedRates;
  /** Highest sequence number of the cache events read from it. */
  cacheSequence: number;
  lastCachePollAtMs?: number;
  /** When it was marked as leaving; absent while it is not. */
  leavingSinceMs?: number;
  /** Whether the latest instance list marks it as leaving. */
  listedLeaving?: boolean;
  /** Slot limit and reference rates; absent until a rate was learned. */
  stragglerState?: StragglerState;
}

/**
 * Straggler mitigation of one target: its long-term speed, and the share of its
 * slots that it may fill while it is slower than that.
 */
export interface StragglerState {
  /** Share (0 to 1) of its slots that may be filled. */
  slotShare: number;
  /** Slowly moving averages that the recent rates are compared with. */
  readonly longTerm: {
    prefillMsPerToken: number;
    decodeMsPerToken: number;
    callMs: number;
  };
  /** When `slotShare` was last adjusted. */
  lastAdjustedAtMs: number;
}

/** The targets of the settings in force. Written by TargetController. */
export interface TargetsSection {
  readonly byId: Map<string, Target>;
  /**
   * Keys of the shards that this instance coordinates, cached for one member
   * view and one version of the settings.
   */
  coordinatedShards?: {
    readonly viewNumber: number;
    readonly settingsVersion: number;
    readonly shardKeys: readonly string[];
  };
}

/** State of one ask of one request at one shard's coordinator. */
export enum AskState {
  /** Sent; the coordinator has not answered yet. */
  Sent = "sent",
  /** In the coordinator's queue. */
  Queued = "queued",
  /** Refused by the coordinator, or no coordinator is available. */
  Refused = "refused",
}

/**
 * An ask on the side of its sender: a holder's request to a coordinator for
 * capacity on one of its targets (a scheduling request). It is answered by a
 * grant or a refusal.
 */
export interface OutgoingAsk {
  /** Failure domain whose targets are asked for. */
  readonly failureDomain: string;
  coordinatorId: string;
  coordinatorIncarnation: number;
  /** Number of the ask within its request; answers to others are dropped. */
  askNumber: number;
  sentAtMs: number;
  state: AskState;
  /** Coordinators that did not answer in time; skipped for this request. */
  readonly timedOutCoordinatorIds: Set<string>;
  refusal?: {
    error: ErrorKind;
    retryAfterMs: number;
    reason: string;
    atMs: number;
  };
}

/** The current attempt to run a request on a target. */
export interface Attempt {
  readonly attemptNonce: string;
  readonly targetId: string;
  readonly grantId: string;
  readonly coordinatorId: string;
  readonly failureDomain: string;
  readonly sentAtMs: number;
  /** Whether the target has read the prompt and begun its answer. */
  promptRead: boolean;
  /** When the first output token arrived; 0 before. */
  firstTokenAtMs: number;
  /** Prompt tokens that the target had in its cache. */
  cachedTokens: number;
  /** Text of the answer so far, in the order received. */
  readonly textChunks: string[];
  /** Tokens received without a gap, which is the index of the next one. */
  tokensReceived: number;
  /** Number of times that its broken stream was resumed. */
  resumes: number;
  /** When to resume a broken stream; absent while the stream is intact. */
  resumeAtMs?: number;
}

/** A caller's call that waits for the outcome of a request. */
export interface WaitingCall {
  readonly callId: string;
  readonly deadlineAtMs: number;
  readonly arrivedAtMs: number;
  /** Whether the answer is streamed to the caller as it arrives. */
  readonly stream: boolean;
}

/**
 * A claim on the side of its holder: the row in the platform's table that locks
 * an idempotency key, so that a request that must not run twice runs once.
 */
export interface HeldClaim {
  /** Key of the row. */
  readonly key: string;
  /** When the write of the row was requested. */
  readonly requestedAtMs: number;
  /** Whether the row is confirmed to be this request's own. */
  held: boolean;
  /** The row of another request that was found under the key. */
  conflictingRow?: ClaimRow;
  /** When to read again the answer that the other holder may have kept. */
  nextAnswerReadAtMs?: number;
}

/**
 * One request on its holder, the instance that accepted it and owns it until
 * its outcome.
 */
export interface HeldRequest {
  readonly spec: RequestSpec;
  readonly policy: TierPolicy;
  /** Whether it may run more than once. */
  readonly idempotent: boolean;
  /** Whether it runs as a stream of a model engine, which can be cancelled. */
  readonly isEngineStream: boolean;
  /** Whether it may be preempted by a higher tier. */
  readonly cancellable: boolean;
  readonly maxOutputTokens: number;
  /** Predicted length of its answer. */
  readonly expectedOutputTokens: number;
  readonly arrivedAtMs: number;
  readonly deadlineAtMs: number;
  state: RequestState;
  /** Calls that wait for the outcome, by call id. */
  readonly calls: Map<string, WaitingCall>;
  /** Nonce of the claim; an attempt's nonce appends the attempt's number. */
  readonly claimNonce: string;
  /** State of the claim; absent for requests that need none. */
  claim?: HeldClaim;
  /** Its asks, by failure domain. */
  readonly asks: Map<string, OutgoingAsk>;
  /** Failure domains that can run it, cached for one settings version. */
  candidateDomains?: { settingsVersion: number; names: readonly string[] };
  /** Number of the latest ask. */
  askNumber: number;
  /** Targets it must not be sent to, since they are leaving or unreachable. */
  readonly excludedTargetIds: string[];
  /** Number of the member view that its coordinators were chosen by. */
  askViewNumber: number;
  /** When its first ask was sent. */
  waitingSinceMs: number;
  /** Number of attempts so far, the current one included. */
  attemptCount: number;
  /** The latest attempt; absent while the request waits for a grant. */
  attempt?: Attempt;
  /** Absent until the request is finished. */
  outcome?: Outcome;
  /** When it got its outcome; 0 before. */
  finishedAtMs: number;
  /** Steps of its processing as texts, for the caller. */
  readonly callLog: string[];
}

/** Requests that this instance holds. Written by RequestController. */
export interface RequestsSection {
  readonly byId: Map<string, HeldRequest>;
  /** The requests that have no outcome yet, by id. */
  readonly unfinished: Map<string, HeldRequest>;
  /** When finished requests were last evicted. */
  lastEvictionAtMs: number;
  /** Request id by call id, for calls that joined an existing request. */
  readonly requestIdByJoinedCall: Map<string, string>;
  /** Request id by idempotency key scoped to its workspace. */
  readonly requestIdByKey: Map<string, string>;
  /**
   * This holder's beat: a logical clock that increases at a fixed interval.
   * Asks carry it and grants return it, so that the holder can compute the age
   * of a grant without comparing clocks.
   */
  holderBeat: number;
  /** When each recent beat started, by beat. */
  readonly beatStartedAtMs: Map<number, number>;
  lastBeatAtMs: number;
  /** When this holder's reports were last sent. */
  lastReportAtMs: number;
  /** Ids of the coordinators that got the last report, by shard key. */
  readonly lastReportRecipients: Map<string, Set<string>>;
  /** Number of the last claim nonce given out. */
  nonceCounter: number;
  /** Number of open requests by workspace and tier. */
  readonly openByScope: Map<string, number>;
  /** Token buckets that limit the request rate, by workspace and tier. */
  readonly rateBuckets: Map<string, RateBucket>;
  /** Learned quantile of the answer length by workspace, tier and pool. */
  readonly learnedOutputTokens: Map<string, number>;
}

/** State of a token bucket, which limits a request rate. */
export interface RateBucket {
  tokens: number;
  lastRefillAtMs: number;
}

/** An ask in a coordinator's queue. */
export interface WaitingAsk {
  readonly holderId: string;
  readonly holderIncarnation: number;
  /** The holder's beat when the ask was last received. */
  holderBeat: number;
  /** The ask as received. */
  detail: AskDetail;
  readonly arrivedAtMs: number;
  deadlineAtMs: number;
  /** When the holder last sent or reported it; stale asks expire. */
  renewedAtMs: number;
  /** Predicted service time on the shard's best target while that is idle. */
  idleServiceMs: number;
  /**
   * Predicted service time on the shard's best target with all of its slots
   * taken; the cost that is charged to the workspace's fair share.
   */
  costMs: number;
  /** The part of `costMs` that reading the prompt takes. */
  prefillMs: number;
  /** KV memory that it needs at most, in tokens. */
  kvTokens: number;
  /** Capacity reserved for it on one target. */
  reservation?: Reservation;
  /** When running streams were last preempted for it. */
  lastPreemptionAtMs?: number;
}

/** Capacity reserved on a target for one queued ask. */
export interface Reservation {
  readonly targetId: string;
  /** When it is expected to be free; work that ends before may use it. */
  readonly readyAtMs: number;
}

/**
 * A coordinator's record of one grant: its permission for a holder to dispatch
 * a request to a target, valid for a limited time (a lease on a slot).
 */
export interface GrantRecord {
  readonly grantId: string;
  readonly requestId: string;
  readonly holderId: string;
  readonly holderIncarnation: number;
  /** Beat of the holder that the grant answers. */
  readonly holderBeat: number;
  readonly work: RunningWork;
  /** KV memory reserved for it, in tokens. */
  readonly kvTokens: number;
  readonly grantedAtMs: number;
  /** When the work is expected to end. */
  readonly expectedEndMs: number;
  /** Whether the holder confirmed that it dispatched the work. */
  used: boolean;
  /** Whether the holder was ordered to cancel the work. */
  preempted: boolean;
  /** When `used` was set; Infinity before. */
  usedAtMs: number;
  /** Beat of the holder's latest report that listed it; -1 before any. */
  lastReportedBeat: number;
  /** Cost charged to its workspace's fair share. */
  readonly costMs: number;
  /** Prompt work queued on the target before its own when it was granted. */
  readonly prefillQueueMs: number;
  /** Predicted time to read its own prompt. */
  readonly prefillMs: number;
  /** Whether its holder reported that its prompt was read. */
  promptRead: boolean;
  /** Sum of all prompt work granted on the target, its own included. */
  readonly cumulativePrefillMs: number;
  /** Predicted ratio of its decode time under load to that when idle. */
  readonly loadFactor: number;
  /** When its holder was found to have failed; absent before. */
  orphanedAtMs?: number;
}

/**
 * Work that ended, kept until a load report arrives that was made after its
 * end.
 */
export interface EndedWork {
  /** When its dispatch was confirmed; Infinity where it never was. */
  readonly usedAtMs: number;
  readonly endedAtMs: number;
  /** KV memory that it is certain to have freed, in tokens. */
  readonly kvTokens: number;
}

/** A coordinator's record of a holder: its incarnation and beat counters. */
export interface HolderRecord {
  readonly incarnation: number;
  /** Highest beat received. */
  beat: number;
  /** When `beat` last increased. */
  beatAdvancedAtMs: number;
  /** Beat of the holder's latest report; -1 before any. */
  lastReportBeat: number;
}

/**
 * Queued asks of one workspace in one tier (a flow of fair queueing), with
 * their totals.
 */
export interface WorkspaceQueue {
  readonly tierRank: number;
  readonly workspace: string;
  /** The asks by request id. */
  readonly asks: Map<string, WaitingAsk>;
  /** Queued time on a slot. */
  costMs: number;
  /** KV memory times the time it is held, in token milliseconds. */
  kvTokenMs: number;
  /** Queued prompt work. */
  prefillMs: number;
}

/**
 * Marks an ask or a grant that is closed, so that messages that arrive late do
 * not open it again.
 */
export interface Tombstone {
  readonly askNumber: number;
  readonly closedAtMs: number;
}

/**
 * The scheduling state of a shard: the targets of one pool in one failure
 * domain. Its coordinator, the instance that rendezvous hashing ranks first,
 * keeps the state and decides which asks get a grant.
 */
export interface Shard {
  readonly pool: string;
  readonly failureDomain: string;
  /** Queued asks by request id. */
  readonly waiting: Map<string, WaitingAsk>;
  /** Open grants by grant id. */
  readonly grants: Map<string, GrantRecord>;
  /** Until when no ask below a tier is served, by the tier's rank. */
  readonly shedFloorUntilMs: Map<number, number>;
  /** Until when asks below a tier get no grant, by the tier's rank. */
  readonly grantHoldUntilMs: Map<number, number>;
  /** When a holder last reported a prompt as read, by target. */
  readonly lastPromptReadAtMs: Map<string, number>;
  /** Sum of all prompt work granted so far, by target. */
  readonly cumulativePrefillMs: Map<string, number>;
  /**
   * Finish tags of start-time fair queueing by tier and workspace: each
   * increases by cost over weight with the work granted.
   */
  readonly finishTags: Map<string, number>;
  /** When this instance became the coordinator. */
  coordinatorSinceMs: number;
  /** Virtual time of fair queueing, by the tier's rank. */
  readonly virtualTimeByTier: Map<number, number>;
  /** Queues of the waiting asks by tier and workspace. */
  readonly workspaceQueues: Map<string, WorkspaceQueue>;
  /** Recently ended work by target. */
  readonly endedWork: Map<string, EndedWork[]>;
  /** Holders that sent messages to this coordinator, by instance id. */
  readonly holders: Map<string, HolderRecord>;
  /** Tombstones of closed asks by request id, of closed grants by grant id. */
  readonly tombstones: LRUCache<string, Tombstone>;
  /** Used grants in excess of the slots in the last load report, by target. */
  readonly excessGrantsByTarget: Map<string, number>;
  /** Prompt prefixes that are expected to be cached, by target. */
  readonly prefixIndexes: Map<string, PrefixIndex>;
  /** When the last ask or report for the shard arrived. */
  lastActiveAtMs: number;
  /** When its queue is next checked for asks that cannot be served. */
  nextQueueCheckAtMs: number;
}

/** Shards that this instance coordinates. Written by CoordinatorController. */
export interface ShardsSection {
  /** The shards by their key, from {@link shardKey}. */
  readonly byKey: Map<string, Shard>;
  /** Number of the last grant given. */
  grantCounter: number;
}

/** The whole state of one instance: all sections. */
export interface Blackboard {
  readonly self: SelfSection;
  readonly settings: SettingsSection;
  readonly members: MembersSection;
  readonly targets: TargetsSection;
  readonly requests: RequestsSection;
  readonly shards: ShardsSection;
  /** Decisions by request. Every controller may append. */
  readonly decisions: DecisionLog;
}

/**
 * Returns the key of a shard.
 *
 * @param pool Name of the pool.
 * @param failureDomain Failure domain of the shard's targets.
 * @returns `pool@failureDomain`, the key in {@link ShardsSection.byKey}.
 */
export function shardKey(pool: string, failureDomain: string): string {
  return `${pool}@${failureDomain}`;
}
