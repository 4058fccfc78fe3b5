/** The target edge: executes the core's effects that call targets. */

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
import { sendCancel } from "./target_cancellation.ts";
import {
  type ConnectionLimits,
  DEFAULT_CONNECTION_LIMITS,
  TargetConnections,
  type TargetPools,
} from "./target_connections.ts";
import { TargetPolls } from "./target_polls.ts";
import type { Timers } from "./timers.ts";

/** Limits of a {@link TargetClient}. */
export interface TargetClientLimits
  extends AnswerLimits, ConnectionLimits, SendQueueLimits {
  /** Time after which a queued dispatch is no longer sent. */
  readonly maxSendWaitMs: number;
}

/** Options of a {@link TargetClient}. */
export interface TargetClientOptions {
  /**
   * Collects the data to send for a request.
   *
   * @param requestId Id of a request that the core dispatches.
   * @returns The data, or `undefined` if the request is not known.
   */
  readonly dispatchInput: (requestId: string) => DispatchInput | undefined;
  /**
   * Creates the headers that carry the trace context of a request.
   *
   * @param requestId Id of the request.
   * @returns The headers; empty if the request is not traced.
   */
  readonly traceHeaders?: (
    requestId: string,
  ) => Readonly<Record<string, string>>;
  /** Limits that differ from the defaults. */
  readonly limits?: Partial<TargetClientLimits>;
  /** Timers of Node.js by default. */
  readonly timers?: Timers;
}

type DispatchEffect = EffectOf<EffectKind.Dispatch>;
type ResumeEffect = EffectOf<EffectKind.ResumeStream>;
type CancelEffect = EffectOf<EffectKind.CancelStream>;

const DEFAULT_LIMITS: TargetClientLimits = {
  ...DEFAULT_CONNECTION_LIMITS,
  maxLineBytes: 256 * 1024,
  maxBodyBytes: 64 * 1024 * 1024,
  maxConcurrentSends: 64,
  maxQueuedSends: 4096,
  maxSendWaitMs: 1000,
};
const REASON_NO_ADDRESS = "the target's address is unknown";
const REASON_NO_CONNECTION = "all connections to the target are in use";
const REASON_QUEUE_FULL = "too many dispatches wait to be sent";
const REASON_CANCELLED = "cancelled";
const REASON_STOPPED = "the instance stopped";
const REASON_NO_RESUME = "the stream cannot be resumed";

const ADAPTER_BY_KIND: Readonly<Record<TargetKind, TargetAdapter>> = {
  [TargetKind.Engine]: new EngineAdapter(),
  [TargetKind.Service]: new ServiceAdapter(),
};

/**
 * Sends requests to targets, each dispatch at most once, and emits the answers
 * as events. Also sends cancels, and polls targets for their reports.
 */
export class TargetClient {
  readonly #context: EdgeContext;
  readonly #options: TargetClientOptions;
  readonly #limits: TargetClientLimits;
  readonly #connections: TargetConnections;
  readonly #polls: TargetPolls;
  readonly #sendQueues: SendQueues;
  /** Open attempts by request id; an attempt is one try to run a request. */
  readonly #attempts = new Map<string, TargetAttempt>();
  readonly #kindByTarget = new Map<string, TargetKind>();
  #isStopped = false;

  /**
   * @param context Clock, event sink, log and counters of the instance.
   * @param options Source of the data to send, and limits.
   */
  constructor(context: EdgeContext, options: TargetClientOptions) {
    this.#context = context;
    this.#options = options;
    this.#limits = { ...DEFAULT_LIMITS, ...options.limits };
    this.#sendQueues = new SendQueues(this.#limits);
    this.#connections = new TargetConnections(this.#limits);
    this.#polls = new TargetPolls(context, this.#connections);
  }

  /** Number of attempts that are queued or in progress. */
  get openAttempts(): number {
    return this.#attempts.size;
  }

  /**
   * Queues a request, and sends it once, in the order of its pool's queue.
   *
   * @param effect Request, target and rank of the dispatch.
   */
  dispatch(effect: DispatchEffect): void {
    if (this.#rejectDuplicate(effect)) {
      return;
    }
    if (this.#isStopped) {
      this.#emitNotSent(effect, REASON_STOPPED);
      return;
    }
    const input = this.#options.dispatchInput(effect.requestId);
    const pools = input &&
      this.#connections.getOrCreate(effect.targetId, input.address);
    if (input === undefined || pools === undefined) {
      this.#emitNotSent(effect, REASON_NO_ADDRESS);
      return;
    }
    if (this.#sendQueues.isFull(effect.pool)) {
      this.#emitNotSent(effect, REASON_QUEUE_FULL);
      return;
    }
    this.#kindByTarget.set(effect.targetId, input.kind);
    const attempt = this.#createAttempt(effect, {
      kind: input.kind,
      mayHaveRun: false,
      sendTimeoutMs: effect.timeLeftMs,
    });
    const request = ADAPTER_BY_KIND[input.kind].dispatchRequest({
      ...effect,
      input,
    });
    this.#sendQueues.add(() => this.#send(attempt, pools, request), {
      pool: effect.pool,
      tierRank: effect.tierRank,
      value: effect.value,
    });
  }

  /**
   * Resumes reading an engine's stream from a token. A stream that is still
   * open for the request is closed without an event.
   *
   * @param effect Attempt to resume, and index of the first token to read.
   */
  resumeStream(effect: ResumeEffect): void {
    this.#attempts.get(effect.requestId)?.supersede();
    const kind = this.#findKind(effect);
    const pools = this.#findPools(effect);
    const request = kind &&
      ADAPTER_BY_KIND[kind].resumeRequest(effect, effect.fromToken);
    if (
      this.#isStopped || kind === undefined || pools === undefined ||
      request === undefined
    ) {
      this.#emitClosed(effect, REASON_NO_RESUME);
      return;
    }
    const attempt = this.#createAttempt(effect, {
      kind,
      mayHaveRun: true,
      sendTimeoutMs: effect.answerTimeLeftMs,
    });
    void this.#send(attempt, pools, request);
  }

  /**
   * Aborts an attempt. A queued attempt is never sent; one that has been sent
   * is also cancelled at its target, if targets of its kind support that.
   *
   * @param effect Attempt to cancel.
   */
  cancelStream(effect: CancelEffect): void {
    const attempt = this.#attempts.get(effect.requestId);
    if (attempt?.ref.attemptNonce === effect.attemptNonce) {
      attempt.abort(REASON_CANCELLED);
    }
    const kind = this.#findKind(effect);
    const request = kind && ADAPTER_BY_KIND[kind].cancelRequest(effect);
    const pools = this.#findPools(effect);
    if (request !== undefined && pools !== undefined && !this.#isStopped) {
      const tracedRequest = this.#withTraceHeaders(effect, request);
      void sendCancel(this.#context, { pools, request: tracedRequest });
    }
  }

  /**
   * Reads the load of a target and emits it as an event.
   *
   * @param effect Target to poll.
   */
  pollLoad(effect: EffectOf<EffectKind.PollLoad>): void {
    void this.#polls.pollLoad(effect);
  }

  /**
   * Reads the cache events of an engine and emits them as an event.
   *
   * @param effect Target to poll, and the last event read before.
   */
  pollCacheEvents(effect: EffectOf<EffectKind.PollCacheEvents>): void {
    void this.#polls.pollCacheEvents(effect);
  }

  /** Aborts every attempt and closes all connections. */
  async stop(): Promise<void> {
    this.#isStopped = true;
    for (const attempt of [...this.#attempts.values()]) {
      attempt.abort(REASON_STOPPED);
    }
    await this.#connections.stop();
  }

  #send(
    attempt: TargetAttempt,
    pools: TargetPools,
    request: HttpRequest,
  ): Promise<void> {
    // Waiting for a connection here would block dispatches of the same pool to
    // other targets.
    if (this.#connections.isStreamPoolFull(pools)) {
      attempt.abort(REASON_NO_CONNECTION);
      return Promise.resolve();
    }
    this.#context.count(EdgeCounterName.TargetCalls, { call: "attempt" }, 1);
    return attempt.send(
      pools.streamPool,
      this.#withTraceHeaders(attempt.ref, request),
    );
  }

  #withTraceHeaders(ref: AttemptRef, request: HttpRequest): HttpRequest {
    const headers = this.#options.traceHeaders?.(ref.requestId);
    return headers === undefined ? request : { ...request, headers };
  }

  #createAttempt(
    effect: DispatchEffect | ResumeEffect,
    options: {
      kind: TargetKind;
      mayHaveRun: boolean;
      sendTimeoutMs: number;
    },
  ): TargetAttempt {
    const { requestId, attemptNonce, answerTimeLeftMs } = effect;
    const nowMs = this.#context.clock.nowMs();
    const attempt = new TargetAttempt({ requestId, attemptNonce }, {
      adapter: ADAPTER_BY_KIND[options.kind],
      limits: this.#limits,
      emit: this.#context.emit,
      clock: this.#context.clock,
      timers: this.#options.timers,
      deadlineAtMs: nowMs + answerTimeLeftMs,
      sendByAtMs: nowMs +
        Math.min(this.#limits.maxSendWaitMs, options.sendTimeoutMs),
      mayHaveRun: options.mayHaveRun,
      onEnd: () => this.#attempts.delete(requestId),
    });
    this.#attempts.set(requestId, attempt);
    return attempt;
  }

  /** Allows one open attempt per request, so that none is sent twice. */
  #rejectDuplicate(effect: DispatchEffect): boolean {
    if (!this.#attempts.has(effect.requestId)) {
      return false;
    }
    this.#context.log(
      LogLevel.Error,
      LogPart.Targets,
      `Request ${effect.requestId} is already being sent; duplicate dispatch ignored.`,
    );
    return true;
  }

  #findKind(effect: ResumeEffect | CancelEffect): TargetKind | undefined {
    return this.#options.dispatchInput(effect.requestId)?.kind ??
      this.#kindByTarget.get(effect.targetId);
  }

  #findPools(effect: ResumeEffect | CancelEffect): TargetPools | undefined {
    const pools = this.#connections.find(effect.targetId);
    if (pools !== undefined) {
      return pools;
    }
    const input = this.#options.dispatchInput(effect.requestId);
    return input &&
      this.#connections.getOrCreate(effect.targetId, input.address);
  }

  #emitNotSent({ requestId, attemptNonce }: AttemptRef, reason: string): void {
    this.#emitDeferred({
      kind: EventKind.DispatchNotSent,
      requestId,
      attemptNonce,
      reason,
      targetUnreachable: false,
    });
  }

  #emitClosed({ requestId, attemptNonce }: AttemptRef, reason: string): void {
    const kind = EventKind.StreamClosed;
    this.#emitDeferred({ kind, requestId, attemptNonce, reason });
  }

  /** Deferred, so that no event is emitted while its cause is executed. */
  #emitDeferred(event: UntimedEvent): void {
    queueMicrotask(() => this.#context.emit(event));
  }
}
