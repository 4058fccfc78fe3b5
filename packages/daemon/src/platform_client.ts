/** Carries out the core's orders towards the platform. */

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

/** What a platform client is made of. */
export interface PlatformClientOptions {
  readonly http: PlatformHttp;
  /**
   * @param requestId A request that waits for its claim.
   * @returns How long its claim is tried.
   */
  readonly claimWaitMs?: (requestId: string) => number;
  readonly sleep?: Sleep;
  readonly maxPendingVoids?: number;
}

/** A poll that is sent again only once the last one has ended. */
enum PollKind {
  InstanceList = "instance_list",
  Settings = "settings",
}

const DEFAULT_CLAIM_WAIT_MS = 3000;
const KEEP_ANSWER_TRIES = 4;
const READ_ANSWER_TRIES = 2;
const MAX_KEEPS_IN_PROGRESS = 1024;
const FIRST_PAUSE_MS = 100;
const LOG_EVERY_MS = 10_000;
const SETTLE_CHECK_MS = 20;

/** Claims, kept answers, and polls of the list and the settings. */
export class PlatformClient {
  readonly #edge: EdgeContext;
  readonly #http: PlatformHttp;
  readonly #sleep: Sleep;
  readonly #claimWaitMs: (requestId: string) => number;
  readonly #writer: ClaimWriter;
  readonly #voider: ClaimVoider;
  readonly #polling = new Set<PollKind>();
  readonly #lastLoggedAtMs = new Map<string, number>();
  #keepsInProgress = 0;
  #stopped = false;

  /**
   * @param edge The instance's sinks and clock.
   * @param options The platform.
   */
  constructor(edge: EdgeContext, options: PlatformClientOptions) {
    this.#edge = edge;
    this.#http = options.http;
    this.#sleep = options.sleep ?? sleepByTimer;
    this.#claimWaitMs = options.claimWaitMs ?? (() => DEFAULT_CLAIM_WAIT_MS);
    this.#writer = new ClaimWriter({
      http: options.http,
      clock: edge.clock,
      sleep: this.#sleep,
    });
    this.#voider = new ClaimVoider({
      http: options.http,
      writer: this.#writer,
      sleep: this.#sleep,
      log: edge.log,
      maxPending: options.maxPendingVoids,
    });
  }

  /** @returns Claims that are still to be voided. */
  get pendingVoids(): number {
    return this.#voider.pending;
  }

  /**
   * Writes a claim: one ClaimAnswered for each.
   *
   * @param effect The claim.
   */
  async writeClaim(effect: ClaimEffect): Promise<void> {
    const { requestId } = effect;
    const waitMs = this.#claimWaitMs(requestId);
    const standing = await this.#writer.write(effect, waitMs);
    this.#edge.emit({ kind: EventKind.ClaimAnswered, requestId, ...standing });
  }

  /**
   * Voids a claim, in the background.
   *
   * @param effect The claim.
   * @returns Settles when it is void or given up; nothing is emitted.
   */
  voidClaim(effect: ClaimEffect): Promise<void> {
    return this.#voider.void(effect);
  }

  /**
   * Stores an answer for callers that ask again. The same content under the
   * same key may be stored twice, so this write is tried again.
   *
   * @param effect The answer.
   */
  async keepAnswer(effect: EffectOf<EffectKind.KeepAnswer>): Promise<void> {
    if (this.#keepsInProgress >= MAX_KEEPS_IN_PROGRESS) {
      this.#logSeldom("keep", "Too many answers to keep; one is not kept.");
      return;
    }
    this.#keepsInProgress += 1;
    const kept = await this.#tryTimes(
      KEEP_ANSWER_TRIES,
      () => this.#http.putObject(effect.key, effect.content),
    );
    this.#keepsInProgress -= 1;
    if (kept.isErr()) {
      this.#logSeldom("keep", `An answer was not kept: ${kept.error}.`);
    }
  }

  /**
   * Looks for a kept answer: one KeptAnswerRead for each.
   *
   * @param effect Its key.
   */
  async readKeptAnswer(
    effect: EffectOf<EffectKind.ReadKeptAnswer>,
  ): Promise<void> {
    const read = await this.#tryTimes(
      READ_ANSWER_TRIES,
      () => this.#http.getObject(effect.key),
    );
    this.#edge.emit({
      kind: EventKind.KeptAnswerRead,
      requestId: effect.requestId,
      content: read.unwrapOr(undefined),
      unavailable: read.isErr(),
    });
  }

  /** Reads the list: InstanceListRead, or nothing while it cannot be read. */
  async pollInstanceList(): Promise<void> {
    await this.#onceAtATime(PollKind.InstanceList, async () => {
      const list = await this.#http.instances();
      if (list.isErr()) {
        this.#logAway("The list", list.error);
        return;
      }
      this.#edge.emit({ kind: EventKind.InstanceListRead, list: list.value });
    });
  }

  /**
   * Reads settings newer than those in force: SettingsRead, or nothing.
   *
   * @param effect The version in force here.
   */
  async pollSettings(
    effect: EffectOf<EffectKind.PollSettings>,
  ): Promise<void> {
    await this.#onceAtATime(PollKind.Settings, async () => {
      const head = await this.#readRow(HEAD_KEY, readHead);
      if (head === undefined || head.version <= effect.haveVersion) {
        return;
      }
      const settings = await this.#readRow(
        versionKey(head.version),
        (row) =>
          readVersionRow(row).andThen((read) => checkChange(row, head, read)),
      );
      if (settings !== undefined) {
        const { version, content, changeId } = settings;
        const kind = EventKind.SettingsRead;
        this.#edge.emit({ kind, version, content, changeId });
      }
    });
  }

  /**
   * Waits until answers are kept and claims voided, or the time is over.
   *
   * @param limitMs How long to wait at most.
   */
  async settle(limitMs: number): Promise<void> {
    const untilMs = this.#edge.clock.nowMs() + limitMs;
    while (
      this.#keepsInProgress + this.pendingVoids > 0 &&
      this.#edge.clock.nowMs() < untilMs
    ) {
      await this.#sleep(SETTLE_CHECK_MS);
    }
  }

  /** Ends background work; calls in progress run to their end. */
  stop(): void {
    this.#stopped = true;
    this.#voider.stop();
  }

  async #readRow<T>(
    key: string,
    read: (row: Row) => Result<T, RowFault>,
  ): Promise<T | undefined> {
    const answer = await this.#http.read([key]);
    if (answer.isErr()) {
      this.#logAway("The table", answer.error);
      return undefined;
    }
    const row = answer.value.rows.find((found) => found.key === key);
    if (row === undefined) {
      this.#logSeldom("row", `The row ${key} does not exist.`);
      return undefined;
    }
    const parsed = read(row);
    if (parsed.isErr()) {
      const { message } = parsed.error;
      this.#logSeldom("row", `The row ${key} is corrupt: ${message}.`);
      return undefined;
    }
    return parsed.value;
  }

  async #tryTimes<T>(
    tries: number,
    call: () => Promise<Result<T, PlatformFault>>,
  ): Promise<Result<T, PlatformFault>> {
    let result = await call();
    let pauseMs = FIRST_PAUSE_MS;
    for (let done = 1; done < tries && result.isErr(); done++) {
      await this.#sleep(pauseMs);
      if (this.#stopped) {
        return result;
      }
      result = await call();
      pauseMs *= 2;
    }
    return result;
  }

  async #onceAtATime(kind: PollKind, poll: () => Promise<void>): Promise<void> {
    if (this.#polling.has(kind)) {
      return;
    }
    this.#polling.add(kind);
    await poll();
    this.#polling.delete(kind);
  }

  #logAway(what: string, fault: PlatformFault): void {
    this.#logSeldom(what, `${what} could not be read: ${fault}.`);
  }

  #logSeldom(topic: string, text: string): void {
    const nowMs = this.#edge.clock.nowMs();
    const lastAtMs = this.#lastLoggedAtMs.get(topic) ?? -Infinity;
    if (nowMs - lastAtMs < LOG_EVERY_MS) {
      return;
    }
    this.#lastLoggedAtMs.set(topic, nowMs);
    this.#edge.log(LogLevel.Warn, LogPart.Platform, text);
  }
}

function checkChange(
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
    message: "the head names another change",
  });
}
