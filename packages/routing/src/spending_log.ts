/** What workspaces spent within the last seconds. */

/** Spending is added up in slices of this length. */
export const SLICE_MS = 250;

interface Slice {
  readonly beganAtMs: number;
  spent: number;
}

/** Cost units that a workspace spent. */
export interface WorkspaceSpending {
  readonly workspace: string;
  readonly spent: number;
}

/** Spending by workspace, in slices of time. */
export class SpendingLog {
  readonly #windowMs: number;
  readonly #byWorkspace = new Map<string, Slice[]>();

  /** @param windowMs How long spending is remembered. */
  constructor(windowMs: number) {
    this.#windowMs = windowMs;
  }

  /**
   * @param workspace Who spent.
   * @param cost Cost units; negative where spending is taken back.
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
   * @param workspace A workspace.
   * @param nowMs The local time.
   * @returns Cost units that it spent within the window.
   */
  spent(workspace: string, nowMs: number): number {
    return this.#slices(workspace, nowMs)
      .reduce((sum, slice) => sum + slice.spent, 0);
  }

  /**
   * Tells when old spending will have left the window.
   *
   * @param workspace A workspace.
   * @param amount Cost units that have to leave.
   * @param nowMs The local time.
   * @returns A duration; that of the whole window where less was spent.
   */
  untilLeft(workspace: string, amount: number, nowMs: number): number {
    let left = 0;
    for (const slice of this.#slices(workspace, nowMs)) {
      left += slice.spent;
      if (left >= amount) {
        return Math.max(0, slice.beganAtMs + this.#lengthMs() - nowMs);
      }
    }
    return this.#lengthMs();
  }

  /**
   * @param nowMs The local time.
   * @returns What each workspace spent within the window.
   */
  lately(nowMs: number): WorkspaceSpending[] {
    return [...this.#byWorkspace.keys()]
      .map((workspace) => ({ workspace, spent: this.spent(workspace, nowMs) }))
      .filter(({ spent }) => spent > 0);
  }

  /** A slice counts until its last moment has left the window. */
  #lengthMs(): number {
    return this.#windowMs + SLICE_MS;
  }

  #slices(workspace: string, nowMs: number): readonly Slice[] {
    const slices = this.#byWorkspace.get(workspace) ?? [];
    while (
      slices.length > 0 && nowMs - slices[0]!.beganAtMs > this.#lengthMs()
    ) {
      slices.shift();
    }
    return slices;
  }
}
