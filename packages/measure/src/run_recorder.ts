/** Recorder of the outcomes of items and the prefilled tokens of one run. */

import { build, type Histogram } from "hdr-histogram-js";
import type { EventQueue } from "./event_queue.ts";
import { BLOCK_TOKENS } from "./simulated_engine.ts";
import type { PromiseChecker } from "./promise_checker.ts";
import type { TargetWork, WorkRecorder } from "./simulated_target.ts";
import { type CallerCall, itemIdentity, type WorkItem } from "./work_item.ts";

/** Counts of one tier's items, and the sums of their values. */
export interface TierTally {
  items: number;
  /** Sum of the values of all items. */
  value: number;
  answeredInTime: number;
  /** Sum of the values of the items answered in time. */
  valueInTime: number;
  answeredLate: number;
  unanswered: number;
}

/** Prompt tokens that targets prefilled. */
export interface PrefixTally {
  prefilledTokens: number;
  /** Tokens of blocks that a target of the same pool had prefilled before. */
  repeatedTokens: number;
}

/** An item and whether any of its calls was answered. */
interface ItemOutcome {
  readonly item: WorkItem;
  answeredInTime: boolean;
  answered: boolean;
}

/** Records the calls and the targets' work of one run and adds them up. */
export class RunRecorder implements WorkRecorder {
  readonly prefixTally: PrefixTally = { prefilledTokens: 0, repeatedTokens: 0 };
  /** Number of calls without an answer, by reason. */
  readonly refusalsByReason = new Map<string, number>();
  /** Number of calls sent, retries included. */
  callCount = 0;
  readonly #context: { queue: EventQueue; checker: PromiseChecker };
  readonly #outcomesByItemId = new Map<string, ItemOutcome>();
  readonly #callsByRequestId = new Map<string, CallerCall>();
  readonly #waitHistogramsByTier = new Map<string, Histogram>();
  readonly #blocksByRequestId = new Map<string, readonly string[]>();
  readonly #poolByRequestId = new Map<string, string>();
  readonly #seenBlocksByPool = new Map<string, Set<string>>();
  readonly #deliveredRequestIds = new Set<string>();

  /** @param context The clock, and the checker that work is reported to. */
  constructor(context: { queue: EventQueue; checker: PromiseChecker }) {
    this.#context = context;
  }

  /**
   * Records an item when its time has come; items that share an idempotency key
   * count once.
   *
   * @param item The item.
   */
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

  /**
   * Records a call that a caller sent.
   *
   * @param call The call.
   */
  recordCall(call: CallerCall): void {
    this.callCount += 1;
    this.#callsByRequestId.set(call.requestId, call);
  }

  /**
   * Records an answer that a caller received.
   *
   * @param call The call.
   * @param text The text of the answer.
   */
  recordAnswer(call: CallerCall, text: string): void {
    const outcome = this.#outcomesByItemId.get(itemIdentity(call.item))!;
    const elapsedMs = this.#context.queue.nowMs - call.sentAtMs;
    outcome.answered = true;
    outcome.answeredInTime ||= elapsedMs <= call.deadlineMs;
    this.#deliveredRequestIds.add(readRequestId(text));
  }

  /**
   * Counts a call that received no answer.
   *
   * @param reason Kind of the refusal or failure.
   */
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
   * Checks whether a caller received the answer to a target's work.
   *
   * @param requestId Id of the request that the target received.
   * @returns True when a caller received an answer produced for the request.
   */
  wasDelivered(requestId: string): boolean {
    return this.#deliveredRequestIds.has(requestId);
  }

  /**
   * Adds up the outcomes of the recorded items by tier.
   *
   * @returns Tallies by the tier's name.
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
   * Returns the times from the sending of calls to the start of their work.
   *
   * @returns Histograms in milliseconds, by the tier's name.
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

/** Reads the request id that simulated targets put at the start of answers. */
function readRequestId(text: string): string {
  return text.slice(1, text.indexOf("|"));
}
