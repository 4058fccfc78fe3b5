/**
 * Interfaces that the gateway needs implemented: the clock, the wire format of
 * calls, and the platform that the fleet runs on.
 */

import type { IncomingHttpHeaders } from "node:http";
import type { NetConnectOpts, Socket } from "node:net";
import type { FleetConfiguration } from "@chestnuthatch/routing/fleet_configuration";
import type {
  RolloutOrder,
  RolloutState,
  RolloutUpdate,
} from "@chestnuthatch/routing/rollout";
import type { RecordOutcome } from "@chestnuthatch/routing/recorded_spending";
import type { MemberInfo } from "@chestnuthatch/routing/member_record";
import type { RecordedAccount } from "@chestnuthatch/routing/allotment_ledger";
import type { StreamOriginGroup } from "@chestnuthatch/routing/stream_origins";
import type { SuspectUpdate } from "@chestnuthatch/routing/crash_suspects";
import type { TargetRowChange } from "@chestnuthatch/routing/target_directory";

/** Monotonic clock of the instance. */
export interface Clock {
  /** @returns Milliseconds since an arbitrary fixed point in the past. */
  nowMs(): number;
}

/**
 * Opens a TCP connection to a target.
 *
 * @param options Address, and options of the socket.
 * @returns The socket, which is still connecting.
 */
export type ConnectToTarget = (options: NetConnectOpts) => Socket;

/** Metadata of a call, parsed from the headers of the caller's request. */
export interface CallMetadata {
  /** Unique for each attempt of a caller. */
  readonly requestId: string;
  /** Time that the caller waits; absent where the headers carry none. */
  readonly deadlineMs?: number;
  /** API key that identifies the caller's workspace. */
  readonly key?: string;
  /** Token counts of the call; absent where the headers carry none. */
  readonly tokens?: { readonly prompt: number; readonly output: number };
  /**
   * Identifies the prompt, and is the same for all attempts of a caller; absent
   * where the headers do not identify the prompt.
   */
  readonly prompt?: string;
  /**
   * Ids of the parts of the prompt in their order; empty where the headers list
   * none. Prompts share parts, except the last one.
   */
  readonly promptParts: readonly string[];
  /** Last event of a stream that the caller has already received. */
  readonly resumeAfter?: number;
  /** Whether the headers name a last event by an id that no event can have. */
  readonly isResumeAfterInvalid?: true;
  /**
   * Request id of the caller's attempt that brought the first event of the
   * stream that this call takes up; absent where the headers carry none.
   */
  readonly resumes?: string;
}

/** Metadata that the gateway adds to a call when it forwards it to a target. */
export interface ForwardMetadata {
  readonly targetId: string;
  /** Time that is left for the target to answer, in whole milliseconds. */
  readonly deadlineLeftMs: number;
  /** Absent for calls without an API key. */
  readonly workspace?: string;
  /** Last event of the stream that was received completely. */
  readonly resumeAfter?: number;
}

/** Signals about a target's own state that one of its answers carries. */
export interface TargetSignals {
  /** Requests per second that the target accepts from the whole fleet. */
  readonly limitPerS?: number;
  /** Rejections per second that the target withstands without failing. */
  readonly maxRejectionsPerS?: number;
  /** Whether the answer carried a rate limit, valid or malformed. */
  readonly hasLimit: boolean;
  /** Whether the target is leaving. */
  readonly leaving: boolean;
  /** Time for which this instance must not send requests to the target. */
  readonly backoffMs?: number;
  readonly malformed: readonly MalformedHeader[];
}

/** A signal header that could not be parsed. */
export interface MalformedHeader {
  readonly header: string;
  readonly value: string;
}

/** Load of a target at the moment of an answer, as it reports it itself. */
export interface TargetLoad {
  /** Number of requests that run. */
  readonly running: number;
  /** Number of requests that wait. */
  readonly waiting: number;
  /** Number of requests that can run at once. */
  readonly slots: number;
  /** Time that work takes at this moment, relative to the usual time. */
  readonly slowdownRatio: number;
}

/** Metadata of a target's answer, parsed from its status and headers. */
export interface AnswerMetadata {
  /** Whether the target states that it did not run the call. */
  readonly notRun: boolean;
  /** Whether another target now listens at the address. */
  readonly wrongTarget: boolean;
  /** Whether the target confirms that the answer is complete and its own. */
  readonly genuine: boolean;
  /** Request id of the answered call; absent where the headers carry none. */
  readonly requestId?: string;
  readonly signals: TargetSignals;
  /** Absent unless the target reports its load with its slowdown. */
  readonly load?: TargetLoad;
}

/** Wire format of calls: parses and writes their HTTP headers. */
export interface CallProtocol {
  /**
   * Parses the headers of a caller's request.
   *
   * @param headers Headers of the request.
   * @returns The metadata that they carry.
   */
  readCall(headers: IncomingHttpHeaders): CallMetadata;
  /**
   * Builds the headers of the request that is forwarded to a target.
   *
   * @param rawHeaders Names and values as the caller sent them.
   * @param facts Metadata that the gateway adds.
   * @returns Names and values for the target, without those that describe the
   * body.
   */
  forwardHeaders(
    rawHeaders: readonly string[],
    facts: ForwardMetadata,
  ): string[];
  /**
   * Parses the status and headers of a target's answer.
   *
   * @param status Status code of the answer.
   * @param headers Headers of the answer.
   * @returns The metadata that they carry.
   */
  readAnswer(status: number, headers: IncomingHttpHeaders): AnswerMetadata;
}

/** A read of the platform's store that was sent more than once. */
export interface RepeatedStoreRead {
  readonly path: string;
  /** Number of requests that were sent. */
  readonly attempts: number;
  readonly tookMs: number;
  /** Long-poll wait that was requested of the store; 0 for none. */
  readonly waitMs: number;
  readonly isAnswered: boolean;
}

/** An instance on the platform's list. */
export interface ListedMember {
  readonly info: MemberInfo;
  /** Time since the instance wrote its entry, in milliseconds. */
  readonly ageMs: number;
}

/**
 * Receives what the platform port reads from the platform's store, and answers
 * how closely the port should follow the store.
 */
export interface PlatformSink {
  /** A version of the configuration was read. */
  configurationRead(configuration: FleetConfiguration): void;
  /** The platform has no newer configuration than the one read last. */
  configurationConfirmed(): void;
  /** The complete list of targets was read, as of a version. */
  targetsRead(entries: readonly TargetRowChange[], version: number): void;
  /** Changed rows of the list of targets were read. */
  targetsChanged(changes: readonly TargetRowChange[]): void;
  /**
   * Longest time to wait for a change of the configuration before the platform
   * is queried again, in milliseconds; undefined while other instances report
   * changes.
   */
  configurationWaitMs(): number | undefined;
  /** Whether this instance should follow the platform's store closely. */
  followsStore(): boolean;
  /**
   * Milliseconds for which other instances have had a newer version of the list
   * of targets; 0 if this instance is up to date.
   */
  targetsLagMs(): number;
  /** Number of instances that are alive in the view of this one. */
  fleetSize(): number;
  /** The list of instances was read. */
  membersRead(members: readonly ListedMember[]): void;
  /** The fleet's records of the spending of workspaces were read. */
  spendingRead(row: SpendingRow): void;
  /** The fleet's last record of suspect requests was read. */
  suspectsRead(record: readonly SuspectUpdate[], ageMs: number): void;
  /** The fleet's last record of the origins of streams was read. */
  streamsRead(record: readonly StreamOriginGroup[], ageMs: number): void;
  /** The record of the origins of streams was read again, if there is one. */
  streamRecordRead(): void;
  /**
   * All records of the fleet were read at the start, and passed on.
   *
   * @param isEmpty Whether there were none.
   */
  recordsRead(isEmpty: boolean): void;
  /** The operators ordered a roll-out. */
  rolloutOrdered(order: RolloutOrder): void;
  /** The operators withdrew the roll-out order for a pool. */
  rolloutWithdrawn(pool: string): void;
  /** All pools with a roll-out order were read. */
  rolloutsListed(pools: ReadonlySet<string>): void;
  /** The fleet's last record of the progress of roll-outs was read. */
  rolloutsRead(record: readonly RolloutUpdate[], ageMs: number): void;
  /** A row in the platform's store could not be parsed. */
  rowUnreadable(what: string, where: string): void;
  /**
   * A keep-alive connection to the platform stopped receiving data while a new
   * one works.
   */
  connectionStalled(): void;
  /** A read of the platform's store was sent more than once. */
  storeReadRepeated(read: RepeatedStoreRead): void;
  /** A call to a table of the platform's store failed. */
  storeCallFailed(table: string, reason: string): void;
  /** The platform's store answers, for the first time or again. */
  storeReached(): void;
  /**
   * The platform's store was restored from an older copy: writes of the last
   * seconds before that are lost.
   */
  storeRestored(): void;
  /** The platform's store does not answer. */
  storeLost(reason: string): void;
}

/** Status of a roll-out that is published to the operators. */
export interface RolloutStatus {
  readonly pool: string;
  readonly version: string;
  readonly state: RolloutState;
  /** Version that the row must have for the write to succeed; 0 if no row. */
  readonly rowVersion: number;
  /** Progress from which a fleet that lost all its instances continues. */
  readonly record: readonly RolloutUpdate[];
}

/** Outcome of a conditional write of a roll-out status. */
export enum StatusWriteOutcome {
  Done = "done",
  /** The row had another version, and was left unchanged. */
  Conflict = "found",
  /** No answer: the write may have been applied, or may be applied later. */
  Unknown = "unknown",
}

/** Result of a conditional write of a roll-out status. */
export interface StatusWriteResult {
  readonly outcome: StatusWriteOutcome;
  /** Version of the row after the write, as far as it is known. */
  readonly rowVersion: number;
  /** Roll-out version in a conflicting row; absent if it is unreadable. */
  readonly version?: string;
  /** State in a conflicting row; absent if it is unreadable. */
  readonly state?: RolloutState;
}

/** Spending of workspaces as one coordinator recorded it. */
export interface SpendingRecord extends RecordedAccount {
  /** Identifies the process of the coordinator. */
  readonly recorderId: string;
  /** Time since it was made, in milliseconds. */
  readonly ageMs: number;
}

/** The row with the fleet's records of spending, one of each coordinator. */
export interface SpendingRow {
  readonly records: readonly SpendingRecord[];
  /** Version of the row; 0 if there is none. */
  readonly rowVersion: number;
}

/** Result of a conditional write of the row with the records of spending. */
export interface SpendingWriteResult {
  readonly outcome: RecordOutcome;
  /** Version of the row after a write that succeeded. */
  readonly rowVersion: number;
}

/** Access to the platform that the fleet runs on. */
export interface PlatformPort {
  /**
   * Starts to pass on what the platform's store holds, and registers this
   * instance.
   *
   * @param self This instance.
   * @param sink Receives what is read from the store.
   */
  start(self: MemberInfo, sink: PlatformSink): void;
  /**
   * Reads the row with the fleet's records of spending.
   *
   * @returns The row; undefined if the platform's store does not answer.
   */
  readSpending(): Promise<SpendingRow | undefined>;
  /**
   * Replaces the row with the fleet's records of spending, unless it has
   * changed.
   *
   * @param row The records, and the version that the row must have.
   * @returns The outcome, and the row's new version.
   */
  recordSpending(row: SpendingRow): Promise<SpendingWriteResult>;
  /**
   * Records suspect requests, under which targets ended, for a fleet that lost
   * all its instances.
   *
   * @param record All suspect requests.
   * @returns Whether the platform stored the record.
   */
  recordSuspects(record: readonly SuspectUpdate[]): Promise<boolean>;
  /**
   * Records the pools and versions at which streams began, from which a new
   * coordinator or a fleet that lost all its instances continues.
   *
   * @param record Streams by origin.
   * @returns Whether the platform stored the record.
   */
  recordStreams(record: readonly StreamOriginGroup[]): Promise<boolean>;
  /**
   * Reads the last record of streams, and passes it to the sink.
   *
   * @returns Whether the platform answered.
   */
  readStreams(): Promise<boolean>;
  /**
   * Reads what has changed in the list of targets, and passes it to the sink.
   *
   * @returns Whether the platform answered a read that began after the call.
   */
  readTargets(): Promise<boolean>;
  /**
   * Writes the status of a roll-out for the operators, unless its row has
   * changed.
   *
   * @param status The status.
   * @returns The outcome, and the row as it is known afterwards.
   */
  writeRolloutStatus(status: RolloutStatus): Promise<StatusWriteResult>;
  /** Lists this instance as leaving, so that no other counts on it. */
  announceLeaving(): void;
  /** Aborts all calls to the platform. */
  stop(): void;
}
