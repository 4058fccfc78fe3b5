/**
 * Client through which one process writes and voids claims on the platform. If
 * the answer to a write is lost, the client reads the row back and compares
 * nonces; if the row is absent, it writes the row again.
 */

import { ClaimOutcome, type ClaimRow } from "@chestnuthatch/core/events";
import {
  ABSENT_ROW_VERSION,
  type Row,
} from "@chestnuthatch/wire/platform_protocol";
import type { EventQueue } from "./event_queue.ts";
import type { SimulatedPlatform } from "./simulated_platform.ts";

/** A claim row and its key in the platform's table. */
export interface Claim {
  readonly key: string;
  readonly row: ClaimRow;
}

/** Result of writing a claim. */
export interface ClaimResult {
  readonly outcome: ClaimOutcome;
  /** The row found under the key, if it is another claim. */
  readonly found?: ClaimRow;
}

/** A write whose result is not known yet. */
interface PendingWrite {
  readonly claim: Claim;
  readonly reply: (answer: ClaimResult) => void;
  attemptsLeft: number;
  backoffMs: number;
}

/** A claim row to delete. */
interface PendingVoid {
  readonly claim: Claim;
  /** Successive reads that found no row, deletions included. */
  absentReads: number;
  backoffMs: number;
}

const MAX_WRITE_ATTEMPTS = 12;
const MIN_BACKOFF_MS = 50;
const MAX_WRITE_BACKOFF_MS = 1000;
const MAX_VOID_BACKOFF_MS = 30_000;
/**
 * Reads that must find no row before a claim counts as void, if a write of it
 * may still take effect.
 */
const MIN_ABSENT_READS_IN_DOUBT = 6;

/** Writes and voids the claims of one process, with retries. */
export class ClaimClient {
  readonly #queue: EventQueue;
  readonly #platform: SimulatedPlatform;
  readonly #failureDomain: string;
  readonly #pendingWritesByNonce = new Map<string, PendingWrite>();
  readonly #inDoubtNonces = new Set<string>();
  #isStopped = false;

  /**
   * @param context The clock, and the platform that stores the claims.
   * @param failureDomain Failure domain that the process runs in.
   */
  constructor(
    context: { queue: EventQueue; platform: SimulatedPlatform },
    failureDomain: string,
  ) {
    this.#queue = context.queue;
    this.#platform = context.platform;
    this.#failureDomain = failureDomain;
  }

  /** Abandons all writes and deletions, as when the process is killed. */
  stop(): void {
    this.#isStopped = true;
    this.#pendingWritesByNonce.clear();
  }

  /**
   * Writes a claim row unless one exists under the key.
   *
   * @param claim The claim to write.
   * @param reply Receives the result, unless the claim is voided before.
   */
  write(claim: Claim, reply: (answer: ClaimResult) => void): void {
    const pending: PendingWrite = {
      claim,
      reply,
      attemptsLeft: MAX_WRITE_ATTEMPTS,
      backoffMs: MIN_BACKOFF_MS,
    };
    this.#pendingWritesByNonce.set(claim.row.nonce, pending);
    this.#insertRow(pending);
  }

  /**
   * Deletes a claim row, unless the row under its key has another nonce. A
   * write of the claim that is still in flight is abandoned.
   *
   * @param claim The claim to delete.
   */
  void(claim: Claim): void {
    const { nonce } = claim.row;
    if (this.#pendingWritesByNonce.delete(nonce)) {
      this.#inDoubtNonces.add(nonce);
    }
    this.#tryVoid({ claim, absentReads: 0, backoffMs: MIN_BACKOFF_MS });
  }

  #insertRow(pending: PendingWrite): void {
    const { key, row } = pending.claim;
    pending.attemptsLeft -= 1;
    this.#platform.transact(this.#failureDomain, {
      request: {
        conditions: [{ key, version: ABSENT_ROW_VERSION }],
        puts: [{ key, value: JSON.stringify(row) }],
        deletes: [],
      },
      reply: (answer) => {
        if (answer === undefined) {
          this.#inDoubtNonces.add(row.nonce);
          this.#readBack(pending);
        } else if (answer.committed) {
          this.#settle(pending, { outcome: ClaimOutcome.Held });
        } else {
          this.#settle(pending, toClaimResult(row, answer.conflicts[0]));
        }
      },
    });
  }

  #readBack(pending: PendingWrite): void {
    if (!this.#isCurrent(pending)) {
      return;
    }
    const { key, row } = pending.claim;
    this.#platform.readRow(this.#failureDomain, {
      key,
      reply: (found) => {
        if (found?.row !== undefined) {
          this.#settle(pending, toClaimResult(row, found.row));
        } else {
          this.#retryWrite(pending);
        }
      },
    });
  }

  #retryWrite(pending: PendingWrite): void {
    if (pending.attemptsLeft === 0) {
      this.#settle(pending, { outcome: ClaimOutcome.Unknown });
      return;
    }
    this.#queue.after(pending.backoffMs, () => {
      if (this.#isCurrent(pending)) {
        this.#insertRow(pending);
      }
    });
    pending.backoffMs = Math.min(2 * pending.backoffMs, MAX_WRITE_BACKOFF_MS);
  }

  #settle(pending: PendingWrite, result: ClaimResult): void {
    if (this.#isCurrent(pending)) {
      this.#pendingWritesByNonce.delete(pending.claim.row.nonce);
      pending.reply(result);
    }
  }

  #isCurrent(pending: PendingWrite): boolean {
    return this.#pendingWritesByNonce.get(pending.claim.row.nonce) === pending;
  }

  #tryVoid(pending: PendingVoid): void {
    const { key, row } = pending.claim;
    if (this.#isStopped) {
      return;
    }
    this.#platform.readRow(this.#failureDomain, {
      key,
      reply: (found) => {
        if (found === undefined) {
          this.#retryVoid(pending);
        } else if (found.row === undefined) {
          pending.absentReads += 1;
          this.#retryVoid(pending);
        } else if (readNonce(found.row) === row.nonce) {
          pending.absentReads = 0;
          this.#deleteRow(pending, found.row);
        }
      },
    });
  }

  #deleteRow(pending: PendingVoid, foundRow: Row): void {
    this.#platform.transact(this.#failureDomain, {
      request: {
        conditions: [{ key: foundRow.key, version: foundRow.version }],
        puts: [],
        deletes: [foundRow.key],
      },
      reply: (answer) => {
        if (answer?.committed === true) {
          pending.absentReads += 1;
        }
        this.#retryVoid(pending);
      },
    });
  }

  #retryVoid(pending: PendingVoid): void {
    const inDoubt = this.#inDoubtNonces.has(pending.claim.row.nonce);
    const minAbsentReads = inDoubt ? MIN_ABSENT_READS_IN_DOUBT : 1;
    if (pending.absentReads >= minAbsentReads) {
      return;
    }
    this.#queue.after(pending.backoffMs, () => this.#tryVoid(pending));
    pending.backoffMs = Math.min(2 * pending.backoffMs, MAX_VOID_BACKOFF_MS);
  }
}

function toClaimResult(own: ClaimRow, foundRow: Row | undefined): ClaimResult {
  if (foundRow === undefined) {
    return { outcome: ClaimOutcome.Unknown };
  }
  const row = JSON.parse(foundRow.value) as ClaimRow;
  return row.nonce === own.nonce
    ? { outcome: ClaimOutcome.Held }
    : { outcome: ClaimOutcome.HeldElsewhere, found: row };
}

function readNonce(row: Row): string {
  return (JSON.parse(row.value) as ClaimRow).nonce;
}
