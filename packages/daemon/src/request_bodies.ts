/**
 * Bodies of open requests. Requests with the same content share one body, so
 * that the body stays available to a call that joined another caller's request
 * after that caller has disconnected.
 */

interface SharedBody {
  readonly contentHash: string;
  readonly text: string;
  /** Requests that have not been released. */
  readonly openRequestIds: Set<string>;
  /** All requests added with this body, released or not. */
  readonly allRequestIds: Set<string>;
}

/** Stores bodies by content hash and finds them by request id. */
export class RequestBodies {
  readonly #byContentHash = new Map<string, SharedBody>();
  readonly #byRequestId = new Map<string, SharedBody>();

  /** Number of distinct bodies stored. */
  get size(): number {
    return this.#byContentHash.size;
  }

  /**
   * Stores the body of a request until {@link RequestBodies.release}.
   *
   * @param spec Id and content hash of the request.
   * @param text Body of the request.
   */
  add(
    spec: { readonly requestId: string; readonly contentHash: string },
    text: string,
  ): void {
    const shared = this.#byContentHash.get(spec.contentHash) ?? {
      contentHash: spec.contentHash,
      text,
      openRequestIds: new Set(),
      allRequestIds: new Set(),
    };
    shared.openRequestIds.add(spec.requestId);
    shared.allRequestIds.add(spec.requestId);
    this.#byContentHash.set(spec.contentHash, shared);
    this.#byRequestId.set(spec.requestId, shared);
  }

  /**
   * Finds the body of a request.
   *
   * @param requestId Id of the request.
   * @returns The body, while this request or one with the same content is open.
   */
  find(requestId: string): string | undefined {
    return this.#byRequestId.get(requestId)?.text;
  }

  /**
   * Removes the body of a request unless another open request shares it.
   *
   * @param requestId Id of a request that has ended.
   */
  release(requestId: string): void {
    const shared = this.#byRequestId.get(requestId);
    if (shared === undefined) {
      return;
    }
    shared.openRequestIds.delete(requestId);
    if (shared.openRequestIds.size === 0) {
      this.#remove(shared);
    }
  }

  #remove(shared: SharedBody): void {
    this.#byContentHash.delete(shared.contentHash);
    for (const requestId of shared.allRequestIds) {
      this.#byRequestId.delete(requestId);
    }
  }
}
