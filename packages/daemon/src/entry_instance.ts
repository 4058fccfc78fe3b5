/** One entry instance: the core, wired to its edges. */

import { randomUUID } from "node:crypto";
import process from "node:process";
import {
  type Effect,
  EffectKind,
  type EffectOf,
  LogLevel,
  LogPart,
} from "@chestnuthatch/core/effects";
import { type CoreEvent, EventKind } from "@chestnuthatch/core/events";
import { seededRandomness } from "@chestnuthatch/core/randomness";
import { readinessOf } from "@chestnuthatch/core/readiness";
import { SchedulerCore } from "@chestnuthatch/core/scheduler_core";
import { statusOf } from "@chestnuthatch/core/status";
import { isAlive } from "@chestnuthatch/core/coordinators";
import { whyOf } from "@chestnuthatch/core/why";
import { ConsoleSpanExporter } from "@opentelemetry/sdk-trace-base";
import { CallerFront } from "./caller_front.ts";
import { dispatchInputOf } from "./dispatch_input.ts";
import { Logger } from "./logger.ts";
import { GaugeName, Metrics } from "./metrics.ts";
import { PeerLinks } from "./peer_links.ts";
import { PlatformClient } from "./platform_client.ts";
import { PlatformHttp } from "./platform_http.ts";
import type { Clock, EdgeContext, UntimedEvent } from "./ports.ts";
import { RequestHops } from "./request_hops.ts";
import { type StartSettings, TraceExport } from "./start_settings.ts";
import { TargetClient } from "./target_client.ts";
import { NO_TRACING, type RequestTracing, SpanTracing } from "./tracing.ts";

/** What may be handed to an instance besides its start settings. */
export interface EntryInstanceOptions {
  readonly clock?: Clock;
  readonly logOutput?: NodeJS.WritableStream;
  /** Called once a graceful or forced shutdown has ended. */
  readonly onStopped?: () => void;
}

type EffectHandlers = {
  readonly [K in EffectKind]: (effect: EffectOf<K>) => void;
};

const TICK_MS = 50;
/** How long a stopping instance waits for the platform to take its writes. */
const MAX_SETTLE_MS = 3000;
const MAX_SEED = 2 ** 31;

const MONOTONIC_CLOCK: Clock = { nowMs: () => performance.now() };

/** Runs one entry instance within this process. */
export class EntryInstance {
  readonly core: SchedulerCore;
  readonly #settings: StartSettings;
  readonly #options: EntryInstanceOptions;
  readonly #clock: Clock;
  readonly #logger: Logger;
  readonly #metrics: Metrics;
  readonly #tracing: RequestTracing;
  readonly #hops: RequestHops;
  readonly #callers: CallerFront;
  readonly #peers: PeerLinks;
  readonly #targets: TargetClient;
  readonly #platformHttp: PlatformHttp;
  readonly #platform: PlatformClient;
  readonly #inbox: UntimedEvent[] = [];
  readonly #handlers: EffectHandlers;
  #draining = false;
  #tickTimer?: NodeJS.Timeout;
  #graceTimer?: NodeJS.Timeout;
  #stopping?: Promise<void>;

  /**
   * @param settings The instance's start settings.
   * @param options Clock and outputs, for tests and embedding.
   */
  constructor(settings: StartSettings, options: EntryInstanceOptions = {}) {
    this.#settings = settings;
    this.#options = options;
    this.#clock = options.clock ?? MONOTONIC_CLOCK;
    // Rises with every start of an id; never compared between instances.
    const incarnation = Date.now();
    this.core = makeCore(settings, incarnation);
    this.#logger = this.#makeLogger();
    this.#metrics = this.#makeMetrics();
    this.#tracing = this.#makeTracing();
    this.#hops = new RequestHops(this.#tracing);
    const context = this.#makeContext();
    this.#callers = this.#makeCallers(context);
    this.#peers = makePeers(context, settings, incarnation);
    this.#targets = this.#makeTargets(context);
    this.#platformHttp = new PlatformHttp({
      address: settings.platform.address,
      clock: this.#clock,
      count: context.count,
      readsPerSecond: settings.platform.maxReadsPerSecond,
      writesPerSecond: settings.platform.maxWritesPerSecond,
      callTimeoutMs: settings.platform.timeoutMs,
    });
    this.#platform = new PlatformClient(context, {
      http: this.#platformHttp,
      claimWaitMs: (requestId) =>
        this.core.board.requests.byId.get(requestId)?.policy.claimWaitMs ?? 0,
    });
    this.#handlers = this.#makeHandlers();
  }

  /** @returns Nothing, once callers and peers can connect. */
  async start(): Promise<void> {
    const listening = await this.#peers.start();
    if (listening.isErr()) {
      throw listening.error;
    }
    await this.#callers.start();
    this.#tickTimer = setInterval(() => {
      this.emit({ kind: EventKind.Tick });
    }, TICK_MS);
    this.emit({ kind: EventKind.Tick });
    this.#logger.write(
      LogLevel.Info,
      LogPart.Daemon,
      `${this.#settings.instanceId} serves callers on ${this.callerAddress}, peers on ${this.peerAddress}.`,
    );
  }

  /** `host:port` that callers connect to. */
  get callerAddress(): string {
    return this.#callers.address();
  }

  /** `host:port` that peers connect to. */
  get peerAddress(): string {
    return this.#peers.address();
  }

  /** Begins a graceful shutdown; a second call ends it at once. */
  shutdown(): void {
    if (this.core.board.self.leaving) {
      this.emit({ kind: EventKind.ShutdownForced });
      return;
    }
    this.#callers.beginShutdown();
    this.#graceTimer = setTimeout(
      () => this.emit({ kind: EventKind.ShutdownForced }),
      this.#settings.shutdownGraceMs,
    );
    this.emit({ kind: EventKind.ShutdownRequested });
  }

  /**
   * Lets the core handle an event and carries out what it orders.
   *
   * @param event What happened; it is stamped with the time here.
   */
  emit(event: UntimedEvent): void {
    this.#inbox.push(event);
    if (this.#draining) {
      return;
    }
    this.#draining = true;
    for (let next = this.#inbox.shift(); next !== undefined;) {
      this.#handle(next);
      next = this.#inbox.shift();
    }
    this.#draining = false;
  }

  /** @returns Nothing, once every edge is closed. */
  stop(): Promise<void> {
    this.#stopping ??= this.#stopEdges();
    return this.#stopping;
  }

  #handle(event: UntimedEvent): void {
    const nowMs = this.#clock.nowMs();
    let effects: readonly Effect[] = [];
    try {
      this.#hops.seen(event, nowMs);
      effects = this.core.handle({ ...event, nowMs } as CoreEvent);
    } catch (error) {
      this.#logFailure(`handling ${event.kind}`, error);
    }
    for (const effect of effects) {
      this.#carryOut(effect, nowMs);
    }
  }

  #carryOut(effect: Effect, nowMs: number): void {
    const handler = this.#handlers[effect.kind] as (effect: Effect) => void;
    try {
      this.#hops.ordered(effect, nowMs);
      handler(effect);
    } catch (error) {
      this.#logFailure(`carrying out ${effect.kind}`, error);
    }
  }

  #logFailure(what: string, error: unknown): void {
    const text = error instanceof Error ? error.stack : String(error);
    this.#logger.write(
      LogLevel.Error,
      LogPart.Daemon,
      `Failed at ${what}: ${text}`,
    );
  }

  async #stopEdges(): Promise<void> {
    clearInterval(this.#tickTimer);
    clearTimeout(this.#graceTimer);
    await this.#callers.stop();
    await this.#platform.settle(MAX_SETTLE_MS);
    await this.#peers.stop();
    await this.#targets.stop();
    this.#platform.stop();
    await this.#platformHttp.stop();
    await this.#tracing.stop();
    this.#logger.write(LogLevel.Info, LogPart.Daemon, "Stopped.");
    this.#logger.close();
    this.#options.onStopped?.();
  }

  #makeHandlers(): EffectHandlers {
    return {
      [EffectKind.SendPeer]: ({ peerId, message }) => {
        this.#peers.send(peerId, message);
      },
      [EffectKind.ConnectPeer]: ({ peerId, address }) =>
        this.#peers.connect(peerId, address),
      [EffectKind.ForgetPeer]: ({ peerId }) => this.#peers.forget(peerId),
      [EffectKind.Dispatch]: (effect) => this.#targets.dispatch(effect),
      [EffectKind.ResumeStream]: (effect) => this.#targets.resumeStream(effect),
      [EffectKind.CancelStream]: (effect) => this.#targets.cancelStream(effect),
      [EffectKind.PollLoad]: (effect) => this.#targets.pollLoad(effect),
      [EffectKind.PollCacheEvents]: (effect) =>
        this.#targets.pollCacheEvents(effect),
      [EffectKind.WriteClaim]: (effect) =>
        void this.#platform.writeClaim(effect),
      [EffectKind.VoidClaim]: (effect) => void this.#platform.voidClaim(effect),
      [EffectKind.KeepAnswer]: (effect) =>
        void this.#platform.keepAnswer(effect),
      [EffectKind.ReadKeptAnswer]: (effect) =>
        void this.#platform.readKeptAnswer(effect),
      [EffectKind.PollInstanceList]: () =>
        void this.#platform.pollInstanceList(),
      [EffectKind.PollSettings]: (effect) =>
        void this.#platform.pollSettings(effect),
      [EffectKind.AnswerCaller]: (effect) => this.#answer(effect),
      [EffectKind.RefuseCaller]: ({ requestId, refusal }) =>
        this.#callers.refuse(requestId, refusal),
      [EffectKind.StreamToCaller]: ({ requestId, text }) =>
        this.#callers.streamText(requestId, text),
      [EffectKind.SettingsInForce]: () => {},
      [EffectKind.Log]: ({ level, part, text }) =>
        this.#logger.write(level, part, text),
      [EffectKind.Count]: ({ counter, labels, by }) =>
        this.#metrics.count(counter, labels, by),
      [EffectKind.ShutdownDone]: () => void this.stop(),
    };
  }

  #answer(effect: EffectOf<EffectKind.AnswerCaller>): void {
    const { requests } = this.core.board;
    const heldId = requests.joined.get(effect.requestId) ?? effect.requestId;
    const tier = requests.byId.get(heldId)?.spec.tier ?? "joined";
    this.#metrics.observeAnswer(tier, effect.answer);
    this.#callers.answer(effect.requestId, effect.answer);
  }

  #makeContext(): EdgeContext {
    return {
      clock: this.#clock,
      emit: (event) => this.emit(event),
      log: this.#logger.write,
      count: this.#metrics.count,
    };
  }

  #makeLogger(): Logger {
    return new Logger({
      clock: this.#clock,
      format: this.#settings.log.format,
      level: this.#settings.log.level,
      instanceId: this.#settings.instanceId,
      output: this.#options.logOutput ?? process.stderr,
    });
  }

  #makeMetrics(): Metrics {
    const { board } = this.core;
    const readers: Record<GaugeName, () => number> = {
      [GaugeName.OpenRequests]: () => this.#callers.openRequests,
      [GaugeName.LiveMembers]: () =>
        [...board.members.byId.values()]
          .filter((member) => isAlive(board, member, this.#clock.nowMs()))
          .length,
      [GaugeName.SettingsVersion]: () => board.settings.inForce?.version ?? 0,
    };
    return new Metrics({ readGauge: (name) => readers[name]() });
  }

  #makeTracing(): RequestTracing {
    if (this.#settings.traces.export === TraceExport.Off) {
      return NO_TRACING;
    }
    return new SpanTracing({
      exporter: new ConsoleSpanExporter(),
      clock: this.#clock,
      clockZeroMs: Date.now() - this.#clock.nowMs(),
      instanceId: this.#settings.instanceId,
    });
  }

  #makeCallers(context: EdgeContext): CallerFront {
    const { limits, callers } = this.#settings;
    const { board } = this.core;
    return new CallerFront(context, {
      ...callers,
      mintRequestId: randomUUID,
      tracing: this.#tracing,
      limits: {
        maxBodyBytes: limits.maxBodyBytes,
        maxHeaderBytes: limits.maxHeaderBytes,
        maxOpenRequests: limits.maxOpenRequests,
        bodyTimeoutMs: limits.slowCallerMs,
        maxBufferedStreamBytes: limits.maxStreamBufferBytes,
      },
      reads: {
        readiness: () => readinessOf(board),
        requestState: (id) => this.#requestState(id),
        why: (id) => this.#why(id),
        status: () => statusOf(board, this.#clock.nowMs()),
        metrics: () => this.#metrics.page(),
      },
    });
  }

  #requestState(callId: string): object | undefined {
    const { requests } = this.core.board;
    const request = requests.byId.get(requests.joined.get(callId) ?? callId);
    if (request === undefined) {
      return undefined;
    }
    const { state, outcome, callLog } = request;
    return { requestId: callId, state, ...outcome, callLog };
  }

  #why(callId: string): object | undefined {
    const { board } = this.core;
    const requestId = board.requests.joined.get(callId) ?? callId;
    const isKnown = board.requests.byId.has(requestId) ||
      board.decisions.story(requestId).length > 0;
    return isKnown ? whyOf(board, requestId) : undefined;
  }

  #makeTargets(context: EdgeContext): TargetClient {
    return new TargetClient(context, {
      limits: { concurrentSends: this.#settings.limits.maxDispatchesPerPool },
      dispatchInput: (requestId) =>
        dispatchInputOf(
          this.core.board,
          requestId,
          (callId) => this.#callers.bodyOf(callId),
        ),
      traceHeaders: (requestId): Readonly<Record<string, string>> => {
        const traceparent = this.#tracing.traceparentOf(requestId);
        return traceparent === undefined ? {} : { traceparent };
      },
    });
  }
}

function makeCore(settings: StartSettings, incarnation: number): SchedulerCore {
  return new SchedulerCore({
    instanceId: settings.instanceId,
    incarnation,
    failureDomain: settings.failureDomain,
    region: settings.region,
    seedPeers: settings.peers.seeds,
    random: seededRandomness(incarnation % MAX_SEED),
  });
}

function makePeers(
  context: EdgeContext,
  settings: StartSettings,
  incarnation: number,
): PeerLinks {
  return new PeerLinks(context, {
    identity: {
      instanceId: settings.instanceId,
      incarnation,
      failureDomain: settings.failureDomain,
    },
    secret: settings.peers.secret,
    host: settings.peers.host,
    port: settings.peers.port,
    random: Math.random,
  });
}
