/**
 * The bodies of open requests. Requests with the same content share one body,
 * so that a call which joined another's request keeps the body alive after the
 * first caller has hung up.
 */

interface SharedBody {
  readonly contentHash: string;
  readonly text: string;
  readonly openIds: Set<string>;
  /** Ids that still find this body, open or not. */
  readonly knownIds: Set<string>;
}

/** Keeps bodies by content, and finds them by request id. */
export class RequestBodies {
  readonly #byContent = new Map<string, SharedBody>();
  readonly #byRequest = new Map<string, SharedBody>();

  /** How many different bodies are kept. */
  get size(): number {
    return this.#byContent.size;
  }

  /**
   * Keeps a request's body until {@link RequestBodies.release}.
   *
   * @param spec The request's id and content hash.
   * @param text Its body.
   */
  keep(
    spec: { readonly requestId: string; readonly contentHash: string },
    text: string,
  ): void {
    const shared = this.#byContent.get(spec.contentHash) ?? {
      contentHash: spec.contentHash,
      text,
      openIds: new Set(),
      knownIds: new Set(),
    };
    shared.openIds.add(spec.requestId);
    shared.knownIds.add(spec.requestId);
    this.#byContent.set(spec.contentHash, shared);
    this.#byRequest.set(spec.requestId, shared);
  }

  /**
   * @param requestId The request.
   * @returns Its body while it, or one with the same content, is open.
   */
  bodyOf(requestId: string): string | undefined {
    return this.#byRequest.get(requestId)?.text;
  }

  /** @param requestId The request that is over. */
  release(requestId: string): void {
    const shared = this.#byRequest.get(requestId);
    if (shared === undefined) {
      return;
    }
    shared.openIds.delete(requestId);
    if (shared.openIds.size === 0) {
      this.#drop(shared);
    }
  }

  #drop(shared: SharedBody): void {
    this.#byContent.delete(shared.contentHash);
    for (const requestId of shared.knownIds) {
      this.#byRequest.delete(requestId);
    }
  }
}
