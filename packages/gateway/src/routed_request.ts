/**
 * The life of one request on the instance that holds its caller's connection:
 * wait for a place, send, gather or pass on the answer, and where the kind of
 * request allows it, send again or resume elsewhere.
 */

import type { Buffer } from "node:buffer";
import { RequestKind } from "@chestnuthatch/routing/fleet_configuration";
import {
  AttemptEnd,
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
import { AttemptAccount } from "./attempt_account.ts";
import type { CallerReply } from "./caller_reply.ts";
import { comeBackMs, REFUSAL_ERRORS, RETRY_AFTER_MS } from "./come_back.ts";
import { type LogFacts, LogPart } from "./event_log.ts";
import type { GatewayParts } from "./gateway_parts.ts";
import { deadlineAtMs, type RoutedCall } from "./routed_call.ts";
import { SilenceWatch } from "./silence_watch.ts";
import { StandbyAttempt } from "./standby_attempt.ts";
import { StreamProgress } from "./stream_progress.ts";
import { TargetAttempt } from "./target_attempt.ts";
import { poolBackoffMs, workAskOf } from "./work_ask_of.ts";

/** What a request works with, besides the instance's parts. */
export interface RequestOptions {
  readonly call: RoutedCall;
  readonly reply: CallerReply;
  /** Called once nothing of the request is left to do. */
  onDone(): void;
}

/** One request in progress. */
export class RoutedRequest {
  readonly #parts: GatewayParts;
  readonly #call: RoutedCall;
  readonly #reply: CallerReply;
  readonly #onDone: () => void;
  readonly #tried = new Set<string>();
  /** The ask that is out, if any. */
  #askId?: string;
  #askedAtMs = 0;
  #attempt?: TargetAttempt;
  #runs = 0;
  /** Sends that certainly no target ran. */
  #rejections = 0;
  #charged = false;
  readonly #account: AttemptAccount;
  readonly #progress: StreamProgress;
  readonly #silence: SilenceWatch;
  /** An attempt at a silent target, while another target has not begun. */
  readonly #standby = new StandbyAttempt((attempt) =>
    this.#closeAttempt(attempt, AttemptEnd.Lost, "silent")
  );
  #deadlineTimer?: NodeJS.Timeout;
  #callerGone = false;
  #callerSlow = false;
  #answered = false;
  #done = false;

  /**
   * @param parts The instance's parts.
   * @param options The request, and where its answer goes.
   */
  constructor(parts: GatewayParts, options: RequestOptions) {
    this.#parts = parts;
    this.#call = options.call;
    this.#reply = options.reply;
    this.#onDone = () => options.onDone();
    this.#account = new AttemptAccount(
      parts,
      (message, facts) => this.#log(message, facts),
    );
    this.#progress = new StreamProgress(options.call.facts.resumeAfter);
    this.#silence = new SilenceWatch(
      options.call,
      parts.board.paces,
      (silentMs) => this.#askBeside(silentMs),
    );
  }

  /** Targets that may have run it. */
  get runs(): number {
    return this.#runs;
  }

  /** Begins: asks for a place. */
  start(): void {
    const leftMs = deadlineAtMs(this.#call) - this.#nowMs();
    this.#deadlineTimer = setTimeout(() => {
      // An answer that has arrived by now is read first.
      setImmediate(() => this.#timeOver());
    }, leftMs);
    this.#ask(AskCause.First);
  }

  /** Whether its caller has got a part of an answer. */
  get hasBegun(): boolean {
    return this.#reply.begun;
  }

  /** The caller has closed its connection: what may be stopped is stopped. */
  callerLeft(): void {
    if (this.#answered) {
      return;
    }
    this.#callerGone = true;
    // Work that must not be repeated is let finish: it has its effect.
    const mayStop = this.#attempt === undefined ||
      this.#call.route.kind !== RequestKind.AtMostOnce;
    if (mayStop) {
      this.#stop();
    }
  }

  /** The caller reads again after it was slow. */
  callerReads(): void {
    this.#callerSlow = false;
    this.#attempt?.resume();
    this.#watchSilence();
  }

  /** Breaks the request off: the process ends. */
  abort(): void {
    const isSent = this.#runs > 0;
    this.#fail(
      isSent ? RoutedError.AnswerLost : RoutedError.Leaving,
      isSent ? undefined : RETRY_AFTER_MS,
    );
  }

  #ask(cause: AskCause): void {
    const backoffMs = poolBackoffMs(this.#parts, this.#call);
    if (backoffMs !== undefined) {
      this.#log("all targets asked to back off", {
        backoffMs: Math.round(backoffMs),
      });
      this.#refused(AskRefusal.NoTarget, backoffMs);
      return;
    }
    const ask = workAskOf(this.#parts, this.#call, {
      cause,
      charged: this.#charged,
      tried: this.#tried,
      lastEventAtMs: this.#progress.lastEventAtMs,
    });
    this.#askId = ask.askId;
    this.#askedAtMs = this.#nowMs();
    this.#parts.placementClient.ask(
      ask,
      (decision) => this.#orFail(() => this.#decided(decision)),
    );
  }

  #decided(decision: AskDecision): void {
    if (this.#done) {
      return;
    }
    if ("refusal" in decision) {
      this.#askId = undefined;
      this.#log("no place", { refusal: decision.refusal, ...decision.figures });
      this.#refused(decision.refusal, decision.retryAfterMs);
      return;
    }
    const { targets, rollouts, backoffs } = this.#parts.board;
    const nowMs = this.#nowMs();
    this.#parts.metrics.placed(this.#call.pool, nowMs - this.#askedAtMs);
    if (nowMs >= deadlineAtMs(this.#call)) {
      // Sent now, it would be told that it may have run.
      this.#timeOver();
      return;
    }
    const target = targets.get(decision.targetId);
    const isUsable = target !== undefined &&
      targets.isUsable(target, nowMs) && rollouts.mayServe(target) &&
      backoffs.remainingMs(target.targetId, nowMs) === 0;
    if (!isUsable) {
      this.#giveBack(decision.targetId);
      return;
    }
    this.#charged = true;
    if (this.#attempt !== undefined) {
      // It is sound as far as is known, and the other target may turn it away.
      this.#standby.keep(this.#attempt);
    }
    this.#send(target, decision);
  }

  /** What cannot be sent or passed on must not leave a request unanswered. */
  #orFail(goOn: () => void): void {
    try {
      goOn();
    } catch (error) {
      this.#log("cannot go on", { reason: String(error) });
      this.#fail(RoutedError.AnswerLost);
    }
  }

  /** Returns a place at a target that must not be used now. */
  #giveBack(targetId: string): void {
    this.#log("place not usable", { targetId });
    if (this.#parts.board.targets.get(targetId)?.leaving) {
      this.#parts.onPlacedAtLeavingTarget(targetId);
    }
    this.#tried.add(targetId);
    this.#dropAsk();
    if (this.#attempt === undefined) {
      this.#rejections++;
      this.#follow(AttemptEnd.NotSent);
    }
  }

  #refused(refusal: AskRefusal, retryAfterMs: number): void {
    if (this.#attempt !== undefined) {
      this.#log("no other place, still waiting", { refusal });
    } else if (this.#runs > 0) {
      this.#log("no place to run again", { refusal });
      this.#fail(RoutedError.AnswerLost);
    } else {
      const waitMs = comeBackMs(this.#call, retryAfterMs, this.#nowMs());
      this.#fail(REFUSAL_ERRORS[refusal], waitMs);
    }
  }

  #send(target: KnownTarget, decision: PlaceDecision): void {
    const { expectedMs, cameBackMs, isTrial = false } = decision;
    const call = this.#call;
    const attempt = new TargetAttempt(this.#parts, {
      call,
      askId: this.#askId!,
      target,
      expectedMs,
      resumeAfter: this.#progress.lastEventId,
      isTrial,
    }, {
      event: (bytes) => this.#orFail(() => this.#passEvent(attempt, bytes)),
      streamEnded: (rest) =>
        this.#orFail(() => this.#streamEnded(attempt, rest)),
      answered: () => this.#orFail(() => this.#served(attempt)),
      ended: (end, reason) => this.#attemptEnded(attempt, end, reason),
    });
    this.#askId = undefined;
    this.#attempt = attempt;
    this.#runs++;
    this.#log("sent", {
      targetId: target.targetId,
      targetVersion: target.rowVersion,
      route: call.route.name,
      pool: call.pool,
      attempt: this.#runs,
      resumeAfter: this.#progress.lastEventId,
      cameBackMs: Math.round(cameBackMs),
      waitedMs: Math.round(attempt.sentAtMs - call.arrivedAtMs),
      expectedMs: Math.round(expectedMs),
      deadlineLeftMs: Math.floor(deadlineAtMs(call) - attempt.sentAtMs),
      configurationVersion: call.configurationVersion,
      isTrial: isTrial || undefined,
    });
    attempt.send();
    this.#watchSilence();
  }

  /** Of two attempts, the one that gives a sign of life first goes on. */
  #prefer(attempt: TargetAttempt): void {
    if (!this.#standby.is(attempt)) {
      this.#standby.end();
      return;
    }
    const other = this.#attempt;
    this.#attempt = this.#standby.take();
    if (other !== undefined) {
      this.#account.cancelled(other);
    }
    this.#tried.delete(attempt.order.target.targetId);
  }

  #passEvent(attempt: TargetAttempt, bytes: Buffer): void {
    this.#prefer(attempt);
    this.#progress.passed(attempt.lastEventId, this.#nowMs());
    this.#stayAtTarget(attempt);
    this.#write(attempt, bytes);
    this.#watchSilence();
  }

  #write(attempt: TargetAttempt, bytes: Buffer): void {
    if (this.#callerGone) {
      return;
    }
    if (!this.#reply.begun) {
      this.#reply.begin(attempt.answer);
      this.#noteFirstByte();
    }
    if (bytes.length > 0 && !this.#reply.write(bytes)) {
      this.#callerSlow = true;
      attempt.pause();
    }
  }

  #streamEnded(attempt: TargetAttempt, rest: Buffer): void {
    this.#prefer(attempt);
    this.#write(attempt, rest);
    this.#reply.end();
    this.#noteServed(attempt);
  }

  #served(attempt: TargetAttempt): void {
    this.#prefer(attempt);
    this.#passOn(attempt);
    this.#noteServed(attempt);
  }

  /** Passes a whole answer on, be it a failure of the target's own. */
  #passOn(attempt: TargetAttempt): void {
    if (!this.#callerGone && !this.#reply.begun) {
      this.#noteFirstByte();
      this.#reply.whole(attempt.answer, attempt.body);
    }
  }

  #noteServed(attempt: TargetAttempt): void {
    this.#attempt = undefined;
    this.#dropAsk();
    this.#account.served(attempt);
    this.#noteAnswered(attempt);
  }

  #noteAnswered(attempt: TargetAttempt): void {
    const status = attempt.answer.statusCode!;
    this.#parts.metrics.answerForwarded(this.#call.route.name, status);
    this.#log("answered", {
      targetId: attempt.order.target.targetId,
      status,
      events: attempt.events,
      firstMs: attempt.firstMs,
      longestGapMs: Math.round(this.#progress.longestGapMs),
      tookMs: this.#tookMs(),
    });
    this.#finish();
  }

  /** An attempt ended without an answer of its target that counts. */
  #attemptEnded(
    attempt: TargetAttempt,
    end: AttemptEnd,
    reason: string,
  ): void {
    if (this.#standby.is(attempt)) {
      this.#standby.take();
      this.#closeAttempt(attempt, end, reason);
      return;
    }
    if (attempt !== this.#attempt) {
      return;
    }
    // An ask that was made beside it goes by other facts now.
    this.#dropAsk();
    this.#closeAttempt(attempt, end, reason);
    const standby = this.#standby.take();
    if (standby === undefined) {
      this.#follow(end, attempt);
      return;
    }
    this.#attempt = standby;
    this.#watchSilence();
  }

  #closeAttempt(
    attempt: TargetAttempt,
    end: AttemptEnd,
    reason: string,
  ): void {
    if (attempt === this.#attempt) {
      this.#attempt = undefined;
      this.#silence.stop();
    }
    this.#tried.add(attempt.order.target.targetId);
    if (end === AttemptEnd.NotSent || end === AttemptEnd.Rejected) {
      this.#runs--;
      this.#rejections++;
    }
    this.#account.failed(attempt, end, reason);
  }

  #follow(end: AttemptEnd, attempt?: TargetAttempt): void {
    const step = this.#callerGone ? NextStep.FailMayHaveRun : nextStep({
      kind: this.#call.route.kind,
      end,
      runs: this.#runs,
      maxAttempts: this.#call.route.maxAttempts,
      rejections: this.#rejections,
    });
    switch (step) {
      case NextStep.AskAgain:
        this.#ask(
          end === AttemptEnd.NotSent ? AskCause.NeverArrived : AskCause.Repeat,
        );
        return;
      case NextStep.PassOn:
        this.#passOn(attempt!);
        this.#noteAnswered(attempt!);
        return;
      case NextStep.RefuseNotRun:
        this.#fail(RoutedError.NoTarget, RETRY_AFTER_MS);
        return;
      case NextStep.FailMayHaveRun:
        this.#fail(RoutedError.AnswerLost);
        return;
    }
  }

  #timeOver(): void {
    const isSent = this.#runs > 0;
    this.#fail(
      isSent ? RoutedError.TimeoutMayHaveRun : RoutedError.TimeoutNotRun,
      isSent ? undefined : RETRY_AFTER_MS,
    );
  }

  /** Answers with an error, or breaks a begun stream off. */
  #fail(error: RoutedError, retryAfterMs?: number): void {
    if (this.#done) {
      return;
    }
    this.#parts.metrics.errorAnswered(this.#call.route.name, error);
    this.#log("failed", {
      error,
      route: this.#call.route.name,
      retryAfterMs: retryAfterMs && Math.round(retryAfterMs),
      runs: this.#runs,
      rejections: this.#rejections,
      begun: this.#reply.begun,
      callerGone: this.#callerGone,
      tookMs: this.#tookMs(),
    });
    if (this.#reply.begun) {
      this.#reply.cut();
    } else if (!this.#callerGone) {
      const { requestId } = this.#call.facts;
      this.#reply.fail(error, { requestId, retryAfterMs });
    }
    this.#stop();
  }

  /** Ends whatever is still out for the request. */
  #stop(): void {
    for (const attempt of [this.#attempt, this.#standby.take()]) {
      if (attempt !== undefined) {
        this.#account.cancelled(attempt);
      }
    }
    this.#attempt = undefined;
    this.#dropAsk();
    this.#finish();
  }

  #dropAsk(): void {
    if (this.#askId !== undefined) {
      this.#parts.placementClient.drop(this.#askId);
      this.#askId = undefined;
    }
  }

  /** Waits for the next sign of life of the target, unless the caller is slow. */
  #watchSilence(): void {
    const attempt = this.#attempt;
    if (attempt === undefined || this.#callerSlow) {
      this.#silence.stop();
      return;
    }
    const seenGapMs = this.#progress.longestGapMs;
    this.#silence.start({ attempt, runs: this.#runs, seenGapMs });
  }

  /**
   * Asks for another place while the silent target is still waited for: where
   * there is none, or where the target goes on first, nothing is lost.
   */
  #askBeside(silentMs: number): void {
    const attempt = this.#attempt;
    if (attempt === undefined || this.#askId !== undefined) {
      return;
    }
    const { targetId } = attempt.order.target;
    this.#log("target is silent", {
      targetId,
      silentMs: Math.round(silentMs),
      events: attempt.events,
    });
    this.#tried.add(targetId);
    this.#account.unanswered(attempt);
    this.#ask(AskCause.Repeat);
  }

  /** The silent target went on: the other place is not needed. */
  #stayAtTarget(attempt: TargetAttempt): void {
    if (this.#askId !== undefined) {
      this.#dropAsk();
      this.#tried.delete(attempt.order.target.targetId);
    }
  }

  #noteFirstByte(): void {
    this.#parts.metrics.firstByte(this.#call.route.name, this.#tookMs());
  }

  #finish(): void {
    if (this.#done) {
      return;
    }
    this.#done = true;
    this.#answered = true;
    clearTimeout(this.#deadlineTimer);
    this.#silence.stop();
    this.#onDone();
  }

  #log(message: string, facts: LogFacts): void {
    const { requestId } = this.#call.facts;
    this.#parts.log.info(LogPart.Request, message, { requestId, ...facts });
  }

  #tookMs(): number {
    return Math.round(this.#nowMs() - this.#call.arrivedAtMs);
  }

  #nowMs(): number {
    return this.#parts.clock.nowMs();
  }
}
