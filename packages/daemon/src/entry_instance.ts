/** An entry instance: the core, connected to its edges. */

import process from "node:process";
import {
  type Effect,
  EffectKind,
  type EffectOf,
  LogLevel,
  LogPart,
} from "@chestnuthatch/core/effects";
import { type CoreEvent, EventKind } from "@chestnuthatch/core/events";
import { seededRandomSource } from "@chestnuthatch/core/random_source";
import { SchedulerCore } from "@chestnuthatch/core/scheduler_core";
import { createEdges, type InstanceEdges } from "./instance_edges.ts";
import { Logger } from "./logger.ts";
import type { Clock, UntimedEvent } from "./ports.ts";
import { resolveRequestId } from "./request_lookups.ts";
import { RequestSpanRecorder } from "./request_span_recorder.ts";
import type { StartSettings } from "./start_settings.ts";

/** Options of an {@link EntryInstance} besides its start settings. */
export interface EntryInstanceOptions {
  /** Monotonic clock; `performance.now()` by default. */
  readonly clock?: Clock;
  /** Destination of log lines; standard error by default. */
  readonly logOutput?: NodeJS.WritableStream;
  /** Called when a graceful or forced shutdown is complete. */
  readonly onStopped?: () => void;
}

type EffectHandlers = {
  readonly [K in EffectKind]: (effect: EffectOf<K>) => void;
};

const TICK_MS = 50;
/** Time for which shutdown waits for pending writes to the platform. */
const PLATFORM_DRAIN_TIMEOUT_MS = 3000;
const MAX_SEED = 2 ** 31;

const MONOTONIC_CLOCK: Clock = { nowMs: () => performance.now() };

/**
 * Runs an entry instance within this process: passes events of the edges to the
 * core one at a time, and executes the effects that the core returns.
 */
export class EntryInstance {
  /** Decides on effects from events and holds the state of the instance. */
  readonly core: SchedulerCore;
  readonly #settings: StartSettings;
  readonly #options: EntryInstanceOptions;
  readonly #clock: Clock;
  readonly #logger: Logger;
  readonly #edges: InstanceEdges;
  readonly #spanRecorder: RequestSpanRecorder;
  readonly #eventQueue: UntimedEvent[] = [];
  readonly #effectHandlers: EffectHandlers;
  #isHandlingEvents = false;
  #tickTimer?: NodeJS.Timeout;
  #shutdownTimer?: NodeJS.Timeout;
  #stopPromise?: Promise<void>;

  /**
   * @param settings Start settings of the instance.
   * @param options Clock and outputs, for tests and embedding.
   */
  constructor(settings: StartSettings, options: EntryInstanceOptions = {}) {
    this.#settings = settings;
    this.#options = options;
    this.#clock = options.clock ?? MONOTONIC_CLOCK;
    // Higher at each start of an instance id; never compared between ids.
    const incarnation = Date.now();
    this.core = createCore(settings, incarnation);
    this.#logger = this.#createLogger();
    this.#edges = createEdges({
      settings,
      incarnation,
      core: this.core,
      clock: this.#clock,
      logger: this.#logger,
      emit: (event) => this.emit(event),
    });
    this.#spanRecorder = new RequestSpanRecorder(this.#edges.tracer);
    this.#effectHandlers = this.#createEffectHandlers();
  }

  /**
   * Starts the instance.
   *
   * @returns Settles once callers and peers can connect.
   */
  async start(): Promise<void> {
    const listening = await this.#edges.peers.start();
    if (listening.isErr()) {
      throw listening.error;
    }
    await this.#edges.callers.start();
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
    return this.#edges.callers.address();
  }

  /** `host:port` that peers connect to. */
  get peerAddress(): string {
    return this.#edges.peers.address();
  }

  /** Begins a graceful shutdown; a second call forces it. */
  shutdown(): void {
    if (this.core.board.self.leaving) {
      this.emit({ kind: EventKind.ShutdownForced });
      return;
    }
    this.#edges.callers.beginShutdown();
    this.#shutdownTimer = setTimeout(
      () => this.emit({ kind: EventKind.ShutdownForced }),
      this.#settings.shutdownGraceMs,
    );
    this.emit({ kind: EventKind.ShutdownRequested });
  }

  /**
   * Passes an event to the core and executes the resulting effects. An event
   * emitted meanwhile is queued and handled afterwards.
   *
   * @param event Event without its time, which is added here.
   */
  emit(event: UntimedEvent): void {
    this.#eventQueue.push(event);
    if (this.#isHandlingEvents) {
      return;
    }
    this.#isHandlingEvents = true;
    for (let next = this.#eventQueue.shift(); next !== undefined;) {
      this.#handleEvent(next);
      next = this.#eventQueue.shift();
    }
    this.#isHandlingEvents = false;
  }

  /**
   * Stops the instance; further calls wait for the same stop.
   *
   * @returns Settles once every edge is closed.
   */
  stop(): Promise<void> {
    this.#stopPromise ??= this.#stopEdges();
    return this.#stopPromise;
  }

  #handleEvent(event: UntimedEvent): void {
    const nowMs = this.#clock.nowMs();
    let effects: readonly Effect[] = [];
    try {
      this.#spanRecorder.onEvent(event, nowMs);
      effects = this.core.handle({ ...event, nowMs } as CoreEvent);
    } catch (error) {
      this.#logFailure(`handling ${event.kind}`, error);
    }
    for (const effect of effects) {
      this.#executeEffect(effect, nowMs);
    }
  }

  #executeEffect(effect: Effect, nowMs: number): void {
    const handler = this.#effectHandlers[effect.kind] as (
      effect: Effect,
    ) => void;
    try {
      this.#spanRecorder.onEffect(effect, nowMs);
      handler(effect);
    } catch (error) {
      this.#logFailure(`executing ${effect.kind}`, error);
    }
  }

  #logFailure(activity: string, error: unknown): void {
    const text = error instanceof Error ? error.stack : String(error);
    this.#logger.write(
      LogLevel.Error,
      LogPart.Daemon,
      `Error while ${activity}: ${text}`,
    );
  }

  async #stopEdges(): Promise<void> {
    const { callers, peers, platform, platformHttp, targets, tracer } =
      this.#edges;
    clearInterval(this.#tickTimer);
    clearTimeout(this.#shutdownTimer);
    await callers.stop();
    await platform.drain(PLATFORM_DRAIN_TIMEOUT_MS);
    await peers.stop();
    await targets.stop();
    platform.stop();
    await platformHttp.stop();
    await tracer.stop();
    this.#logger.write(LogLevel.Info, LogPart.Daemon, "Stopped.");
    this.#logger.close();
    this.#options.onStopped?.();
  }

  #createEffectHandlers(): EffectHandlers {
    const { callers, metrics, peers, platform, targets } = this.#edges;
    return {
      [EffectKind.SendPeer]: ({ peerId, message }) => {
        peers.send(peerId, message);
      },
      [EffectKind.ConnectPeer]: ({ peerId, address }) =>
        peers.connect(peerId, address),
      [EffectKind.DisconnectPeer]: ({ peerId }) => peers.disconnect(peerId),
      [EffectKind.Dispatch]: (effect) => targets.dispatch(effect),
      [EffectKind.ResumeStream]: (effect) => targets.resumeStream(effect),
      [EffectKind.CancelStream]: (effect) => targets.cancelStream(effect),
      [EffectKind.PollLoad]: (effect) => targets.pollLoad(effect),
      [EffectKind.PollCacheEvents]: (effect) => targets.pollCacheEvents(effect),
      [EffectKind.WriteClaim]: (effect) => void platform.writeClaim(effect),
      [EffectKind.VoidClaim]: (effect) => void platform.voidClaim(effect),
      [EffectKind.KeepAnswer]: (effect) => void platform.keepAnswer(effect),
      [EffectKind.ReadKeptAnswer]: (effect) =>
        void platform.readKeptAnswer(effect),
      [EffectKind.PollInstanceList]: () => void platform.pollInstanceList(),
      [EffectKind.PollSettings]: (effect) => void platform.pollSettings(effect),
      [EffectKind.AnswerCaller]: (effect) => this.#answerCaller(effect),
      [EffectKind.RefuseCaller]: ({ requestId, refusal }) =>
        callers.refuse(requestId, refusal),
      [EffectKind.StreamToCaller]: ({ requestId, text }) =>
        callers.streamText(requestId, text),
      [EffectKind.SettingsInForce]: () => {},
      [EffectKind.Log]: ({ level, part, text }) =>
        this.#logger.write(level, part, text),
      [EffectKind.Count]: ({ counter, labels, by }) =>
        metrics.count(counter, labels, by),
      [EffectKind.ShutdownDone]: () => void this.stop(),
    };
  }

  #answerCaller(
    { requestId, answer }: EffectOf<EffectKind.AnswerCaller>,
  ): void {
    const { board } = this.core;
    const request = board.requests.byId.get(resolveRequestId(board, requestId));
    const tier = request?.spec.tier ?? "joined";
    this.#edges.metrics.observeAnswer(tier, answer);
    this.#edges.callers.answer(requestId, answer);
  }

  #createLogger(): Logger {
    return new Logger({
      clock: this.#clock,
      format: this.#settings.log.format,
      level: this.#settings.log.level,
      instanceId: this.#settings.instanceId,
      output: this.#options.logOutput ?? process.stderr,
    });
  }
}

function createCore(
  settings: StartSettings,
  incarnation: number,
): SchedulerCore {
  return new SchedulerCore({
    instanceId: settings.instanceId,
    incarnation,
    failureDomain: settings.failureDomain,
    region: settings.region,
    seedPeers: settings.peers.seeds,
    random: seededRandomSource(incarnation % MAX_SEED),
  });
}
