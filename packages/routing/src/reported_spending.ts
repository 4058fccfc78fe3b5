/** What holders told last that workspaces spent through them, added up. */

import type { WorkspaceSpending } from "./spending_log.ts";

/** Less than any request costs; what is left below it is rounding. */
const NEGLIGIBLE = 0.001;

/**
 * Spending by workspace over all holders. A report costs time in proportion to
 * its own size and not to that of the fleet.
 */
export class ReportedSpending {
  readonly #byHolder = new Map<string, readonly WorkspaceSpending[]>();
  readonly #totals = new Map<string, number>();

  /**
   * @param holderId Who told.
   * @param spending All that it told now; replaces what it told before.
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

  /** @returns Spending over all holders. */
  totals(): WorkspaceSpending[] {
    return [...this.#totals]
      .map(([workspace, spent]) => ({ workspace, spent }));
  }

  #add(workspace: string, amount: number): void {
    const total = (this.#totals.get(workspace) ?? 0) + amount;
    if (total > NEGLIGIBLE) {
      this.#totals.set(workspace, total);
    } else {
      this.#totals.delete(workspace);
    }
  }
}
