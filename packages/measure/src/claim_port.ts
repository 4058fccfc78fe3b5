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
import type { PlatformHost } from "./platform_host.ts";

/** A claim row and its key. */
export interface Claim {
  readonly key: string;
  readonly row: ClaimRow;
}

/** What became of a claim. */
export interface ClaimAnswer {
  readonly outcome: ClaimOutcome;
  readonly found?: ClaimRow;
}

/** A write that has not been settled yet. */
interface Writing {
  readonly claim: Claim;
  readonly reply: (answer: ClaimAnswer) => void;
  triesLeft: number;
  pauseMs: number;
}

/** A row that is to be deleted. */
interface Voiding {
  readonly claim: Claim;
  absentReads: number;
  pauseMs: number;
}

const MAX_TRIES = 12;
const FIRST_PAUSE_MS = 50;
const MAX_WRITE_PAUSE_MS = 1000;
const MAX_VOID_PAUSE_MS = 30_000;
/** Reads that must find a row absent while a write of it is in doubt. */
const ABSENT_READS_IN_DOUBT = 6;

/** Writes and voids the claims of one process. */
export class ClaimPort {
  readonly #queue: EventQueue;
  readonly #platform: PlatformHost;
  readonly #failureDomain: string;
  readonly #writing = new Map<string, Writing>();
  readonly #doubts = new Set<string>();
  #ended = false;

  /**
   * @param context The clock and the platform.
   * @param failureDomain Where the process stands.
   */
  constructor(
    context: { queue: EventQueue; platform: PlatformHost },
    failureDomain: string,
  ) {
    this.#queue = context.queue;
    this.#platform = context.platform;
    this.#failureDomain = failureDomain;
  }

  /** Ends everything, as when the process dies. */
  end(): void {
    this.#ended = true;
    this.#writing.clear();
  }

  /**
   * Writes a claim row if there is none.
   *
   * @param claim The claim.
   * @param reply Told what became of it.
   */
  write(claim: Claim, reply: (answer: ClaimAnswer) => void): void {
    const writing: Writing = {
      claim,
      reply,
      triesLeft: MAX_TRIES,
      pauseMs: FIRST_PAUSE_MS,
    };
    this.#writing.set(claim.row.nonce, writing);
    this.#insert(writing);
  }

  /**
   * Deletes a claim row, if it is the given one.
   *
   * @param claim The claim.
   */
  void(claim: Claim): void {
    const { nonce } = claim.row;
    if (this.#writing.delete(nonce)) {
      this.#doubts.add(nonce);
    }
    this.#voidOnce({ claim, absentReads: 0, pauseMs: FIRST_PAUSE_MS });
  }

  #insert(writing: Writing): void {
    const { key, row } = writing.claim;
    writing.triesLeft -= 1;
    this.#platform.transact(this.#failureDomain, {
      request: {
        conditions: [{ key, version: ABSENT_ROW_VERSION }],
        puts: [{ key, value: JSON.stringify(row) }],
        deletes: [],
      },
      reply: (answer) => {
        if (answer === undefined) {
          this.#doubts.add(row.nonce);
          this.#readBack(writing);
        } else if (answer.committed) {
          this.#settle(writing, { outcome: ClaimOutcome.Held });
        } else {
          this.#settle(writing, standingOf(row, answer.conflicts[0]));
        }
      },
    });
  }

  #readBack(writing: Writing): void {
    if (!this.#isCurrent(writing)) {
      return;
    }
    const { key, row } = writing.claim;
    this.#platform.readRow(this.#failureDomain, {
      key,
      reply: (found) => {
        if (found?.row !== undefined) {
          this.#settle(writing, standingOf(row, found.row));
        } else {
          this.#tryAgain(writing);
        }
      },
    });
  }

  #tryAgain(writing: Writing): void {
    if (writing.triesLeft === 0) {
      this.#settle(writing, { outcome: ClaimOutcome.Unknown });
      return;
    }
    this.#queue.after(writing.pauseMs, () => {
      if (this.#isCurrent(writing)) {
        this.#insert(writing);
      }
    });
    writing.pauseMs = Math.min(2 * writing.pauseMs, MAX_WRITE_PAUSE_MS);
  }

  #settle(writing: Writing, answer: ClaimAnswer): void {
    if (this.#isCurrent(writing)) {
      this.#writing.delete(writing.claim.row.nonce);
      writing.reply(answer);
    }
  }

  #isCurrent(writing: Writing): boolean {
    return this.#writing.get(writing.claim.row.nonce) === writing;
  }

  #voidOnce(voiding: Voiding): void {
    const { key, row } = voiding.claim;
    if (this.#ended) {
      return;
    }
    this.#platform.readRow(this.#failureDomain, {
      key,
      reply: (found) => {
        if (found === undefined) {
          this.#voidAgain(voiding);
        } else if (found.row === undefined) {
          voiding.absentReads += 1;
          this.#voidAgain(voiding);
        } else if (nonceOf(found.row) === row.nonce) {
          voiding.absentReads = 0;
          this.#delete(voiding, found.row);
        }
      },
    });
  }

  #delete(voiding: Voiding, found: Row): void {
    this.#platform.transact(this.#failureDomain, {
      request: {
        conditions: [{ key: found.key, version: found.version }],
        puts: [],
        deletes: [found.key],
      },
      reply: (answer) => {
        if (answer?.committed === true) {
          voiding.absentReads += 1;
        }
        this.#voidAgain(voiding);
      },
    });
  }

  #voidAgain(voiding: Voiding): void {
    const inDoubt = this.#doubts.has(voiding.claim.row.nonce);
    const readsNeeded = inDoubt ? ABSENT_READS_IN_DOUBT : 1;
    if (voiding.absentReads >= readsNeeded) {
      return;
    }
    this.#queue.after(voiding.pauseMs, () => this.#voidOnce(voiding));
    voiding.pauseMs = Math.min(2 * voiding.pauseMs, MAX_VOID_PAUSE_MS);
  }
}

function standingOf(own: ClaimRow, found: Row | undefined): ClaimAnswer {
  if (found === undefined) {
    return { outcome: ClaimOutcome.Unknown };
  }
  const row = JSON.parse(found.value) as ClaimRow;
  return row.nonce === own.nonce
    ? { outcome: ClaimOutcome.Held }
    : { outcome: ClaimOutcome.HeldElsewhere, found: row };
}

function nonceOf(row: Row): string {
  return (JSON.parse(row.value) as ClaimRow).nonce;
}
