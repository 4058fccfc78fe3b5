/** A bounded record of decisions, so that `why` can tell a request's story. */

import { LRUCache } from "lru-cache";

/** One step in a request's story. */
export interface DecisionEntry {
  readonly atMs: number;
  /** The controller that decided. */
  readonly by: string;
  readonly text: string;
}

const MAX_ENTRIES_PER_REQUEST = 64;

/** Keeps the latest decisions by request, the oldest requests dropped first. */
export class DecisionLog {
  readonly #byRequest: LRUCache<string, DecisionEntry[]>;

  /** @param maxRequests How many requests are remembered. */
  constructor(maxRequests: number) {
    this.#byRequest = new LRUCache({ max: maxRequests });
  }

  /**
   * Adds one step to a request's story.
   *
   * @param requestId The request it is about.
   * @param entry The step.
   */
  add(requestId: string, entry: DecisionEntry): void {
    const entries = this.#byRequest.get(requestId) ?? [];
    if (entries.length < MAX_ENTRIES_PER_REQUEST) {
      entries.push(entry);
    }
    this.#byRequest.set(requestId, entries);
  }

  /**
   * Tells a request's story.
   *
   * @param requestId The request asked about.
   * @returns Its steps, oldest first; empty when it is not remembered.
   */
  story(requestId: string): readonly DecisionEntry[] {
    return this.#byRequest.get(requestId) ?? [];
  }
}
