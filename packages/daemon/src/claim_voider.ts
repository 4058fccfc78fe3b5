/**
 * Deletes claim rows of requests that were refused as not run.
 *
 * A write whose answer was lost may take effect after a read found the row
 * absent. Such claims are looked for several more times, in growing intervals.
 * Should the write come later still, or the instance end first, the row stays.
 * That is safe: nothing was dispatched under it, and later calls with the key
 * are told "may have run" instead of being run a second time.
 */

import { LogLevel, LogPart } from "@chestnuthatch/core/effects";
import type { Row } from "@chestnuthatch/wire/platform_protocol";
import PQueue from "p-queue";
import { readClaimRow } from "./claim_rows.ts";
import type { ClaimEffect, ClaimWriter } from "./claim_writer.ts";
import type { PlatformHttp } from "./platform_http.ts";
import type { LogSink } from "./ports.ts";
import type { Sleep } from "./sleep.ts";

/** What a voider is handed. */
export interface ClaimVoiderOptions {
  readonly http: PlatformHttp;
  readonly writer: ClaimWriter;
  readonly sleep: Sleep;
  readonly log: LogSink;
  /** Claims kept for voiding at a time. */
  readonly maxPending?: number;
}

/** What one step towards a void row found. */
enum VoidStep {
  /** The row is not there. */
  Absent = "absent",
  /** Another claim holds the key: nothing of this one is there. */
  NotOurs = "not_ours",
  Deleted = "deleted",
  /** The table did not answer, or the row changed meanwhile. */
  TryAgain = "try_again",
}

const DEFAULT_MAX_PENDING = 4096;
const CONCURRENT_STEPS = 2;
const MAX_STEPS = 500;
const FIRST_PAUSE_MS = 200;
const MAX_PAUSE_MS = 30_000;
/** Reads that must find the row absent while a write of it is in doubt. */
const ABSENT_READS_IN_DOUBT = 6;

/** Voids claims in the background until each is certainly gone. */
export class ClaimVoider {
  readonly #options: ClaimVoiderOptions;
  readonly #pending = new Set<string>();
  readonly #steps = new PQueue({ concurrency: CONCURRENT_STEPS });
  #stopped = false;

  /** @param options The table and the time. */
  constructor(options: ClaimVoiderOptions) {
    this.#options = options;
  }

  /** @returns Claims that are still to be voided. */
  get pending(): number {
    return this.#pending.size;
  }

  /**
   * Voids a claim.
   *
   * @param effect The claim.
   * @returns Settles when it is void, or has been given up.
   */
  async void(effect: ClaimEffect): Promise<void> {
    const { nonce } = effect.row;
    const maxPending = this.#options.maxPending ?? DEFAULT_MAX_PENDING;
    if (this.#pending.has(nonce)) {
      return;
    }
    if (this.#pending.size >= maxPending) {
      this.#warn(`Too many claims to void; the row ${effect.key} may stay.`);
      return;
    }
    this.#pending.add(nonce);
    await this.#options.writer.abandon(nonce);
    await this.#repeat(effect);
    this.#pending.delete(nonce);
  }

  /** Gives up what is left; the rows stay and say "may have run". */
  stop(): void {
    this.#stopped = true;
    if (this.#pending.size > 0) {
      this.#warn(`Stopped with ${this.#pending.size} claims not yet voided.`);
    }
  }

  async #repeat(effect: ClaimEffect): Promise<void> {
    const { nonce } = effect.row;
    let absentReads = 0;
    let pauseMs = FIRST_PAUSE_MS;
    for (let steps = 0; steps < MAX_STEPS && !this.#stopped; steps++) {
      const step = await this.#steps.add(() => this.#step(effect));
      const gone = step === VoidStep.Absent || step === VoidStep.Deleted;
      const readsNeeded = this.#options.writer.isInDoubt(nonce)
        ? ABSENT_READS_IN_DOUBT
        : 1;
      absentReads = gone ? absentReads + 1 : 0;
      if (step === VoidStep.NotOurs || absentReads >= readsNeeded) {
        this.#options.writer.forget(nonce);
        return;
      }
      await this.#options.sleep(pauseMs);
      pauseMs = Math.min(pauseMs * 2, MAX_PAUSE_MS);
    }
    if (!this.#stopped) {
      this.#warn(`The claim row ${effect.key} could not be voided; it stays.`);
    }
  }

  async #step(effect: ClaimEffect): Promise<VoidStep> {
    if (this.#stopped) {
      return VoidStep.TryAgain;
    }
    const answer = await this.#options.http.read([effect.key]);
    if (answer.isErr()) {
      return VoidStep.TryAgain;
    }
    const row = answer.value.rows.find(({ key }) => key === effect.key);
    if (row === undefined) {
      return VoidStep.Absent;
    }
    return readClaimRow(row)?.nonce === effect.row.nonce
      ? await this.#delete(row)
      : VoidStep.NotOurs;
  }

  /** The row's own version is the condition, so a late delete hits no other. */
  async #delete(row: Row): Promise<VoidStep> {
    const answer = await this.#options.http.transact({
      conditions: [{ key: row.key, version: row.version }],
      puts: [],
      deletes: [row.key],
    });
    return answer.isOk() && answer.value.committed
      ? VoidStep.Deleted
      : VoidStep.TryAgain;
  }

  #warn(text: string): void {
    this.#options.log(LogLevel.Warn, LogPart.Claims, text);
  }
}
