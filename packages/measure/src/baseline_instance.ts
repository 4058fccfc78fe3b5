/**
 * Entry instance to compare the scheduler with. It picks the less loaded of two
 * random targets by their delayed load reports. It ignores tiers and dispatches
 * every call at once, so that requests queue inside the targets.
 */

import {
  type RandomSource,
  seededRandomSource,
} from "@chestnuthatch/core/random_source";
import type { Refusal } from "@chestnuthatch/core/request";
import { EngineEventKind } from "@chestnuthatch/wire/target_protocol";
import {
  ErrorKind,
  RunState,
  type TargetLoad,
} from "@chestnuthatch/wire/shared_types";
import type {
  EntryInstance,
  HeldWork,
  InstanceContext,
  InstanceLocation,
} from "./entry_instance.ts";
import { Mailbox } from "./mailbox.ts";
import type {
  AttemptListener,
  SimulatedTarget,
  TargetWork,
} from "./simulated_target.ts";
import { TargetClient } from "./target_client.ts";
import { type CallerCall, toCallRecord } from "./work_item.ts";

/** Identity, location, random seed and timing of a baseline instance. */
export interface BaselineInstanceOptions extends InstanceLocation {
  readonly seed: number;
  readonly loadPollMs: number;
}

interface Attempt {
  readonly call: CallerCall;
  /** Id that the target receives: the call's own, or one for its retry. */
  readonly requestId: string;
  readonly targetId: string;
  readonly isRetry: boolean;
  /** Text received so far. */
  text: string;
}

const RETRY_AFTER_MS = 1000;

/** Entry instance without a queue, which dispatches every call at once. */
export class BaselineInstance implements EntryInstance {
  readonly instanceId: string;
  readonly failureDomain: string;
  readonly #context: InstanceContext;
  readonly #options: BaselineInstanceOptions;
  readonly #targetClient: TargetClient;
  readonly #random: RandomSource;
  readonly #mailbox = new Mailbox();
  readonly #loadsByTargetId = new Map<string, TargetLoad>();
  /** Current attempt of each open call, by the call's id. */
  readonly #attemptsByRequestId = new Map<string, Attempt>();
  #incarnation = 0;
  #isRunning = false;
  #resumedAtMs = -Infinity;

  /**
   * @param context The parts of the simulation that the instance uses.
   * @param options Identity, location, random seed and timing of the instance.
   */
  constructor(context: InstanceContext, options: BaselineInstanceOptions) {
    this.instanceId = options.instanceId;
    this.failureDomain = options.failureDomain;
    this.#context = context;
    this.#options = options;
    this.#targetClient = new TargetClient(context, options.failureDomain);
    this.#random = seededRandomSource(options.seed);
  }

  /** @inheritdoc */
  get isLive(): boolean {
    return this.#isRunning;
  }

  /** @inheritdoc */
  get isPaused(): boolean {
    return this.#mailbox.isPaused;
  }

  /** @inheritdoc */
  get isReady(): boolean {
    return this.#isRunning;
  }

  /** @inheritdoc */
  get resumedAtMs(): number {
    return this.#resumedAtMs;
  }

  /** @inheritdoc */
  start(): void {
    this.#isRunning = true;
    this.#incarnation += 1;
    this.#pollLoads(this.#incarnation);
  }

  /** @inheritdoc */
  kill(): void {
    const { callers } = this.#context;
    this.#isRunning = false;
    this.#mailbox.clear();
    for (const requestId of this.#attemptsByRequestId.keys()) {
      this.#notifyCaller(() => callers.onConnectionLost(requestId));
    }
    this.#attemptsByRequestId.clear();
    this.#loadsByTargetId.clear();
  }

  /** @inheritdoc */
  pause(): void {
    this.#mailbox.pause();
  }

  /** @inheritdoc */
  resume(): void {
    this.#resumedAtMs = this.#context.queue.nowMs;
    this.#mailbox.resume();
  }

  /** @inheritdoc */
  receiveCall(call: CallerCall): void {
    this.#deliver(() =>
      this.#dispatch(call, { excludedTargetId: "", isRetry: false })
    );
  }

  /** @inheritdoc */
  onCallerDisconnected(requestId: string): void {
    this.#deliver(() => {
      const attempt = this.#attemptsByRequestId.get(requestId);
      if (attempt !== undefined) {
        this.#targetClient.cancel(attempt.targetId, attemptRef(attempt));
        this.#attemptsByRequestId.delete(requestId);
      }
    });
  }

  /** @inheritdoc */
  heldWork(): HeldWork[] {
    return [...this.#attemptsByRequestId.values()].map(({ call }) => ({
      requestId: call.requestId,
      pool: call.item.pool,
      tierRank: call.item.tierRank,
      heldSinceMs: call.sentAtMs,
      running: true,
      cancellable: false,
    }));
  }

  /** @inheritdoc */
  describeDecisions(): string[] {
    return [];
  }

  #deliver(callback: () => void): void {
    const incarnation = this.#incarnation;
    this.#mailbox.deliver(() => {
      if (this.#isRunning && incarnation === this.#incarnation) {
        callback();
      }
    });
  }

  #pollLoads(incarnation: number): void {
    if (!this.#isRunning || incarnation !== this.#incarnation) {
      return;
    }
    for (const targetId of this.#context.targets.keys()) {
      this.#targetClient.pollLoad(targetId, (load) =>
        this.#deliver(() => {
          if (load === undefined) {
            this.#loadsByTargetId.delete(targetId);
          } else {
            this.#loadsByTargetId.set(targetId, load);
          }
        }));
    }
    this.#context.queue.after(
      this.#options.loadPollMs,
      () => this.#pollLoads(incarnation),
    );
  }

  #dispatch(
    call: CallerCall,
    options: { excludedTargetId: string; isRetry: boolean },
  ): void {
    const target = this.#pickTarget(call.item.pool, options.excludedTargetId);
    if (target === undefined) {
      this.#refuseCaller(call, {
        error: ErrorKind.NoTarget,
        ran: RunState.NotRun,
      });
      return;
    }
    const attempt: Attempt = {
      call,
      requestId: options.isRetry ? `${call.requestId}~2` : call.requestId,
      targetId: target.settings.id,
      isRetry: options.isRetry,
      text: "",
    };
    this.#attemptsByRequestId.set(call.requestId, attempt);
    if (attempt.isRetry) {
      this.#context.checker.recordCall({
        ...toCallRecord(call, this.instanceId),
        requestId: attempt.requestId,
      });
    }
    this.#targetClient.dispatch(attempt.targetId, {
      work: this.#targetWork(attempt),
      listener: this.#createListener(attempt),
      onNotSent: () =>
        this.#deliver(() => this.#failAttempt(attempt, RunState.NotRun)),
    });
  }

  #pickTarget(
    pool: string,
    excludedTargetId: string,
  ): SimulatedTarget | undefined {
    const candidates = [...this.#context.targets.values()].filter((target) =>
      target.settings.pool === pool &&
      target.settings.id !== excludedTargetId &&
      this.#loadsByTargetId.get(target.settings.id)?.leaving === false
    );
    const [first, second] = [0, 1].map(() =>
      candidates[Math.floor(this.#random.next() * candidates.length)]
    );
    if (first === undefined || second === undefined) {
      return undefined;
    }
    return this.#loadRatio(first) <= this.#loadRatio(second) ? first : second;
  }

  #loadRatio(target: SimulatedTarget): number {
    const load = this.#loadsByTargetId.get(target.settings.id);
    return load === undefined
      ? Infinity
      : (load.slotsUsed + load.waitingRequests) / load.slotsTotal;
  }

  #targetWork({ call, requestId }: Attempt): TargetWork {
    const { item } = call;
    return {
      ...attemptRef({ requestId }),
      holderId: this.instanceId,
      pool: item.pool,
      model: item.model,
      tierRank: item.tierRank,
      prompt: item.prompt,
      promptTokens: item.promptTokens,
      maxOutputTokens: item.maxOutputTokens,
      idempotencyKey: item.idempotencyKey,
      blockHashes: item.blockHashes,
    };
  }

  #createListener(attempt: Attempt): AttemptListener {
    const ifCurrent = (run: () => void) =>
      this.#deliver(() => {
        if (this.#attemptsByRequestId.get(attempt.call.requestId) === attempt) {
          run();
        }
      });
    return {
      failureDomain: this.failureDomain,
      onStreamEvent: (event) =>
        ifCurrent(() => {
          if (event.kind === EngineEventKind.Token) {
            attempt.text += event.text;
          } else if (event.kind === EngineEventKind.End) {
            this.#answerCaller(attempt, attempt.text);
          } else if (event.kind === EngineEventKind.Error) {
            this.#failAttempt(attempt, RunState.MayHaveRun);
          }
        }),
      onServiceAnswered: (answer) =>
        ifCurrent(() => this.#answerCaller(attempt, answer.body)),
      onClosed: () =>
        ifCurrent(() => this.#failAttempt(attempt, RunState.MayHaveRun)),
    };
  }

  #answerCaller({ call }: Attempt, text: string): void {
    const { checker, callers } = this.#context;
    this.#attemptsByRequestId.delete(call.requestId);
    checker.recordCallAnswered(call.requestId, text);
    this.#notifyCaller(() => callers.onAnswered(call.requestId, text));
  }

  #failAttempt(attempt: Attempt, ran: RunState): void {
    const { call } = attempt;
    if (this.#attemptsByRequestId.get(call.requestId) !== attempt) {
      return;
    }
    this.#attemptsByRequestId.delete(call.requestId);
    const mayRetry = call.item.idempotent || ran === RunState.NotRun;
    if (mayRetry && !attempt.isRetry) {
      this.#dispatch(call, {
        excludedTargetId: attempt.targetId,
        isRetry: true,
      });
      return;
    }
    this.#refuseCaller(call, { error: ErrorKind.TargetFailed, ran });
  }

  #refuseCaller(
    call: CallerCall,
    cause: { error: ErrorKind; ran: RunState },
  ): void {
    const refusal: Refusal = {
      requestId: call.requestId,
      ...cause,
      message: "the target failed",
      mayRetry: cause.ran === RunState.NotRun || call.item.idempotent,
      retryAfterMs: RETRY_AFTER_MS,
      callLog: [],
    };
    this.#context.checker.recordCallRefused(call.requestId, refusal);
    this.#notifyCaller(() =>
      this.#context.callers.onRefused(call.requestId, refusal)
    );
  }

  #notifyCaller(notify: () => void): void {
    const { queue, network } = this.#context;
    queue.after(network.delays.callerDelayMs, notify);
  }
}

function attemptRef(
  { requestId }: { requestId: string },
): { requestId: string; attemptNonce: string } {
  return { requestId, attemptNonce: requestId };
}
