/** What workspaces spent within the last seconds. */

const MS_PER_S = 1000;

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

/** When a workspace spent, for another instance that goes on from it. */
export interface SpendingHistory extends WorkspaceSpending {
  /** Cost units by whole seconds of age, the last second first. */
  readonly bySecond: readonly number[];
}

/**
 * @param history Spending of a workspace as it was some time ago.
 * @param ageMs How long ago.
 * @returns The same as of now. What may have been spent since is not known: as
 * much as has left the window counts as spent just now.
 */
export function agedHistory(
  { workspace, spent, bySecond }: SpendingHistory,
  ageMs: number,
): SpendingHistory {
  // Spending within a second that has left in part may not have left yet, and
  // what remains is never taken for older than it may be.
  const expiredSeconds = Math.ceil(ageMs / MS_PER_S);
  const elapsedSeconds = Math.floor(ageMs / MS_PER_S);
  const kept = bySecond.slice(0, Math.max(0, bySecond.length - expiredSeconds));
  const aged = {
    workspace,
    spent: sumOf(kept),
    bySecond: [...new Array<number>(elapsedSeconds).fill(0), ...kept],
  };
  return withRecentCost(aged, spent - aged.spent);
}

/**
 * @param history Spending of a workspace.
 * @param cost Cost units.
 * @returns The same with so much more in the last second.
 */
export function withRecentCost(
  { workspace, spent, bySecond }: SpendingHistory,
  cost: number,
): SpendingHistory {
  const [last = 0, ...rest] = bySecond;
  return { workspace, spent: spent + cost, bySecond: [last + cost, ...rest] };
}

/**
 * @param history Spending of a workspace.
 * @returns The same in whole cost units, which take half the bytes.
 */
export function roundedUp(
  { workspace, bySecond }: SpendingHistory,
): SpendingHistory {
  const rounded = bySecond.map(Math.ceil);
  return { workspace, spent: sumOf(rounded), bySecond: rounded };
}

function sumOf(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0);
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
  record(workspace: string, cost: number, nowMs: number): void {
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
    return sumOf(this.#slices(workspace, nowMs).map(({ spent }) => spent));
  }

  /**
   * @param workspace A workspace.
   * @param untilMs Spending that began to be added up later is left out.
   * @param nowMs The local time.
   * @returns Cost units that it spent within the window until then.
   */
  spentUntil(workspace: string, untilMs: number, nowMs: number): number {
    const slices = this.#slices(workspace, nowMs)
      .filter(({ beganAtMs }) => beganAtMs <= untilMs);
    return sumOf(slices.map(({ spent }) => spent));
  }

  /**
   * @param workspace A workspace.
   * @param nowMs The local time.
   * @returns When it spent what it spent within the window.
   */
  history(workspace: string, nowMs: number): SpendingHistory {
    const seconds = Math.ceil(this.#retentionMs() / MS_PER_S);
    const bySecond: number[] = new Array(seconds).fill(0);
    for (const { beganAtMs, spent } of this.#slices(workspace, nowMs)) {
      const age = Math.floor((nowMs - beganAtMs) / MS_PER_S);
      bySecond[Math.min(age, seconds - 1)]! += spent;
    }
    return { workspace, spent: sumOf(bySecond), bySecond };
  }

  /**
   * Replaces what is known of a workspace. Each second's spending counts as
   * spent at its end, so never too early.
   *
   * @param history When it spent.
   * @param atMs Local time that the history's ages count from.
   */
  setHistory({ workspace, bySecond }: SpendingHistory, atMs: number): void {
    const slices = bySecond.map((spent, age) => ({
      beganAtMs: atMs - age * MS_PER_S,
      spent,
    }));
    this.#byWorkspace.set(workspace, slices.reverse());
  }

  /**
   * Tells when old spending will have left the window.
   *
   * @param workspace A workspace.
   * @param amount Cost units that have to leave.
   * @param nowMs The local time.
   * @returns A duration; that of the whole window where less was spent.
   */
  timeUntilExpiredMs(workspace: string, amount: number, nowMs: number): number {
    let expired = 0;
    for (const slice of this.#slices(workspace, nowMs)) {
      expired += slice.spent;
      if (expired >= amount) {
        return Math.max(0, slice.beganAtMs + this.#retentionMs() - nowMs);
      }
    }
    return this.#retentionMs();
  }

  /**
   * @param nowMs The local time.
   * @returns What each workspace spent within the window.
   */
  totals(nowMs: number): WorkspaceSpending[] {
    return [...this.#byWorkspace.keys()]
      .map((workspace) => ({ workspace, spent: this.spent(workspace, nowMs) }))
      .filter(({ spent }) => spent > 0);
  }

  /** A slice counts until its last moment has left the window. */
  #retentionMs(): number {
    return this.#windowMs + SLICE_MS;
  }

  #slices(workspace: string, nowMs: number): readonly Slice[] {
    const slices = this.#byWorkspace.get(workspace) ?? [];
    while (
      slices.length > 0 && nowMs - slices[0]!.beganAtMs > this.#retentionMs()
    ) {
      slices.shift();
    }
    return slices;
  }
}
