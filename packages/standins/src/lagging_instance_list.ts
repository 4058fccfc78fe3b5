/** The platform's list of instances and targets, which shows changes late. */

import type { InstanceList } from "@chestnuthatch/wire/platform_protocol";

/** An entry of the platform's list: an instance or a target. */
export type ListedInstance = InstanceList["instances"][number];

interface PendingChange {
  readonly atMs: number;
  readonly id: string;
  /** The new entry; undefined for a removal. */
  readonly entry: ListedInstance | undefined;
}

/** List of instances and targets whose readers see changes after a lag. */
export class LaggingInstanceList {
  readonly #lagMs: number;
  /** Entries with all changes, including those not yet visible. */
  readonly #currentEntries = new Map<string, ListedInstance>();
  readonly #visibleEntries = new Map<string, ListedInstance>();
  #pendingChanges: PendingChange[] = [];

  /** @param lagMs Delay until a change becomes visible. */
  constructor(lagMs: number) {
    this.#lagMs = lagMs;
  }

  /**
   * Adds an entry, or replaces the entry with the same id.
   *
   * @param entry The entry.
   * @param nowMs Time of the change; -Infinity makes it visible at once.
   */
  put(entry: ListedInstance, nowMs: number): void {
    this.#currentEntries.set(entry.id, entry);
    this.#pendingChanges.push({ atMs: nowMs, id: entry.id, entry });
  }

  /**
   * Marks an entry as leaving.
   *
   * @param id Id of the entry; an unknown id is ignored.
   * @param nowMs Time of the change.
   */
  markLeaving(id: string, nowMs: number): void {
    const entry = this.#currentEntries.get(id);
    if (entry !== undefined) {
      this.put({ ...entry, leaving: true }, nowMs);
    }
  }

  /**
   * Removes an entry.
   *
   * @param id Id of the entry.
   * @param nowMs Time of the change.
   */
  remove(id: string, nowMs: number): void {
    this.#currentEntries.delete(id);
    this.#pendingChanges.push({ atMs: nowMs, id, entry: undefined });
  }

  /**
   * Reads the list as it was one lag before now.
   *
   * @param nowMs The time now.
   * @returns The visible entries, and the lag.
   */
  read(nowMs: number): InstanceList {
    const visibleUntilMs = nowMs - this.#lagMs;
    const due = this.#pendingChanges.filter(({ atMs }) =>
      atMs <= visibleUntilMs
    );
    this.#pendingChanges = this.#pendingChanges.filter(({ atMs }) =>
      atMs > visibleUntilMs
    );
    due.forEach((change) => this.#applyChange(change));
    return {
      lagMs: this.#lagMs,
      instances: [...this.#visibleEntries.values()],
    };
  }

  #applyChange({ id, entry }: PendingChange): void {
    if (entry === undefined) {
      this.#visibleEntries.delete(id);
    } else {
      this.#visibleEntries.set(id, entry);
    }
  }
}
