/** Writes claims to the platform's table and settles lost answers. */

import { ClaimOutcome } from "@chestnuthatch/core/events";
import type { Effect, EffectKind } from "@chestnuthatch/core/effects";
import { ABSENT_ROW_VERSION } from "@chestnuthatch/wire/platform_protocol";
import { type ClaimStanding, standingOf } from "./claim_rows.ts";
import { PlatformFault, type PlatformHttp } from "./platform_http.ts";
import type { Clock } from "./ports.ts";
import type { Sleep } from "./sleep.ts";

/** A claim to be written or voided. */
export type ClaimEffect = Extract<
  Effect,
  { kind: EffectKind.WriteClaim | EffectKind.VoidClaim }
>;

/** What a writer is handed. */
export interface ClaimWriterOptions {
  readonly http: PlatformHttp;
  readonly clock: Clock;
  readonly sleep: Sleep;
}

interface Writing {
  readonly done: Promise<ClaimStanding>;
  abandoned: boolean;
}

const MAX_TRIES = 12;
const FIRST_PAUSE_MS = 50;
const MAX_PAUSE_MS = 1000;
const MAX_DOUBTS = 10_000;
const UNKNOWN: ClaimStanding = { outcome: ClaimOutcome.Unknown };

/**
 * Inserts claim rows. A write whose answer is lost is settled by reading the
 * row back: a row with this claim's nonce is this claim, written by whichever
 * try; while the row is absent, the same insert may be tried again.
 */
export class ClaimWriter {
  readonly #options: ClaimWriterOptions;
  /** Writes in progress, by nonce. */
  readonly #writing = new Map<string, Writing>();
  /** Nonces of which some write may still take effect, oldest first. */
  readonly #doubts = new Set<string>();
  #doubtsDropped = false;

  /** @param options The table and the time. */
  constructor(options: ClaimWriterOptions) {
    this.#options = options;
  }

  /**
   * Writes a claim.
   *
   * @param effect The claim.
   * @param waitMs How long to try.
   * @returns How it stands.
   */
  async write(effect: ClaimEffect, waitMs: number): Promise<ClaimStanding> {
    const { nonce } = effect.row;
    const deadlineAtMs = this.#options.clock.nowMs() + waitMs;
    const done = this.#tryUntil(effect, deadlineAtMs);
    this.#writing.set(nonce, { done, abandoned: false });
    const standing = await done;
    this.#writing.delete(nonce);
    return standing;
  }

  /**
   * Stops a write that is in progress, and waits for its last call.
   *
   * @param nonce The claim's nonce.
   */
  async abandon(nonce: string): Promise<void> {
    const writing = this.#writing.get(nonce);
    if (writing !== undefined) {
      writing.abandoned = true;
      await writing.done;
    }
  }

  /**
   * Tells whether a write of a claim may take effect later than now.
   *
   * @param nonce The claim's nonce.
   * @returns False only when every write of it was answered.
   */
  isInDoubt(nonce: string): boolean {
    return this.#doubtsDropped || this.#doubts.has(nonce);
  }

  /** @param nonce A claim that is void for good. */
  forget(nonce: string): void {
    this.#doubts.delete(nonce);
  }

  async #tryUntil(
    effect: ClaimEffect,
    deadlineAtMs: number,
  ): Promise<ClaimStanding> {
    let pauseMs = FIRST_PAUSE_MS;
    for (let tries = 0; tries < MAX_TRIES; tries++) {
      const leftMs = deadlineAtMs - this.#options.clock.nowMs();
      if (leftMs <= 0 || this.#isAbandoned(effect)) {
        return UNKNOWN;
      }
      const standing = await this.#insert(effect, leftMs) ??
        await this.#readBack(effect, deadlineAtMs);
      if (standing !== undefined) {
        return standing;
      }
      await this.#options.sleep(pauseMs);
      pauseMs = Math.min(pauseMs * 2, MAX_PAUSE_MS);
    }
    return UNKNOWN;
  }

  async #insert(
    effect: ClaimEffect,
    timeoutMs: number,
  ): Promise<ClaimStanding | undefined> {
    const { key, row } = effect;
    const answer = await this.#options.http.transact({
      conditions: [{ key, version: ABSENT_ROW_VERSION }],
      puts: [{ key, value: JSON.stringify(row) }],
      deletes: [],
    }, { timeoutMs });
    if (answer.isErr()) {
      if (answer.error !== PlatformFault.RateLimited) {
        this.#noteDoubt(row.nonce);
      }
      return undefined;
    }
    if (answer.value.committed) {
      return { outcome: ClaimOutcome.Held };
    }
    const found = answer.value.conflicts.find((other) => other.key === key);
    return found && standingOf(row, found);
  }

  async #readBack(
    effect: ClaimEffect,
    deadlineAtMs: number,
  ): Promise<ClaimStanding | undefined> {
    const timeoutMs = deadlineAtMs - this.#options.clock.nowMs();
    if (timeoutMs <= 0) {
      return undefined;
    }
    const answer = await this.#options.http.read([effect.key], { timeoutMs });
    const found = answer.isOk()
      ? answer.value.rows.find((row) => row.key === effect.key)
      : undefined;
    return found && standingOf(effect.row, found);
  }

  #isAbandoned(effect: ClaimEffect): boolean {
    return this.#writing.get(effect.row.nonce)?.abandoned ?? false;
  }

  #noteDoubt(nonce: string): void {
    this.#doubts.add(nonce);
    if (this.#doubts.size > MAX_DOUBTS) {
      const [oldest] = this.#doubts;
      this.#doubts.delete(oldest);
      this.#doubtsDropped = true;
    }
  }
}
