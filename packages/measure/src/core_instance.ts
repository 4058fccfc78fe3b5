/** An entry instance that runs the real core on the manual clock. */

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
import { ClaimPort } from "./claim_port.ts";
import type {
  EntryInstance,
  HeldWork,
  InstanceContext,
  InstancePlace,
} from "./entry_instance.ts";
import { Mailbox } from "./mailbox.ts";
import type { PeerNode } from "./peer_links.ts";
import type { HolderEnd } from "./target_host.ts";
import { REFUSED_REASON, TargetPort } from "./target_port.ts";
import type { CallerCall } from "./work_item.ts";

type WithoutTime<T> = T extends unknown ? Omit<T, "nowMs"> : never;
type UntimedEvent = WithoutTime<CoreEvent>;
type EffectHandlers = {
  [K in EffectKind]?: (process: CoreProcess, effect: EffectOf<K>) => void;
};

/** How one core instance is made. */
export interface CoreInstanceOptions extends InstancePlace {
  readonly region: string;
  readonly seedPeers: readonly SeedPeer[];
  readonly seed: number;
  /** First tick after the start, so that instances do not tick together. */
  readonly tickOffsetMs: number;
}

const TICK_MS = 50;
const MAX_DECISIONS = 20_000;

/** Clocks of different machines have nothing to do with one another. */
const LARGEST_CLOCK_OFFSET_MS = 1_000_000;

const HANDLERS: EffectHandlers = {
  [EffectKind.SendPeer]: (process, effect) => process.sendPeer(effect),
  [EffectKind.Dispatch]: (process, effect) => process.dispatch(effect),
  [EffectKind.ResumeStream]: (process, effect) => process.resumeStream(effect),
  [EffectKind.CancelStream]: ({ targets }, effect) =>
    targets.cancel(effect.targetId, effect),
  [EffectKind.WriteClaim]: (process, effect) => process.writeClaim(effect),
  [EffectKind.VoidClaim]: ({ claims }, effect) => claims.void(effect),
  [EffectKind.KeepAnswer]: ({ context, place }, effect) =>
    context.platform.putObject(place.failureDomain, effect),
  [EffectKind.ReadKeptAnswer]: (process, effect) =>
    process.readKeptAnswer(effect),
  [EffectKind.AnswerCaller]: (process, effect) => process.answerCaller(effect),
  [EffectKind.RefuseCaller]: (process, effect) => process.refuseCaller(effect),
  [EffectKind.PollLoad]: (process, effect) => process.pollLoad(effect),
  [EffectKind.PollCacheEvents]: (process, effect) =>
    process.pollCacheEvents(effect),
  [EffectKind.PollInstanceList]: (process) => process.pollList(),
  [EffectKind.PollSettings]: (process) => process.pollSettings(),
  [EffectKind.SettingsInForce]: ({ context, name }, effect) =>
    context.checker.settingsInForce(name, effect.version),
  [EffectKind.ConnectPeer]: (process, effect) =>
    process.context.peers.connect(process, effect.peerId),
  [EffectKind.ForgetPeer]: (process, effect) =>
    process.context.peers.forget(process, effect.peerId),
};

/** One run of an instance's process, from its start to its end. */
class CoreProcess implements PeerNode {
  readonly context: InstanceContext;
  readonly place: CoreInstanceOptions;
  readonly incarnation: number;
  readonly core: SchedulerCore;
  readonly targets: TargetPort;
  readonly claims: ClaimPort;
  readonly mailbox = new Mailbox();
  readonly openCalls = new Set<string>();
  readonly #calls = new Map<string, CallerCall>();
  readonly clockOffsetMs: number;
  #ended = false;

  constructor(
    context: InstanceContext,
    options: CoreInstanceOptions & { incarnation: number },
  ) {
    this.context = context;
    this.place = options;
    this.incarnation = options.incarnation;
    const random = seededRandomSource(options.seed + options.incarnation);
    this.clockOffsetMs = random.next() * LARGEST_CLOCK_OFFSET_MS;
    this.core = new SchedulerCore({
      ...options,
      random,
      maxRequestsWithDecisions: MAX_DECISIONS,
    });
    this.targets = new TargetPort(context, options.failureDomain);
    this.claims = new ClaimPort(context, options.failureDomain);
    context.peers.join(this);
    this.#tickAfter(options.tickOffsetMs);
  }

  get instanceId(): string {
    return this.place.instanceId;
  }

  get failureDomain(): string {
    return this.place.failureDomain;
  }

  /** Names this process among all that ran as the instance. */
  get name(): string {
    return `${this.instanceId}/${this.incarnation}`;
  }

  end(): void {
    this.#ended = true;
    this.mailbox.clear();
    this.claims.end();
    this.context.peers.leave(this);
    for (const requestId of this.openCalls) {
      this.#tellCaller(() => this.context.callers.lost(requestId));
    }
    this.openCalls.clear();
  }

  tell(event: UntimedEvent): void {
    this.mailbox.deliver(() => this.#handle(event));
  }

  receive(call: CallerCall): void {
    this.openCalls.add(call.requestId);
    this.#calls.set(call.requestId, call);
    this.tell({
      kind: EventKind.RequestArrived,
      spec: specOf(call, this.context.useAffinity),
    });
  }

  peerConnected(peerId: string): void {
    this.tell({ kind: EventKind.PeerConnected, peerId });
  }

  peerDisconnected(peerId: string): void {
    this.tell({ kind: EventKind.PeerDisconnected, peerId });
  }

  peerMessage(from: PeerNode, message: PeerMessage): void {
    this.tell({
      kind: EventKind.PeerMessageReceived,
      fromId: from.instanceId,
      fromIncarnation: from.incarnation,
      message,
    });
  }

  sendPeer({ peerId, message }: EffectOf<EffectKind.SendPeer>): void {
    this.context.costs.sent(message);
    this.context.peers.send(this, { toId: peerId, message });
  }

  dispatch(effect: EffectOf<EffectKind.Dispatch>): void {
    const { requestId, attemptNonce, targetId, pool, tierRank } = effect;
    const { item } = this.#calls.get(requestId)!;
    this.targets.dispatch(targetId, {
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
      holder: this.#holderEnd(effect),
      notSent: (reason) =>
        this.tell({
          kind: EventKind.DispatchNotSent,
          requestId,
          attemptNonce,
          reason,
          targetUnreachable: true,
        }),
    });
  }

  resumeStream(effect: EffectOf<EffectKind.ResumeStream>): void {
    this.targets.resume(effect.targetId, {
      attempt: effect,
      fromToken: effect.fromToken,
      holder: this.#holderEnd(effect),
    });
  }

  writeClaim({ requestId, key, row }: EffectOf<EffectKind.WriteClaim>): void {
    this.claims.write(
      { key, row },
      (answer) =>
        this.tell({ kind: EventKind.ClaimAnswered, requestId, ...answer }),
    );
  }

  readKeptAnswer(
    { requestId, key }: EffectOf<EffectKind.ReadKeptAnswer>,
  ): void {
    this.context.platform.getObject(this.failureDomain, {
      key,
      reply: (answer) =>
        this.tell({
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
    this.openCalls.delete(requestId);
    this.context.checker.callAnswered(requestId, answer.text);
    this.#tellCaller(() =>
      this.context.callers.answered(requestId, answer.text)
    );
  }

  refuseCaller(
    { requestId, refusal }: EffectOf<EffectKind.RefuseCaller>,
  ): void {
    this.openCalls.delete(requestId);
    this.context.checker.callRefused(requestId, refusal);
    this.#tellCaller(() => this.context.callers.refused(requestId, refusal));
  }

  pollLoad({ targetId }: EffectOf<EffectKind.PollLoad>): void {
    this.targets.pollLoad(
      targetId,
      (load) =>
        this.tell(
          load === undefined
            ? { kind: EventKind.LoadReportFailed, targetId }
            : { kind: EventKind.LoadReported, load },
        ),
    );
  }

  pollCacheEvents(
    { targetId, after }: EffectOf<EffectKind.PollCacheEvents>,
  ): void {
    this.targets.pollCacheEvents(targetId, {
      after,
      reply: (answer) => {
        if (answer !== undefined) {
          this.tell({ kind: EventKind.CacheEventsRead, targetId, answer });
        }
      },
    });
  }

  pollList(): void {
    this.context.platform.readList(this.failureDomain, (list) => {
      if (list !== undefined) {
        this.tell({ kind: EventKind.InstanceListRead, list });
      }
    });
  }

  pollSettings(): void {
    this.context.platform.readSettings(this.failureDomain, (settings) => {
      if (settings !== undefined) {
        this.tell({ kind: EventKind.SettingsRead, ...settings });
      }
    });
  }

  #handle(untimed: UntimedEvent): void {
    if (this.#ended) {
      return;
    }
    const nowMs = this.context.queue.nowMs + this.clockOffsetMs;
    const startedMs = performance.now();
    const effects = this.core.handle({ ...untimed, nowMs } as CoreEvent);
    this.context.costs.handled(performance.now() - startedMs);
    effects.forEach((effect) => this.#execute(effect));
  }

  #execute(effect: Effect): void {
    const handler = HANDLERS[effect.kind] as
      | ((process: CoreProcess, effect: Effect) => void)
      | undefined;
    handler?.(this, effect);
  }

  #holderEnd({ requestId, attemptNonce }: AttemptRef): HolderEnd {
    return {
      failureDomain: this.failureDomain,
      streamEvent: (event) =>
        this.tell({
          kind: EventKind.StreamEvent,
          requestId,
          attemptNonce,
          event,
        }),
      serviceAnswered: (answer) =>
        this.tell({
          kind: EventKind.ServiceAnswered,
          requestId,
          attemptNonce,
          answered: answer,
          body: answer.body,
        }),
      closed: (reason) =>
        this.tell({
          kind: EventKind.StreamClosed,
          requestId,
          attemptNonce,
          reason,
          lost: reason === REFUSED_REASON,
        }),
    };
  }

  #tellCaller(run: () => void): void {
    const { queue, network } = this.context;
    queue.after(network.delays.toCallersMs, run);
  }

  #tickAfter(delayMs: number): void {
    this.context.queue.after(delayMs, () => {
      if (this.#ended) {
        return;
      }
      // A paused process misses its ticks; it does not make up for them.
      if (!this.mailbox.isPaused) {
        this.#handle({ kind: EventKind.Tick });
      }
      this.#tickAfter(TICK_MS);
    });
  }
}

/** An instance whose process can be killed and started anew. */
export class CoreInstance implements EntryInstance {
  readonly #context: InstanceContext;
  readonly #options: CoreInstanceOptions;
  #process: CoreProcess | undefined;
  #incarnation = 0;
  #resumedAtMs = -Infinity;

  /**
   * @param context The world.
   * @param options Who the instance is.
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

  /** The running core; nothing while the process is dead. */
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
    this.#process?.end();
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
  receive(call: CallerCall): void {
    this.#process?.receive(call);
  }

  /** @inheritdoc */
  hangUp(requestId: string): void {
    this.#process?.openCalls.delete(requestId);
    this.#process?.tell({ kind: EventKind.CallerHungUp, requestId });
  }

  /** @inheritdoc */
  heldWork(): HeldWork[] {
    const offsetMs = this.#process?.clockOffsetMs ?? 0;
    const held = this.#process?.core.board.requests.byId.values() ?? [];
    return [...held]
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
  story(requestId: string): string[] {
    const board = this.#process?.core.board;
    const heldAs = board?.requests.requestIdByJoinedCall.get(requestId) ??
      requestId;
    const offsetMs = this.#process?.clockOffsetMs ?? 0;
    return (board?.decisions.entries(heldAs) ?? []).map(({ atMs, by, text }) =>
      `${Math.round(atMs - offsetMs)} ms ${this.instanceId} ${by}: ${text}`
    );
  }
}

function specOf(call: CallerCall, useAffinity: boolean): RequestSpec {
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
