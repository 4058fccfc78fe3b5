/** Writes claim rows to the platform's table and resolves lost answers. */

import { ClaimOutcome } from "@chestnuthatch/core/events";
import type { Effect, EffectKind } from "@chestnuthatch/core/effects";
import { ABSENT_ROW_VERSION } from "@chestnuthatch/wire/platform_protocol";
import { type ClaimStatus, claimStatus } from "./claim_rows.ts";
import { PlatformFault, type PlatformHttp } from "./platform_http.ts";
import type { Clock } from "./ports.ts";
import type { Sleep } from "./sleep.ts";

/** Effect that asks for a claim to be written or voided. */
export type ClaimEffect = Extract<
  Effect,
  { kind: EffectKind.WriteClaim | EffectKind.VoidClaim }
>;

/** Platform client, clock and sleep function of a {@link ClaimWriter}. */
export interface ClaimWriterOptions {
  readonly http: PlatformHttp;
  readonly clock: Clock;
  readonly sleep: Sleep;
}

interface PendingWrite {
  readonly result: Promise<ClaimStatus>;
  /** Set to stop before the next attempt. */
  isCancelled: boolean;
}

const MAX_ATTEMPTS = 12;
const INITIAL_RETRY_DELAY_MS = 50;
const MAX_RETRY_DELAY_MS = 1000;
const MAX_IN_DOUBT_NONCES = 10_000;
const UNKNOWN_STATUS: ClaimStatus = { outcome: ClaimOutcome.Unknown };

/**
 * Inserts claim rows. A write whose answer is lost is resolved by reading the
 * row back: a row with this claim's nonce was written by one of its attempts;
 * while the row is absent, the same insert may be retried.
 */
export class ClaimWriter {
  readonly #options: ClaimWriterOptions;
  /** Writes in progress, by nonce. */
  readonly #pendingWrites = new Map<string, PendingWrite>();
  /** Nonces of claims with a write that may still take effect, oldest first. */
  readonly #inDoubtNonces = new Set<string>();
  /** Whether a nonce was evicted; then every nonce counts as in doubt. */
  #hasEvictedInDoubt = false;

  /** @param options Platform client, clock and sleep function. */
  constructor(options: ClaimWriterOptions) {
    this.#options = options;
  }

  /**
   * Writes a claim, retrying until the outcome is known or the time is over.
   *
   * @param effect Claim to write.
   * @param timeoutMs Time limit of all attempts together, in milliseconds.
   * @returns Whether the claim is held; unknown once the time or the attempts
   * are exhausted, or the write is cancelled.
   */
  async write(effect: ClaimEffect, timeoutMs: number): Promise<ClaimStatus> {
    const { nonce } = effect.row;
    const deadlineAtMs = this.#options.clock.nowMs() + timeoutMs;
    const result = this.#writeUntil(effect, deadlineAtMs);
    this.#pendingWrites.set(nonce, { result, isCancelled: false });
    const status = await result;
    this.#pendingWrites.delete(nonce);
    return status;
  }

  /**
   * Cancels the write of a claim if it is in progress, and waits until its last
   * call has ended.
   *
   * @param nonce Nonce of the claim.
   */
  async cancel(nonce: string): Promise<void> {
    const pendingWrite = this.#pendingWrites.get(nonce);
    if (pendingWrite !== undefined) {
      pendingWrite.isCancelled = true;
      await pendingWrite.result;
    }
  }

  /**
   * Checks whether a write of a claim may still take effect.
   *
   * @param nonce Nonce of the claim.
   * @returns False only if every write of the claim was answered.
   */
  isInDoubt(nonce: string): boolean {
    return this.#hasEvictedInDoubt || this.#inDoubtNonces.has(nonce);
  }

  /**
   * Removes a claim from those in doubt, once it is certainly void.
   *
   * @param nonce Nonce of the claim.
   */
  clearInDoubt(nonce: string): void {
    this.#inDoubtNonces.delete(nonce);
  }

  async #writeUntil(
    effect: ClaimEffect,
    deadlineAtMs: number,
  ): Promise<ClaimStatus> {
    let retryDelayMs = INITIAL_RETRY_DELAY_MS;
    for (let attempts = 0; attempts < MAX_ATTEMPTS; attempts++) {
      const remainingMs = deadlineAtMs - this.#options.clock.nowMs();
      if (remainingMs <= 0 || this.#isCancelled(effect)) {
        return UNKNOWN_STATUS;
      }
      const status = await this.#insert(effect, remainingMs) ??
        await this.#readBack(effect, deadlineAtMs);
      if (status !== undefined) {
        return status;
      }
      await this.#options.sleep(retryDelayMs);
      retryDelayMs = Math.min(retryDelayMs * 2, MAX_RETRY_DELAY_MS);
    }
    return UNKNOWN_STATUS;
  }

  async #insert(
    effect: ClaimEffect,
    timeoutMs: number,
  ): Promise<ClaimStatus | undefined> {
    const { key, row } = effect;
    const answer = await this.#options.http.transact({
      conditions: [{ key, version: ABSENT_ROW_VERSION }],
      puts: [{ key, value: JSON.stringify(row) }],
      deletes: [],
    }, { timeoutMs });
    if (answer.isErr()) {
      if (answer.error !== PlatformFault.RateLimited) {
        this.#recordInDoubt(row.nonce);
      }
      return undefined;
    }
    if (answer.value.committed) {
      return { outcome: ClaimOutcome.Held };
    }
    const found = answer.value.conflicts.find((other) => other.key === key);
    return found && claimStatus(row, found);
  }

  async #readBack(
    effect: ClaimEffect,
    deadlineAtMs: number,
  ): Promise<ClaimStatus | undefined> {
    const timeoutMs = deadlineAtMs - this.#options.clock.nowMs();
    if (timeoutMs <= 0) {
      return undefined;
    }
    const answer = await this.#options.http.read([effect.key], { timeoutMs });
    const found = answer.isOk()
      ? answer.value.rows.find((row) => row.key === effect.key)
      : undefined;
    return found && claimStatus(effect.row, found);
  }

  #isCancelled(effect: ClaimEffect): boolean {
    return this.#pendingWrites.get(effect.row.nonce)?.isCancelled ?? false;
  }

  #recordInDoubt(nonce: string): void {
    this.#inDoubtNonces.add(nonce);
    if (this.#inDoubtNonces.size > MAX_IN_DOUBT_NONCES) {
      const [oldest] = this.#inDoubtNonces;
      this.#inDoubtNonces.delete(oldest);
      this.#hasEvictedInDoubt = true;
    }
  }
}
