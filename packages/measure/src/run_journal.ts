/** What happened to each item and each token in one run. */

import { build, type Histogram } from "hdr-histogram-js";
import type { EventQueue } from "./event_queue.ts";
import { BLOCK_TOKENS } from "./engine_host.ts";
import type { PromiseChecker } from "./promises.ts";
import type { TargetWork, WorkJournal } from "./target_host.ts";
import { type CallerCall, identityOf, type WorkItem } from "./work_item.ts";

/** What one tier got. */
export interface TierTally {
  items: number;
  value: number;
  answeredInTime: number;
  valueInTime: number;
  answeredLate: number;
  unanswered: number;
}

/** Prompt tokens read again that some target of the pool had read before. */
export interface PrefixTally {
  prefilledTokens: number;
  repeatedTokens: number;
}

interface ItemRecord {
  readonly item: WorkItem;
  inTime: boolean;
  answered: boolean;
}

/** Keeps the records of one run. */
export class RunJournal implements WorkJournal {
  readonly prefixes: PrefixTally = { prefilledTokens: 0, repeatedTokens: 0 };
  readonly refusals = new Map<string, number>();
  calls = 0;
  readonly #context: { queue: EventQueue; checker: PromiseChecker };
  readonly #items = new Map<string, ItemRecord>();
  readonly #calls = new Map<string, CallerCall>();
  readonly #waits = new Map<string, Histogram>();
  readonly #blocksByRequestId = new Map<string, readonly string[]>();
  readonly #poolByRequestId = new Map<string, string>();
  readonly #seenBlocks = new Map<string, Set<string>>();
  readonly #deliveredWork = new Set<string>();

  /** @param context The clock and the checks. */
  constructor(context: { queue: EventQueue; checker: PromiseChecker }) {
    this.#context = context;
  }

  /** @param item An item that comes up. */
  itemCame(item: WorkItem): void {
    const identity = identityOf(item);
    if (!this.#items.has(identity)) {
      this.#items.set(identity, { item, inTime: false, answered: false });
    }
  }

  /** @param call A call that was sent. */
  callSent(call: CallerCall): void {
    this.calls += 1;
    this.#calls.set(call.requestId, call);
  }

  /**
   * Notes an answer that its caller got.
   *
   * @param call The call.
   * @param text The answer.
   */
  answered(call: CallerCall, text: string): void {
    const record = this.#items.get(identityOf(call.item))!;
    const tookMs = this.#context.queue.nowMs - call.sentAtMs;
    record.answered = true;
    record.inTime ||= tookMs <= call.deadlineMs;
    this.#deliveredWork.add(workIdOf(text));
  }

  /** @param reason Why a call was not answered. */
  refused(reason: string): void {
    this.refusals.set(reason, (this.refusals.get(reason) ?? 0) + 1);
  }

  /** @inheritdoc */
  received(work: TargetWork, targetId: string): void {
    this.#context.checker.workReceived({ ...work, targetId });
    this.#blocksByRequestId.set(work.requestId, work.blockHashes);
    this.#poolByRequestId.set(work.requestId, work.pool);
  }

  /** @inheritdoc */
  started(requestId: string): void {
    this.#context.checker.workStarted(requestId);
    const call = this.#calls.get(requestId);
    if (call !== undefined) {
      const waitedMs = this.#context.queue.nowMs - call.sentAtMs;
      this.#waitsOf(call.item.tier).recordValue(Math.round(waitedMs));
    }
  }

  /** @inheritdoc */
  prefilled(
    requestId: string,
    tokens: { cached: number; prefilled: number },
  ): void {
    const blocks = this.#blocksByRequestId.get(requestId) ?? [];
    const pool = this.#poolByRequestId.get(requestId) ?? "";
    const seen = this.#seenBlocks.get(pool) ?? new Set();
    this.#seenBlocks.set(pool, seen);
    const cachedBlocks = Math.floor(tokens.cached / BLOCK_TOKENS);
    const read = blocks.slice(cachedBlocks);
    const again = read.filter((hash) => seen.has(hash)).length;
    this.prefixes.prefilledTokens += tokens.prefilled;
    this.prefixes.repeatedTokens += again * BLOCK_TOKENS;
    read.forEach((hash) => seen.add(hash));
    this.#blocksByRequestId.delete(requestId);
  }

  /**
   * Tells whether an answer that came from some work was delivered.
   *
   * @param requestId The request id that the target saw.
   * @returns True when a caller got it.
   */
  wasDelivered(requestId: string): boolean {
    return this.#deliveredWork.has(requestId);
  }

  /**
   * Sums up what each tier got.
   *
   * @returns Tallies by tier.
   */
  tiers(): Map<string, TierTally> {
    const tallies = new Map<string, TierTally>();
    for (const record of this.#items.values()) {
      const { tier } = record.item;
      const tally = tallies.get(tier) ?? emptyTally();
      tallies.set(tier, tally);
      addRecord(tally, record);
    }
    return tallies;
  }

  /**
   * Gives the waits of a tier's calls until their work began.
   *
   * @returns Histograms in milliseconds, by tier.
   */
  waits(): ReadonlyMap<string, Histogram> {
    return this.#waits;
  }

  #waitsOf(tier: string): Histogram {
    const known = this.#waits.get(tier) ?? build();
    this.#waits.set(tier, known);
    return known;
  }
}

function emptyTally(): TierTally {
  return {
    items: 0,
    value: 0,
    answeredInTime: 0,
    valueInTime: 0,
    answeredLate: 0,
    unanswered: 0,
  };
}

function addRecord(tally: TierTally, record: ItemRecord): void {
  const { value } = record.item;
  tally.items += 1;
  tally.value += value;
  if (record.inTime) {
    tally.answeredInTime += 1;
    tally.valueInTime += value;
  } else if (record.answered) {
    tally.answeredLate += 1;
  } else {
    tally.unanswered += 1;
  }
}

/** Answers begin with the id of the request that they were made for. */
function workIdOf(text: string): string {
  return text.slice(1, text.indexOf("|"));
}
