/** Which instance this one asks for places, and what it may hand out itself. */

import type { LedgerScope } from "@chestnuthatch/routing/allotment_ledger";
import {
  MEMBER_TIMEOUT_MS,
  type MemberRecord,
  type MemberView,
} from "@chestnuthatch/routing/member_view";

/** Time for which a silent coordinator is passed over. */
const SHUN_MS = 1000;

/**
 * Time for which a look at the members holds, unless one of them says something
 * new of itself. It costs time in proportion to their number. A member that falls
 * silent is noticed so much later.
 */
const LOOK_MS = 60;

const NONE_SHUNNED: ReadonlySet<string> = new Set();

/** What one look at the members gave. */
interface Look {
  readonly untilMs: number;
  /** Changes of the members that it takes in. */
  readonly changes: number;
  readonly coordinator: MemberRecord;
  /** Share of the fleet's allotments that this instance hands out. */
  readonly share: number;
  /** Since when the fleet remembers what workspaces spent. */
  readonly remembersSinceMs: number;
}

/** Picks the coordinator anew as members come, go or fall silent. */
export class CoordinatorChoice {
  readonly #members: MemberView;
  readonly #startedAtMs: number;
  readonly #spendingToldAtMs: (instanceId: string) => number;
  readonly #shunnedUntilMs = new Map<string, number>();
  #look?: Look;
  /** Since when the members agree on this instance as the coordinator. */
  #agreedSinceMs?: number;

  /**
   * @param members The members.
   * @param of When this instance began to remember what workspaces spent, and
   * when a member last told it what was spent through that member.
   */
  constructor(
    members: MemberView,
    of: {
      startedAtMs: number;
      spendingToldAtMs: (instanceId: string) => number;
    },
  ) {
    this.#members = members;
    this.#startedAtMs = of.startedAtMs;
    this.#spendingToldAtMs = of.spendingToldAtMs;
  }

  /**
   * @param nowMs The local time.
   * @returns The instance to ask for places.
   */
  current(nowMs: number): MemberRecord {
    return this.#lookAt(nowMs).coordinator;
  }

  /**
   * @param nowMs The local time.
   * @returns What this instance may hand out where it gives places.
   */
  scope(nowMs: number): LedgerScope {
    const { share, remembersSinceMs } = this.#lookAt(nowMs);
    return { share, memoryMs: nowMs - remembersSinceMs, nowMs };
  }

  /**
   * Passes a silent coordinator over for a while.
   *
   * @param instanceId The coordinator.
   * @param nowMs The local time.
   * @returns Whether it was not passed over already.
   */
  shun(instanceId: string, nowMs: number): boolean {
    const isNew = !this.#shunnedUntilMs.has(instanceId);
    this.#shunnedUntilMs.set(instanceId, nowMs + SHUN_MS);
    this.#look = undefined;
    return isNew;
  }

  #lookAt(nowMs: number): Look {
    const { revision: changes } = this.#members;
    if (
      this.#look === undefined || nowMs >= this.#look.untilMs ||
      changes !== this.#look.changes
    ) {
      const agreed = this.#members.coordinator(nowMs, NONE_SHUNNED);
      const ownMs = nowMs - this.#startedAtMs;
      this.#look = {
        untilMs: nowMs + LOOK_MS,
        changes,
        remembersSinceMs: nowMs - this.#members.memoryMs(ownMs, nowMs),
        coordinator: this.#answering(agreed, nowMs),
        share: this.#share(agreed, nowMs),
      };
    }
    return this.#look;
  }

  /** The agreed coordinator, or the next one while it is passed over. */
  #answering(agreed: MemberRecord, nowMs: number): MemberRecord {
    for (const [instanceId, untilMs] of this.#shunnedUntilMs) {
      if (untilMs <= nowMs) {
        this.#shunnedUntilMs.delete(instanceId);
      }
    }
    if (this.#shunnedUntilMs.size === 0) {
      return agreed;
    }
    // Where the way to one is cut, it is to its whole failure domain: those that
    // missed a heartbeat are not asked one after another.
    const overdue = this.#members.overdue(nowMs)
      .map((member) => member.instanceId);
    const shunned = new Set([...this.#shunnedUntilMs.keys(), ...overdue]);
    return this.#members.coordinator(nowMs, shunned);
  }

  /**
   * Share of the fleet's allotments and retry budgets that this instance hands
   * out: all that it hears where it coordinates, and else its own part.
   */
  #share(agreed: MemberRecord, nowMs: number): number {
    if (agreed.instanceId !== this.#members.selfId) {
      this.#agreedSinceMs = undefined;
      const alive = this.#members.alive(nowMs).length;
      return this.#members.reachableShare(nowMs) / alive;
    }
    this.#agreedSinceMs ??= nowMs;
    return nowMs - this.#agreedSinceMs < MEMBER_TIMEOUT_MS
      ? this.#members.reachableShare(nowMs)
      : this.#members.directlyReachableShare(nowMs, this.#spendingToldAtMs);
  }
}
