/** Simulated model engine that processes prompts as a stand-in engine does. */

import type { AttemptRef } from "@chestnuthatch/core/events";
import type { TargetSettings } from "@chestnuthatch/settings/settings_types";
import { EngineModel } from "@chestnuthatch/standins/engine_model";
import type { EngineOutput } from "@chestnuthatch/standins/engine_model";
import {
  type CacheEventsAnswer,
  type EngineEvent,
  EngineEventKind,
} from "@chestnuthatch/wire/target_protocol";
import type { TargetLoad } from "@chestnuthatch/wire/shared_types";
import type { ScheduledEvent } from "./event_queue.ts";
import {
  type AttemptListener,
  type SimulatedTarget,
  TargetConnection,
  type TargetContext,
  type TargetUsage,
  type TargetWork,
} from "./simulated_target.ts";

/** Number of prompt tokens that one block hash covers. */
export const BLOCK_TOKENS = 64;

/** Options that all simulated engines share. */
const ENGINE_MODEL_OPTIONS = {
  decodeSlowdownPerStream: 0.02,
  blockTokens: BLOCK_TOKENS,
  loadLagMs: 1000,
  cacheEventLagMs: 1500,
  cacheEventLossShare: 0.1,
};

/** Share of an engine's KV memory that caches prefixes. */
const PREFIX_CACHE_SHARE = 0.5;

/**
 * Shortest time between two scheduled steps of the engine model, so that the
 * tokens of several streams come out in one step.
 */
const MIN_ADVANCE_INTERVAL_MS = 10;

/** Tokens sent in one event at most; the first token is sent at once. */
const MAX_TOKENS_PER_BATCH = 32;

/** An attempt that the engine has not ended yet. */
interface OpenAttempt extends AttemptRef {
  connection: TargetConnection;
  readonly reservedKvTokens: number;
  isStarted: boolean;
  tokenCount: number;
  /** Tokens not sent yet, and the index of the first of them. */
  batch: { index: number; tokens: number; text: string };
  /** All text produced so far. */
  text: string;
}

/** Runs an {@link EngineModel} on the simulated clock. */
export class SimulatedEngine implements SimulatedTarget {
  readonly settings: TargetSettings;
  readonly #context: TargetContext;
  readonly #model: EngineModel;
  readonly #openAttempts = new Map<string, OpenAttempt>();
  #reservedKvTokens = 0;
  #nextAdvance: ScheduledEvent | undefined;

  /**
   * @param settings The target's entry in the settings.
   * @param context Parts of the simulation, and the model that is served.
   */
  constructor(
    settings: TargetSettings,
    context: TargetContext & { model: string },
  ) {
    this.settings = settings;
    this.#context = context;
    this.#model = new EngineModel({
      ...ENGINE_MODEL_OPTIONS,
      targetId: settings.id,
      model: context.model,
      slots: settings.slots,
      kvTokens: settings.kvTokens,
      prefillTokensPerSecond: settings.prefillTokensPerSecond,
      decodeTokensPerSecond: settings.decodeTokensPerSecond,
      prefixCacheTokens: Math.floor(settings.kvTokens * PREFIX_CACHE_SHARE),
      checksFencing: settings.checksFencing,
      seed: context.seed,
    });
  }

  /** @inheritdoc */
  get isRunning(): boolean {
    return this.#model.isRunning;
  }

  /** @inheritdoc */
  dispatch(work: TargetWork, listener: AttemptListener): void {
    this.#context.recorder.recordReceived(work, this.settings.id);
    const attempt = this.#openAttempt(work, listener);
    this.#checkKvCapacity(attempt);
    this.#model.submit(
      {
        requestId: work.requestId,
        attemptNonce: work.attemptNonce,
        model: work.model,
        prompt: work.prompt,
        promptTokens: work.promptTokens,
        maxOutputTokens: work.maxOutputTokens,
        idempotencyKey: work.idempotencyKey,
        blockHashes: [...work.blockHashes],
      },
      this.#context.queue.nowMs,
    );
    this.#advance();
  }

  /** @inheritdoc */
  cancel(attempt: AttemptRef): void {
    this.#model.cancel(attempt, this.#context.queue.nowMs);
    this.#advance();
  }

  /** @inheritdoc */
  resume(
    attempt: AttemptRef,
    options: { fromToken: number; listener: AttemptListener },
  ): void {
    this.#advance();
    const connection = this.#connect(options.listener);
    const events = this.#model.resume(attempt, options.fromToken);
    if (events === undefined) {
      connection.close("the engine does not know the attempt");
      return;
    }
    const openAttempt = this.#openAttempts.get(attemptKey(attempt));
    if (openAttempt !== undefined) {
      openAttempt.connection.discard();
      openAttempt.connection = connection;
      openAttempt.batch = emptyBatch(openAttempt.tokenCount);
    }
    for (const event of mergeTokenEvents(events)) {
      connection.send((listener) => listener.onStreamEvent(event));
    }
  }

  /** @inheritdoc */
  load(): TargetLoad {
    const load = this.#model.load(this.#context.queue.nowMs);
    this.#advance();
    return load;
  }

  /** @inheritdoc */
  cacheEvents(after: number): CacheEventsAnswer {
    const answer = this.#model.cacheEvents(after, this.#context.queue.nowMs);
    this.#advance();
    return answer;
  }

  /** @inheritdoc */
  setSlowdown(factor: number): void {
    this.#model.setSlowdown(factor, this.#context.queue.nowMs);
    this.#advance();
  }

  /** @inheritdoc */
  startLeaving(): void {
    this.#model.setLeaving(true, this.#context.queue.nowMs);
    this.#context.checker.recordTargetLeaving(this.settings.id);
    this.#advance();
  }

  /** @inheritdoc */
  kill(): void {
    this.#advance();
    this.#model.kill(this.#context.queue.nowMs);
    this.#nextAdvance?.cancel();
    for (const attempt of this.#openAttempts.values()) {
      attempt.connection.close("connection reset");
    }
    this.#openAttempts.clear();
    this.#reservedKvTokens = 0;
  }

  /** @inheritdoc */
  usage(): TargetUsage {
    return {
      prefilledTokensByRequestId:
        this.#model.counts.promptTokensPrefilledByRequestId,
    };
  }

  #openAttempt(work: TargetWork, listener: AttemptListener): OpenAttempt {
    const attempt: OpenAttempt = {
      requestId: work.requestId,
      attemptNonce: work.attemptNonce,
      connection: this.#connect(listener),
      reservedKvTokens: work.promptTokens + work.maxOutputTokens,
      isStarted: false,
      tokenCount: 0,
      batch: emptyBatch(0),
      text: "",
    };
    this.#openAttempts.set(attemptKey(work), attempt);
    this.#reservedKvTokens += attempt.reservedKvTokens;
    return attempt;
  }

  #connect(listener: AttemptListener): TargetConnection {
    return new TargetConnection(this.#context, {
      targetFailureDomain: this.settings.failureDomain,
      listener,
    });
  }

  #checkKvCapacity(attempt: OpenAttempt): void {
    if (this.#reservedKvTokens > this.settings.kvTokens) {
      this.#context.checker.recordKvExceeded(
        this.settings.id,
        `${attempt.requestId} brings ${this.#reservedKvTokens} tokens to ` +
          `${this.settings.kvTokens} in ${this.#openAttempts.size} requests`,
      );
    }
  }

  #advance(): void {
    const { queue } = this.#context;
    for (const output of this.#model.advance(queue.nowMs)) {
      this.#processOutput(output);
    }
    this.#recordStartedAttempts();
    this.#nextAdvance?.cancel();
    const nextMs = this.#model.nextOutputAtMs();
    if (nextMs !== undefined) {
      const advanceAtMs = Math.max(
        nextMs,
        queue.nowMs + MIN_ADVANCE_INTERVAL_MS,
      );
      this.#nextAdvance = queue.at(advanceAtMs, () => this.#advance());
    }
  }

  #recordStartedAttempts(): void {
    const { runsByRequestId } = this.#model.counts;
    for (const attempt of this.#openAttempts.values()) {
      if (!attempt.isStarted && runsByRequestId.has(attempt.requestId)) {
        this.#recordStarted(attempt);
      }
    }
  }

  #recordStarted(attempt: OpenAttempt): void {
    attempt.isStarted = true;
    this.#context.recorder.recordStarted(attempt.requestId);
  }

  #processOutput(output: EngineOutput): void {
    const attempt = this.#openAttempts.get(attemptKey(output));
    if (attempt === undefined) {
      return;
    }
    if (output.event.kind === EngineEventKind.Token) {
      this.#appendToken(attempt, output.event.text);
      return;
    }
    const { event } = output;
    this.#flushBatch(attempt);
    if (event.kind === EngineEventKind.Start) {
      this.#context.recorder.recordPrefilled(attempt.requestId, {
        cached: event.cachedTokens,
        prefilled: event.prefilledTokens,
      });
    }
    this.#closeIfEnded(attempt, event);
    attempt.connection.send((listener) => listener.onStreamEvent(event));
  }

  #appendToken(attempt: OpenAttempt, text: string): void {
    attempt.batch.text += text;
    attempt.batch.tokens += 1;
    attempt.tokenCount += 1;
    attempt.text += text;
    if (
      attempt.tokenCount === 1 || attempt.batch.tokens >= MAX_TOKENS_PER_BATCH
    ) {
      this.#flushBatch(attempt);
    }
  }

  #flushBatch(attempt: OpenAttempt): void {
    const { batch, requestId, attemptNonce } = attempt;
    if (batch.tokens === 0) {
      return;
    }
    attempt.batch = emptyBatch(attempt.tokenCount);
    attempt.connection.send((listener) =>
      listener.onStreamEvent({
        kind: EngineEventKind.Token,
        requestId,
        attemptNonce,
        ...batch,
      })
    );
  }

  #closeIfEnded(attempt: OpenAttempt, event: EngineEvent): void {
    if (
      event.kind !== EngineEventKind.End && event.kind !== EngineEventKind.Error
    ) {
      return;
    }
    if (event.kind === EngineEventKind.End) {
      this.#context.checker.recordCompleteAnswer(
        attempt.requestId,
        attempt.text,
      );
    }
    const hasRun = this.#model.counts.runsByRequestId.has(attempt.requestId);
    if (!attempt.isStarted && hasRun) {
      this.#recordStarted(attempt);
    }
    this.#openAttempts.delete(attemptKey(attempt));
    this.#reservedKvTokens -= attempt.reservedKvTokens;
  }
}

function emptyBatch(index: number): OpenAttempt["batch"] {
  return { index, tokens: 0, text: "" };
}

function mergeTokenEvents(events: readonly EngineEvent[]): EngineEvent[] {
  const merged: EngineEvent[] = [];
  for (const event of events) {
    const last = merged.at(-1);
    if (
      event.kind === EngineEventKind.Token &&
      last?.kind === EngineEventKind.Token
    ) {
      merged[merged.length - 1] = {
        ...last,
        text: last.text + event.text,
        tokens: (last.tokens ?? 1) + 1,
      };
    } else {
      merged.push(event);
    }
  }
  return merged;
}

function attemptKey({ requestId, attemptNonce }: AttemptRef): string {
  return `${requestId} ${attemptNonce}`;
}
