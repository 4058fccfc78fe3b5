/** The platform's list of instances and targets, which lags. */

import type { InstanceList } from "@chestnuthatch/wire/platform_protocol";

/** One entry of the list. */
export type ListedInstance = InstanceList["instances"][number];

interface Change {
  readonly atMs: number;
  readonly id: string;
  /** The entry from then on; undefined once it is gone. */
  readonly listed: ListedInstance | undefined;
}

/** Shows every change one lag after it was made. */
export class LaggingList {
  readonly #lagMs: number;
  readonly #actual = new Map<string, ListedInstance>();
  readonly #shown = new Map<string, ListedInstance>();
  #changes: Change[] = [];

  /** @param lagMs How far the list lags. */
  constructor(lagMs: number) {
    this.#lagMs = lagMs;
  }

  /**
   * Adds an entry, or puts it in the place of the one with the same id.
   *
   * @param listed The entry.
   * @param nowMs When; -Infinity shows it at once.
   */
  put(listed: ListedInstance, nowMs: number): void {
    this.#actual.set(listed.id, listed);
    this.#changes.push({ atMs: nowMs, id: listed.id, listed });
  }

  /**
   * Marks an entry as leaving.
   *
   * @param id Its id; an unknown one changes nothing.
   * @param nowMs When.
   */
  markLeaving(id: string, nowMs: number): void {
    const listed = this.#actual.get(id);
    if (listed !== undefined) {
      this.put({ ...listed, leaving: true }, nowMs);
    }
  }

  /**
   * Takes an entry off the list.
   *
   * @param id Its id.
   * @param nowMs When.
   */
  remove(id: string, nowMs: number): void {
    this.#actual.delete(id);
    this.#changes.push({ atMs: nowMs, id, listed: undefined });
  }

  /**
   * Reads the list as it was one lag ago.
   *
   * @param nowMs The time now.
   * @returns The list.
   */
  read(nowMs: number): InstanceList {
    const latestMs = nowMs - this.#lagMs;
    const due = this.#changes.filter(({ atMs }) => atMs <= latestMs);
    this.#changes = this.#changes.filter(({ atMs }) => atMs > latestMs);
    due.forEach((change) => this.#show(change));
    return { lagMs: this.#lagMs, instances: [...this.#shown.values()] };
  }

  #show({ id, listed }: Change): void {
    if (listed === undefined) {
      this.#shown.delete(id);
    } else {
      this.#shown.set(id, listed);
    }
  }
}
