/** What a holder asks a coordinator, and what it gets back. */

import type { WorkspaceSpending } from "./spending_log.ts";
import type { EndedTarget, SuspectUpdate } from "./suspect_requests.ts";

/** Why a request asks for a place. */
export enum AskCause {
  /** No target has got it yet. */
  First = "first",
  /** It was sent, but certainly reached no target. */
  NeverArrived = "never_arrived",
  /** A target got it: another send draws on the retry budget. */
  Repeat = "repeat",
}

/** One request that needs a place at a target. */
export interface WorkAsk {
  /** Unique in the fleet; a repeat of the request asks under a new id. */
  readonly askId: string;
  readonly holderId: string;
  /** The same for all attempts of a caller at one request; 0 if unknown. */
  readonly callHash: number;
  readonly pool: string;
  readonly workspace: string;
  /** 0 is the most valuable. */
  readonly rank: number;
  /** Cost units to charge to the workspace; 0 once they were charged. */
  readonly cost: number;
  readonly promptTokens: number;
  readonly outputTokens: number;
  /** Time left to the first event or the answer for the full value. */
  readonly objectiveLeftMs: number;
  /** Time left until the caller gives up. */
  readonly patienceLeftMs: number;
  /** Time left until the whole answer has to be there. */
  readonly deadlineLeftMs: number;
  /** The holder's failure domain. */
  readonly failureDomain: string;
  /** Targets that must not get it. */
  readonly excluded: readonly string[];
  readonly cause: AskCause;
  /**
   * The same for all attempts at the request, on all instances; absent while no
   * request is suspected of ending targets.
   */
  readonly fingerprint?: string;
  /** Its route; absent unless versions of the pool's targets are compared. */
  readonly route?: string;
}

/** Why a coordinator gives no place. */
export enum AskRefusal {
  /** Its wait would outlast the caller's patience. */
  Overload = "overload",
  /** The workspace has spent its allotment. */
  Allotment = "allotment",
  /** No target may get it. */
  NoTarget = "no_target",
  /** The fleet has sent too many repeats lately. */
  RetryBudget = "retry_budget",
  /** Targets ended under it. */
  Quarantined = "quarantined",
}

/** A place at a target. */
export interface PlaceDecision {
  readonly askId: string;
  readonly holderId: string;
  readonly targetId: string;
  /** When the first event or the answer is expected, from now. */
  readonly expectedMs: number;
  /** Time since its caller's first attempt, where that was refused. */
  readonly cameBackMs: number;
  /** Whether it runs on trial, as targets ended under it; absent if not. */
  readonly isTrial?: boolean;
}

/** What a coordinator decided about an ask. */
export type AskDecision =
  | PlaceDecision
  | {
    readonly askId: string;
    readonly holderId: string;
    readonly refusal: AskRefusal;
    readonly retryAfterMs: number;
    /** What it was decided by, for the log. */
    readonly figures: Readonly<Record<string, number>>;
  };

/** How work at a target ended, told by its holder. */
export interface WorkEnd {
  readonly askId: string;
  readonly targetId: string;
  readonly pool: string;
  readonly promptTokens: number;
  /** Time to the first event or the answer; absent where none came. */
  readonly firstMs?: number;
  /** Mean time between events; absent where too few came. */
  readonly eventGapMs?: number;
  /** Whether the target failed it: no answer, a broken or a wrong one. */
  readonly failed: boolean;
  /**
   * Whether the target answered with a failure or gave no whole answer, and was
   * not merely out of reach; absent where it did not.
   */
  readonly answerFailed?: boolean;
  /** The target's process, where that ended before the answer. */
  readonly endedTarget?: EndedTarget;
  /** Fingerprint of a suspect that was served. */
  readonly clearedFingerprint?: string;
}

/** Work that a holder has at a target, for a coordinator that is new to it. */
export interface RunningWork {
  readonly askId: string;
  readonly pool: string;
  readonly targetId: string;
  readonly rank: number;
  readonly promptTokens: number;
  readonly outputTokens: number;
  readonly firstSeen: boolean;
  /** Fingerprint of a request that runs on trial; absent for all others. */
  readonly trialOf?: string;
}

/** All that a holder has open, told regularly. */
export interface HolderReport {
  readonly holderId: string;
  readonly running: readonly RunningWork[];
  readonly waiting: readonly string[];
  /** What workspaces spent within the window, through this holder. */
  readonly spent: readonly WorkspaceSpending[];
  /**
   * Requests under which targets ended, where the coordinator may not know of
   * them; absent where there are none.
   */
  readonly suspects?: readonly SuspectUpdate[];
}
