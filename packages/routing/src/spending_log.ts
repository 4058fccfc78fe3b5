/** What workspaces spent within the last seconds. */

const MS_PER_S = 1000;
const SLICE_MS = 500;

/**
 * Seconds that spending is remembered: as long as the window over which users
 * judge an allotment.
 */
export const LOOK_BACK_S = 8;

interface Slice {
  readonly beganAtMs: number;
  spent: number;
}

/** Spending by workspace, in slices of time. */
export class SpendingLog {
  readonly #byWorkspace = new Map<string, Slice[]>();

  /**
   * @param workspace Who spent.
   * @param cost Cost units.
   * @param nowMs The local time.
   */
  note(workspace: string, cost: number, nowMs: number): void {
    const slices = this.#byWorkspace.get(workspace) ?? [];
    this.#byWorkspace.set(workspace, slices);
    const newest = slices.at(-1);
    if (newest !== undefined && nowMs - newest.beganAtMs < SLICE_MS) {
      newest.spent += cost;
    } else {
      slices.push({ beganAtMs: nowMs, spent: cost });
    }
  }

  /**
   * @param nowMs The local time.
   * @returns Cost units spent within the look-back, by workspace.
   */
  lately(nowMs: number): { workspace: string; spent: number }[] {
    const oldest = nowMs - LOOK_BACK_S * MS_PER_S;
    const lately = [];
    for (const [workspace, slices] of this.#byWorkspace) {
      while (slices.length > 0 && slices[0]!.beganAtMs < oldest) {
        slices.shift();
      }
      if (slices.length === 0) {
        this.#byWorkspace.delete(workspace);
        continue;
      }
      const spent = slices.reduce((sum, slice) => sum + slice.spent, 0);
      lately.push({ workspace, spent });
    }
    return lately;
  }
}
