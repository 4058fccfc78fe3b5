/**
 * Executes the core's effects on the platform: claims, kept answers, and polls
 * of the instance list and the settings.
 */

import {
  type EffectKind,
  type EffectOf,
  LogLevel,
  LogPart,
} from "@chestnuthatch/core/effects";
import { EventKind } from "@chestnuthatch/core/events";
import {
  HEAD_KEY,
  readHead,
  readVersionRow,
  type RowFault,
  RowFaultKind,
  type SettingsHead,
  type SettingsVersion,
  versionKey,
} from "@chestnuthatch/settings/settings_rows";
import type { Row } from "@chestnuthatch/wire/platform_protocol";
import { err, ok, type Result } from "neverthrow";
import { ClaimVoider } from "./claim_voider.ts";
import { type ClaimEffect, ClaimWriter } from "./claim_writer.ts";
import type { PlatformFault, PlatformHttp } from "./platform_http.ts";
import type { EdgeContext } from "./ports.ts";
import { type Sleep, sleepByTimer } from "./sleep.ts";

/** HTTP client, timing and limits of a {@link PlatformClient}. */
export interface PlatformClientOptions {
  readonly http: PlatformHttp;
  /**
   * Returns how long to try to write the claim of a request.
   *
   * @param requestId Id of a request that waits for its claim.
   * @returns Time limit of the claim write, in milliseconds.
   */
  readonly claimWaitMs?: (requestId: string) => number;
  /** Waits between retries; a real timer where absent. */
  readonly sleep?: Sleep;
  /** Claims that may be waiting to be voided at a time. */
  readonly maxPendingVoids?: number;
}

/** A poll of which at most one is in progress at a time. */
enum PollKind {
  InstanceList = "instance_list",
  Settings = "settings",
}

const DEFAULT_CLAIM_WAIT_MS = 3000;
const MAX_KEEP_ANSWER_ATTEMPTS = 4;
const MAX_READ_ANSWER_ATTEMPTS = 2;
const MAX_ANSWER_WRITES_IN_PROGRESS = 1024;
const INITIAL_RETRY_DELAY_MS = 100;
const MIN_LOG_INTERVAL_MS = 10_000;
const DRAIN_CHECK_INTERVAL_MS = 20;

/**
 * Writes and voids claims, stores and reads kept answers, and polls the
 * instance list and the settings.
 */
export class PlatformClient {
  readonly #context: EdgeContext;
  readonly #http: PlatformHttp;
  readonly #sleep: Sleep;
  readonly #claimWaitMs: (requestId: string) => number;
  readonly #claimWriter: ClaimWriter;
  readonly #claimVoider: ClaimVoider;
  readonly #activePolls = new Set<PollKind>();
  readonly #lastLoggedAtMs = new Map<string, number>();
  #answerWritesInProgress = 0;
  #stopped = false;

  /**
   * @param context Clock, event sink and log of the instance.
   * @param options HTTP client, timing and limits.
   */
  constructor(context: EdgeContext, options: PlatformClientOptions) {
    this.#context = context;
    this.#http = options.http;
    this.#sleep = options.sleep ?? sleepByTimer;
    this.#claimWaitMs = options.claimWaitMs ?? (() => DEFAULT_CLAIM_WAIT_MS);
    this.#claimWriter = new ClaimWriter({
      http: options.http,
      clock: context.clock,
      sleep: this.#sleep,
    });
    this.#claimVoider = new ClaimVoider({
      http: options.http,
      writer: this.#claimWriter,
      sleep: this.#sleep,
      log: context.log,
      maxPending: options.maxPendingVoids,
    });
  }

  /** Number of claims that are still to be voided. */
  get pendingVoids(): number {
    return this.#claimVoider.pendingCount;
  }

  /**
   * Writes a claim, and emits one ClaimAnswered event with the outcome.
   *
   * @param effect Claim to write.
   */
  async writeClaim(effect: ClaimEffect): Promise<void> {
    const { requestId } = effect;
    const waitMs = this.#claimWaitMs(requestId);
    const status = await this.#claimWriter.write(effect, waitMs);
    this.#context.emit({ kind: EventKind.ClaimAnswered, requestId, ...status });
  }

  /**
   * Voids a claim in the background, without emitting an event.
   *
   * @param effect Claim to void.
   * @returns A promise that resolves once the claim is void or abandoned.
   */
  voidClaim(effect: ClaimEffect): Promise<void> {
    return this.#claimVoider.void(effect);
  }

  /**
   * Stores an answer for callers that repeat their request. Storing the same
   * content under the same key twice is harmless, so the write is retried.
   *
   * @param effect Key and content of the answer.
   */
  async keepAnswer(effect: EffectOf<EffectKind.KeepAnswer>): Promise<void> {
    if (this.#answerWritesInProgress >= MAX_ANSWER_WRITES_IN_PROGRESS) {
      this.#logThrottled(
        "keep",
        "Too many answers are being stored; one was not stored.",
      );
      return;
    }
    this.#answerWritesInProgress += 1;
    const stored = await this.#callWithRetries(
      MAX_KEEP_ANSWER_ATTEMPTS,
      () => this.#http.putObject(effect.key, effect.content),
    );
    this.#answerWritesInProgress -= 1;
    if (stored.isErr()) {
      this.#logThrottled(
        "keep",
        `An answer could not be stored: ${stored.error}.`,
      );
    }
  }

  /**
   * Reads a kept answer, and emits one KeptAnswerRead event with the result.
   *
   * @param effect Key of the answer, and the request that it is read for.
   */
  async readKeptAnswer(
    effect: EffectOf<EffectKind.ReadKeptAnswer>,
  ): Promise<void> {
    const read = await this.#callWithRetries(
      MAX_READ_ANSWER_ATTEMPTS,
      () => this.#http.getObject(effect.key),
    );
    this.#context.emit({
      kind: EventKind.KeptAnswerRead,
      requestId: effect.requestId,
      content: read.unwrapOr(undefined),
      unavailable: read.isErr(),
    });
  }

  /** Reads the instance list, and emits InstanceListRead if that succeeds. */
  async pollInstanceList(): Promise<void> {
    await this.#withoutOverlap(PollKind.InstanceList, async () => {
      const list = await this.#http.instances();
      if (list.isErr()) {
        this.#logReadFailure("The instance list", list.error);
        return;
      }
      this.#context.emit({
        kind: EventKind.InstanceListRead,
        list: list.value,
      });
    });
  }

  /**
   * Reads the current settings, and emits SettingsRead if they are valid and
   * newer than the version in force.
   *
   * @param effect Settings version in force on this instance.
   */
  async pollSettings(
    effect: EffectOf<EffectKind.PollSettings>,
  ): Promise<void> {
    await this.#withoutOverlap(PollKind.Settings, async () => {
      const head = await this.#readRow(HEAD_KEY, readHead);
      if (head === undefined || head.version <= effect.haveVersion) {
        return;
      }
      const settings = await this.#readRow(
        versionKey(head.version),
        (row) =>
          readVersionRow(row).andThen((read) => checkChangeId(row, head, read)),
      );
      if (settings !== undefined) {
        const { version, content, changeId } = settings;
        const kind = EventKind.SettingsRead;
        this.#context.emit({ kind, version, content, changeId });
      }
    });
  }

  /**
   * Waits until all answers are stored and all claims voided.
   *
   * @param timeoutMs Maximum wait, in milliseconds.
   */
  async drain(timeoutMs: number): Promise<void> {
    const deadlineAtMs = this.#context.clock.nowMs() + timeoutMs;
    while (
      this.#answerWritesInProgress + this.pendingVoids > 0 &&
      this.#context.clock.nowMs() < deadlineAtMs
    ) {
      await this.#sleep(DRAIN_CHECK_INTERVAL_MS);
    }
  }

  /** Stops retries and voids; calls in progress are not aborted. */
  stop(): void {
    this.#stopped = true;
    this.#claimVoider.stop();
  }

  async #readRow<T>(
    key: string,
    read: (row: Row) => Result<T, RowFault>,
  ): Promise<T | undefined> {
    const answer = await this.#http.read([key]);
    if (answer.isErr()) {
      this.#logReadFailure("The table", answer.error);
      return undefined;
    }
    const row = answer.value.rows.find((found) => found.key === key);
    if (row === undefined) {
      this.#logThrottled("row", `The row ${key} does not exist.`);
      return undefined;
    }
    const parsed = read(row);
    if (parsed.isErr()) {
      const { message } = parsed.error;
      this.#logThrottled("row", `The row ${key} is corrupt: ${message}.`);
      return undefined;
    }
    return parsed.value;
  }

  async #callWithRetries<T>(
    maxAttempts: number,
    call: () => Promise<Result<T, PlatformFault>>,
  ): Promise<Result<T, PlatformFault>> {
    let result = await call();
    let retryDelayMs = INITIAL_RETRY_DELAY_MS;
    for (
      let attempts = 1;
      attempts < maxAttempts && result.isErr();
      attempts++
    ) {
      await this.#sleep(retryDelayMs);
      if (this.#stopped) {
        return result;
      }
      result = await call();
      retryDelayMs *= 2;
    }
    return result;
  }

  async #withoutOverlap(
    kind: PollKind,
    poll: () => Promise<void>,
  ): Promise<void> {
    if (this.#activePolls.has(kind)) {
      return;
    }
    this.#activePolls.add(kind);
    await poll();
    this.#activePolls.delete(kind);
  }

  #logReadFailure(source: string, fault: PlatformFault): void {
    this.#logThrottled(source, `${source} could not be read: ${fault}.`);
  }

  #logThrottled(throttleKey: string, text: string): void {
    const nowMs = this.#context.clock.nowMs();
    const lastAtMs = this.#lastLoggedAtMs.get(throttleKey) ?? -Infinity;
    if (nowMs - lastAtMs < MIN_LOG_INTERVAL_MS) {
      return;
    }
    this.#lastLoggedAtMs.set(throttleKey, nowMs);
    this.#context.log(LogLevel.Warn, LogPart.Platform, text);
  }
}

function checkChangeId(
  row: Row,
  head: SettingsHead,
  settings: SettingsVersion,
): Result<SettingsVersion, RowFault> {
  if (settings.changeId === head.changeId) {
    return ok(settings);
  }
  return err({
    kind: RowFaultKind.WrongShape,
    key: row.key,
    message: "the head row names another change",
  });
}
