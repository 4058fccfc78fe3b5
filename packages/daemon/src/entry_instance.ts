/** One entry instance: the core, wired to its edges. */

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
import { type InstanceEdges, makeEdges } from "./instance_edges.ts";
import { Logger } from "./logger.ts";
import type { Clock, UntimedEvent } from "./ports.ts";
import { RequestHops } from "./request_hops.ts";
import { requestIdOf } from "./request_reads.ts";
import type { StartSettings } from "./start_settings.ts";

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
  readonly #edges: InstanceEdges;
  readonly #hops: RequestHops;
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
    this.#edges = makeEdges({
      settings,
      incarnation,
      core: this.core,
      clock: this.#clock,
      logger: this.#logger,
      emit: (event) => this.emit(event),
    });
    this.#hops = new RequestHops(this.#edges.tracing);
    this.#handlers = this.#makeHandlers();
  }

  /** @returns Nothing, once callers and peers can connect. */
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

  /** Begins a graceful shutdown; a second call ends it at once. */
  shutdown(): void {
    if (this.core.board.self.leaving) {
      this.emit({ kind: EventKind.ShutdownForced });
      return;
    }
    this.#edges.callers.beginShutdown();
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
    const { callers, peers, platform, platformHttp, targets, tracing } =
      this.#edges;
    clearInterval(this.#tickTimer);
    clearTimeout(this.#graceTimer);
    await callers.stop();
    await platform.drain(MAX_SETTLE_MS);
    await peers.stop();
    await targets.stop();
    platform.stop();
    await platformHttp.stop();
    await tracing.stop();
    this.#logger.write(LogLevel.Info, LogPart.Daemon, "Stopped.");
    this.#logger.close();
    this.#options.onStopped?.();
  }

  #makeHandlers(): EffectHandlers {
    const { callers, metrics, peers, platform, targets } = this.#edges;
    return {
      [EffectKind.SendPeer]: ({ peerId, message }) => {
        peers.send(peerId, message);
      },
      [EffectKind.ConnectPeer]: ({ peerId, address }) =>
        peers.connect(peerId, address),
      [EffectKind.ForgetPeer]: ({ peerId }) => peers.disconnect(peerId),
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
      [EffectKind.AnswerCaller]: (effect) => this.#answer(effect),
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

  #answer({ requestId, answer }: EffectOf<EffectKind.AnswerCaller>): void {
    const { board } = this.core;
    const request = board.requests.byId.get(requestIdOf(board, requestId));
    const tier = request?.spec.tier ?? "joined";
    this.#edges.metrics.observeAnswer(tier, answer);
    this.#edges.callers.answer(requestId, answer);
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
}

function makeCore(settings: StartSettings, incarnation: number): SchedulerCore {
  return new SchedulerCore({
    instanceId: settings.instanceId,
    incarnation,
    failureDomain: settings.failureDomain,
    region: settings.region,
    seedPeers: settings.peers.seeds,
    random: seededRandomSource(incarnation % MAX_SEED),
  });
}
