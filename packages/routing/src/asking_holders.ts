/**
 * Holders that sent asks recently, from which it is known whether a failure
 * domain has a single one.
 */

import type { MemberView } from "./member_view.ts";

/** Time without asks after which a holder does not count any more. */
const ASKING_WINDOW_MS = 3000;

/** Holders from which a coordinator receives asks. */
export class AskingHolders {
  readonly #members: MemberView;
  readonly #askedAtMs = new Map<string, number>();
  #lastAskAtMs = -Infinity;
  /** When asks began to arrive, after a longer time without any. */
  #askingSinceMs = -Infinity;

  /** @param members Members of the fleet, with their failure domains. */
  constructor(members: MemberView) {
    this.#members = members;
  }

  /**
   * Records that a holder sent an ask.
   *
   * @param holderId Id of the holder.
   * @param nowMs Current local time in milliseconds.
   */
  asked(holderId: string, nowMs: number): void {
    if (nowMs - this.#lastAskAtMs > ASKING_WINDOW_MS) {
      this.#askingSinceMs = nowMs;
    }
    this.#lastAskAtMs = nowMs;
    this.#askedAtMs.set(holderId, nowMs);
  }

  /**
   * Checks whether a holder is the only one of a failure domain that asked
   * recently. That is not known until asks have arrived for some time.
   *
   * @param holderId Id of the holder.
   * @param of The failure domain, and the current local time in milliseconds.
   * @returns True if it asked, and no other of the domain did.
   */
  isOnly(
    holderId: string,
    { failureDomain, nowMs }: { failureDomain: string; nowMs: number },
  ): boolean {
    if (nowMs - this.#askingSinceMs < ASKING_WINDOW_MS) {
      return false;
    }
    const asking = [...this.#askedAtMs].filter(([id, askedAtMs]) =>
      nowMs - askedAtMs <= ASKING_WINDOW_MS &&
      this.#members.get(id)?.failureDomain === failureDomain
    );
    return asking.length === 1 && asking[0]![0] === holderId;
  }

  /**
   * Discards holders that did not ask recently.
   *
   * @param nowMs Current local time in milliseconds.
   */
  evictExpired(nowMs: number): void {
    for (const [holderId, askedAtMs] of this.#askedAtMs) {
      if (nowMs - askedAtMs > ASKING_WINDOW_MS) {
        this.#askedAtMs.delete(holderId);
      }
    }
  }
}
