/**
 * Asks (placement requests) of holders, the decisions of coordinators on them,
 * and the outcomes and reports that holders send.
 */

import type { WorkspaceSpending } from "./spending_log.ts";
import type { StreamOriginGroup } from "./stream_origins.ts";
import type { EndedTarget, SuspectUpdate } from "./crash_suspects.ts";
import type { LoadReport } from "./load_report.ts";

/** Why a holder asks for the placement of a request. */
export enum AskCause {
  /** No target has received the request yet. */
  First = "first",
  /** It was sent, but certainly reached no target. */
  NeverArrived = "never_arrived",
  /** A target received it, so another send draws on the retry budget. */
  Repeat = "repeat",
}

/**
 * An ask: a holder's request for a slot at a target. The holder is the instance
 * that has the caller's connection.
 */
export interface WorkAsk {
  /** Unique in the fleet; a repeat of the request is asked under a new id. */
  readonly askId: string;
  readonly holderId: string;
  /** Hash that all attempts of a caller at one request share; 0 if unknown. */
  readonly callHash: number;
  readonly pool: string;
  readonly workspace: string;
  /** Priority class; 0 is the highest. */
  readonly rank: number;
  /** Cost units to charge to the workspace; 0 once they were charged. */
  readonly cost: number;
  readonly promptTokens: number;
  readonly outputTokens: number;
  /**
   * Time left until the first event or the answer has to arrive to meet the
   * route's latency objective.
   */
  readonly objectiveLeftMs: number;
  /** Time left until the caller gives up. */
  readonly patienceLeftMs: number;
  /** Time left until the whole answer has to arrive. */
  readonly deadlineLeftMs: number;
  /** The holder's failure domain. */
  readonly failureDomain: string;
  /** Ids of targets that must not be given the request. */
  readonly excluded: readonly string[];
  readonly cause: AskCause;
  /**
   * Fingerprint that all attempts at the request share on all instances; absent
   * while no target has ended recently.
   */
  readonly fingerprint?: string;
  /**
   * Hashes of the parts of the prompt that other requests may share; absent if
   * there are none, and while no target has ended recently.
   */
  readonly promptParts?: readonly string[];
  /** Key of the stream that it begins or goes on with; absent for no stream. */
  readonly streamKey?: number;
  /**
   * Set if its caller takes up a stream whose version the holder does not know;
   * absent otherwise.
   */
  readonly takesUp?: true;
  /**
   * For such an ask, ids of targets that may be given the request only if the
   * version has no others; absent for all others.
   */
  readonly avoided?: readonly string[];
  /**
   * Software version that began the stream and has to go on with it; absent if
   * targets of any version may run the request.
   */
  readonly version?: string;
  /** Route name; absent unless versions of the pool's targets are compared. */
  readonly route?: string;
  /**
   * Maximum time between two events that callers accept; absent for plain calls
   * and in small fleets.
   */
  readonly longestGapMs?: number;
}

/** Why a coordinator refuses an ask. */
export enum AskRefusal {
  /** The predicted wait exceeds the caller's patience. */
  Overload = "overload",
  /** The workspace has spent its allotment. */
  Allotment = "allotment",
  /** No usable target may be given it. */
  NoTarget = "no_target",
  /** No usable target runs the software version that began its stream. */
  NoTargetOfVersion = "no_target_of_version",
  /** The fleet's retry budget is exhausted. */
  RetryBudget = "retry_budget",
  /** It is not known which software version began its stream. */
  UnknownStream = "unknown_stream",
  /** It is quarantined, as targets' processes ended while they ran it. */
  Quarantined = "quarantined",
}

/** Decision that places a request at a target. */
export interface PlaceDecision {
  readonly askId: string;
  readonly holderId: string;
  readonly targetId: string;
  /**
   * Predicted time in milliseconds from now to the first event or the answer.
   */
  readonly expectedMs: number;
  /**
   * Time from the caller's first attempt to this ask, if that was refused; else
   * 0.
   */
  readonly cameBackMs: number;
  /**
   * Set if it runs isolated, on trial, because targets ended under it; absent
   * if not.
   */
  readonly isTrial?: boolean;
}

/** A coordinator's decision on an ask: a placement or a refusal. */
export type AskDecision =
  | PlaceDecision
  | {
    readonly askId: string;
    readonly holderId: string;
    readonly refusal: AskRefusal;
    readonly retryAfterMs: number;
    /** Figures that the decision is based on, for the log. */
    readonly figures: Readonly<Record<string, number>>;
  };

/** Outcome of work at a target, as its holder sends it. */
export interface WorkEnd {
  readonly askId: string;
  readonly targetId: string;
  readonly pool: string;
  readonly promptTokens: number;
  /** Time to the first event or the answer; absent where none arrived. */
  readonly firstMs?: number;
  /** Mean time between events; absent where too few arrived. */
  readonly eventGapMs?: number;
  /** Whether the target failed it: no answer, a broken or a wrong one. */
  readonly failed: boolean;
  /**
   * Set if the target answered with a failure or an incomplete answer, and was
   * not merely unreachable; absent otherwise.
   */
  readonly answerFailed?: boolean;
  /**
   * Set if the target's process answered nothing: it was not reached, closed
   * the connection, or another target listens at its address; absent otherwise.
   */
  readonly unreachable?: true;
  /**
   * Rejections per second that the target withstands, as it announced in its
   * answer; absent if it did not.
   */
  readonly maxRejectionsPerS?: number;
  /** Set if the target rejected it without running it; absent otherwise. */
  readonly isRejected?: boolean;
  /** Set if a stream was completed; absent otherwise. */
  readonly isStreamCompleted?: true;
  /** The target's process, if it ended before the answer. */
  readonly endedTarget?: EndedTarget;
  /** Fingerprint of a suspect request that a target answered. */
  readonly clearedFingerprint?: string;
  /** Hashes of the parts of its prompt. */
  readonly clearedParts?: readonly string[];
  /** Load that the target reported with its answer; absent if none. */
  readonly load?: LoadReport;
}

/**
 * Work that a holder has at a target, for a coordinator that does not know it.
 */
export interface RunningWork {
  readonly askId: string;
  readonly pool: string;
  readonly targetId: string;
  readonly rank: number;
  readonly promptTokens: number;
  readonly outputTokens: number;
  readonly firstSeen: boolean;
  /**
   * Fingerprint of a suspect request that runs isolated, on trial; absent for
   * all others.
   */
  readonly trialOf?: string;
  /** Hashes of the parts of its prompt. */
  readonly trialParts?: readonly string[];
}

/** Upper bound of the entries of `HolderReport.refused`. */
export const MAX_REPORTED_REFUSALS = 32;

/** Upper bound of the hashes of all entries of `HolderReport.refused`. */
export const MAX_REPORTED_CALL_HASHES = 64;

/** Upper bound of the count of an entry of `HolderReport.refused`. */
export const MAX_REPORTED_REFUSAL_COUNT = 10_000;

/** Asks of one pool and rank that a holder refused by announced waits. */
export interface RefusedByHolder {
  readonly pool: string;
  readonly rank: number;
  readonly count: number;
  /** Hashes of some of them, see `WorkAsk.callHash`; none of them is 0. */
  readonly callHashes: readonly number[];
}

/** Periodic report of a holder's open asks and of the spending through it. */
export interface HolderReport {
  readonly holderId: string;
  /**
   * Start of the holder's process, with which its spending begins anew; absent
   * in reports of earlier versions.
   */
  readonly incarnation?: number;
  readonly running: readonly RunningWork[];
  readonly waiting: readonly string[];
  /** Spending of workspaces through this holder within the window. */
  readonly spent: readonly WorkspaceSpending[];
  /**
   * Keys under which targets ended that the coordinator may not know of; absent
   * where there are none.
   */
  readonly suspects?: readonly SuspectUpdate[];
  /**
   * Streams that began at this holder, of pools with targets of several
   * versions; absent where there are none.
   */
  readonly streams?: readonly StreamOriginGroup[];
  /** Refusals since the last report; absent where there are none. */
  readonly refused?: readonly RefusedByHolder[];
}
