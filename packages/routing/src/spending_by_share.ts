/**
 * Spending of workspaces, separated by the share of the fleet's allotments out
 * of which it was handed out.
 */

import {
  addedHistories,
  mergedHistory,
  type Slice,
  type SpendingHistory,
  SpendingLog,
} from "./spending_log.ts";

/** Spending that was handed out of one share of the fleet's allotments. */
export interface SpendingLayer {
  /** Above 0 and at most 1; 1 while a coordinator reaches all instances. */
  readonly share: number;
  /** Spending of workspaces by age. */
  readonly spending: readonly SpendingHistory[];
}

/** Logs of spending, one for each share. */
export class SpendingByShare {
  readonly #windowMs: number;
  readonly #logs = new Map<number, SpendingLog>();

  /** @param windowMs Length of the sliding window in milliseconds. */
  constructor(windowMs: number) {
    this.#windowMs = windowMs;
  }

  /**
   * @param share A share of the fleet's allotments.
   * @returns The log of the spending out of it.
   */
  of(share: number): SpendingLog {
    let log = this.#logs.get(share);
    if (log === undefined) {
      log = new SpendingLog(this.#windowMs);
      this.#logs.set(share, log);
    }
    return log;
  }

  /**
   * @param workspace Name of a workspace.
   * @param nowMs Current local time in milliseconds.
   * @returns Cost units that the workspace spent within the window.
   */
  spent(workspace: string, nowMs: number): number {
    return this.#sum((log) => log.spent(workspace, nowMs));
  }

  /**
   * Returns what counts against the allotments of a part of the fleet: it takes
   * over as much of the spending out of a larger share as of that share itself.
   *
   * @param workspace Name of a workspace.
   * @param share Share of the fleet that the part is.
   * @param nowMs Current local time in milliseconds.
   * @returns Cost units within the window.
   */
  spentOutOf(workspace: string, share: number, nowMs: number): number {
    return this.#sum((log, logShare) =>
      log.spent(workspace, nowMs) * Math.min(1, share / logShare)
    );
  }

  /**
   * Returns the spending that {@link spentOutOf} adds up, by time.
   *
   * @param workspace Name of the workspace.
   * @param share Share of the fleet that the part is.
   * @param nowMs Current local time in milliseconds.
   * @returns Cost units within the window, in no particular order.
   */
  slicesOutOf(workspace: string, share: number, nowMs: number): Slice[] {
    return [...this.#logs].flatMap(([logShare, log]) =>
      log.slices(workspace, nowMs).map(({ beganAtMs, spent }) => ({
        beganAtMs,
        spent: spent * Math.min(1, share / logShare),
      }))
    );
  }

  /**
   * Adds the spending of another instance of this class.
   *
   * @param other The spending.
   */
  append(other: SpendingByShare): void {
    other.#logs.forEach((log, share) => this.of(share).append(log));
  }

  /**
   * Merges spending as another instance knows it. Both overlap, and adding them
   * up would count spending several times.
   *
   * @param layer Spending out of one share.
   * @param atMs Local time in milliseconds that the ages count from.
   */
  merge({ share, spending }: SpendingLayer, atMs: number): void {
    const log = this.of(share);
    for (const history of spending) {
      const known = log.history(history.workspace, atMs);
      log.setHistory(mergedHistory(known, history), atMs);
    }
  }

  /**
   * Adds spending by age.
   *
   * @param layer Spending out of one share.
   * @param atMs Local time in milliseconds that the ages count from.
   */
  add({ share, spending }: SpendingLayer, atMs: number): void {
    const log = this.of(share);
    for (const history of spending) {
      const known = log.history(history.workspace, atMs);
      log.setHistory(addedHistories(known, history), atMs);
    }
  }

  /**
   * @param workspaces Names of workspaces.
   * @param nowMs Current local time in milliseconds.
   * @returns The spending of these, without layers that have none.
   */
  layers(workspaces: readonly string[], nowMs: number): SpendingLayer[] {
    return [...this.#logs].map(([share, log]) => ({
      share,
      spending: workspaces
        .map((workspace) => log.history(workspace, nowMs))
        .filter(({ spent }) => spent > 0),
    })).filter(({ spending }) => spending.length > 0);
  }

  /**
   * @param nowMs Current local time in milliseconds.
   * @returns Names of the workspaces with spending within the window.
   */
  workspaces(nowMs: number): string[] {
    return [...this.#logs.values()].flatMap((log) => log.workspaces(nowMs));
  }

  /**
   * Removes the logs whose spending has left the window.
   *
   * @param nowMs Current local time in milliseconds.
   */
  evictExpired(nowMs: number): void {
    for (const [share, log] of this.#logs) {
      if (log.workspaces(nowMs).length === 0) {
        this.#logs.delete(share);
      }
    }
  }

  #sum(amountOf: (log: SpendingLog, share: number) => number): number {
    let sum = 0;
    for (const [share, log] of this.#logs) {
      sum += amountOf(log, share);
    }
    return sum;
  }
}
