/** What happened to each item and each token in one run. */

import { build, type Histogram } from "hdr-histogram-js";
import type { EventQueue } from "./event_queue.ts";
import { BLOCK_TOKENS } from "./simulated_engine.ts";
import type { PromiseChecker } from "./promise_checker.ts";
import type { TargetWork, WorkRecorder } from "./simulated_target.ts";
import { type CallerCall, itemIdentity, type WorkItem } from "./work_item.ts";

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

interface ItemOutcome {
  readonly item: WorkItem;
  answeredInTime: boolean;
  answered: boolean;
}

/** Keeps the records of one run. */
export class RunRecorder implements WorkRecorder {
  readonly prefixTally: PrefixTally = { prefilledTokens: 0, repeatedTokens: 0 };
  readonly refusalsByReason = new Map<string, number>();
  callCount = 0;
  readonly #context: { queue: EventQueue; checker: PromiseChecker };
  readonly #outcomesByItemId = new Map<string, ItemOutcome>();
  readonly #callsByRequestId = new Map<string, CallerCall>();
  readonly #waitHistogramsByTier = new Map<string, Histogram>();
  readonly #blocksByRequestId = new Map<string, readonly string[]>();
  readonly #poolByRequestId = new Map<string, string>();
  readonly #seenBlocksByPool = new Map<string, Set<string>>();
  readonly #deliveredRequestIds = new Set<string>();

  /** @param context The clock and the checks. */
  constructor(context: { queue: EventQueue; checker: PromiseChecker }) {
    this.#context = context;
  }

  /** @param item An item that comes up. */
  recordItem(item: WorkItem): void {
    const identity = itemIdentity(item);
    if (!this.#outcomesByItemId.has(identity)) {
      this.#outcomesByItemId.set(identity, {
        item,
        answeredInTime: false,
        answered: false,
      });
    }
  }

  /** @param call A call that was sent. */
  recordCall(call: CallerCall): void {
    this.callCount += 1;
    this.#callsByRequestId.set(call.requestId, call);
  }

  /**
   * Notes an answer that its caller got.
   *
   * @param call The call.
   * @param text The answer.
   */
  recordAnswer(call: CallerCall, text: string): void {
    const outcome = this.#outcomesByItemId.get(itemIdentity(call.item))!;
    const elapsedMs = this.#context.queue.nowMs - call.sentAtMs;
    outcome.answered = true;
    outcome.answeredInTime ||= elapsedMs <= call.deadlineMs;
    this.#deliveredRequestIds.add(readRequestId(text));
  }

  /** @param reason Why a call was not answered. */
  recordRefusal(reason: string): void {
    this.refusalsByReason.set(
      reason,
      (this.refusalsByReason.get(reason) ?? 0) + 1,
    );
  }

  /** @inheritdoc */
  recordReceived(work: TargetWork, targetId: string): void {
    this.#context.checker.recordWorkReceived({ ...work, targetId });
    this.#blocksByRequestId.set(work.requestId, work.blockHashes);
    this.#poolByRequestId.set(work.requestId, work.pool);
  }

  /** @inheritdoc */
  recordStarted(requestId: string): void {
    this.#context.checker.recordWorkStarted(requestId);
    const call = this.#callsByRequestId.get(requestId);
    if (call !== undefined) {
      const waitedMs = this.#context.queue.nowMs - call.sentAtMs;
      this.#waitHistogram(call.item.tier).recordValue(Math.round(waitedMs));
    }
  }

  /** @inheritdoc */
  recordPrefilled(
    requestId: string,
    tokens: { cached: number; prefilled: number },
  ): void {
    const blocks = this.#blocksByRequestId.get(requestId) ?? [];
    const pool = this.#poolByRequestId.get(requestId) ?? "";
    const seen = this.#seenBlocksByPool.get(pool) ?? new Set();
    this.#seenBlocksByPool.set(pool, seen);
    const cachedBlocks = Math.floor(tokens.cached / BLOCK_TOKENS);
    const prefilledBlocks = blocks.slice(cachedBlocks);
    const repeatedBlocks =
      prefilledBlocks.filter((hash) => seen.has(hash)).length;
    this.prefixTally.prefilledTokens += tokens.prefilled;
    this.prefixTally.repeatedTokens += repeatedBlocks * BLOCK_TOKENS;
    prefilledBlocks.forEach((hash) => seen.add(hash));
    this.#blocksByRequestId.delete(requestId);
  }

  /**
   * Tells whether an answer that came from some work was delivered.
   *
   * @param requestId The request id that the target saw.
   * @returns True when a caller got it.
   */
  wasDelivered(requestId: string): boolean {
    return this.#deliveredRequestIds.has(requestId);
  }

  /**
   * Sums up what each tier got.
   *
   * @returns Tallies by tier.
   */
  tallyTiers(): Map<string, TierTally> {
    const tallies = new Map<string, TierTally>();
    for (const outcome of this.#outcomesByItemId.values()) {
      const { tier } = outcome.item;
      const tally = tallies.get(tier) ?? emptyTally();
      tallies.set(tier, tally);
      addToTally(tally, outcome);
    }
    return tallies;
  }

  /**
   * Gives the waits of a tier's calls until their work began.
   *
   * @returns Histograms in milliseconds, by tier.
   */
  waitHistogramsByTier(): ReadonlyMap<string, Histogram> {
    return this.#waitHistogramsByTier;
  }

  #waitHistogram(tier: string): Histogram {
    const histogram = this.#waitHistogramsByTier.get(tier) ?? build();
    this.#waitHistogramsByTier.set(tier, histogram);
    return histogram;
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

function addToTally(tally: TierTally, outcome: ItemOutcome): void {
  const { value } = outcome.item;
  tally.items += 1;
  tally.value += value;
  if (outcome.answeredInTime) {
    tally.answeredInTime += 1;
    tally.valueInTime += value;
  } else if (outcome.answered) {
    tally.answeredLate += 1;
  } else {
    tally.unanswered += 1;
  }
}

/** Answers begin with the id of the request that they were made for. */
function readRequestId(text: string): string {
  return text.slice(1, text.indexOf("|"));
}
