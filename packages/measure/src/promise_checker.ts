/**
 * The users' promises, checked on every run from what targets received and
 * what callers were told.
 */

import { ErrorKind, RunState } from "@chestnuthatch/wire/work";

/** What can be broken. */
export enum PromiseKind {
  DispatchedTwice = "dispatched_twice",
  NonIdempotentRanTwice = "non_idempotent_ran_twice",
  NotOwnWholeAnswer = "not_own_whole_answer",
  NotRunButRan = "not_run_but_ran",
  /** Told "not run" by one instance for a key that ran by another. */
  NotRunButKeyRan = "not_run_but_key_ran",
  /** Refused for overload while lower-tier work waited or ran in reach. */
  TierOrder = "tier_order",
  /** Refused for overload, and lower-tier work was sent while it waited. */
  TierOrderWhileWaiting = "tier_order_while_waiting",
  DispatchedToLeaving = "dispatched_to_leaving",
  SettingsReverted = "settings_reverted",
  AnsweredTwice = "answered_twice",
  NoOutcome = "no_outcome",
  KvExceeded = "kv_exceeded",
}

/** One broken promise and what is known of it. */
export interface BrokenPromise {
  readonly kind: PromiseKind;
  readonly atMs: number;
  /** The request, target or instance it is about. */
  readonly subject: string;
  readonly detail: string;
  /** The request's story as its holder remembers it. */
  readonly story: readonly string[];
}

/** One call of a caller at one instance. */
export interface CallRecord {
  /** The call's request id. */
  readonly requestId: string;
  /** What the caller wants done; calls of the same item may share an answer. */
  readonly itemId: string;
  /** Workspace and idempotency key, where the caller sent one. */
  readonly key?: string;
  readonly idempotent: boolean;
  readonly pool: string;
  readonly tierRank: number;
  readonly holderId: string;
  readonly sentAtMs: number;
}

/** Work as a target received it. */
export interface ReceivedWork {
  readonly requestId: string;
  readonly targetId: string;
  readonly holderId: string;
  readonly pool: string;
  readonly tierRank: number;
}

/** The end of a call as the caller was told it. */
export interface CallRefusal {
  readonly error: ErrorKind;
  readonly ran: RunState;
}

/** Lower-tier work that was there when a call was refused. */
export interface LowerTierWork {
  readonly requestId: string;
  readonly description: string;
}

interface PossibleTierOrderViolation {
  readonly call: CallRecord;
  readonly refusal: CallRefusal;
  readonly atMs: number;
  readonly lowerTierWork: readonly LowerTierWork[];
  readonly decisions: readonly string[];
}

/** What the checker must ask of the world around it. */
export interface SimulationView {
  nowMs(): number;
  /**
   * Looks for lower-tier work that is served or kept waiting in reach.
   *
   * @param call The call that was refused.
   * @returns What was found.
   */
  findLowerTierWork(call: CallRecord): readonly LowerTierWork[];
  /**
   * Tells whether one instance's work reaches the same targets as another's.
   *
   * @param holderId One instance.
   * @param otherId Another.
   * @returns True when both are live and reach each other.
   */
  canReach(holderId: string, otherId: string): boolean;
  /**
   * Tells a request's story.
   *
   * @param call The call it is about.
   * @returns Its steps.
   */
  describeDecisions(call: CallRecord): string[];
}

/** A target may still be sent work this long after its first leaving sign. */
export const LEAVING_GRACE_MS = 3000;

/** A grant made before a request came may arrive at its target this late. */
const MAX_GRANT_DELAY_MS = 50;

/** A refusal or cancellation ordered before may reach its holder this late. */
const MAX_REFUSAL_DELAY_MS = 50;

const OVERLOAD_ERROR_KINDS: ReadonlySet<ErrorKind> = new Set([
  ErrorKind.Overloaded,
  ErrorKind.DeadlineUnreachable,
  ErrorKind.DeadlineExceeded,
  ErrorKind.Preempted,
]);

/** Watches one run and keeps every broken promise. */
export class PromiseChecker {
  readonly broken: BrokenPromise[] = [];
  readonly #simulation: SimulationView;
  readonly #callsByRequestId = new Map<string, CallRecord>();
  readonly #endedRequestIds = new Set<string>();
  readonly #refusedAtMsByRequestId = new Map<string, number>();
  readonly #possibleTierOrderViolations: PossibleTierOrderViolation[] = [];
  readonly #receivedByRequestId = new Map<string, ReceivedWork[]>();
  readonly #startedRequestIds = new Set<string>();
  readonly #startedRequestIdByKey = new Map<string, string>();
  readonly #completeTextsByItemId = new Map<string, Set<string>>();
  readonly #refusedNotRunAtMsByRequestId = new Map<string, number>();
  readonly #leavingSinceMsByTargetId = new Map<string, number>();
  readonly #settingsVersionByProcess = new Map<string, number>();
  readonly #receivedByPool = new Map<
    string,
    (ReceivedWork & { atMs: number })[]
  >();

  /** @param simulation Where the run happens. */
  constructor(simulation: SimulationView) {
    this.#simulation = simulation;
  }

  /** @param call A call that an instance received. */
  recordCall(call: CallRecord): void {
    this.#callsByRequestId.set(call.requestId, call);
  }

  /** @param work A request that a target received. */
  recordWorkReceived(work: ReceivedWork): void {
    const earlier = this.#receivedByRequestId.get(work.requestId) ?? [];
    earlier.push(work);
    this.#receivedByRequestId.set(work.requestId, earlier);
    if (earlier.length > 1) {
      const targets = earlier.map((each) => each.targetId).join(", ");
      this.#recordBrokenPromise(
        PromiseKind.DispatchedTwice,
        work.requestId,
        targets,
      );
    }
    this.#checkTargetLeaving(work);
    const poolWork = this.#receivedByPool.get(work.pool) ?? [];
    poolWork.push({ ...work, atMs: this.#simulation.nowMs() });
    this.#receivedByPool.set(work.pool, poolWork);
  }

  /** @param requestId A request that a target began to work on. */
  recordWorkStarted(requestId: string): void {
    this.#startedRequestIds.add(requestId);
    const call = this.#callsByRequestId.get(requestId);
    if (call?.key === undefined) {
      return;
    }
    const earlierId = this.#startedRequestIdByKey.get(call.key);
    if (earlierId !== undefined && !call.idempotent) {
      this.#recordBrokenPromise(
        PromiseKind.NonIdempotentRanTwice,
        requestId,
        `key ${call.key} also ran as ${earlierId}`,
      );
    }
    this.#startedRequestIdByKey.set(call.key, requestId);
  }

  /**
   * Notes the whole answer that a target made.
   *
   * @param requestId The request it was made for.
   * @param text The whole text.
   */
  recordCompleteAnswer(requestId: string, text: string): void {
    const itemId = this.#callsByRequestId.get(requestId)?.itemId ?? requestId;
    const texts = this.#completeTextsByItemId.get(itemId) ?? new Set();
    texts.add(text);
    this.#completeTextsByItemId.set(itemId, texts);
  }

  /**
   * Notes the answer that a call got.
   *
   * @param requestId The call.
   * @param text The text delivered.
   */
  recordCallAnswered(requestId: string, text: string): void {
    this.#recordOutcome(requestId);
    const call = this.#callsByRequestId.get(requestId);
    const completeTexts = this.#completeTextsByItemId.get(call?.itemId ?? "");
    if (completeTexts === undefined || !completeTexts.has(text)) {
      this.#recordBrokenPromise(
        PromiseKind.NotOwnWholeAnswer,
        requestId,
        `got ${text.length} characters that no target made whole for it`,
      );
    }
  }

  /**
   * Notes the refusal that a call got.
   *
   * @param requestId The call.
   * @param refusal What it was told.
   */
  recordCallRefused(requestId: string, refusal: CallRefusal): void {
    this.#recordOutcome(requestId);
    this.#refusedAtMsByRequestId.set(requestId, this.#simulation.nowMs());
    const call = this.#callsByRequestId.get(requestId);
    if (call === undefined) {
      return;
    }
    if (refusal.ran === RunState.NotRun) {
      this.#checkNotRun(call, refusal);
    }
    if (OVERLOAD_ERROR_KINDS.has(refusal.error)) {
      this.#checkTierOrder(call, refusal);
    }
  }

  /** @param targetId A target that shows its first sign of leaving. */
  recordTargetLeaving(targetId: string): void {
    if (!this.#leavingSinceMsByTargetId.has(targetId)) {
      this.#leavingSinceMsByTargetId.set(targetId, this.#simulation.nowMs());
    }
  }

  /**
   * Notes the settings version that an instance has in force.
   *
   * @param processName Names one start of an instance.
   * @param version The version.
   */
  recordSettingsInForce(processName: string, version: number): void {
    const previousVersion = this.#settingsVersionByProcess.get(processName) ??
      0;
    if (version < previousVersion) {
      this.#recordBrokenPromise(
        PromiseKind.SettingsReverted,
        processName,
        `version ${previousVersion} went down to ${version}`,
      );
    }
    this.#settingsVersionByProcess.set(processName, version);
  }

  /**
   * Notes that a call's holder must have told its outcome by now.
   *
   * @param requestId The call.
   */
  checkOutcome(requestId: string): void {
    if (!this.#endedRequestIds.has(requestId)) {
      this.#recordBrokenPromise(
        PromiseKind.NoOutcome,
        requestId,
        "no answer and no refusal after the deadline and its margin",
      );
    }
  }

  /**
   * Notes that a target was sent more than its memory holds.
   *
   * @param targetId The target.
   * @param detail The figures, and the request that was too much.
   */
  recordKvExceeded(targetId: string, detail: string): void {
    this.#recordBrokenPromise(PromiseKind.KvExceeded, targetId, detail);
  }

  /** Checks what only the end of the run can show. */
  finish(): void {
    for (const possibleViolation of this.#possibleTierOrderViolations) {
      this.#checkTierOrderViolation(possibleViolation);
    }
    for (const [requestId, refusedAtMs] of this.#refusedNotRunAtMsByRequestId) {
      if (this.#startedRequestIds.has(requestId)) {
        this.#recordBrokenPromise(
          PromiseKind.NotRunButRan,
          requestId,
          `told not run at ${Math.round(refusedAtMs)} ms, but it ran`,
        );
      }
    }
  }

  /**
   * Counts broken promises.
   *
   * @returns How many of each kind were broken; kinds kept are left out.
   */
  countByKind(): Partial<Record<PromiseKind, number>> {
    const counts: Partial<Record<PromiseKind, number>> = {};
    for (const { kind } of this.broken) {
      counts[kind] = (counts[kind] ?? 0) + 1;
    }
    return counts;
  }

  #recordOutcome(requestId: string): void {
    if (this.#endedRequestIds.has(requestId)) {
      this.#recordBrokenPromise(
        PromiseKind.AnsweredTwice,
        requestId,
        "a second outcome was told",
      );
    }
    this.#endedRequestIds.add(requestId);
  }

  #checkNotRun(call: CallRecord, refusal: CallRefusal): void {
    this.#refusedNotRunAtMsByRequestId.set(
      call.requestId,
      this.#simulation.nowMs(),
    );
    if (call.key === undefined || call.idempotent) {
      return;
    }
    const startedRequestId = this.#startedRequestIdByKey.get(call.key);
    if (startedRequestId !== undefined && startedRequestId !== call.requestId) {
      this.#recordBrokenPromise(
        PromiseKind.NotRunButKeyRan,
        call.requestId,
        `refused as ${refusal.error}, not run, but its key ran as ${startedRequestId}`,
      );
    }
  }

  #checkTierOrder(call: CallRecord, refusal: CallRefusal): void {
    // A call that joined another's request runs under that one's id.
    const dispatched = this.#receivedByRequestId.has(call.requestId) ||
      refusal.ran !== RunState.NotRun;
    if (dispatched && refusal.error !== ErrorKind.Preempted) {
      return;
    }
    const lowerTierWork = this.#simulation.findLowerTierWork(call);
    if (lowerTierWork.length > 0) {
      const decisions = this.#simulation.describeDecisions(call);
      const atMs = this.#simulation.nowMs();
      this.#possibleTierOrderViolations.push({
        call,
        refusal,
        atMs,
        lowerTierWork,
        decisions,
      });
    }
    if (dispatched) {
      return;
    }
    const dispatch = this.#findLowerTierDispatch(call);
    if (dispatch !== undefined) {
      this.#recordBrokenPromise(
        PromiseKind.TierOrderWhileWaiting,
        call.requestId,
        `refused as ${refusal.error} in tier ${call.tierRank}; ` +
          `${dispatch.requestId} of tier ${dispatch.tierRank} went to ` +
          `${dispatch.targetId} at ${Math.round(dispatch.atMs)} ms`,
      );
    }
  }

  /** Work that was refused at the same moment was not served. */
  #checkTierOrderViolation(
    { call, refusal, atMs, lowerTierWork, decisions }:
      PossibleTierOrderViolation,
  ): void {
    const served = lowerTierWork.find(({ requestId }) =>
      (this.#refusedAtMsByRequestId.get(requestId) ?? Infinity) >
        atMs + MAX_REFUSAL_DELAY_MS
    );
    if (served !== undefined) {
      this.broken.push({
        kind: PromiseKind.TierOrder,
        atMs,
        subject: call.requestId,
        detail: `refused as ${refusal.error} in tier ${call.tierRank}: ` +
          served.description,
        story: decisions,
      });
    }
  }

  #findLowerTierDispatch(
    call: CallRecord,
  ): (ReceivedWork & { atMs: number }) | undefined {
    const sinceMs = call.sentAtMs + MAX_GRANT_DELAY_MS;
    return this.#receivedByPool.get(call.pool)?.findLast((work) =>
      work.atMs > sinceMs && work.tierRank > call.tierRank &&
      this.#simulation.canReach(call.holderId, work.holderId)
    );
  }

  #checkTargetLeaving(work: ReceivedWork): void {
    const sinceMs = this.#leavingSinceMsByTargetId.get(work.targetId);
    const lateMs = this.#simulation.nowMs() - (sinceMs ?? Infinity);
    if (lateMs > LEAVING_GRACE_MS) {
      this.#recordBrokenPromise(
        PromiseKind.DispatchedToLeaving,
        work.requestId,
        `${work.targetId} got it ${Math.round(lateMs)} ms after it began ` +
          "to leave",
      );
    }
  }

  #recordBrokenPromise(
    kind: PromiseKind,
    subject: string,
    detail: string,
  ): void {
    const call = this.#callsByRequestId.get(subject);
    this.broken.push({
      kind,
      atMs: this.#simulation.nowMs(),
      subject,
      detail,
      story: call === undefined ? [] : this.#simulation.describeDecisions(call),
    });
  }
}
