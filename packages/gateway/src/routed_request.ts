/**
 * Lifecycle of one request on its holder, the instance with its caller's
 * connection: ask for a placement, send to the target, buffer or stream the
 * answer, and retry or resume at another target where the kind of request
 * allows it.
 */

import type { Buffer } from "node:buffer";
import { RequestKind } from "@chestnuthatch/routing/fleet_configuration";
import { INITIAL_EVENT_GAP_MS } from "@chestnuthatch/routing/latency_model";
import {
  AttemptEnd,
  mayRunAgain,
  NextStep,
  nextStep,
} from "@chestnuthatch/routing/next_step";
import { RoutedError } from "@chestnuthatch/routing/routed_error";
import type { KnownTarget } from "@chestnuthatch/routing/target_directory";
import {
  AskCause,
  type AskDecision,
  AskRefusal,
  type PlaceDecision,
} from "@chestnuthatch/routing/work_ask";
import { AttemptRecorder } from "./attempt_recorder.ts";
import type { CallerReply } from "./caller_reply.ts";
import {
  DEFAULT_RETRY_AFTER_MS,
  LEAVING_RETRY_AFTER_MS,
  REFUSAL_ERRORS,
  retryAfterMsOf,
} from "./retry_after.ts";
import { type LogFacts, LogPart } from "./event_log.ts";
import { maySend } from "./finish_forecast.ts";
import { TargetDomain } from "./gateway_metrics.ts";
import type { GatewayParts } from "./gateway_parts.ts";
import { isUnframed } from "./relay_server.ts";
import { reportUnhandled } from "./run_isolated.ts";
import { deadlineAtMs, type RoutedCall } from "./routed_call.ts";
import type { RunDurations, RunSize } from "./run_durations.ts";
import { SilenceTimer } from "./silence_timer.ts";
import { StandbyAttempt } from "./standby_attempt.ts";
import { StreamProgress } from "./stream_progress.ts";
import { StreamVersion } from "./stream_version.ts";
import { isStream, TargetAttempt } from "./target_attempt.ts";
import { poolBackoffMs, workAskOf } from "./work_ask_of.ts";

/** What decides whether a request may run while its instance stops. */
export interface StopOutlook {
  readonly runDurations: RunDurations;
  /** @returns Time until begun answers are aborted; infinite unless stopping. */
  leftMs(): number;
}

/** A request to run and where its answer goes. */
export interface RoutedRequestOptions {
  readonly call: RoutedCall;
  readonly reply: CallerReply;
  /** Absent where the request runs without regard to a stop. */
  readonly stop?: StopOutlook;
  /** Called once, when the request is finished or cancelled. */
  onDone(): void;
}

/** Runs one request until it is answered, failed or cancelled. */
export class RoutedRequest {
  readonly #parts: GatewayParts;
  readonly #call: RoutedCall;
  readonly #reply: CallerReply;
  readonly #stop?: StopOutlook;
  readonly #onDone: () => void;
  readonly #triedTargetIds = new Set<string>();
  /** Id of the ask that has no decision yet, if any. */
  #askId?: string;
  #askedAtMs = 0;
  /** Cost units that the last ask was to be charged. */
  #askCost = 0;
  #attempt?: TargetAttempt;
  #runCount = 0;
  /** Attempts that no target ran. */
  #rejectionCount = 0;
  #isCharged = false;
  /** Attempt whose answer is passed on if no other target can be asked. */
  #emptyAttempt?: TargetAttempt;
  readonly #recorder: AttemptRecorder;
  readonly #progress: StreamProgress;
  readonly #streamVersion: StreamVersion;
  readonly #silenceTimer: SilenceTimer;
  /** Attempt at a silent target, until another target begins to answer. */
  readonly #standby = new StandbyAttempt((attempt) =>
    this.#closeAttempt(attempt, AttemptEnd.Lost, "silent")
  );
  #deadlineTimer?: NodeJS.Timeout;
  #isCallerGone = false;
  #isCallerSlow = false;
  #wasCallerSlow = false;
  #isAnswered = false;
  #isDone = false;

  /**
   * @param parts The instance's parts.
   * @param options The request and where its answer goes.
   */
  constructor(parts: GatewayParts, options: RoutedRequestOptions) {
    this.#parts = parts;
    this.#call = options.call;
    this.#reply = options.reply;
    this.#stop = options.stop;
    this.#onDone = () => options.onDone();
    this.#recorder = new AttemptRecorder(
      parts,
      (message, facts) => this.#log(message, facts),
    );
    this.#progress = new StreamProgress(options.call.facts.resumeAfter);
    this.#streamVersion = new StreamVersion(parts, options.call);
    this.#silenceTimer = new SilenceTimer(
      options.call,
      parts.board.latencyModels,
      (silentMs) => this.#onSilent(silentMs),
    );
  }

  /** Number of targets that may have run the request. */
  get runCount(): number {
    return this.#runCount;
  }

  /** Starts the deadline timer and asks for a placement. */
  start(): void {
    const leftMs = deadlineAtMs(this.#call) - this.#nowMs();
    this.#deadlineTimer = setTimeout(() => {
      // Handles an answer that has already arrived before the timeout.
      setImmediate(() => this.#onDeadline());
    }, leftMs);
    if (this.#streamVersion.isOfOtherPool) {
      this.#fail(RoutedError.VersionGone, DEFAULT_RETRY_AFTER_MS);
    } else {
      this.#runOrFail(() => this.#ask(AskCause.First));
    }
  }

  /** Whether a part of the answer was sent to the caller. */
  get hasBegun(): boolean {
    return this.#reply.hasBegun;
  }

  /**
   * Handles a caller that closed its connection: cancels the request, unless a
   * target is running it and it must run at most once.
   */
  onCallerLeft(): void {
    if (this.#isAnswered) {
      return;
    }
    this.#isCallerGone = true;
    // At-most-once work runs to its end, so that its effect is complete.
    const mayCancel = this.#attempt === undefined ||
      this.#call.route.kind !== RequestKind.AtMostOnce;
    if (mayCancel) {
      this.#cancel();
    }
  }

  /** Resumes the target's answer once the caller's write buffer has drained. */
  onCallerDrained(): void {
    this.#isCallerSlow = false;
    this.#attempt?.resume();
    this.#restartSilenceTimer();
  }

  /** Fails the request because the process is about to exit. */
  abort(): void {
    const isSent = this.#runCount > 0;
    this.#fail(
      isSent ? RoutedError.AnswerLost : RoutedError.Leaving,
      isSent ? undefined : LEAVING_RETRY_AFTER_MS,
    );
  }

  /** Stops waiting for a placement that would come too late. */
  refuseIfTooLate(): void {
    if (this.#askId !== undefined) {
      this.#refuseIfOutlastsStop();
    }
  }

  #ask(cause: AskCause): void {
    if (this.#refuseIfOutlastsStop()) {
      return;
    }
    const backoffMs = poolBackoffMs(this.#parts, this.#call);
    if (backoffMs !== undefined) {
      this.#log("all targets asked to back off", {
        backoffMs: Math.round(backoffMs),
      });
      this.#onRefused(AskRefusal.NoTarget, backoffMs);
      return;
    }
    const ask = workAskOf(this.#parts, this.#call, {
      cause,
      isCharged: this.#isCharged,
      triedTargetIds: this.#triedTargetIds,
      lastEventAtMs: this.#progress.lastEventAtMs,
      stream: this.#streamVersion.askFields,
    });
    this.#askId = ask.askId;
    this.#askCost = ask.cost;
    this.#askedAtMs = this.#nowMs();
    this.#parts.placementClient.ask(
      ask,
      (decision, coordinatorId) =>
        this.#runOrFail(() => this.#onDecision(decision, coordinatorId)),
    );
  }

  #onDecision(decision: AskDecision, coordinatorId: string): void {
    if (this.#isDone) {
      return;
    }
    if ("refusal" in decision) {
      this.#askId = undefined;
      this.#log("ask refused", {
        refusal: decision.refusal,
        workspace: this.#call.workspace?.name,
        coordinatorId,
        ...decision.figures,
      });
      this.#onRefused(decision.refusal, decision.retryAfterMs);
      return;
    }
    const { targets, rollouts, backoffs } = this.#parts.board;
    const nowMs = this.#nowMs();
    this.#parts.metrics.placed(this.#call.pool, nowMs - this.#askedAtMs);
    if (nowMs >= deadlineAtMs(this.#call)) {
      // If it were sent now, the caller's error would have to state that it may
      // have run.
      this.#onDeadline();
      return;
    }
    const target = targets.get(decision.targetId);
    const isUsable = target !== undefined &&
      this.#streamVersion.mayGoOnAt(target) &&
      targets.isUsable(target, nowMs) && rollouts.mayServe(target) &&
      backoffs.remainingMs(target.targetId, nowMs) === 0;
    if (!isUsable) {
      this.#returnPlacement(decision.targetId);
      return;
    }
    if (this.#refuseIfOutlastsStop(decision)) {
      return;
    }
    this.#isCharged = true;
    if (this.#attempt !== undefined) {
      // The silent target may still answer, and the other one may reject.
      this.#standby.hold(this.#attempt);
    }
    this.#send(target, decision, coordinatorId);
  }

  /**
   * Begins no run that would be cut when the instance stops: refuses a request
   * that has not run, and goes on waiting for a silent target.
   *
   * @param decision The placement, if there is one.
   * @returns Whether the request may not be sent.
   */
  #refuseIfOutlastsStop(decision?: PlaceDecision): boolean {
    const leftMs = this.#stop?.leftMs() ?? Infinity;
    if (leftMs === Infinity) {
      return false;
    }
    const expectedMs = this.#expectedRunMs(decision);
    const deadlineLeftMs = deadlineAtMs(this.#call) - this.#nowMs();
    const { kind } = this.#call.route;
    const { hasBegun, runCount } = this;
    const run = {
      kind,
      leftMs,
      deadlineLeftMs,
      expectedMs,
      runCount,
      hasBegun,
    };
    if (maySend(run)) {
      return false;
    }
    this.#log("run would outlast the stop", {
      leftMs: Math.round(leftMs),
      expectedMs: Math.round(expectedMs),
      deadlineLeftMs: Math.round(deadlineLeftMs),
      kind,
      runs: runCount,
      waitedMs: this.#elapsedMs(),
    });
    if (this.#attempt !== undefined) {
      this.#dropAsk();
    } else if (runCount > 0) {
      this.#fail(RoutedError.AnswerLost);
    } else {
      this.#fail(RoutedError.Leaving, LEAVING_RETRY_AFTER_MS);
    }
    return true;
  }

  /** Streams take longer the more tokens they may have. */
  get #runSize(): RunSize {
    const { facts, route } = this.#call;
    const outputTokens = facts.tokens?.output ?? 1;
    return {
      route: route.name,
      units: isStream(route.kind) ? Math.max(1, outputTokens) : 1,
    };
  }

  /** Expected time to the end of the answer. */
  #expectedRunMs(decision?: PlaceDecision): number {
    const { facts, route } = this.#call;
    const firstMs = decision?.expectedMs ?? 0;
    const recordedMs = this.#stop?.runDurations.expectedMs(this.#runSize);
    if (recordedMs !== undefined) {
      return Math.max(firstMs, recordedMs);
    }
    const eventsMs = isStream(route.kind)
      ? INITIAL_EVENT_GAP_MS * (facts.tokens?.output ?? 0)
      : 0;
    return Math.max(firstMs, route.objectiveMs) + eventsMs;
  }

  /** Fails the request if a step throws, so that it is answered in any case. */
  #runOrFail(step: () => void): void {
    try {
      step();
    } catch (error) {
      this.#log("internal error", { reason: String(error) });
      reportUnhandled(error);
      if (this.#runCount > 0) {
        this.#fail(RoutedError.AnswerLost);
      } else {
        this.#fail(RoutedError.NoTarget, DEFAULT_RETRY_AFTER_MS);
      }
    }
  }

  /** Returns a placement at a target that cannot be used now. */
  #returnPlacement(targetId: string): void {
    const { targets } = this.#parts.board;
    const target = targets.get(targetId);
    this.#log("assigned target not usable", {
      targetId,
      isKnown: target !== undefined,
      targetsVersion: targets.version,
    });
    const hasLeft = target !== undefined &&
      !targets.isUsable(target, this.#nowMs());
    if (target?.leaving) {
      this.#parts.onPlacedAtLeavingTarget(targetId);
    }
    this.#triedTargetIds.add(targetId);
    this.#dropAsk(hasLeft ? targetId : undefined);
    if (this.#attempt === undefined) {
      this.#rejectionCount++;
      this.#takeNextStep(AttemptEnd.NotSent);
    }
  }

  #onRefused(refusal: AskRefusal, retryAfterMs: number): void {
    if (this.#attempt !== undefined) {
      this.#log("no other target, still waiting", { refusal });
    } else if (this.#runCount > 0) {
      this.#log("no target for a retry", { refusal });
      this.#fail(RoutedError.AnswerLost);
    } else {
      const nowMs = this.#nowMs();
      const waitMs = retryAfterMsOf(this.#call, {
        refusal,
        retryAfterMs,
        nowMs,
      });
      this.#fail(REFUSAL_ERRORS[refusal], waitMs);
    }
  }

  #send(
    target: KnownTarget,
    decision: PlaceDecision,
    coordinatorId: string,
  ): void {
    const { expectedMs, cameBackMs, isTrial = false } = decision;
    const call = this.#call;
    const { failureDomain, metrics } = this.#parts;
    metrics.sentToDomain(
      target.failureDomain === failureDomain
        ? TargetDomain.Own
        : TargetDomain.Other,
    );
    const attempt = new TargetAttempt(this.#parts, {
      call,
      askId: this.#askId!,
      target,
      expectedMs,
      resumeAfter: this.#progress.lastEventId,
      isTrial,
    }, {
      events: (bytes) =>
        this.#runOrFail(() => this.#forwardEvents(attempt, bytes)),
      streamEnded: (rest) =>
        this.#runOrFail(() => this.#onStreamEnded(attempt, rest)),
      answered: () => this.#runOrFail(() => this.#onServed(attempt)),
      ended: (end, reason) =>
        this.#runOrFail(() => this.#onAttemptEnded(attempt, end, reason)),
    });
    this.#askId = undefined;
    this.#attempt = attempt;
    this.#streamVersion.sentTo(target);
    this.#runCount++;
    attempt.send();
    this.#log("sent", {
      targetId: target.targetId,
      targetVersion: target.rowVersion,
      softwareVersion: target.version,
      route: call.route.name,
      pool: call.pool,
      workspace: call.workspace?.name,
      cost: this.#askCost,
      coordinatorId,
      attempt: this.#runCount,
      resumeAfter: this.#progress.lastEventId,
      resumes: call.facts.resumes,
      cameBackMs: Math.round(cameBackMs),
      waitedMs: Math.round(attempt.sentAtMs - call.arrivedAtMs),
      expectedMs: Math.round(expectedMs),
      deadlineLeftMs: Math.floor(deadlineAtMs(call) - attempt.sentAtMs),
      configurationVersion: call.configurationVersion,
      isTrial: isTrial || undefined,
      relayId: attempt.relayId,
    });
    this.#restartSilenceTimer();
  }

  /** Continues the attempt that answers first, and cancels the other one. */
  #selectAttempt(attempt: TargetAttempt): void {
    if (!this.#standby.holds(attempt)) {
      this.#standby.expire();
      return;
    }
    const other = this.#attempt;
    this.#attempt = this.#standby.release();
    if (other !== undefined) {
      this.#recorder.cancel(other);
    }
    this.#triedTargetIds.delete(attempt.options.target.targetId);
  }

  #forwardEvents(attempt: TargetAttempt, bytes: Buffer): void {
    this.#selectAttempt(attempt);
    this.#streamVersion.began(attempt.options.target);
    this.#progress.recordEvent(attempt.order, this.#nowMs());
    this.#withdrawOtherAsk(attempt);
    this.#write(attempt, bytes);
    this.#restartSilenceTimer();
  }

  #write(attempt: TargetAttempt, bytes: Buffer): void {
    if (this.#isCallerGone) {
      return;
    }
    if (!this.#reply.hasBegun) {
      this.#reply.beginStream(attempt.answer);
      this.#recordFirstByte();
    }
    if (bytes.length > 0 && !this.#reply.writeEvents(bytes)) {
      this.#isCallerSlow = true;
      this.#wasCallerSlow = true;
      attempt.pause();
    }
  }

  #onStreamEnded(attempt: TargetAttempt, rest: Buffer): void {
    this.#selectAttempt(attempt);
    this.#write(attempt, rest);
    this.#reply.endStream();
    this.#streamVersion.completed();
    this.#recordServed(attempt);
    this.#recordAnswered(attempt);
  }

  #onServed(attempt: TargetAttempt): void {
    this.#selectAttempt(attempt);
    this.#recordServed(attempt);
    this.#forwardAnswer(attempt);
  }

  /** Sends the target's whole answer, a failure included, to the caller. */
  #forwardAnswer(attempt: TargetAttempt): void {
    if (this.#reply.hasBegun) {
      // A stream that has begun cannot continue with an answer of its own.
      this.#fail(RoutedError.AnswerLost);
      return;
    }
    if (!this.#isCallerGone) {
      this.#recordFirstByte();
      this.#reply.sendWhole(attempt.answer, attempt.body);
    }
    this.#recordAnswered(attempt);
  }

  #recordServed(attempt: TargetAttempt): void {
    const isWholeRun = attempt.options.resumeAfter === undefined;
    if (isWholeRun && !this.#wasCallerSlow) {
      const tookMs = this.#nowMs() - attempt.sentAtMs;
      this.#stop?.runDurations.record(this.#runSize, tookMs);
    }
    this.#attempt = undefined;
    this.#dropAsk();
    this.#recorder.recordServed(attempt);
  }

  #recordAnswered(attempt: TargetAttempt): void {
    const status = attempt.answer.statusCode!;
    this.#parts.metrics.answerForwarded(this.#call.route.name, status);
    this.#log("answered", {
      targetId: attempt.options.target.targetId,
      status,
      unframed: isUnframed(attempt.answer) || undefined,
      events: attempt.eventCount,
      firstMs: attempt.firstMs,
      longestGapMs: Math.round(this.#progress.longestGapMs),
      tookMs: this.#elapsedMs(),
    });
    this.#finish();
  }

  /** Handles an attempt that ended without a usable answer. */
  #onAttemptEnded(
    attempt: TargetAttempt,
    end: AttemptEnd,
    reason: string,
  ): void {
    if (this.#standby.holds(attempt)) {
      this.#standby.release();
      this.#closeAttempt(attempt, end, reason);
      return;
    }
    if (attempt !== this.#attempt) {
      return;
    }
    // A pending ask for another target no longer has the current facts.
    this.#dropAsk();
    this.#closeAttempt(attempt, end, reason);
    const standby = this.#standby.release();
    if (standby === undefined) {
      this.#takeNextStep(end, attempt);
      return;
    }
    this.#attempt = standby;
    this.#restartSilenceTimer();
  }

  #closeAttempt(
    attempt: TargetAttempt,
    end: AttemptEnd,
    reason: string,
  ): void {
    if (attempt === this.#attempt) {
      this.#attempt = undefined;
      this.#silenceTimer.stop();
    }
    this.#triedTargetIds.add(attempt.options.target.targetId);
    if (end === AttemptEnd.NotSent || end === AttemptEnd.Rejected) {
      this.#runCount--;
      this.#rejectionCount++;
    }
    this.#recorder.recordFailed(attempt, end, reason);
  }

  #takeNextStep(end: AttemptEnd, attempt?: TargetAttempt): void {
    const mayGoOn = !this.#isCallerGone && this.#progress.canGoOn;
    const step = !mayGoOn ? NextStep.FailMayHaveRun : nextStep({
      kind: this.#call.route.kind,
      end,
      runs: this.#runCount,
      maxAttempts: this.#call.route.maxAttempts,
      rejections: this.#rejectionCount,
    });
    switch (step) {
      case NextStep.AskAgain:
        this.#emptyAttempt = end === AttemptEnd.Empty
          ? attempt
          : this.#emptyAttempt;
        this.#ask(
          end === AttemptEnd.NotSent ? AskCause.NeverArrived : AskCause.Repeat,
        );
        return;
      case NextStep.PassOn:
        this.#forwardAnswer(attempt!);
        return;
      case NextStep.RefuseNotRun:
        this.#fail(RoutedError.NoTarget, DEFAULT_RETRY_AFTER_MS);
        return;
      case NextStep.FailMayHaveRun:
        this.#fail(RoutedError.AnswerLost);
        return;
    }
  }

  #onDeadline(): void {
    const isSent = this.#runCount > 0;
    this.#fail(
      isSent ? RoutedError.TimeoutMayHaveRun : RoutedError.TimeoutNotRun,
      isSent ? undefined : DEFAULT_RETRY_AFTER_MS,
    );
  }

  /**
   * Answers with an error, or aborts an answer that has begun. An empty answer
   * from before a repeat is passed on instead.
   */
  #fail(error: RoutedError, retryAfterMs?: number): void {
    if (this.#isDone) {
      return;
    }
    if (this.#emptyAttempt !== undefined && !this.#reply.hasBegun) {
      this.#log("no answer of a repeat", { error });
      this.#forwardAnswer(this.#emptyAttempt);
      this.#cancel();
      return;
    }
    this.#parts.metrics.errorAnswered(this.#call.route.name, error);
    this.#log("failed", {
      error,
      route: this.#call.route.name,
      retryAfterMs: retryAfterMs && Math.round(retryAfterMs),
      runs: this.#runCount,
      rejections: this.#rejectionCount,
      begun: this.#reply.hasBegun,
      callerGone: this.#isCallerGone,
      tookMs: this.#elapsedMs(),
    });
    if (this.#reply.hasBegun) {
      this.#reply.abort();
    } else if (!this.#isCallerGone) {
      const { requestId } = this.#call.facts;
      this.#reply.sendError(error, { requestId, retryAfterMs });
    }
    this.#cancel();
  }

  /** Cancels the request's attempts and its ask, and finishes it. */
  #cancel(): void {
    for (const attempt of [this.#attempt, this.#standby.release()]) {
      if (attempt !== undefined) {
        this.#recorder.cancel(attempt);
      }
    }
    this.#attempt = undefined;
    this.#dropAsk();
    this.#finish();
  }

  /**
   * Withdraws the open ask, if any; if it was placed at a target that has left,
   * with the id of that target.
   */
  #dropAsk(unusableTargetId?: string): void {
    if (this.#askId !== undefined) {
      this.#parts.placementClient.drop(this.#askId, unusableTargetId);
      this.#askId = undefined;
    }
  }

  /** Restarts the timeout for the next event, unless the caller is slow. */
  #restartSilenceTimer(): void {
    const attempt = this.#attempt;
    if (attempt === undefined || this.#isCallerSlow) {
      this.#silenceTimer.stop();
      return;
    }
    const longestSeenGapMs = this.#progress.longestGapMs;
    this.#silenceTimer.start({ attempt, longestSeenGapMs });
  }

  /** Handles a target that has sent nothing for longer than expected. */
  #onSilent(silentMs: number): void {
    const attempt = this.#attempt;
    if (attempt !== undefined && attempt.relayId === undefined) {
      this.#parts.reachability.answerOverdue(attempt.options.target);
    }
    const { kind, maxAttempts } = this.#call.route;
    const mayGoOn = mayRunAgain(kind) && this.#progress.canGoOn;
    if (mayGoOn && this.#runCount < maxAttempts) {
      this.#askForOtherTarget(silentMs);
    }
  }

  /**
   * Asks for another target and keeps the attempt at the silent one. If there
   * is no other, or the silent target resumes first, that attempt continues.
   */
  #askForOtherTarget(silentMs: number): void {
    const attempt = this.#attempt;
    if (attempt === undefined || this.#askId !== undefined) {
      return;
    }
    const { targetId } = attempt.options.target;
    this.#log("target is silent", {
      targetId,
      silentMs: Math.round(silentMs),
      events: attempt.eventCount,
    });
    this.#triedTargetIds.add(targetId);
    this.#recorder.recordSilent(attempt);
    this.#ask(AskCause.Repeat);
  }

  /** Withdraws the ask for another target after the silent one resumed. */
  #withdrawOtherAsk(attempt: TargetAttempt): void {
    if (this.#askId !== undefined) {
      this.#dropAsk();
      this.#triedTargetIds.delete(attempt.options.target.targetId);
    }
  }

  #recordFirstByte(): void {
    this.#parts.metrics.firstByte(this.#call.route.name, this.#elapsedMs());
  }

  #finish(): void {
    if (this.#isDone) {
      return;
    }
    this.#isDone = true;
    this.#isAnswered = true;
    clearTimeout(this.#deadlineTimer);
    this.#silenceTimer.stop();
    this.#onDone();
  }

  #log(message: string, facts: LogFacts): void {
    const { requestId } = this.#call.facts;
    this.#parts.log.info(LogPart.Request, message, { requestId, ...facts });
  }

  #elapsedMs(): number {
    return Math.round(this.#nowMs() - this.#call.arrivedAtMs);
  }

  #nowMs(): number {
    return this.#parts.clock.nowMs();
  }
}
