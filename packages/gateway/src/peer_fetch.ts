/**
 * Fetches a snapshot from peers that have a newer version, one at a time and at
 * a limited rate.
 */

import type { MemberInfo } from "@chestnuthatch/routing/member_record";
import type * as z from "zod";
import { type EventLog, LogPart } from "./event_log.ts";
import {
  fetchSnapshot,
  snapshotAddressOf,
  type SnapshotKind,
} from "./snapshot_server.ts";
import type { Clock } from "./ports.ts";

/** Snapshot to fetch, its receiver, and the rate limit. */
export interface PeerFetchOptions<T> {
  readonly kind: SnapshotKind;
  readonly schema: z.ZodType<T>;
  /** Minimum time between the starts of two attempts. */
  readonly minIntervalMs: number;
  /** Called with the snapshot and the peer that sent it. */
  onFetched(fetched: T, from: MemberInfo): void;
}

/** Dependencies of {@link PeerFetch}. */
export interface PeerFetchParts {
  readonly clock: Clock;
  readonly log: EventLog;
  /** Port of the peers' snapshot servers. */
  readonly snapshotPort: number;
}

/** Fetches one kind of snapshot from peers. */
export class PeerFetch<T> {
  readonly #parts: PeerFetchParts;
  readonly #options: PeerFetchOptions<T>;
  #isFetching = false;
  #startedAtMs = -Infinity;

  /**
   * @param parts Dependencies.
   * @param options Snapshot to fetch, its receiver, and the rate limit.
   */
  constructor(parts: PeerFetchParts, options: PeerFetchOptions<T>) {
    this.#parts = parts;
    this.#options = options;
  }

  /**
   * Fetches the snapshot, unless a fetch is in progress or has started less
   * than the minimum interval ago.
   *
   * @param from Peer to fetch from.
   * @returns Whether a fetch was started.
   */
  fetchFrom(from: MemberInfo): boolean {
    const nowMs = this.#parts.clock.nowMs();
    const isDue = nowMs - this.#startedAtMs >= this.#options.minIntervalMs;
    if (this.#isFetching || !isDue) {
      return false;
    }
    this.#startedAtMs = nowMs;
    void this.#fetch(from);
    return true;
  }

  async #fetch(from: MemberInfo): Promise<void> {
    const { snapshotPort, log } = this.#parts;
    const { kind, schema, onFetched } = this.#options;
    this.#isFetching = true;
    const fetched = await fetchSnapshot(
      snapshotAddressOf(from, snapshotPort),
      kind,
      schema,
    ).finally(() => this.#isFetching = false);
    fetched.match(
      (content) => onFetched(content, from),
      (reason) => {
        const facts = { member: from.instanceId, item: kind, reason };
        log.warn(LogPart.Members, "fetch from peer failed", facts);
      },
    );
  }
}
