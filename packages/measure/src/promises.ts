/**
 * The users' promises, checked on every run from what targets received and
 * what callers were told.
 */

import { ErrorKind, RunState } from "@chestnuthatch/wire/shared_types";

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
export interface WorkReceived {
  readonly requestId: string;
  readonly targetId: string;
  readonly holderId: string;
  readonly pool: string;
  readonly tierRank: number;
}

/** The end of a call as the caller was told it. */
export interface ToldRefusal {
  readonly error: ErrorKind;
  readonly ran: RunState;
}

/** Lower-tier work that was there when a call was refused. */
export interface LowerTierWork {
  readonly requestId: string;
  readonly description: string;
}

interface TierOrderSuspicion {
  readonly call: CallRecord;
  readonly refusal: ToldRefusal;
  readonly atMs: number;
  readonly works: readonly LowerTierWork[];
  readonly story: readonly string[];
}

/** What the checker must ask of the world around it. */
export interface WorldView {
  nowMs(): number;
  /**
   * Looks for lower-tier work that is served or kept waiting in reach.
   *
   * @param call The call that was refused.
   * @returns What was found.
   */
  lowerTierWork(call: CallRecord): readonly LowerTierWork[];
  /**
   * Tells whether one instance's work reaches the same targets as another's.
   *
   * @param holderId One instance.
   * @param otherId Another.
   * @returns True when both are live and reach each other.
   */
  inReach(holderId: string, otherId: string): boolean;
  /**
   * Tells a request's story.
   *
   * @param call The call it is about.
   * @returns Its steps.
   */
  story(call: CallRecord): string[];
}

/** A target may still be sent work this long after its first leaving sign. */
export const LEAVING_GRACE_MS = 3000;

/** A grant made before a request came may arrive at its target this late. */
const GRANT_IN_FLIGHT_MS = 50;

/** A refusal or cancellation ordered before may reach its holder this late. */
const REFUSAL_IN_FLIGHT_MS = 50;

const OVERLOAD_ERRORS: ReadonlySet<ErrorKind> = new Set([
  ErrorKind.Overloaded,
  ErrorKind.DeadlineUnreachable,
  ErrorKind.DeadlineExceeded,
  ErrorKind.Preempted,
]);

/** Watches one run and keeps every broken promise. */
export class PromiseChecker {
  readonly broken: BrokenPromise[] = [];
  readonly #world: WorldView;
  readonly #calls = new Map<string, CallRecord>();
  readonly #ended = new Set<string>();
  readonly #refusedAtMs = new Map<string, number>();
  readonly #suspicions: TierOrderSuspicion[] = [];
  readonly #received = new Map<string, WorkReceived[]>();
  readonly #started = new Set<string>();
  readonly #startedByKey = new Map<string, string>();
  readonly #madeTexts = new Map<string, Set<string>>();
  readonly #toldNotRun = new Map<string, number>();
  readonly #leavingSinceMs = new Map<string, number>();
  readonly #settingsVersions = new Map<string, number>();
  readonly #sentByPool = new Map<string, (WorkReceived & { atMs: number })[]>();

  /** @param world Where the run happens. */
  constructor(world: WorldView) {
    this.#world = world;
  }

  /** @param call A call that an instance received. */
  callReceived(call: CallRecord): void {
    this.#calls.set(call.requestId, call);
  }

  /** @param work A request that a target received. */
  workReceived(work: WorkReceived): void {
    const earlier = this.#received.get(work.requestId) ?? [];
    earlier.push(work);
    this.#received.set(work.requestId, earlier);
    if (earlier.length > 1) {
      const targets = earlier.map((each) => each.targetId).join(", ");
      this.#breakPromise(PromiseKind.DispatchedTwice, work.requestId, targets);
    }
    this.#checkLeaving(work);
    const sent = this.#sentByPool.get(work.pool) ?? [];
    sent.push({ ...work, atMs: this.#world.nowMs() });
    this.#sentByPool.set(work.pool, sent);
  }

  /** @param requestId A request that a target began to work on. */
  workStarted(requestId: string): void {
    this.#started.add(requestId);
    const call = this.#calls.get(requestId);
    if (call?.key === undefined) {
      return;
    }
    const earlierId = this.#startedByKey.get(call.key);
    if (earlierId !== undefined && !call.idempotent) {
      this.#breakPromise(
        PromiseKind.NonIdempotentRanTwice,
        requestId,
        `key ${call.key} also ran as ${earlierId}`,
      );
    }
    this.#startedByKey.set(call.key, requestId);
  }

  /**
   * Notes the whole answer that a target made.
   *
   * @param requestId The request it was made for.
   * @param text The whole text.
   */
  answerMade(requestId: string, text: string): void {
    const itemId = this.#calls.get(requestId)?.itemId ?? requestId;
    const texts = this.#madeTexts.get(itemId) ?? new Set();
    texts.add(text);
    this.#madeTexts.set(itemId, texts);
  }

  /**
   * Notes the answer that a call got.
   *
   * @param requestId The call.
   * @param text The text delivered.
   */
  callAnswered(requestId: string, text: string): void {
    this.#end(requestId);
    const call = this.#calls.get(requestId);
    const made = this.#madeTexts.get(call?.itemId ?? "");
    if (made === undefined || !made.has(text)) {
      this.#breakPromise(
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
  callRefused(requestId: string, refusal: ToldRefusal): void {
    this.#end(requestId);
    this.#refusedAtMs.set(requestId, this.#world.nowMs());
    const call = this.#calls.get(requestId);
    if (call === undefined) {
      return;
    }
    if (refusal.ran === RunState.NotRun) {
      this.#checkNotRun(call, refusal);
    }
    if (OVERLOAD_ERRORS.has(refusal.error)) {
      this.#checkTierOrder(call, refusal);
    }
  }

  /** @param targetId A target that shows its first sign of leaving. */
  targetLeaving(targetId: string): void {
    if (!this.#leavingSinceMs.has(targetId)) {
      this.#leavingSinceMs.set(targetId, this.#world.nowMs());
    }
  }

  /**
   * Notes the settings version that an instance has in force.
   *
   * @param incarnation Names one start of an instance.
   * @param version The version.
   */
  settingsInForce(incarnation: string, version: number): void {
    const before = this.#settingsVersions.get(incarnation) ?? 0;
    if (version < before) {
      this.#breakPromise(
        PromiseKind.SettingsReverted,
        incarnation,
        `version ${before} went down to ${version}`,
      );
    }
    this.#settingsVersions.set(incarnation, version);
  }

  /**
   * Notes that a call's holder must have told its outcome by now.
   *
   * @param requestId The call.
   */
  outcomeDue(requestId: string): void {
    if (!this.#ended.has(requestId)) {
      this.#breakPromise(
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
  kvExceeded(targetId: string, detail: string): void {
    this.#breakPromise(PromiseKind.KvExceeded, targetId, detail);
  }

  /** Checks what only the end of the run can show. */
  finish(): void {
    for (const suspicion of this.#suspicions) {
      this.#judge(suspicion);
    }
    for (const [requestId, toldAtMs] of this.#toldNotRun) {
      if (this.#started.has(requestId)) {
        this.#breakPromise(
          PromiseKind.NotRunButRan,
          requestId,
          `told not run at ${Math.round(toldAtMs)} ms, but it ran`,
        );
      }
    }
  }

  /**
   * Counts broken promises.
   *
   * @returns How many of each kind were broken; kinds kept are left out.
   */
  counts(): Partial<Record<PromiseKind, number>> {
    const counts: Partial<Record<PromiseKind, number>> = {};
    for (const { kind } of this.broken) {
      counts[kind] = (counts[kind] ?? 0) + 1;
    }
    return counts;
  }

  #end(requestId: string): void {
    if (this.#ended.has(requestId)) {
      this.#breakPromise(
        PromiseKind.AnsweredTwice,
        requestId,
        "a second outcome was told",
      );
    }
    this.#ended.add(requestId);
  }

  #checkNotRun(call: CallRecord, refusal: ToldRefusal): void {
    this.#toldNotRun.set(call.requestId, this.#world.nowMs());
    if (call.key === undefined || call.idempotent) {
      return;
    }
    const ranAs = this.#startedByKey.get(call.key);
    if (ranAs !== undefined && ranAs !== call.requestId) {
      this.#breakPromise(
        PromiseKind.NotRunButKeyRan,
        call.requestId,
        `refused as ${refusal.error}, not run, but its key ran as ${ranAs}`,
      );
    }
  }

  #checkTierOrder(call: CallRecord, refusal: ToldRefusal): void {
    // A call that joined another's request runs under that one's id.
    const dispatched = this.#received.has(call.requestId) ||
      refusal.ran !== RunState.NotRun;
    if (dispatched && refusal.error !== ErrorKind.Preempted) {
      return;
    }
    const works = this.#world.lowerTierWork(call);
    if (works.length > 0) {
      const story = this.#world.story(call);
      const atMs = this.#world.nowMs();
      this.#suspicions.push({ call, refusal, atMs, works, story });
    }
    if (dispatched) {
      return;
    }
    const sent = this.#lowerTierSent(call);
    if (sent !== undefined) {
      this.#breakPromise(
        PromiseKind.TierOrderWhileWaiting,
        call.requestId,
        `refused as ${refusal.error} in tier ${call.tierRank}; ` +
          `${sent.requestId} of tier ${sent.tierRank} went to ` +
          `${sent.targetId} at ${Math.round(sent.atMs)} ms`,
      );
    }
  }

  /** Work that was refused at the same moment was not served. */
  #judge({ call, refusal, atMs, works, story }: TierOrderSuspicion): void {
    const served = works.find(({ requestId }) =>
      (this.#refusedAtMs.get(requestId) ?? Infinity) >
        atMs + REFUSAL_IN_FLIGHT_MS
    );
    if (served !== undefined) {
      this.broken.push({
        kind: PromiseKind.TierOrder,
        atMs,
        subject: call.requestId,
        detail: `refused as ${refusal.error} in tier ${call.tierRank}: ` +
          served.description,
        story,
      });
    }
  }

  #lowerTierSent(
    call: CallRecord,
  ): (WorkReceived & { atMs: number }) | undefined {
    const sinceMs = call.sentAtMs + GRANT_IN_FLIGHT_MS;
    return this.#sentByPool.get(call.pool)?.findLast((sent) =>
      sent.atMs > sinceMs && sent.tierRank > call.tierRank &&
      this.#world.inReach(call.holderId, sent.holderId)
    );
  }

  #checkLeaving(work: WorkReceived): void {
    const sinceMs = this.#leavingSinceMs.get(work.targetId);
    const lateMs = this.#world.nowMs() - (sinceMs ?? Infinity);
    if (lateMs > LEAVING_GRACE_MS) {
      this.#breakPromise(
        PromiseKind.DispatchedToLeaving,
        work.requestId,
        `${work.targetId} got it ${Math.round(lateMs)} ms after it began ` +
          "to leave",
      );
    }
  }

  #breakPromise(kind: PromiseKind, subject: string, detail: string): void {
    const call = this.#calls.get(subject);
    this.broken.push({
      kind,
      atMs: this.#world.nowMs(),
      subject,
      detail,
      story: call === undefined ? [] : this.#world.story(call),
    });
  }
}
