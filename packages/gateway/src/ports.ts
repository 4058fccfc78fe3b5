/** What the gateway needs from outside: calls' wire form, platform, clock. */

import type { IncomingHttpHeaders } from "node:http";
import type { FleetConfiguration } from "@chestnuthatch/routing/fleet_configuration";
import type {
  RolloutOrder,
  RolloutState,
  RolloutUpdate,
} from "@chestnuthatch/routing/rollout";
import type { MemberInfo } from "@chestnuthatch/routing/member_view";
import type { SpendingHistory } from "@chestnuthatch/routing/spending_log";
import type { SuspectUpdate } from "@chestnuthatch/routing/suspect_requests";
import type { TargetRowChange } from "@chestnuthatch/routing/target_directory";

/** The instance's monotonic time. */
export interface Clock {
  /** @returns Milliseconds since some moment in the past. */
  nowMs(): number;
}

/** What a caller's headers say of a call. */
export interface CallFacts {
  /** Unique for each attempt of a caller. */
  readonly requestId: string;
  /** Time that the caller waits; absent where it does not say. */
  readonly deadlineMs?: number;
  /** Key that shows the caller's workspace. */
  readonly key?: string;
  /** Absent where the call tells no token counts. */
  readonly tokens?: { readonly prompt: number; readonly output: number };
  /**
   * What tells one prompt from another, the same for all attempts of a caller;
   * absent where the call tells nothing of its prompt.
   */
  readonly prompt?: string;
  /** Last event of a stream that the caller already has. */
  readonly resumeAfter?: number;
}

/** What the gateway adds to a call on its way to a target. */
export interface ForwardFacts {
  readonly targetId: string;
  /** Whole milliseconds that the target may work. */
  readonly deadlineLeftMs: number;
  /** Absent for calls without a key. */
  readonly workspace?: string;
  /** Last event that was received whole. */
  readonly resumeAfter?: number;
}

/** What a target signals about itself in an answer. */
export interface TargetSignals {
  /** Requests per second that it accepts from the whole fleet. */
  readonly limitPerS?: number;
  /** Whether the answer carried a limit, be it a malformed one. */
  readonly hasLimit: boolean;
  /** Whether it is leaving. */
  readonly leaving: boolean;
  /** Time for which this instance is not to send anything. */
  readonly backoffMs?: number;
  readonly malformed: readonly MalformedHeader[];
}

/** A signal header that could not be parsed. */
export interface MalformedHeader {
  readonly header: string;
  readonly value: string;
}

/** What a target's answer says beside its body. */
export interface AnswerFacts {
  /** The target says that it did not run the call. */
  readonly notRun: boolean;
  /** Another target has the address now. */
  readonly wrongTarget: boolean;
  /** Whether the target vouches for the answer as a whole one of its own. */
  readonly genuine: boolean;
  /** Call that it answers; absent where it does not say. */
  readonly requestId?: string;
  readonly signals: TargetSignals;
}

/** How calls look on the wire. */
export interface CallProtocol {
  /**
   * @param headers Headers of a caller's request.
   * @returns What they say.
   */
  readCall(headers: IncomingHttpHeaders): CallFacts;
  /**
   * @param rawHeaders Names and values as the caller sent them.
   * @param facts What the gateway adds.
   * @returns Names and values for the target, without those of the body.
   */
  forwardHeaders(rawHeaders: readonly string[], facts: ForwardFacts): string[];
  /**
   * @param status Status code of a target's answer.
   * @param headers Its headers.
   * @returns What they say.
   */
  readAnswer(status: number, headers: IncomingHttpHeaders): AnswerFacts;
}

/** Where news of the platform goes. */
export interface PlatformSink {
  configurationRead(configuration: FleetConfiguration): void;
  /** The platform has no newer configuration than was read last. */
  configurationConfirmed(): void;
  /** The whole list of targets as of a version. */
  targetsRead(entries: readonly TargetRowChange[], version: number): void;
  targetsChanged(changes: readonly TargetRowChange[]): void;
  /**
   * Longest time to wait for a change of the configuration before the platform
   * is asked again; undefined where other instances tell of changes.
   */
  configurationWaitMs(): number | undefined;
  /** Whether the platform's store is to be followed closely from here. */
  followsStore(): boolean;
  /** For how long other instances have had newer news of targets; 0 if none. */
  behindOnTargetsMs(): number;
  /** Instances that are alive as far as this one hears. */
  fleetSize(): number;
  membersRead(members: readonly MemberInfo[]): void;
  /** What workspaces had spent when the fleet last recorded it. */
  spendingRead(record: readonly SpendingHistory[], ageMs: number): void;
  /** Requests under which targets had ended when the fleet last recorded it. */
  suspectsRead(record: readonly SuspectUpdate[], ageMs: number): void;
  /** The operators have ordered a roll-out. */
  rolloutOrdered(order: RolloutOrder): void;
  /** The operators have taken the order for a pool back. */
  rolloutWithdrawn(pool: string): void;
  /** All pools that there are orders for. */
  rolloutsListed(pools: ReadonlySet<string>): void;
  /** How far roll-outs were when the fleet last recorded it. */
  rolloutsRead(record: readonly RolloutUpdate[], ageMs: number): void;
  /** The platform holds something that cannot be read. */
  unreadable(what: string, where: string): void;
  /** A kept connection to the platform fell silent, while a new one works. */
  connectionFellSilent(): void;
  /** A call for a table of the platform failed. */
  callFailed(table: string, reason: string): void;
  /** The platform answers, again or at first. */
  reached(): void;
  /**
   * The platform's store came back from an older copy: what was written to it in
   * the seconds before is gone.
   */
  storeWentBack(): void;
  /** The platform does not answer. */
  lost(reason: string): void;
}

/** What the operators are to read of a roll-out. */
export interface RolloutStatus {
  readonly pool: string;
  readonly version: string;
  readonly state: RolloutState;
  /** Version that its row must have to be written; 0 for none. */
  readonly rowVersion: number;
  /** What a fleet that loses all its instances goes on from. */
  readonly record: readonly RolloutUpdate[];
}

/** What came of writing a status. */
export enum StatusWrite {
  Done = "done",
  /** The row was another one, and is as it was found. */
  Found = "found",
  /** No answer: it may have been done, or be done later. */
  Unknown = "unknown",
}

/** A status as it is now, as far as is known. */
export interface StatusWritten {
  readonly outcome: StatusWrite;
  readonly rowVersion: number;
  /** What was found; absent where that cannot be read. */
  readonly version?: string;
  readonly state?: RolloutState;
}

/** The platform that the fleet runs on. */
export interface PlatformPort {
  /**
   * Begins to tell news, and makes this instance known to the others.
   *
   * @param self This instance.
   * @param sink Where news goes.
   */
  start(self: MemberInfo, sink: PlatformSink): void;
  /**
   * Records what workspaces spent, for a fleet that loses all its instances.
   *
   * @param record Spending by workspace.
   * @returns Whether the platform has it.
   */
  recordSpending(record: readonly SpendingHistory[]): Promise<boolean>;
  /**
   * Records requests under which targets ended, for the same case.
   *
   * @param record All that are suspected.
   * @returns Whether the platform has it.
   */
  recordSuspects(record: readonly SuspectUpdate[]): Promise<boolean>;
  /**
   * Writes what the operators are to read, unless its row has changed.
   *
   * @param status The status.
   * @returns What came of it.
   */
  writeRolloutStatus(status: RolloutStatus): Promise<StatusWritten>;
  /** Ends all calls. */
  stop(): void;
}
