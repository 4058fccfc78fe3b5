/**
 * The life of one request on the instance that holds its caller's connection:
 * wait for a place, send, gather or pass on the answer, and where the kind of
 * request allows it, send again or resume elsewhere.
 */

import { Buffer } from "node:buffer";
import type { IncomingMessage } from "node:http";
import { RequestKind } from "@chestnuthatch/routing/fleet_configuration";
import {
  AttemptEnd,
  mayRunAgain,
  NextStep,
  nextStep,
} from "@chestnuthatch/routing/next_step";
import { PROMISES_NOT_RUN, RoutedError } from "@chestnuthatch/routing/refusal";
import { rankOf } from "@chestnuthatch/routing/ranks";
import type { KnownTarget } from "@chestnuthatch/routing/target_directory";
import {
  AskCause,
  type AskDecision,
  AskRefusal,
  type WorkAsk,
} from "@chestnuthatch/routing/work_ask";
import type { CallerReply } from "./caller_reply.ts";
import { LogPart } from "./event_log.ts";
import { EventSplitter, type StreamedEvent } from "./event_splitter.ts";
import type { GatewayParts } from "./gateway_parts.ts";
import {
  deadlineAtMs,
  type RoutedCall,
  streamPatienceMs,
} from "./routed_call.ts";
import { type ExchangeFault, TargetExchange } from "./target_exchange.ts";
import { firstEventLimitMs, gapLimitMs } from "./silence_limits.ts";

/** One send to one target. */
interface Attempt {
  readonly askId: string;
  readonly target: KnownTarget;
  readonly expectedMs: number;
  readonly sentAtMs: number;
  exchange?: TargetExchange;
  answer?: IncomingMessage;
  /** Parts of a body that is passed on whole. */
  readonly parts: Buffer[];
  partBytes: number;
  readonly splitter: EventSplitter;
  firstAtMs?: number;
  lastEventAtMs: number;
  events: number;
}

/** Bodies up to this size are passed on only once they are whole. */
const MAX_WHOLE_BYTES = 1024 * 1024;

/** Status codes from here on are failures of a target. */
const FIRST_FAILURE_STATUS = 500;

/** Share of a caller's time left after which it is asked to come back. */
const COME_BACK_SHARE = 0.3;

/** Time that a refused caller is asked to wait where nothing says more. */
const RETRY_AFTER_MS = 500;

const IS_STREAM: Readonly<Record<RequestKind, boolean>> = {
  [RequestKind.Repeatable]: false,
  [RequestKind.AtMostOnce]: false,
  [RequestKind.Stream]: true,
  [RequestKind.ResumableStream]: true,
};

const REFUSAL_ERRORS: Readonly<Record<AskRefusal, RoutedError>> = {
  [AskRefusal.Overload]: RoutedError.Overload,
  [AskRefusal.Allotment]: RoutedError.Allotment,
  [AskRefusal.NoTarget]: RoutedError.NoTarget,
  [AskRefusal.RetryBudget]: RoutedError.NoTarget,
};

/** One request in progress. */
export class RoutedRequest {
  readonly #parts: GatewayParts;
  readonly #call: RoutedCall;
  readonly #reply: CallerReply;
  readonly #onDone: () => void;
  readonly #excluded = new Set<string>();
  #askId?: string;
  #askedAtMs = 0;
  #attempt?: Attempt;
  #runs = 0;
  #rejections = 0;
  #charged = false;
  #lastEventId?: number;
  #lastEventAtMs = 0;
  /** Longest pause between two events of the stream, over all attempts. */
  #longestGapMs = 0;
  #deadlineTimer?: NodeJS.Timeout;
  #silenceTimer?: NodeJS.Timeout;
  #callerGone = false;
  #answered = false;
  #done = false;
  #paused = false;

  /**
   * @param parts The instance's parts.
   * @param call The request.
   * @param reply Where its answer goes.
   * @param onDone Called once nothing of it is left to do.
   */
  constructor(
    parts: GatewayParts,
    call: RoutedCall,
    of: { reply: CallerReply; onDone: () => void },
  ) {
    this.#parts = parts;
    this.#call = call;
    this.#reply = of.reply;
    this.#onDone = of.onDone;
    this.#lastEventId = call.facts.resumeAfter;
  }

  /** Begins: asks for a place. */
  start(): void {
    const leftMs = deadlineAtMs(this.#call) - this.#nowMs();
    this.#deadlineTimer = setTimeout(() => this.#timeOver(), leftMs);
    this.#ask(AskCause.First);
  }

  /** The caller has closed its connection: what may be stopped is stopped. */
  callerLeft(): void {
    if (this.#answered) {
      return;
    }
    this.#callerGone = true;
    this.#log("caller left", { running: this.#attempt !== undefined });
    if (this.#attempt === undefined) {
      this.#dropAsk();
      this.#finish();
      return;
    }
    // Work that must not be repeated is let finish: it has its effect.
    if (this.#call.route.kind !== RequestKind.AtMostOnce) {
      this.#stopAttempt();
      this.#finish();
    }
  }

  /** The caller reads again after it was slow. */
  callerReads(): void {
    this.#paused = false;
    this.#attempt?.exchange?.resume();
    this.#watchSilence();
  }

  /** Breaks the request off: the process ends. */
  abort(): void {
    this.#fail(
      this.#runs === 0 && this.#attempt === undefined
        ? RoutedError.NoTarget
        : RoutedError.AnswerLost,
      RETRY_AFTER_MS,
    );
  }

  #ask(cause: AskCause): void {
    const ask = this.#makeAsk(cause);
    this.#askId = ask.askId;
    this.#askedAtMs = this.#nowMs();
    this.#parts.desk.ask(ask, (decision) => this.#decided(decision));
  }

  #makeAsk(cause: AskCause): WorkAsk {
    const call = this.#call;
    const { route, workspace, facts } = call;
    const { health } = this.#parts.board;
    const nowMs = this.#nowMs();
    const spentMs = nowMs - call.arrivedAtMs;
    const left = deadlineAtMs(call) - nowMs;
    const patience = IS_STREAM[route.kind]
      ? streamPatienceMs(route) - spentMs
      : left;
    return {
      askId: this.#parts.nextAskId(),
      holderId: this.#parts.board.members.selfId,
      pool: call.pool,
      workspace: workspace?.name ?? "",
      kind: route.kind,
      rank: rankOf(workspace?.rank ?? 0, route.rank),
      cost: this.#charged ? 0 : this.#cost(),
      promptTokens: facts.tokens?.prompt ?? 0,
      outputTokens: facts.tokens?.output ?? 0,
      objectiveLeftMs: route.objectiveMs - spentMs,
      patienceLeftMs: Math.min(left, patience) - route.objectiveMs / 2,
      failureDomain: this.#parts.failureDomain,
      excluded: this.#usableExclusions([
        ...new Set([...this.#excluded, ...health.paused(nowMs)]),
      ]),
      cause,
    };
  }

  /** Health is only advice: where it rules out every target, it is ignored. */
  #usableExclusions(excluded: string[]): string[] {
    const { targets } = this.#parts.board;
    const usable = targets.usable(this.#call.pool, this.#nowMs());
    const isAnyLeft = usable.some((t) => !excluded.includes(t.targetId));
    return isAnyLeft ? excluded : [...this.#excluded];
  }

  #cost(): number {
    const allotment = this.#call.workspace?.allotment;
    if (allotment === undefined) {
      return 0;
    }
    const { tokens } = this.#call.facts;
    const inTokens = tokens === undefined
      ? allotment.plainTokens
      : tokens.prompt + tokens.output;
    return allotment.inTokens ? inTokens : 1;
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
    const nowMs = this.#nowMs();
    this.#charged = true;
    this.#parts.metrics.placed(this.#call.pool, nowMs - this.#askedAtMs);
    const target = this.#parts.board.targets.get(decision.targetId);
    const { targets } = this.#parts.board;
    if (target === undefined || !targets.isUsable(target, nowMs)) {
      this.#giveBack(decision.targetId);
      return;
    }
    if (this.#attempt !== undefined) {
      this.#leaveSilentTarget(this.#attempt);
    }
    this.#send(target, decision.expectedMs);
  }

  /** A place at a target that this instance knows to be leaving or gone. */
  #giveBack(targetId: string): void {
    this.#log("place not usable", { targetId });
    this.#excluded.add(targetId);
    this.#dropAsk();
    if (this.#attempt !== undefined) {
      return;
    }
    this.#charged = this.#runs > 0;
    this.#rejections++;
    this.#follow(AttemptEnd.NotSent);
  }

  #leaveSilentTarget(attempt: Attempt): void {
    this.#attempt = undefined;
    this.#closeAttempt(attempt, AttemptEnd.Lost, "silent");
  }

  #refused(refusal: AskRefusal, retryAfterMs: number): void {
    if (this.#attempt !== undefined) {
      this.#log("no other place, still waiting", { refusal });
      return;
    }
    if (this.#runs > 0) {
      this.#log("no place to run again", { refusal });
      this.#fail(RoutedError.AnswerLost);
      return;
    }
    this.#fail(REFUSAL_ERRORS[refusal], this.#comeBackMs(retryAfterMs));
  }

  /**
   * A surge outlasts the wait of one request by far, and a caller that comes
   * back into it is refused again. So it is asked to wait for as long as callers
   * heed, a third of the time that they have left.
   */
  #comeBackMs(retryAfterMs: number): number {
    const leftMs = deadlineAtMs(this.#call) - this.#nowMs();
    return Math.max(retryAfterMs, COME_BACK_SHARE * leftMs);
  }

  #send(target: KnownTarget, expectedMs: number): void {
    const parts = this.#parts;
    const call = this.#call;
    const nowMs = this.#nowMs();
    const attempt: Attempt = {
      askId: this.#askId!,
      target,
      expectedMs,
      sentAtMs: nowMs,
      parts: [],
      partBytes: 0,
      splitter: new EventSplitter(),
      lastEventAtMs: nowMs,
      events: 0,
    };
    this.#askId = undefined;
    this.#attempt = attempt;
    this.#runs++;
    const deadlineLeftMs = Math.floor(deadlineAtMs(call) - nowMs);
    const headers = parts.protocol.forwardHeaders(call.rawHeaders, {
      targetId: target.targetId,
      deadlineLeftMs,
      workspace: call.workspace?.name,
      resumeAfter: this.#lastEventId,
    });
    if (call.body !== undefined) {
      headers.push("Content-Length", String(call.body.length));
    }
    this.#log("sent", {
      targetId: target.targetId,
      targetVersion: target.rowVersion,
      route: call.route.name,
      pool: call.pool,
      attempt: this.#runs,
      resumeAfter: this.#lastEventId,
      waitedMs: Math.round(nowMs - call.arrivedAtMs),
      expectedMs: Math.round(expectedMs),
      deadlineLeftMs,
      configurationVersion: call.configurationVersion,
    });
    attempt.exchange = new TargetExchange({
      agent: parts.agentFor(call.pool, target.address),
      address: target.address,
      method: call.method,
      path: call.path,
      headers,
      body: call.body,
    }, {
      head: (answer) => this.#head(attempt, answer),
      data: (chunk) => this.#data(attempt, chunk),
      ended: () => this.#ended(attempt),
      broke: (fault) => this.#broke(attempt, fault),
    });
    this.#watchSilence();
  }

  #head(attempt: Attempt, answer: IncomingMessage): void {
    attempt.answer = answer;
    const facts = this.#parts.protocol.readAnswer(
      answer.statusCode!,
      answer.headers,
    );
    if (facts.closing) {
      this.#parts.noteClosing(attempt.target.targetId);
    }
    const isOther = facts.requestId !== undefined &&
      facts.requestId !== this.#call.facts.requestId;
    if (isOther) {
      this.#endAttempt(AttemptEnd.Lost, "answer to another request");
    } else if (facts.notRun || facts.wrongTarget) {
      this.#endAttempt(AttemptEnd.Rejected, `rejected ${answer.statusCode}`);
    } else if (!facts.genuine) {
      this.#endAttempt(AttemptEnd.Lost, "answer is not the target's own");
    }
  }

  #data(attempt: Attempt, chunk: Buffer): void {
    if (this.#passesEvents(attempt)) {
      this.#passEvents(attempt, attempt.splitter.push(chunk));
      return;
    }
    attempt.firstAtMs ??= this.#nowMs();
    attempt.parts.push(chunk);
    attempt.partBytes += chunk.length;
    if (attempt.partBytes > MAX_WHOLE_BYTES) {
      this.#endAttempt(AttemptEnd.Lost, "answer is too large");
    }
  }

  #passesEvents({ answer }: Attempt): boolean {
    return IS_STREAM[this.#call.route.kind] && answer!.statusCode === 200;
  }

  #passEvents(attempt: Attempt, events: readonly StreamedEvent[]): void {
    for (const event of events) {
      const fault = this.#passEvent(attempt, event);
      if (fault !== undefined) {
        this.#endAttempt(AttemptEnd.Lost, fault);
        return;
      }
    }
    if (events.length > 0) {
      this.#watchSilence();
    }
  }

  /** @returns Why the event cannot follow on the last one, if it cannot. */
  #passEvent(attempt: Attempt, event: StreamedEvent): string | undefined {
    const nowMs = this.#nowMs();
    const { id } = event;
    if (id !== undefined && this.#lastEventId !== undefined) {
      if (id <= this.#lastEventId) {
        return undefined;
      }
      if (id > this.#lastEventId + 1) {
        return "an event is missing";
      }
    }
    this.#lastEventId = id ?? this.#lastEventId;
    attempt.events++;
    if (attempt.firstAtMs !== undefined || this.#reply.begun) {
      const gapMs = nowMs - this.#lastEventAtMs;
      this.#longestGapMs = Math.max(this.#longestGapMs, gapMs);
    }
    this.#lastEventAtMs = nowMs;
    attempt.lastEventAtMs = nowMs;
    this.#stayAtTarget(attempt);
    if (attempt.firstAtMs === undefined) {
      attempt.firstAtMs = nowMs;
      this.#parts.desk.firstSeen(attempt.askId);
    }
    this.#writeEvent(attempt, event.bytes);
    return undefined;
  }

  #writeEvent(attempt: Attempt, bytes: Buffer): void {
    if (this.#callerGone) {
      return;
    }
    if (!this.#reply.begun) {
      this.#reply.begin(attempt.answer!);
      this.#noteFirstByte();
    }
    if (!this.#reply.write(bytes)) {
      this.#paused = true;
      attempt.exchange?.pause();
    }
  }

  #ended(attempt: Attempt): void {
    if (this.#passesEvents(attempt)) {
      const { rest } = attempt.splitter;
      if (rest.length > 0) {
        this.#writeEvent(attempt, rest);
      }
      if (!this.#reply.begun && !this.#callerGone) {
        this.#reply.begin(attempt.answer!);
      }
      this.#reply.end();
      this.#served(attempt);
      return;
    }
    const status = attempt.answer!.statusCode!;
    if (PROMISES_NOT_RUN.has(status)) {
      // Without the target's word that it did not run, the status cannot be
      // passed on: callers take it for a promise.
      this.#endAttempt(AttemptEnd.Lost, `unfounded status ${status}`);
      return;
    }
    if (status >= FIRST_FAILURE_STATUS) {
      this.#endAttempt(AttemptEnd.Failed, `target answered ${status}`);
      return;
    }
    this.#passOn(attempt);
    this.#served(attempt);
  }

  /** Passes a whole answer on, be it a failure of the target's own. */
  #passOn(attempt: Attempt): void {
    if (!this.#callerGone && !this.#reply.begun) {
      this.#noteFirstByte();
      this.#reply.whole(attempt.answer!, Buffer.concat(attempt.parts));
    }
    this.#logAnswered(attempt);
    this.#finish();
  }

  #served(attempt: Attempt): void {
    this.#attempt = undefined;
    this.#dropAsk();
    this.#parts.board.health.served(attempt.target.targetId);
    this.#tellEnded(attempt, false);
    this.#parts.metrics.attemptEnded(this.#call.pool, "served");
    this.#logAnswered(attempt);
    this.#finish();
  }

  #logAnswered(attempt: Attempt): void {
    if (this.#answered) {
      return;
    }
    this.#answered = true;
    const status = attempt.answer!.statusCode!;
    this.#parts.metrics.answered(this.#call.route.name, status);
    this.#log("answered", {
      targetId: attempt.target.targetId,
      status,
      events: attempt.events,
      firstMs: msSince(attempt.sentAtMs, attempt.firstAtMs),
      longestGapMs: Math.round(this.#longestGapMs),
      tookMs: Math.round(this.#nowMs() - this.#call.arrivedAtMs),
    });
  }

  #broke(attempt: Attempt, fault: ExchangeFault): void {
    if (attempt !== this.#attempt) {
      return;
    }
    const end = fault.sent ? AttemptEnd.Lost : AttemptEnd.NotSent;
    this.#endAttempt(end, fault.reason);
  }

  /** An attempt ended without an answer that can be passed on. */
  #endAttempt(end: AttemptEnd, reason: string): void {
    const attempt = this.#attempt!;
    this.#attempt = undefined;
    // An ask that was made beside it goes by other facts now.
    this.#dropAsk();
    this.#closeAttempt(attempt, end, reason);
    if (end === AttemptEnd.NotSent || end === AttemptEnd.Rejected) {
      this.#runs--;
      this.#rejections++;
    }
    this.#follow(end, attempt);
  }

  #closeAttempt(attempt: Attempt, end: AttemptEnd, reason: string): void {
    const { targetId } = attempt.target;
    if (end !== AttemptEnd.Failed) {
      attempt.exchange?.cancel();
    }
    clearTimeout(this.#silenceTimer);
    this.#excluded.add(targetId);
    const isUnreachable = end === AttemptEnd.NotSent;
    this.#parts.board.health.failed(targetId, isUnreachable, this.#nowMs());
    this.#tellEnded(attempt, true);
    this.#parts.metrics.attemptEnded(this.#call.pool, end);
    this.#log("attempt ended", {
      targetId,
      end,
      reason,
      events: attempt.events,
      tookMs: Math.round(this.#nowMs() - attempt.sentAtMs),
      failuresInRow: this.#parts.board.health.failuresInRow(targetId),
    });
  }

  #follow(end: AttemptEnd, attempt?: Attempt): void {
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
    if (this.#attempt !== undefined) {
      this.#stopAttempt();
    }
    this.#dropAsk();
    this.#answered = true;
    this.#parts.metrics.failed(this.#call.route.name, error);
    this.#log("failed", {
      error,
      route: this.#call.route.name,
      retryAfterMs: retryAfterMs && Math.round(retryAfterMs),
      runs: this.#runs,
      rejections: this.#rejections,
      begun: this.#reply.begun,
      callerGone: this.#callerGone,
      tookMs: Math.round(this.#nowMs() - this.#call.arrivedAtMs),
    });
    if (this.#reply.begun) {
      this.#reply.cut();
    } else if (!this.#callerGone) {
      const { requestId } = this.#call.facts;
      this.#reply.fail(error, { requestId, retryAfterMs });
    }
    this.#finish();
  }

  #stopAttempt(): void {
    const attempt = this.#attempt!;
    this.#attempt = undefined;
    attempt.exchange?.cancel();
    this.#tellEnded(attempt, false);
  }

  #dropAsk(): void {
    if (this.#askId !== undefined) {
      this.#parts.desk.drop(this.#askId);
      this.#askId = undefined;
    }
  }

  #tellEnded(attempt: Attempt, failed: boolean): void {
    const { askId, target, firstAtMs, events } = attempt;
    this.#parts.desk.ended({
      askId,
      targetId: target.targetId,
      pool: this.#call.pool,
      promptTokens: this.#call.facts.tokens?.prompt ?? 0,
      firstMs: msSince(attempt.sentAtMs, firstAtMs),
      eventGapMs: events > 1
        ? (attempt.lastEventAtMs - firstAtMs!) / (events - 1)
        : undefined,
      failed,
    });
  }

  /** Sets the time after which a silent target is given up for another. */
  #watchSilence(): void {
    clearTimeout(this.#silenceTimer);
    const attempt = this.#attempt;
    const { route } = this.#call;
    const canMove = mayRunAgain(route.kind) && this.#runs < route.maxAttempts;
    if (attempt === undefined || !canMove || this.#paused) {
      return;
    }
    const pace = this.#parts.board.paces.of(attempt.target.targetId);
    const limitMs = attempt.events > 0
      ? gapLimitMs(route, pace)
      : firstEventLimitMs(route, attempt.expectedMs);
    this.#silenceTimer = setTimeout(() => this.#askBeside(limitMs), limitMs);
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
    this.#log("target is silent", {
      targetId: attempt.target.targetId,
      silentMs: Math.round(silentMs),
      events: attempt.events,
    });
    this.#excluded.add(attempt.target.targetId);
    this.#ask(AskCause.Repeat);
  }

  /** The silent target went on: the other place is not needed. */
  #stayAtTarget(attempt: Attempt): void {
    if (this.#askId !== undefined) {
      this.#dropAsk();
      this.#excluded.delete(attempt.target.targetId);
    }
  }

  #noteFirstByte(): void {
    const tookMs = this.#nowMs() - this.#call.arrivedAtMs;
    this.#parts.metrics.firstByte(this.#call.route.name, tookMs);
  }

  #finish(): void {
    if (this.#done) {
      return;
    }
    this.#done = true;
    this.#answered = true;
    clearTimeout(this.#deadlineTimer);
    clearTimeout(this.#silenceTimer);
    this.#onDone();
  }

  #log(
    message: string,
    facts: Record<string, string | number | boolean | undefined>,
  ): void {
    const { requestId } = this.#call.facts;
    this.#parts.log.info(LogPart.Request, message, { requestId, ...facts });
  }

  #nowMs(): number {
    return this.#parts.clock.nowMs();
  }
}

function msSince(fromMs: number, atMs: number | undefined): number | undefined {
  return atMs === undefined ? undefined : Math.round(atMs - fromMs);
}
