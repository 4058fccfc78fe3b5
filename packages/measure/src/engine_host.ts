/** A model engine of the measured world. */

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
  type HolderEnd,
  TargetConnection,
  type TargetContext,
  type TargetHost,
  type TargetWork,
  type TargetWorkDone,
} from "./target_host.ts";

/** Tokens that one block fingerprint stands for. */
export const BLOCK_TOKENS = 64;

/** What the brief says of engines in general. */
const ENGINE_TRAITS = {
  decodeSlowdownPerStream: 0.02,
  blockTokens: BLOCK_TOKENS,
  loadLagMs: 1000,
  cacheEventLagMs: 1500,
  cacheEventLossShare: 0.1,
};

/** Share of an engine's KV memory that keeps prefixes. */
const PREFIX_CACHE_SHARE = 0.5;

/** Engine events are looked for this often at most; tokens come in batches. */
const PUMP_MS = 10;

/** Token events are handed on in batches of this many, but for the first. */
const TOKENS_PER_BATCH = 32;

interface OpenAttempt extends AttemptRef {
  connection: TargetConnection;
  readonly reservedKvTokens: number;
  started: boolean;
  tokensSeen: number;
  batch: { index: number; tokens: number; text: string };
  text: string;
}

/** Runs an {@link EngineModel} on the manual clock. */
export class EngineHost implements TargetHost {
  readonly settings: TargetSettings;
  readonly #context: TargetContext;
  readonly #model: EngineModel;
  readonly #open = new Map<string, OpenAttempt>();
  #reservedKvTokens = 0;
  #wake: ScheduledEvent | undefined;

  /**
   * @param settings The target as the operators describe it.
   * @param context The world around it, and the model it serves.
   */
  constructor(
    settings: TargetSettings,
    context: TargetContext & { model: string },
  ) {
    this.settings = settings;
    this.#context = context;
    this.#model = new EngineModel({
      ...ENGINE_TRAITS,
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
  get alive(): boolean {
    return this.#model.isRunning;
  }

  /** @inheritdoc */
  dispatch(work: TargetWork, holder: HolderEnd): void {
    this.#context.journal.received(work, this.settings.id);
    const attempt = this.#remember(work, holder);
    this.#checkKv(attempt);
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
    this.#pump();
  }

  /** @inheritdoc */
  cancel(attempt: AttemptRef): void {
    this.#model.cancel(attempt, this.#context.queue.nowMs);
    this.#pump();
  }

  /** @inheritdoc */
  resume(
    attempt: AttemptRef,
    options: { fromToken: number; holder: HolderEnd },
  ): void {
    this.#pump();
    const connection = this.#connect(options.holder);
    const events = this.#model.resume(attempt, options.fromToken);
    if (events === undefined) {
      connection.close("the engine does not know the attempt");
      return;
    }
    const open = this.#open.get(keyOf(attempt));
    if (open !== undefined) {
      open.connection.abandon();
      open.connection = connection;
      open.batch = emptyBatch(open.tokensSeen);
    }
    for (const event of joinTokens(events)) {
      connection.send((holder) => holder.streamEvent(event));
    }
  }

  /** @inheritdoc */
  load(): TargetLoad {
    const load = this.#model.load(this.#context.queue.nowMs);
    this.#pump();
    return load;
  }

  /** @inheritdoc */
  cacheEvents(after: number): CacheEventsAnswer {
    const answer = this.#model.cacheEvents(after, this.#context.queue.nowMs);
    this.#pump();
    return answer;
  }

  /** @inheritdoc */
  setSlowdown(factor: number): void {
    this.#model.setSlowdown(factor, this.#context.queue.nowMs);
    this.#pump();
  }

  /** @inheritdoc */
  leave(): void {
    this.#model.setLeaving(true, this.#context.queue.nowMs);
    this.#context.checker.targetLeaving(this.settings.id);
    this.#pump();
  }

  /** @inheritdoc */
  kill(): void {
    this.#pump();
    this.#model.kill(this.#context.queue.nowMs);
    this.#wake?.cancel();
    for (const attempt of this.#open.values()) {
      attempt.connection.close("connection reset");
    }
    this.#open.clear();
    this.#reservedKvTokens = 0;
  }

  /** @inheritdoc */
  workDone(): TargetWorkDone {
    return {
      prefilledByRequestId: this.#model.counts.promptTokensPrefilledByRequestId,
    };
  }

  #remember(work: TargetWork, holder: HolderEnd): OpenAttempt {
    const attempt: OpenAttempt = {
      requestId: work.requestId,
      attemptNonce: work.attemptNonce,
      connection: this.#connect(holder),
      reservedKvTokens: work.promptTokens + work.maxOutputTokens,
      started: false,
      tokensSeen: 0,
      batch: emptyBatch(0),
      text: "",
    };
    this.#open.set(keyOf(work), attempt);
    this.#reservedKvTokens += attempt.reservedKvTokens;
    return attempt;
  }

  #connect(holder: HolderEnd): TargetConnection {
    return new TargetConnection(this.#context, {
      targetDomain: this.settings.failureDomain,
      holder,
    });
  }

  #checkKv(attempt: OpenAttempt): void {
    if (this.#reservedKvTokens > this.settings.kvTokens) {
      this.#context.checker.kvExceeded(
        this.settings.id,
        `${attempt.requestId} brings ${this.#reservedKvTokens} tokens to ` +
          `${this.settings.kvTokens} in ${this.#open.size} requests`,
      );
    }
  }

  #pump(): void {
    const { queue } = this.#context;
    for (const output of this.#model.advance(queue.nowMs)) {
      this.#handOn(output);
    }
    this.#noteStarted();
    this.#wake?.cancel();
    const nextMs = this.#model.nextOutputAtMs();
    if (nextMs !== undefined) {
      const atMs = Math.max(nextMs, queue.nowMs + PUMP_MS);
      this.#wake = queue.at(atMs, () => this.#pump());
    }
  }

  #noteStarted(): void {
    const { runsByRequestId } = this.#model.counts;
    for (const attempt of this.#open.values()) {
      if (!attempt.started && runsByRequestId.has(attempt.requestId)) {
        this.#begin(attempt);
      }
    }
  }

  #begin(attempt: OpenAttempt): void {
    attempt.started = true;
    this.#context.journal.started(attempt.requestId);
  }

  #handOn(output: EngineOutput): void {
    const attempt = this.#open.get(keyOf(output));
    if (attempt === undefined) {
      return;
    }
    if (output.event.kind === EngineEventKind.Token) {
      this.#gather(attempt, output.event.text);
      return;
    }
    const { event } = output;
    this.#flush(attempt);
    if (event.kind === EngineEventKind.Start) {
      this.#context.journal.prefilled(attempt.requestId, {
        cached: event.cachedTokens,
        prefilled: event.prefilledTokens,
      });
    }
    this.#endIfOver(attempt, event);
    attempt.connection.send((holder) => holder.streamEvent(event));
  }

  #gather(attempt: OpenAttempt, text: string): void {
    attempt.batch.text += text;
    attempt.batch.tokens += 1;
    attempt.tokensSeen += 1;
    attempt.text += text;
    if (
      attempt.tokensSeen === 1 || attempt.batch.tokens >= TOKENS_PER_BATCH
    ) {
      this.#flush(attempt);
    }
  }

  #flush(attempt: OpenAttempt): void {
    const { batch, requestId, attemptNonce } = attempt;
    if (batch.tokens === 0) {
      return;
    }
    attempt.batch = emptyBatch(attempt.tokensSeen);
    attempt.connection.send((holder) =>
      holder.streamEvent({
        kind: EngineEventKind.Token,
        requestId,
        attemptNonce,
        ...batch,
      })
    );
  }

  #endIfOver(attempt: OpenAttempt, event: EngineEvent): void {
    if (
      event.kind !== EngineEventKind.End && event.kind !== EngineEventKind.Error
    ) {
      return;
    }
    if (event.kind === EngineEventKind.End) {
      this.#context.checker.answerMade(attempt.requestId, attempt.text);
    }
    const ran = this.#model.counts.runsByRequestId.has(attempt.requestId);
    if (!attempt.started && ran) {
      this.#begin(attempt);
    }
    this.#open.delete(keyOf(attempt));
    this.#reservedKvTokens -= attempt.reservedKvTokens;
  }
}

function emptyBatch(index: number): OpenAttempt["batch"] {
  return { index, tokens: 0, text: "" };
}

function joinTokens(events: readonly EngineEvent[]): EngineEvent[] {
  const joined: EngineEvent[] = [];
  for (const event of events) {
    const last = joined.at(-1);
    if (
      event.kind === EngineEventKind.Token &&
      last?.kind === EngineEventKind.Token
    ) {
      joined[joined.length - 1] = {
        ...last,
        text: last.text + event.text,
        tokens: (last.tokens ?? 1) + 1,
      };
    } else {
      joined.push(event);
    }
  }
  return joined;
}

function keyOf({ requestId, attemptNonce }: AttemptRef): string {
  return `${requestId} ${attemptNonce}`;
}
