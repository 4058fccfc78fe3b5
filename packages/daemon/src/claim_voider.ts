/**
 * Deletes the claim rows of requests that were refused as not run.
 *
 * A write whose answer was lost may take effect after a read found the row
 * absent. The row of such a claim is read several more times, at increasing
 * intervals. If the write takes effect even later, or the instance ends first,
 * the row remains. That is safe: nothing was dispatched under the claim, and
 * later calls with the same key are answered "may have run" instead of being
 * run a second time.
 */

import { LogLevel, LogPart } from "@chestnuthatch/core/effects";
import type { Row } from "@chestnuthatch/wire/platform_protocol";
import PQueue from "p-queue";
import { readClaimRow } from "./claim_rows.ts";
import type { ClaimEffect, ClaimWriter } from "./claim_writer.ts";
import type { PlatformHttp } from "./platform_http.ts";
import type { LogSink } from "./ports.ts";
import type { Sleep } from "./sleep.ts";

/** Platform client, claim writer and log of a {@link ClaimVoider}. */
export interface ClaimVoiderOptions {
  readonly http: PlatformHttp;
  readonly writer: ClaimWriter;
  readonly sleep: Sleep;
  readonly log: LogSink;
  /** Claims that may be waiting to be voided at a time. */
  readonly maxPending?: number;
}

/** Result of one attempt to void a claim. */
enum VoidAttemptResult {
  /** The row does not exist. */
  Absent = "absent",
  /** Another claim holds the key, so this claim has no row. */
  HeldByOther = "not_ours",
  /** The row of this claim was deleted. */
  Deleted = "deleted",
  /** The table did not answer, or the row changed since it was read. */
  TryAgain = "try_again",
}

const DEFAULT_MAX_PENDING = 4096;
const MAX_CONCURRENT_ATTEMPTS = 2;
const MAX_ATTEMPTS = 500;
const INITIAL_RETRY_DELAY_MS = 200;
const MAX_RETRY_DELAY_MS = 30_000;
/**
 * Consecutive reads that must find the row absent while a write of it may still
 * take effect.
 */
const MIN_ABSENT_READS_IN_DOUBT = 6;

/** Voids claims in the background; retries until each row is surely absent. */
export class ClaimVoider {
  readonly #options: ClaimVoiderOptions;
  readonly #pendingNonces = new Set<string>();
  readonly #attemptQueue = new PQueue({ concurrency: MAX_CONCURRENT_ATTEMPTS });
  #stopped = false;

  /** @param options Platform client, claim writer, sleep function and log. */
  constructor(options: ClaimVoiderOptions) {
    this.#options = options;
  }

  /** Number of claims that are still to be voided. */
  get pendingCount(): number {
    return this.#pendingNonces.size;
  }

  /**
   * Voids a claim, cancelling a write of it that is in progress.
   *
   * @param effect Claim to void.
   * @returns A promise that resolves once the claim is void or abandoned.
   */
  async void(effect: ClaimEffect): Promise<void> {
    const { nonce } = effect.row;
    const maxPending = this.#options.maxPending ?? DEFAULT_MAX_PENDING;
    if (this.#pendingNonces.has(nonce)) {
      return;
    }
    if (this.#pendingNonces.size >= maxPending) {
      this.#warn(`Too many claims to void; the row ${effect.key} may remain.`);
      return;
    }
    this.#pendingNonces.add(nonce);
    await this.#options.writer.cancel(nonce);
    await this.#voidWithRetries(effect);
    this.#pendingNonces.delete(nonce);
  }

  /**
   * Abandons all pending claims. Their rows remain, so later calls with the
   * same key are answered "may have run".
   */
  stop(): void {
    this.#stopped = true;
    if (this.#pendingNonces.size > 0) {
      this.#warn(
        `Stopped with ${this.#pendingNonces.size} claims not voided.`,
      );
    }
  }

  async #voidWithRetries(effect: ClaimEffect): Promise<void> {
    const { nonce } = effect.row;
    let absentReads = 0;
    let retryDelayMs = INITIAL_RETRY_DELAY_MS;
    for (
      let attempts = 0;
      attempts < MAX_ATTEMPTS && !this.#stopped;
      attempts++
    ) {
      const result = await this.#attemptQueue.add(() => this.#attempt(effect));
      const isAbsent = result === VoidAttemptResult.Absent ||
        result === VoidAttemptResult.Deleted;
      const requiredAbsentReads = this.#options.writer.isInDoubt(nonce)
        ? MIN_ABSENT_READS_IN_DOUBT
        : 1;
      absentReads = isAbsent ? absentReads + 1 : 0;
      if (
        result === VoidAttemptResult.HeldByOther ||
        absentReads >= requiredAbsentReads
      ) {
        this.#options.writer.clearInDoubt(nonce);
        return;
      }
      await this.#options.sleep(retryDelayMs);
      retryDelayMs = Math.min(retryDelayMs * 2, MAX_RETRY_DELAY_MS);
    }
    if (!this.#stopped) {
      this.#warn(
        `The claim row ${effect.key} could not be voided; it remains.`,
      );
    }
  }

  async #attempt(effect: ClaimEffect): Promise<VoidAttemptResult> {
    if (this.#stopped) {
      return VoidAttemptResult.TryAgain;
    }
    const answer = await this.#options.http.read([effect.key]);
    if (answer.isErr()) {
      return VoidAttemptResult.TryAgain;
    }
    const row = answer.value.rows.find(({ key }) => key === effect.key);
    if (row === undefined) {
      return VoidAttemptResult.Absent;
    }
    return readClaimRow(row)?.nonce === effect.row.nonce
      ? await this.#delete(row)
      : VoidAttemptResult.HeldByOther;
  }

  /** Deletes only the version read, so that a late delete hits no other row. */
  async #delete(row: Row): Promise<VoidAttemptResult> {
    const answer = await this.#options.http.transact({
      conditions: [{ key: row.key, version: row.version }],
      puts: [],
      deletes: [row.key],
    });
    return answer.isOk() && answer.value.committed
      ? VoidAttemptResult.Deleted
      : VoidAttemptResult.TryAgain;
  }

  #warn(text: string): void {
    this.#options.log(LogLevel.Warn, LogPart.Claims, text);
  }
}
