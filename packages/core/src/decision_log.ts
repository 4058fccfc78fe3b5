/** A bounded log of decisions by request, which `why` shows. */

import { LRUCache } from "lru-cache";

/** One decision about a request. */
export interface DecisionEntry {
  /** Time on the instance's monotonic clock. */
  readonly atMs: number;
  /** Name of the controller that decided. */
  readonly by: string;
  /** The decision and its reason. */
  readonly text: string;
}

/** Bounds the memory of one request's log; later entries are dropped. */
const MAX_ENTRIES_PER_REQUEST = 64;

/** Log of decisions by request. Evicts the least recently used request. */
export class DecisionLog {
  readonly #byRequest: LRUCache<string, DecisionEntry[]>;

  /** @param maxRequests Number of requests whose decisions are kept. */
  constructor(maxRequests: number) {
    this.#byRequest = new LRUCache({ max: maxRequests });
  }

  /**
   * Appends a decision, unless the log of the request is full.
   *
   * @param requestId Id of the request.
   * @param entry The decision.
   */
  add(requestId: string, entry: DecisionEntry): void {
    const entries = this.#byRequest.get(requestId) ?? [];
    if (entries.length < MAX_ENTRIES_PER_REQUEST) {
      entries.push(entry);
    }
    this.#byRequest.set(requestId, entries);
  }

  /**
   * Returns the decisions about a request.
   *
   * @param requestId Id of the request.
   * @returns The decisions, oldest first; empty when none are kept.
   */
  entries(requestId: string): readonly DecisionEntry[] {
    return this.#byRequest.get(requestId) ?? [];
  }
}
