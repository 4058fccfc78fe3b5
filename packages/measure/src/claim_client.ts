/**
 * How one process writes and voids claims: a lost answer is settled by reading
 * the row back and comparing nonces, and an absent row is written again.
 */

import { ClaimOutcome, type ClaimRow } from "@chestnuthatch/core/events";
import {
  ABSENT_ROW_VERSION,
  type Row,
} from "@chestnuthatch/wire/platform_protocol";
import type { EventQueue } from "./event_queue.ts";
import type { SimulatedPlatform } from "./simulated_platform.ts";

/** A claim row and its key. */
export interface Claim {
  readonly key: string;
  readonly row: ClaimRow;
}

/** What became of a claim. */
export interface ClaimResult {
  readonly outcome: ClaimOutcome;
  readonly existingRow?: ClaimRow;
}

/** A write that has not been settled yet. */
interface PendingWrite {
  readonly claim: Claim;
  readonly reply: (answer: ClaimResult) => void;
  attemptsLeft: number;
  backoffMs: number;
}

/** A row that is to be deleted. */
interface PendingVoid {
  readonly claim: Claim;
  absentReads: number;
  backoffMs: number;
}

const MAX_WRITE_ATTEMPTS = 12;
const MIN_BACKOFF_MS = 50;
const MAX_WRITE_BACKOFF_MS = 1000;
const MAX_VOID_BACKOFF_MS = 30_000;
/** Reads that must find a row absent while a write of it is in doubt. */
const MIN_ABSENT_READS_IN_DOUBT = 6;

/** Writes and voids the claims of one process. */
export class ClaimClient {
  readonly #queue: EventQueue;
  readonly #platform: SimulatedPlatform;
  readonly #failureDomain: string;
  readonly #pendingWritesByNonce = new Map<string, PendingWrite>();
  readonly #inDoubtNonces = new Set<string>();
  #isStopped = false;

  /**
   * @param context The clock and the platform.
   * @param failureDomain Where the process stands.
   */
  constructor(
    context: { queue: EventQueue; platform: SimulatedPlatform },
    failureDomain: string,
  ) {
    this.#queue = context.queue;
    this.#platform = context.platform;
    this.#failureDomain = failureDomain;
  }

  /** Ends everything, as when the process dies. */
  stop(): void {
    this.#isStopped = true;
    this.#pendingWritesByNonce.clear();
  }

  /**
   * Writes a claim row if there is none.
   *
   * @param claim The claim.
   * @param reply Told what became of it.
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
   * Deletes a claim row, if it is the given one.
   *
   * @param claim The claim.
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
    : { outcome: ClaimOutcome.HeldElsewhere, existingRow: row };
}

function readNonce(row: Row): string {
  return (JSON.parse(row.value) as ClaimRow).nonce;
}
