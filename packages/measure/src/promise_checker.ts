/**
 * Checker of the guarantees that users were promised, from the work that
 * targets received and the outcomes that callers received in a simulated run.
 */

import { ErrorKind, RunState } from "@chestnuthatch/wire/shared_types";

/** Guarantees that a run can violate, named after the violation. */
export enum PromiseKind {
  /** More than one dispatch under the same request id reached a target. */
  DispatchedTwice = "dispatched_twice",
  /** Two calls with the same key ran, and they weren't idempotent. */
  NonIdempotentRanTwice = "non_idempotent_ran_twice",
  /** The answer was no complete answer that a target gave to the item. */
  NotOwnWholeAnswer = "not_own_whole_answer",
  /** A call was refused as not run, but its work ran before or after. */
  NotRunButRan = "not_run_but_ran",
  /** A call was refused as not run, but another call ran its key. */
  NotRunButKeyRan = "not_run_but_key_ran",
  /**
   * A call was refused for overload while an instance that its holder reaches
   * served lower-tier work or kept it waiting.
   */
  TierOrder = "tier_order",
  /**
   * A call was refused for overload, and while it waited, lower-tier work was
   * dispatched.
   */
  TierOrderWhileWaiting = "tier_order_while_waiting",
  /** Work reached a target too long after the target announced leaving. */
  DispatchedToLeaving = "dispatched_to_leaving",
  /** A process went back to an older version of the settings. */
  SettingsReverted = "settings_reverted",
  /** A call received a second outcome. */
  AnsweredTwice = "answered_twice",
  /** A call received no outcome within the margin after its deadline. */
  NoOutcome = "no_outcome",
  /** The work sent to an engine reserves more KV memory than it has. */
  KvExceeded = "kv_exceeded",
}

/** A violation of a promise, with the data to investigate it. */
export interface BrokenPromise {
  readonly kind: PromiseKind;
  readonly atMs: number;
  /** Id of the request or target, or name of the process, that is affected. */
  readonly subject: string;
  readonly detail: string;
  /**
   * Decisions on the request in the log of its holder, one a line; empty when
   * the promise isn't about a request.
   */
  readonly story: readonly string[];
}

/** A call that an instance received, as the checks need it. */
export interface CallRecord {
  /** The call's request id. */
  readonly requestId: string;
  /** Id of the requested work; calls of the same item may share an answer. */
  readonly itemId: string;
  /** Workspace and idempotency key; absent if the caller sent no key. */
  readonly workspaceKey?: string;
  readonly idempotent: boolean;
  readonly pool: string;
  readonly tierRank: number;
  readonly holderId: string;
  readonly sentAtMs: number;
}

/** Work of one attempt as a target received it. */
export interface ReceivedWork {
  readonly requestId: string;
  readonly targetId: string;
  readonly holderId: string;
  readonly pool: string;
  readonly tierRank: number;
}

/** The parts of a refusal that the checks need. */
export interface CallRefusal {
  readonly error: ErrorKind;
  readonly ran: RunState;
}

/** Lower-tier work that an instance held when a call was refused. */
export interface LowerTierWork {
  readonly requestId: string;
  readonly description: string;
}

/**
 * A refusal that violates the tier order, unless the lower-tier work was
 * refused at the same moment.
 */
interface PossibleTierOrderViolation {
  readonly call: CallRecord;
  readonly refusal: CallRefusal;
  readonly atMs: number;
  readonly lowerTierWork: readonly LowerTierWork[];
  readonly decisions: readonly string[];
}

/** State of the simulation that the checker reads. */
export interface SimulationView {
  /** @returns The simulated time in milliseconds. */
  nowMs(): number;
  /**
   * Finds work of lower tiers in the call's pool that is waiting or may be
   * cancelled, at every instance that the call's holder reaches.
   *
   * @param call The call that was refused.
   * @returns The work found; empty if there is none.
   */
  findLowerTierWork(call: CallRecord): readonly LowerTierWork[];
  /**
   * Checks whether an instance is running and connected to a call's holder, so
   * that both compete for the same targets.
   *
   * @param holderId Id of the instance that holds the call.
   * @param otherId Id of the instance to check.
   * @returns True when the instance is live, not paused and connected to the
   * holder.
   */
  canReach(holderId: string, otherId: string): boolean;
  /**
   * Lists the decisions on a call from its holder's log.
   *
   * @param call The call.
   * @returns One line for each decision; empty if the holder isn't running.
   */
  describeDecisions(call: CallRecord): string[];
}

/**
 * Time after a target announces that it is leaving during which work may still
 * reach it.
 */
export const LEAVING_GRACE_MS = 3000;

/**
 * Time until work reaches its target after the grant. Work that arrives within
 * it after a call was sent may have been granted before the call arrived.
 */
const MAX_GRANT_DELAY_MS = 50;

/**
 * Time until a refusal or cancellation reaches its holder. Work refused within
 * it after a higher-tier refusal counts as refused at the same moment.
 */
const MAX_REFUSAL_DELAY_MS = 50;

const OVERLOAD_ERROR_KINDS: ReadonlySet<ErrorKind> = new Set([
  ErrorKind.Overloaded,
  ErrorKind.DeadlineUnreachable,
  ErrorKind.DeadlineExceeded,
  ErrorKind.Preempted,
]);

/** Records the events of one run and checks the promises on them. */
export class PromiseChecker {
  /** Violations found so far. */
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

  /** @param simulation The simulation that the run takes place in. */
  constructor(simulation: SimulationView) {
    this.#simulation = simulation;
  }

  /**
   * Records a call that an instance received.
   *
   * @param call The call.
   */
  recordCall(call: CallRecord): void {
    this.#callsByRequestId.set(call.requestId, call);
  }

  /**
   * Records work that a target received, and checks that it was dispatched once
   * and not to a leaving target.
   *
   * @param work The work.
   */
  recordWorkReceived(work: ReceivedWork): void {
    const receivedWork = this.#receivedByRequestId.get(work.requestId) ?? [];
    receivedWork.push(work);
    this.#receivedByRequestId.set(work.requestId, receivedWork);
    if (receivedWork.length > 1) {
      const targets = receivedWork.map((each) => each.targetId).join(", ");
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

  /**
   * Records that a target started work, and checks that its key didn't run
   * before.
   *
   * @param requestId Id of the request.
   */
  recordWorkStarted(requestId: string): void {
    this.#startedRequestIds.add(requestId);
    const call = this.#callsByRequestId.get(requestId);
    if (call?.workspaceKey === undefined) {
      return;
    }
    const earlierRequestId = this.#startedRequestIdByKey.get(call.workspaceKey);
    if (earlierRequestId !== undefined && !call.idempotent) {
      this.#recordBrokenPromise(
        PromiseKind.NonIdempotentRanTwice,
        requestId,
        `key ${call.workspaceKey} also ran as ${earlierRequestId}`,
      );
    }
    this.#startedRequestIdByKey.set(call.workspaceKey, requestId);
  }

  /**
   * Records a complete answer that a target produced.
   *
   * @param requestId Id of the request that the target received.
   * @param text The complete text.
   */
  recordCompleteAnswer(requestId: string, text: string): void {
    const itemId = this.#callsByRequestId.get(requestId)?.itemId ?? requestId;
    const texts = this.#completeTextsByItemId.get(itemId) ?? new Set();
    texts.add(text);
    this.#completeTextsByItemId.set(itemId, texts);
  }

  /**
   * Records the answer to a call, and checks that a target produced exactly
   * this text for the item.
   *
   * @param requestId Id of the call.
   * @param text The text that the caller receives.
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
   * Records the refusal of a call, and checks its run state and the tier order.
   *
   * @param requestId Id of the call.
   * @param refusal The refusal that the caller receives.
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

  /**
   * Records that a target announces leaving; only the first time counts.
   *
   * @param targetId Id of the target.
   */
  recordTargetLeaving(targetId: string): void {
    if (!this.#leavingSinceMsByTargetId.has(targetId)) {
      this.#leavingSinceMsByTargetId.set(targetId, this.#simulation.nowMs());
    }
  }

  /**
   * Records the settings version that a process applies, and checks that it
   * isn't older than the one before.
   *
   * @param processName Name of the process; another one after each restart.
   * @param version The version in force.
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
   * Checks that a call has received an outcome; call it once the deadline and
   * the margin after it have passed.
   *
   * @param requestId Id of the call.
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
   * Records that a target received work for more KV memory than it has.
   *
   * @param targetId Id of the target.
   * @param detail The amounts in tokens, and the request that exceeded them.
   */
  recordKvExceeded(targetId: string, detail: string): void {
    this.#recordBrokenPromise(PromiseKind.KvExceeded, targetId, detail);
  }

  /**
   * Checks the promises that need the whole run: work that ran after a refusal
   * as not run, and lower-tier work that was served after a refusal.
   */
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
   * Counts the violations by kind.
   *
   * @returns Number of violations of each kind; kinds without any are absent.
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
    if (call.workspaceKey === undefined || call.idempotent) {
      return;
    }
    const startedRequestId = this.#startedRequestIdByKey.get(call.workspaceKey);
    if (startedRequestId !== undefined && startedRequestId !== call.requestId) {
      this.#recordBrokenPromise(
        PromiseKind.NotRunButKeyRan,
        call.requestId,
        `refused as ${refusal.error}, not run, but its key ran as ${startedRequestId}`,
      );
    }
  }

  #checkTierOrder(call: CallRecord, refusal: CallRefusal): void {
    // A call that joined another call's request runs under that call's id, so
    // no target receives its own id.
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

  /** Lower-tier work that was refused at the same moment was not served. */
  #checkTierOrderViolation(
    { call, refusal, atMs, lowerTierWork, decisions }:
      PossibleTierOrderViolation,
  ): void {
    const servedWork = lowerTierWork.find(({ requestId }) =>
      (this.#refusedAtMsByRequestId.get(requestId) ?? Infinity) >
        atMs + MAX_REFUSAL_DELAY_MS
    );
    if (servedWork !== undefined) {
      this.broken.push({
        kind: PromiseKind.TierOrder,
        atMs,
        subject: call.requestId,
        detail: `refused as ${refusal.error} in tier ${call.tierRank}: ` +
          servedWork.description,
        story: decisions,
      });
    }
  }

  #findLowerTierDispatch(
    call: CallRecord,
  ): (ReceivedWork & { atMs: number }) | undefined {
    const dispatchedAfterMs = call.sentAtMs + MAX_GRANT_DELAY_MS;
    return this.#receivedByPool.get(call.pool)?.findLast((work) =>
      work.atMs > dispatchedAfterMs && work.tierRank > call.tierRank &&
      this.#simulation.canReach(call.holderId, work.holderId)
    );
  }

  #checkTargetLeaving(work: ReceivedWork): void {
    const leavingSinceMs = this.#leavingSinceMsByTargetId.get(work.targetId);
    const sinceLeavingMs = this.#simulation.nowMs() -
      (leavingSinceMs ?? Infinity);
    if (sinceLeavingMs > LEAVING_GRACE_MS) {
      this.#recordBrokenPromise(
        PromiseKind.DispatchedToLeaving,
        work.requestId,
        `${work.targetId} got it ${
          Math.round(sinceLeavingMs)
        } ms after it began ` +
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
