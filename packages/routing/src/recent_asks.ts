/**
 * Summary of the asks that a pool received recently, from which the coordinator
 * decides which waits are long enough to announce to holders.
 */

/** Age up to which asks count. */
const RETENTION_MS = 3000;

/** Asks within this time are summarized together, so that memory is bounded. */
const SLICE_MS = 500;

/** What counts of an ask. */
export interface AskSummary {
  readonly rank: number;
  /** Time left until the caller gives up. */
  readonly patienceLeftMs: number;
  /**
   * Time by which the request has to start before its caller's patience ends,
   * to meet its deadline.
   */
  readonly deadlineLeadMs: number;
}

interface Slice {
  readonly beganAtMs: number;
  smallestPatienceMs: number;
  /** Longest deadline lead of each rank. */
  readonly leadMsByRank: Map<number, number>;
}

/** Ranks, smallest patience and longest deadline leads of recent asks. */
export class RecentAsks {
  /** Oldest first. */
  #slices: Slice[] = [];

  /**
   * Records an ask.
   *
   * @param ask What counts of it.
   * @param nowMs Current local time in milliseconds.
   */
  record(ask: AskSummary, nowMs: number): void {
    const slice = this.#currentSlice(nowMs);
    const { rank, patienceLeftMs, deadlineLeadMs } = ask;
    const { smallestPatienceMs, leadMsByRank } = slice;
    slice.smallestPatienceMs = Math.min(smallestPatienceMs, patienceLeftMs);
    const leadMs = Math.max(leadMsByRank.get(rank) ?? 0, deadlineLeadMs);
    leadMsByRank.set(rank, leadMs);
  }

  /**
   * Records that holders refused asks of a rank, of which they send no details.
   * They count as similar to the recent ones. Otherwise, the forecast would end
   * every few seconds because the least patient asks no longer arrive.
   *
   * @param rank Rank of the asks.
   * @param nowMs Current local time in milliseconds.
   */
  recordRefusedByHolder(rank: number, nowMs: number): void {
    const patienceLeftMs = this.smallestPatienceMs(nowMs);
    const deadlineLeadMs = this.deadlineLeadMs(rank, nowMs);
    this.record({ rank, patienceLeftMs, deadlineLeadMs }, nowMs);
  }

  /**
   * @param nowMs Current local time in milliseconds.
   * @returns Smallest patience of the recent asks; Infinity without any.
   */
  smallestPatienceMs(nowMs: number): number {
    const smallest = this.#recent(nowMs)
      .map(({ smallestPatienceMs }) => smallestPatienceMs);
    return Math.min(...smallest, Infinity);
  }

  /**
   * @param rank A rank.
   * @param nowMs Current local time in milliseconds.
   * @returns Longest deadline lead of its recent asks in milliseconds.
   */
  deadlineLeadMs(rank: number, nowMs: number): number {
    const leads = this.#recent(nowMs)
      .map(({ leadMsByRank }) => leadMsByRank.get(rank) ?? 0);
    return Math.max(...leads, 0);
  }

  /**
   * @param nowMs Current local time in milliseconds.
   * @returns Ranks of the recent asks.
   */
  ranks(nowMs: number): number[] {
    const ranks = this.#recent(nowMs)
      .flatMap(({ leadMsByRank }) => [...leadMsByRank.keys()]);
    return [...new Set(ranks)];
  }

  #currentSlice(nowMs: number): Slice {
    const newest = this.#slices.at(-1);
    if (newest !== undefined && nowMs - newest.beganAtMs < SLICE_MS) {
      return newest;
    }
    const slice: Slice = {
      beganAtMs: nowMs,
      smallestPatienceMs: Infinity,
      leadMsByRank: new Map(),
    };
    this.#slices = [...this.#recent(nowMs), slice];
    return slice;
  }

  #recent(nowMs: number): Slice[] {
    return this.#slices
      .filter(({ beganAtMs }) => nowMs - beganAtMs <= RETENTION_MS);
  }
}
