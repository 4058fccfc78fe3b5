/** Carries out the core's orders towards targets. */

import { type AttemptRef, EventKind } from "@chestnuthatch/core/events";
import {
  type EffectKind,
  type EffectOf,
  LogLevel,
  LogPart,
} from "@chestnuthatch/core/effects";
import { TargetKind } from "@chestnuthatch/wire/shared_types";
import { EngineAdapter } from "./engine_adapter.ts";
import type { HttpRequest } from "./http_exchange.ts";
import {
  type EdgeContext,
  EdgeCounterName,
  type UntimedEvent,
} from "./ports.ts";
import { type SendQueueLimits, SendQueues } from "./send_queues.ts";
import { ServiceAdapter } from "./service_adapter.ts";
import type {
  AnswerLimits,
  DispatchInput,
  TargetAdapter,
} from "./target_adapter.ts";
import { TargetAttempt } from "./target_attempt.ts";
import { sendCancel } from "./target_cancels.ts";
import {
  type ConnectionLimits,
  DEFAULT_CONNECTION_LIMITS,
  TargetConnections,
  type TargetLink,
} from "./target_connections.ts";
import { TargetPolls } from "./target_polls.ts";
import type { Timers } from "./timers.ts";

/** Bounds of the client. */
export interface TargetClientLimits
  extends AnswerLimits, ConnectionLimits, SendQueueLimits {
  /** A dispatch that has waited this long is not sent any more. */
  readonly maxSendWaitMs: number;
}

/** What a target client is made of. */
export interface TargetClientOptions {
  /**
   * @param requestId A request that the core dispatches.
   * @returns What is to be sent, or nothing when it is not known.
   */
  readonly dispatchInput: (requestId: string) => DispatchInput | undefined;
  /**
   * @param requestId The request.
   * @returns Headers that carry its trace.
   */
  readonly traceHeaders?: (
    requestId: string,
  ) => Readonly<Record<string, string>>;
  readonly limits?: Partial<TargetClientLimits>;
  readonly timers?: Timers;
}

type DispatchEffect = EffectOf<EffectKind.Dispatch>;
type ResumeEffect = EffectOf<EffectKind.ResumeStream>;
type CancelEffect = EffectOf<EffectKind.CancelStream>;

const DEFAULT_LIMITS: TargetClientLimits = {
  ...DEFAULT_CONNECTION_LIMITS,
  maxLineBytes: 256 * 1024,
  maxBodyBytes: 64 * 1024 * 1024,
  concurrentSends: 64,
  maxQueuedSends: 4096,
  maxSendWaitMs: 1000,
};
const REASON_NO_ADDRESS = "the target's address is unknown";
const REASON_NO_CONNECTION = "all connections to the target are in use";
const REASON_QUEUE_FULL = "too many dispatches wait to be sent";
const REASON_CANCELLED = "cancelled";
const REASON_STOPPED = "the instance stopped";
const REASON_NO_RESUME = "the stream cannot be resumed";

const ADAPTERS: Readonly<Record<TargetKind, TargetAdapter>> = {
  [TargetKind.Engine]: new EngineAdapter(),
  [TargetKind.Service]: new ServiceAdapter(),
};

/** Dispatches requests, each at most once, and reads what targets answer. */
export class TargetClient {
  readonly #edge: EdgeContext;
  readonly #options: TargetClientOptions;
  readonly #limits: TargetClientLimits;
  readonly #connections: TargetConnections;
  readonly #polls: TargetPolls;
  readonly #queues: SendQueues;
  /** Open attempts by request id. */
  readonly #open = new Map<string, TargetAttempt>();
  readonly #kinds = new Map<string, TargetKind>();
  #stopped = false;

  /**
   * @param edge The instance's sinks and clock.
   * @param options Where bodies come from, and bounds.
   */
  constructor(edge: EdgeContext, options: TargetClientOptions) {
    this.#edge = edge;
    this.#options = options;
    this.#limits = { ...DEFAULT_LIMITS, ...options.limits };
    this.#queues = new SendQueues(this.#limits);
    this.#connections = new TargetConnections(this.#limits);
    this.#polls = new TargetPolls(edge, this.#connections);
  }

  /** @returns Attempts that wait to be sent or are in progress. */
  get openAttempts(): number {
    return this.#open.size;
  }

  /**
   * Sends a request to its target, once, in the order of its pool's queue.
   *
   * @param effect The dispatch.
   */
  dispatch(effect: DispatchEffect): void {
    if (this.#refuseSecond(effect)) {
      return;
    }
    if (this.#stopped) {
      this.#emitNotSent(effect, REASON_STOPPED);
      return;
    }
    const input = this.#options.dispatchInput(effect.requestId);
    const link = input &&
      this.#connections.link(effect.targetId, input.address);
    if (input === undefined || link === undefined) {
      this.#emitNotSent(effect, REASON_NO_ADDRESS);
      return;
    }
    if (this.#queues.isFull(effect.pool)) {
      this.#emitNotSent(effect, REASON_QUEUE_FULL);
      return;
    }
    this.#kinds.set(effect.targetId, input.kind);
    const attempt = this.#openAttempt(effect, {
      kind: input.kind,
      maySoFarHaveRun: false,
      timeToSendMs: effect.timeLeftMs,
    });
    const request = ADAPTERS[input.kind].dispatch({ ...effect, input });
    this.#queues.add(() => this.#send(attempt, link, request), {
      pool: effect.pool,
      tierRank: effect.tierRank,
      value: effect.value,
    });
  }

  /**
   * Reads on an engine's stream from a token; a stream that is still open for
   * the request is closed without a word.
   *
   * @param effect The attempt, and where to go on.
   */
  resumeStream(effect: ResumeEffect): void {
    this.#open.get(effect.requestId)?.supersede();
    const kind = this.#kindOf(effect);
    const link = this.#linkOf(effect);
    const request = kind && ADAPTERS[kind].resume(effect, effect.fromToken);
    if (
      this.#stopped || kind === undefined || link === undefined ||
      request === undefined
    ) {
      this.#emitClosed(effect, REASON_NO_RESUME);
      return;
    }
    const attempt = this.#openAttempt(effect, {
      kind,
      maySoFarHaveRun: true,
      timeToSendMs: effect.answerTimeLeftMs,
    });
    void this.#send(attempt, link, request);
  }

  /**
   * Cuts an attempt off. One that has been sent is cancelled at its target,
   * where the target can; one that still waits is never sent.
   *
   * @param effect The attempt.
   */
  cancelStream(effect: CancelEffect): void {
    const attempt = this.#open.get(effect.requestId);
    if (attempt?.ref.attemptNonce === effect.attemptNonce) {
      attempt.stop(REASON_CANCELLED);
    }
    const kind = this.#kindOf(effect);
    const request = kind && ADAPTERS[kind].cancel(effect);
    const link = this.#linkOf(effect);
    if (request !== undefined && link !== undefined && !this.#stopped) {
      const traced = this.#traced(effect, request);
      void sendCancel(this.#edge, { link, request: traced });
    }
  }

  /** @param effect Whose load to read. */
  pollLoad(effect: EffectOf<EffectKind.PollLoad>): void {
    void this.#polls.pollLoad(effect);
  }

  /** @param effect Whose cache events to read. */
  pollCacheEvents(effect: EffectOf<EffectKind.PollCacheEvents>): void {
    void this.#polls.pollCacheEvents(effect);
  }

  /** Ends every attempt and closes all connections. */
  async stop(): Promise<void> {
    this.#stopped = true;
    for (const attempt of [...this.#open.values()]) {
      attempt.stop(REASON_STOPPED);
    }
    await this.#connections.stop();
  }

  #send(
    attempt: TargetAttempt,
    link: TargetLink,
    request: HttpRequest,
  ): Promise<void> {
    // Waiting for a connection here would hold up the pool's other targets.
    if (this.#connections.isFull(link)) {
      attempt.stop(REASON_NO_CONNECTION);
      return Promise.resolve();
    }
    this.#edge.count(EdgeCounterName.TargetCalls, { call: "attempt" }, 1);
    return attempt.send(link.streams, this.#traced(attempt.ref, request));
  }

  #traced(ref: AttemptRef, request: HttpRequest): HttpRequest {
    const headers = this.#options.traceHeaders?.(ref.requestId);
    return headers === undefined ? request : { ...request, headers };
  }

  #openAttempt(
    effect: DispatchEffect | ResumeEffect,
    options: {
      kind: TargetKind;
      maySoFarHaveRun: boolean;
      timeToSendMs: number;
    },
  ): TargetAttempt {
    const { requestId, attemptNonce, answerTimeLeftMs } = effect;
    const nowMs = this.#edge.clock.nowMs();
    const attempt = new TargetAttempt({ requestId, attemptNonce }, {
      adapter: ADAPTERS[options.kind],
      limits: this.#limits,
      emit: this.#edge.emit,
      clock: this.#edge.clock,
      timers: this.#options.timers,
      deadlineAtMs: nowMs + answerTimeLeftMs,
      sendByAtMs: nowMs +
        Math.min(this.#limits.maxSendWaitMs, options.timeToSendMs),
      maySoFarHaveRun: options.maySoFarHaveRun,
      onEnd: () => this.#open.delete(requestId),
    });
    this.#open.set(requestId, attempt);
    return attempt;
  }

  /** The last guard of "at most once": one open attempt for each request. */
  #refuseSecond(effect: DispatchEffect): boolean {
    if (!this.#open.has(effect.requestId)) {
      return false;
    }
    this.#edge.log(
      LogLevel.Error,
      LogPart.Targets,
      `Request ${effect.requestId} is at a target already; not sent again.`,
    );
    return true;
  }

  #kindOf(effect: ResumeEffect | CancelEffect): TargetKind | undefined {
    return this.#options.dispatchInput(effect.requestId)?.kind ??
      this.#kinds.get(effect.targetId);
  }

  #linkOf(effect: ResumeEffect | CancelEffect): TargetLink | undefined {
    const known = this.#connections.known(effect.targetId);
    if (known !== undefined) {
      return known;
    }
    const input = this.#options.dispatchInput(effect.requestId);
    return input && this.#connections.link(effect.targetId, input.address);
  }

  #emitNotSent({ requestId, attemptNonce }: AttemptRef, reason: string): void {
    this.#emitLater({
      kind: EventKind.DispatchNotSent,
      requestId,
      attemptNonce,
      reason,
      targetUnreachable: false,
    });
  }

  #emitClosed({ requestId, attemptNonce }: AttemptRef, reason: string): void {
    const kind = EventKind.StreamClosed;
    this.#emitLater({ kind, requestId, attemptNonce, reason });
  }

  /** Later, so that no event arises inside the effect that caused it. */
  #emitLater(event: UntimedEvent): void {
    queueMicrotask(() => this.#edge.emit(event));
  }
}
