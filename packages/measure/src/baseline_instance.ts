/**
 * The comparison: an instance that picks the better of two random targets by
 * their stale load reports, first come first served and without tiers, and
 * sends work on at once, so that it queues inside the targets.
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
  InstancePlace,
} from "./entry_instance.ts";
import { Mailbox } from "./mailbox.ts";
import type { HolderEnd, TargetHost, TargetWork } from "./target_host.ts";
import { TargetPort } from "./target_port.ts";
import { type CallerCall, callRecordOf } from "./work_item.ts";

/** How one baseline instance is made. */
export interface BaselineInstanceOptions extends InstancePlace {
  readonly seed: number;
  readonly loadPollMs: number;
}

interface Attempt {
  readonly call: CallerCall;
  /** Id that targets see: that of the call, or of its retry. */
  readonly requestId: string;
  readonly targetId: string;
  readonly isRetry: boolean;
  text: string;
}

const RETRY_AFTER_MS = 1000;

/** Sends every call to a target at once. */
export class BaselineInstance implements EntryInstance {
  readonly instanceId: string;
  readonly failureDomain: string;
  readonly #context: InstanceContext;
  readonly #options: BaselineInstanceOptions;
  readonly #targets: TargetPort;
  readonly #random: RandomSource;
  readonly #mailbox = new Mailbox();
  readonly #loads = new Map<string, TargetLoad>();
  /** The running attempt of each open call. */
  readonly #open = new Map<string, Attempt>();
  #life = 0;
  #live = false;
  #resumedAtMs = -Infinity;

  /**
   * @param context The world.
   * @param options Who the instance is.
   */
  constructor(context: InstanceContext, options: BaselineInstanceOptions) {
    this.instanceId = options.instanceId;
    this.failureDomain = options.failureDomain;
    this.#context = context;
    this.#options = options;
    this.#targets = new TargetPort(context, options.failureDomain);
    this.#random = seededRandomSource(options.seed);
  }

  /** @inheritdoc */
  get isLive(): boolean {
    return this.#live;
  }

  /** @inheritdoc */
  get isPaused(): boolean {
    return this.#mailbox.isPaused;
  }

  /** @inheritdoc */
  get isReady(): boolean {
    return this.#live;
  }

  /** @inheritdoc */
  get resumedAtMs(): number {
    return this.#resumedAtMs;
  }

  /** @inheritdoc */
  start(): void {
    this.#live = true;
    this.#life += 1;
    this.#pollLoads(this.#life);
  }

  /** @inheritdoc */
  kill(): void {
    const { callers } = this.#context;
    this.#live = false;
    this.#mailbox.clear();
    for (const requestId of this.#open.keys()) {
      this.#tellCaller(() => callers.lost(requestId));
    }
    this.#open.clear();
    this.#loads.clear();
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
  receive(call: CallerCall): void {
    this.#deliver(() => this.#send(call, { avoidId: "", isRetry: false }));
  }

  /** @inheritdoc */
  hangUp(requestId: string): void {
    this.#deliver(() => {
      const attempt = this.#open.get(requestId);
      if (attempt !== undefined) {
        this.#targets.cancel(attempt.targetId, refOf(attempt));
        this.#open.delete(requestId);
      }
    });
  }

  /** @inheritdoc */
  heldWork(): HeldWork[] {
    return [...this.#open.values()].map(({ call }) => ({
      requestId: call.requestId,
      pool: call.item.pool,
      tierRank: call.item.tierRank,
      heldSinceMs: call.sentAtMs,
      running: true,
      cancellable: false,
    }));
  }

  /** @inheritdoc */
  story(): string[] {
    return [];
  }

  #deliver(run: () => void): void {
    const life = this.#life;
    this.#mailbox.deliver(() => {
      if (this.#live && life === this.#life) {
        run();
      }
    });
  }

  #pollLoads(life: number): void {
    if (!this.#live || life !== this.#life) {
      return;
    }
    for (const targetId of this.#context.targets.keys()) {
      this.#targets.pollLoad(targetId, (load) =>
        this.#deliver(() => {
          if (load === undefined) {
            this.#loads.delete(targetId);
          } else {
            this.#loads.set(targetId, load);
          }
        }));
    }
    this.#context.queue.after(
      this.#options.loadPollMs,
      () => this.#pollLoads(life),
    );
  }

  #send(
    call: CallerCall,
    options: { avoidId: string; isRetry: boolean },
  ): void {
    const target = this.#pickTarget(call.item.pool, options.avoidId);
    if (target === undefined) {
      this.#refuse(call, { error: ErrorKind.NoTarget, ran: RunState.NotRun });
      return;
    }
    const attempt: Attempt = {
      call,
      requestId: options.isRetry ? `${call.requestId}~2` : call.requestId,
      targetId: target.settings.id,
      isRetry: options.isRetry,
      text: "",
    };
    this.#open.set(call.requestId, attempt);
    if (attempt.isRetry) {
      this.#context.checker.callReceived({
        ...callRecordOf(call, this.instanceId),
        requestId: attempt.requestId,
      });
    }
    this.#targets.dispatch(attempt.targetId, {
      work: this.#workOf(attempt),
      holder: this.#holderEnd(attempt),
      notSent: () => this.#deliver(() => this.#fail(attempt, RunState.NotRun)),
    });
  }

  #pickTarget(pool: string, avoidId: string): TargetHost | undefined {
    const candidates = [...this.#context.targets.values()].filter((target) =>
      target.settings.pool === pool && target.settings.id !== avoidId &&
      this.#loads.get(target.settings.id)?.leaving === false
    );
    const [first, second] = [0, 1].map(() =>
      candidates[Math.floor(this.#random.next() * candidates.length)]
    );
    if (first === undefined || second === undefined) {
      return undefined;
    }
    return this.#fillOf(first) <= this.#fillOf(second) ? first : second;
  }

  #fillOf(target: TargetHost): number {
    const load = this.#loads.get(target.settings.id);
    return load === undefined
      ? Infinity
      : (load.slotsUsed + load.waitingRequests) / load.slotsTotal;
  }

  #workOf({ call, requestId }: Attempt): TargetWork {
    const { item } = call;
    return {
      ...refOf({ requestId }),
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

  #holderEnd(attempt: Attempt): HolderEnd {
    const ifCurrent = (run: () => void) =>
      this.#deliver(() => {
        if (this.#open.get(attempt.call.requestId) === attempt) {
          run();
        }
      });
    return {
      failureDomain: this.failureDomain,
      streamEvent: (event) =>
        ifCurrent(() => {
          if (event.kind === EngineEventKind.Token) {
            attempt.text += event.text;
          } else if (event.kind === EngineEventKind.End) {
            this.#answer(attempt, attempt.text);
          } else if (event.kind === EngineEventKind.Error) {
            this.#fail(attempt, RunState.MayHaveRun);
          }
        }),
      serviceAnswered: (answer) =>
        ifCurrent(() => this.#answer(attempt, answer.body)),
      closed: () => ifCurrent(() => this.#fail(attempt, RunState.MayHaveRun)),
    };
  }

  #answer({ call }: Attempt, text: string): void {
    const { checker, callers } = this.#context;
    this.#open.delete(call.requestId);
    checker.callAnswered(call.requestId, text);
    this.#tellCaller(() => callers.answered(call.requestId, text));
  }

  #fail(attempt: Attempt, ran: RunState): void {
    const { call } = attempt;
    if (this.#open.get(call.requestId) !== attempt) {
      return;
    }
    this.#open.delete(call.requestId);
    const mayRepeat = call.item.idempotent || ran === RunState.NotRun;
    if (mayRepeat && !attempt.isRetry) {
      this.#send(call, { avoidId: attempt.targetId, isRetry: true });
      return;
    }
    this.#refuse(call, { error: ErrorKind.TargetFailed, ran });
  }

  #refuse(
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
    this.#context.checker.callRefused(call.requestId, refusal);
    this.#tellCaller(() =>
      this.#context.callers.refused(call.requestId, refusal)
    );
  }

  #tellCaller(run: () => void): void {
    const { queue, network } = this.#context;
    queue.after(network.delays.toCallersMs, run);
  }
}

function refOf(
  { requestId }: { requestId: string },
): { requestId: string; attemptNonce: string } {
  return { requestId, attemptNonce: requestId };
}
