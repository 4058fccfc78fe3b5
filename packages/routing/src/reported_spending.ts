/** Sums of the spending of workspaces in the last reports of all holders. */

import type { WorkspaceSpending } from "./spending_log.ts";

/**
 * Least total in cost units that counts. It is below the cost of any request,
 * so that a smaller rest is a rounding error.
 */
const MIN_TOTAL_COST = 0.001;

/**
 * Totals by workspace over all holders. A report costs time in proportion to
 * its own size and not to the number of holders.
 */
export class ReportedSpending {
  readonly #byHolder = new Map<string, readonly WorkspaceSpending[]>();
  readonly #totals = new Map<string, number>();

  /**
   * Replaces the spending reported by a holder.
   *
   * @param holderId Id of the holder.
   * @param spending All spending in its last report; empty to remove the
   * holder.
   */
  put(holderId: string, spending: readonly WorkspaceSpending[]): void {
    for (const before of this.#byHolder.get(holderId) ?? []) {
      this.#add(before.workspace, -before.spent);
    }
    this.#byHolder.delete(holderId);
    if (spending.length > 0) {
      this.#byHolder.set(holderId, spending);
    }
    for (const { workspace, spent } of spending) {
      this.#add(workspace, spent);
    }
  }

  /** @returns Total spending of each workspace over all holders. */
  totals(): WorkspaceSpending[] {
    return [...this.#totals]
      .map(([workspace, spent]) => ({ workspace, spent }));
  }

  #add(workspace: string, amount: number): void {
    const total = (this.#totals.get(workspace) ?? 0) + amount;
    if (total > MIN_TOTAL_COST) {
      this.#totals.set(workspace, total);
    } else {
      this.#totals.delete(workspace);
    }
  }
}
