/** Fetches one item from whichever peer has news of it, one at a time. */

import type { MemberInfo } from "@chestnuthatch/routing/member_view";
import type * as z from "zod";
import { type EventLog, LogPart } from "./event_log.ts";
import { type CatalogItem, catalogOf, fetchItem } from "./peer_catalog.ts";
import type { Clock } from "./ports.ts";

/** What is fetched, and how often. */
export interface PeerFetchOptions<T> {
  readonly item: CatalogItem;
  readonly schema: z.ZodType<T>;
  /** Least time between two attempts. */
  readonly everyMs: number;
  /** Called with what a peer handed over. */
  onFetched(fetched: T, from: MemberInfo): void;
}

/** What the fetch works with. */
export interface PeerFetchParts {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly catalogPort: number;
}

/** Asks peers for an item. */
export class PeerFetch<T> {
  readonly #parts: PeerFetchParts;
  readonly #options: PeerFetchOptions<T>;
  #isUnderWay = false;
  #askedAtMs = -Infinity;

  /**
   * @param parts What it works with.
   * @param options What is fetched.
   */
  constructor(parts: PeerFetchParts, options: PeerFetchOptions<T>) {
    this.#parts = parts;
    this.#options = options;
  }

  /** @param from A peer; not asked while another is, or was just now. */
  ask(from: MemberInfo): void {
    const nowMs = this.#parts.clock.nowMs();
    const isDue = nowMs - this.#askedAtMs >= this.#options.everyMs;
    if (!this.#isUnderWay && isDue) {
      this.#askedAtMs = nowMs;
      void this.#fetch(from);
    }
  }

  async #fetch(from: MemberInfo): Promise<void> {
    const { catalogPort, log } = this.#parts;
    const { item, schema, onFetched } = this.#options;
    this.#isUnderWay = true;
    const fetched = await fetchItem(catalogOf(from, catalogPort), item, schema);
    this.#isUnderWay = false;
    fetched.match(
      (content) => onFetched(content, from),
      (reason) => {
        const facts = { member: from.instanceId, item, reason };
        log.warn(LogPart.Members, "peer handed nothing over", facts);
      },
    );
  }
}
