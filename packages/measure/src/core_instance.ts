/** Entry instance that runs the real scheduler core on the simulated clock. */

import { performance } from "node:perf_hooks";
import {
  type Effect,
  EffectKind,
  type EffectOf,
} from "@chestnuthatch/core/effects";
import {
  type AttemptRef,
  type CoreEvent,
  EventKind,
} from "@chestnuthatch/core/events";
import { seededRandomSource } from "@chestnuthatch/core/random_source";
import { readinessOf } from "@chestnuthatch/core/readiness";
import { type RequestSpec, RequestState } from "@chestnuthatch/core/request";
import type { SeedPeer } from "@chestnuthatch/core/membership_controller";
import { SchedulerCore } from "@chestnuthatch/core/scheduler_core";
import type { PeerMessage } from "@chestnuthatch/wire/peer_messages";
import { ClaimClient } from "./claim_client.ts";
import type {
  EntryInstance,
  HeldWork,
  InstanceContext,
  InstanceLocation,
} from "./entry_instance.ts";
import { Mailbox } from "./mailbox.ts";
import type { PeerProcess } from "./peer_links.ts";
import type { AttemptListener } from "./simulated_target.ts";
import { CONNECTION_REFUSED_REASON, TargetClient } from "./target_client.ts";
import type { CallerCall } from "./work_item.ts";

type OmitTime<T> = T extends unknown ? Omit<T, "nowMs"> : never;
type UntimedEvent = OmitTime<CoreEvent>;
type EffectHandlers = {
  [K in EffectKind]?: (process: CoreProcess, effect: EffectOf<K>) => void;
};

/** Identity, location and random seed of a core instance. */
export interface CoreInstanceOptions extends InstanceLocation {
  readonly region: string;
  readonly seedPeers: readonly SeedPeer[];
  readonly seed: number;
  /** Time from the start to the first tick, so that instances tick apart. */
  readonly tickOffsetMs: number;
}

const TICK_INTERVAL_MS = 50;
const MAX_LOGGED_DECISIONS = 20_000;

/**
 * Bound on the random offset of each process's clock. Offsets make sure that
 * the core doesn't compare times of different processes.
 */
const MAX_CLOCK_OFFSET_MS = 1_000_000;

const EFFECT_HANDLERS: EffectHandlers = {
  [EffectKind.SendPeer]: (process, effect) => process.sendPeer(effect),
  [EffectKind.Dispatch]: (process, effect) => process.dispatch(effect),
  [EffectKind.ResumeStream]: (process, effect) => process.resumeStream(effect),
  [EffectKind.CancelStream]: ({ targetClient }, effect) =>
    targetClient.cancel(effect.targetId, effect),
  [EffectKind.WriteClaim]: (process, effect) => process.writeClaim(effect),
  [EffectKind.VoidClaim]: ({ claimClient }, effect) => claimClient.void(effect),
  [EffectKind.KeepAnswer]: ({ context, options }, effect) =>
    context.platform.putObject(options.failureDomain, effect),
  [EffectKind.ReadKeptAnswer]: (process, effect) =>
    process.readKeptAnswer(effect),
  [EffectKind.AnswerCaller]: (process, effect) => process.answerCaller(effect),
  [EffectKind.RefuseCaller]: (process, effect) => process.refuseCaller(effect),
  [EffectKind.PollLoad]: (process, effect) => process.pollLoad(effect),
  [EffectKind.PollCacheEvents]: (process, effect) =>
    process.pollCacheEvents(effect),
  [EffectKind.PollInstanceList]: (process) => process.pollInstanceList(),
  [EffectKind.PollSettings]: (process) => process.pollSettings(),
  [EffectKind.SettingsInForce]: ({ context, processName }, effect) =>
    context.checker.recordSettingsInForce(processName, effect.version),
  [EffectKind.ConnectPeer]: (process, effect) =>
    process.context.peerLinks.connect(process, effect.peerId),
  [EffectKind.DisconnectPeer]: (process, effect) =>
    process.context.peerLinks.disconnect(process, effect.peerId),
};

/** Process of an instance, from its start until it is killed. */
class CoreProcess implements PeerProcess {
  readonly context: InstanceContext;
  readonly options: CoreInstanceOptions;
  readonly incarnation: number;
  readonly core: SchedulerCore;
  readonly targetClient: TargetClient;
  readonly claimClient: ClaimClient;
  readonly mailbox = new Mailbox();
  /** Calls that have received no outcome. */
  readonly openRequestIds = new Set<string>();
  readonly #callsByRequestId = new Map<string, CallerCall>();
  /** Difference of the process's clock to the simulated clock. */
  readonly clockOffsetMs: number;
  #isTerminated = false;

  constructor(
    context: InstanceContext,
    options: CoreInstanceOptions & { incarnation: number },
  ) {
    this.context = context;
    this.options = options;
    this.incarnation = options.incarnation;
    const random = seededRandomSource(options.seed + options.incarnation);
    this.clockOffsetMs = random.next() * MAX_CLOCK_OFFSET_MS;
    this.core = new SchedulerCore({
      ...options,
      random,
      maxRequestsWithDecisions: MAX_LOGGED_DECISIONS,
    });
    this.targetClient = new TargetClient(context, options.failureDomain);
    this.claimClient = new ClaimClient(context, options.failureDomain);
    context.peerLinks.addProcess(this);
    this.#scheduleTick(options.tickOffsetMs);
  }

  get instanceId(): string {
    return this.options.instanceId;
  }

  get failureDomain(): string {
    return this.options.failureDomain;
  }

  /** Name that is unique among all processes of all instances. */
  get processName(): string {
    return `${this.instanceId}/${this.incarnation}`;
  }

  terminate(): void {
    this.#isTerminated = true;
    this.mailbox.clear();
    this.claimClient.stop();
    this.context.peerLinks.removeProcess(this);
    for (const requestId of this.openRequestIds) {
      this.#notifyCaller(() =>
        this.context.callers.onConnectionLost(requestId)
      );
    }
    this.openRequestIds.clear();
  }

  deliver(event: UntimedEvent): void {
    this.mailbox.deliver(() => this.#handleEvent(event));
  }

  receiveCall(call: CallerCall): void {
    this.openRequestIds.add(call.requestId);
    this.#callsByRequestId.set(call.requestId, call);
    this.deliver({
      kind: EventKind.RequestArrived,
      spec: toRequestSpec(call, this.context.useAffinity),
    });
  }

  onPeerConnected(peerId: string): void {
    this.deliver({ kind: EventKind.PeerConnected, peerId });
  }

  onPeerDisconnected(peerId: string): void {
    this.deliver({ kind: EventKind.PeerDisconnected, peerId });
  }

  onPeerMessage(from: PeerProcess, message: PeerMessage): void {
    this.deliver({
      kind: EventKind.PeerMessageReceived,
      fromId: from.instanceId,
      fromIncarnation: from.incarnation,
      message,
    });
  }

  sendPeer({ peerId, message }: EffectOf<EffectKind.SendPeer>): void {
    this.context.controlCosts.recordMessage(message);
    this.context.peerLinks.send(this, { toId: peerId, message });
  }

  dispatch(effect: EffectOf<EffectKind.Dispatch>): void {
    const { requestId, attemptNonce, targetId, pool, tierRank } = effect;
    const { item } = this.#callsByRequestId.get(requestId)!;
    this.targetClient.dispatch(targetId, {
      work: {
        requestId,
        attemptNonce,
        holderId: this.instanceId,
        pool,
        model: item.model,
        tierRank,
        prompt: item.prompt,
        promptTokens: item.promptTokens,
        maxOutputTokens: effect.maxOutputTokens,
        idempotencyKey: item.idempotencyKey,
        blockHashes: item.blockHashes,
      },
      listener: this.#createListener(effect),
      onNotSent: (reason) =>
        this.deliver({
          kind: EventKind.DispatchNotSent,
          requestId,
          attemptNonce,
          reason,
          targetUnreachable: true,
        }),
    });
  }

  resumeStream(effect: EffectOf<EffectKind.ResumeStream>): void {
    this.targetClient.resume(effect.targetId, {
      attempt: effect,
      fromToken: effect.fromToken,
      listener: this.#createListener(effect),
    });
  }

  writeClaim({ requestId, key, row }: EffectOf<EffectKind.WriteClaim>): void {
    this.claimClient.write(
      { key, row },
      (answer) =>
        this.deliver({ kind: EventKind.ClaimAnswered, requestId, ...answer }),
    );
  }

  readKeptAnswer(
    { requestId, key }: EffectOf<EffectKind.ReadKeptAnswer>,
  ): void {
    this.context.platform.getObject(this.failureDomain, {
      key,
      reply: (answer) =>
        this.deliver({
          kind: EventKind.KeptAnswerRead,
          requestId,
          content: answer?.content,
          unavailable: answer === undefined,
        }),
    });
  }

  answerCaller(
    { requestId, answer }: EffectOf<EffectKind.AnswerCaller>,
  ): void {
    this.openRequestIds.delete(requestId);
    this.context.checker.recordCallAnswered(requestId, answer.text);
    this.#notifyCaller(() =>
      this.context.callers.onAnswered(requestId, answer.text)
    );
  }

  refuseCaller(
    { requestId, refusal }: EffectOf<EffectKind.RefuseCaller>,
  ): void {
    this.openRequestIds.delete(requestId);
    this.context.checker.recordCallRefused(requestId, refusal);
    this.#notifyCaller(() =>
      this.context.callers.onRefused(requestId, refusal)
    );
  }

  pollLoad({ targetId }: EffectOf<EffectKind.PollLoad>): void {
    this.targetClient.pollLoad(
      targetId,
      (load) =>
        this.deliver(
          load === undefined
            ? { kind: EventKind.LoadReportFailed, targetId }
            : { kind: EventKind.LoadReported, load },
        ),
    );
  }

  pollCacheEvents(
    { targetId, after }: EffectOf<EffectKind.PollCacheEvents>,
  ): void {
    this.targetClient.pollCacheEvents(targetId, {
      after,
      reply: (answer) => {
        if (answer !== undefined) {
          this.deliver({ kind: EventKind.CacheEventsRead, targetId, answer });
        }
      },
    });
  }

  pollInstanceList(): void {
    this.context.platform.readInstanceList(this.failureDomain, (list) => {
      if (list !== undefined) {
        this.deliver({ kind: EventKind.InstanceListRead, list });
      }
    });
  }

  pollSettings(): void {
    this.context.platform.readSettings(this.failureDomain, (settings) => {
      if (settings !== undefined) {
        this.deliver({ kind: EventKind.SettingsRead, ...settings });
      }
    });
  }

  #handleEvent(event: UntimedEvent): void {
    if (this.#isTerminated) {
      return;
    }
    const nowMs = this.context.queue.nowMs + this.clockOffsetMs;
    const startedMs = performance.now();
    const effects = this.core.handle({ ...event, nowMs } as CoreEvent);
    this.context.controlCosts.recordEvent(performance.now() - startedMs);
    effects.forEach((effect) => this.#runEffect(effect));
  }

  #runEffect(effect: Effect): void {
    const handler = EFFECT_HANDLERS[effect.kind] as
      | ((process: CoreProcess, effect: Effect) => void)
      | undefined;
    handler?.(this, effect);
  }

  #createListener({ requestId, attemptNonce }: AttemptRef): AttemptListener {
    return {
      failureDomain: this.failureDomain,
      onStreamEvent: (event) =>
        this.deliver({
          kind: EventKind.StreamEvent,
          requestId,
          attemptNonce,
          event,
        }),
      onServiceAnswered: (answer) =>
        this.deliver({
          kind: EventKind.ServiceAnswered,
          requestId,
          attemptNonce,
          answered: answer,
          body: answer.body,
        }),
      onClosed: (reason) =>
        this.deliver({
          kind: EventKind.StreamClosed,
          requestId,
          attemptNonce,
          reason,
          lost: reason === CONNECTION_REFUSED_REASON,
        }),
    };
  }

  #notifyCaller(notify: () => void): void {
    const { queue, network } = this.context;
    queue.after(network.delays.callerDelayMs, notify);
  }

  #scheduleTick(delayMs: number): void {
    this.context.queue.after(delayMs, () => {
      if (this.#isTerminated) {
        return;
      }
      // A paused process misses its ticks and doesn't run them later.
      if (!this.mailbox.isPaused) {
        this.#handleEvent({ kind: EventKind.Tick });
      }
      this.#scheduleTick(TICK_INTERVAL_MS);
    });
  }
}

/** Entry instance with a scheduler core, which can be killed and restarted. */
export class CoreInstance implements EntryInstance {
  readonly #context: InstanceContext;
  readonly #options: CoreInstanceOptions;
  #process: CoreProcess | undefined;
  #incarnation = 0;
  #resumedAtMs = -Infinity;

  /**
   * @param context The parts of the simulation that the instance uses.
   * @param options Identity, location and random seed of the instance.
   */
  constructor(context: InstanceContext, options: CoreInstanceOptions) {
    this.#context = context;
    this.#options = options;
  }

  /** @inheritdoc */
  get instanceId(): string {
    return this.#options.instanceId;
  }

  /** @inheritdoc */
  get failureDomain(): string {
    return this.#options.failureDomain;
  }

  /** @inheritdoc */
  get isLive(): boolean {
    return this.#process !== undefined;
  }

  /** @inheritdoc */
  get isPaused(): boolean {
    return this.#process?.mailbox.isPaused ?? false;
  }

  /** @inheritdoc */
  get isReady(): boolean {
    const board = this.#process?.core.board;
    return board !== undefined && readinessOf(board).ready;
  }

  /** @inheritdoc */
  get resumedAtMs(): number {
    return this.#resumedAtMs;
  }

  /** The core of the running process; undefined while there is none. */
  get core(): SchedulerCore | undefined {
    return this.#process?.core;
  }

  /** @inheritdoc */
  start(): void {
    this.#incarnation += 1;
    this.#process = new CoreProcess(this.#context, {
      ...this.#options,
      incarnation: this.#incarnation,
    });
  }

  /** @inheritdoc */
  kill(): void {
    this.#process?.terminate();
    this.#process = undefined;
  }

  /** @inheritdoc */
  pause(): void {
    this.#process?.mailbox.pause();
  }

  /** @inheritdoc */
  resume(): void {
    this.#resumedAtMs = this.#context.queue.nowMs;
    this.#process?.mailbox.resume();
  }

  /** @inheritdoc */
  receiveCall(call: CallerCall): void {
    this.#process?.receiveCall(call);
  }

  /** @inheritdoc */
  onCallerDisconnected(requestId: string): void {
    this.#process?.openRequestIds.delete(requestId);
    this.#process?.deliver({ kind: EventKind.CallerHungUp, requestId });
  }

  /** @inheritdoc */
  heldWork(): HeldWork[] {
    const offsetMs = this.#process?.clockOffsetMs ?? 0;
    const requests = this.#process?.core.board.requests.byId.values() ?? [];
    return [...requests]
      .filter(({ state }) =>
        state === RequestState.Waiting || state === RequestState.Dispatched
      )
      .map((request) => ({
        requestId: request.spec.requestId,
        pool: request.spec.pool,
        tierRank: request.policy.rank,
        heldSinceMs: request.arrivedAtMs - offsetMs,
        running: request.state === RequestState.Dispatched,
        cancellable: request.cancellable,
      }));
  }

  /** @inheritdoc */
  describeDecisions(requestId: string): string[] {
    const board = this.#process?.core.board;
    const heldRequestId =
      board?.requests.requestIdByJoinedCall.get(requestId) ?? requestId;
    const offsetMs = this.#process?.clockOffsetMs ?? 0;
    return (board?.decisions.entries(heldRequestId) ?? []).map((
      { atMs, by, text },
    ) => `${Math.round(atMs - offsetMs)} ms ${this.instanceId} ${by}: ${text}`);
  }
}

function toRequestSpec(call: CallerCall, useAffinity: boolean): RequestSpec {
  const { item } = call;
  return {
    requestId: call.requestId,
    workspace: item.workspace,
    tier: item.tier,
    pool: item.pool,
    promptTokens: item.promptTokens,
    maxOutputTokens: item.maxOutputTokens,
    deadlineMs: call.deadlineMs,
    idempotent: item.idempotent,
    idempotencyKey: item.idempotencyKey,
    stream: false,
    contentHash: item.contentHash,
    blockHashes: useAffinity ? item.blockHashes : [],
  };
}
