/**
 * Asks that a holder refused by the coordinator's announced waits since its
 * last report, by pool and rank. The coordinator needs their number, or its
 * figures of the offered load would fall as soon as holders refuse.
 */

import {
  MAX_REPORTED_CALL_HASHES,
  MAX_REPORTED_REFUSAL_COUNT,
  MAX_REPORTED_REFUSALS,
  type RefusedByHolder,
  type WorkAsk,
} from "@chestnuthatch/routing/work_ask";

interface Entry {
  readonly pool: string;
  readonly rank: number;
  count: number;
  readonly callHashes: number[];
}

/** Counts refusals until they are reported. */
export class HolderRefusals {
  /** By pool and rank; entries that do not fit a report stay for the next. */
  readonly #entries = new Map<string, Entry>();
  #hashCount = 0;

  /** Whether there is anything to report. */
  get isPending(): boolean {
    return this.#entries.size > 0;
  }

  /** @param ask An ask that this holder refused. */
  record({ pool, rank, callHash }: WorkAsk): void {
    const key = `${rank} ${pool}`;
    const entry = this.#entries.get(key) ??
      { pool, rank, count: 0, callHashes: [] };
    this.#entries.set(key, entry);
    entry.count = Math.min(entry.count + 1, MAX_REPORTED_REFUSAL_COUNT);
    if (callHash !== 0 && this.#hashCount < MAX_REPORTED_CALL_HASHES) {
      entry.callHashes.push(callHash);
      this.#hashCount++;
    }
  }

  /** @returns Refusals to report now, which are not returned again. */
  take(): RefusedByHolder[] {
    const taken = [...this.#entries].slice(0, MAX_REPORTED_REFUSALS);
    for (const [key, { callHashes }] of taken) {
      this.#entries.delete(key);
      this.#hashCount -= callHashes.length;
    }
    return taken.map(([, entry]) => entry);
  }
}
