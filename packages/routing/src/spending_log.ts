/** Sliding-window log of the spending of workspaces. */

const MS_PER_S = 1000;

/** Length of a slice of time in which spending is summed. */
export const SLICE_MS = 250;

/** Spending within a slice of time. */
export interface Slice {
  /** Local time in milliseconds. */
  readonly beganAtMs: number;
  /** Cost units. */
  spent: number;
}

/** Spending of one workspace. */
interface WorkspaceLog {
  /** The oldest first. */
  slices: Slice[];
  /** Sum of the slices, as adding them up at each charge takes too long. */
  spent: number;
}

/** Cost units that a workspace spent within the window. */
export interface WorkspaceSpending {
  readonly workspace: string;
  readonly spent: number;
}

/** Spending of a workspace by age, for transfer to another instance. */
export interface SpendingHistory extends WorkspaceSpending {
  /** Cost units by whole seconds of age, the latest second first. */
  readonly bySecond: readonly number[];
}

/**
 * Ages a history: what has left the window is dropped.
 *
 * @param history Spending of a workspace at an earlier time.
 * @param ageMs Time since then in milliseconds.
 * @returns Spending of the workspace as of now.
 */
export function agedHistory(
  { workspace, bySecond }: SpendingHistory,
  ageMs: number,
): SpendingHistory {
  // A second that has left the window only in part may still count, and the
  // remaining spending must never be treated as older than it may be.
  const expiredSeconds = Math.ceil(ageMs / MS_PER_S);
  const elapsedSeconds = Math.floor(ageMs / MS_PER_S);
  const unexpired = bySecond.slice(
    0,
    Math.max(0, bySecond.length - expiredSeconds),
  );
  return {
    workspace,
    spent: sumOf(unexpired),
    bySecond: [...new Array<number>(elapsedSeconds).fill(0), ...unexpired],
  };
}

/**
 * Ages the last history that is known. What was spent since then is not, so as
 * much as has left the window counts as spent in the latest second.
 *
 * @param history Spending of a workspace at an earlier time.
 * @param ageMs Time since then in milliseconds.
 * @returns The most that may be spent as of now, if it never exceeded the
 * earlier amount.
 */
export function refilledHistory(
  history: SpendingHistory,
  ageMs: number,
): SpendingHistory {
  const aged = agedHistory(history, ageMs);
  return withRecentCost(aged, history.spent - aged.spent);
}

/**
 * Adds cost to the latest second of a history.
 *
 * @param history Spending of a workspace.
 * @param cost Cost units to add.
 * @returns A new history with the cost added.
 */
export function withRecentCost(
  { workspace, spent, bySecond }: SpendingHistory,
  cost: number,
): SpendingHistory {
  const [last = 0, ...rest] = bySecond;
  return { workspace, spent: spent + cost, bySecond: [last + cost, ...rest] };
}

/**
 * Adds two histories of one workspace.
 *
 * @param history Spending of the workspace.
 * @param other Other spending of the same workspace.
 * @returns A new history of the sums.
 */
export function addedHistories(
  history: SpendingHistory,
  other: SpendingHistory,
): SpendingHistory {
  const seconds = Math.max(history.bySecond.length, other.bySecond.length);
  const bySecond = Array.from(
    { length: seconds },
    (_, age) => (history.bySecond[age] ?? 0) + (other.bySecond[age] ?? 0),
  );
  return {
    workspace: history.workspace,
    spent: history.spent + other.spent,
    bySecond,
  };
}

/**
 * Merges two accounts of the same spending, neither of which is complete: one
 * may lack the latest, the other what an earlier holder knew.
 *
 * @param history Spending of a workspace as one instance knows it.
 * @param other The same as another instance knows it.
 * @returns A history in which each of the last seconds together hold as much as
 * in the larger of the two.
 */
export function mergedHistory(
  history: SpendingHistory,
  other: SpendingHistory,
): SpendingHistory {
  const seconds = Math.max(history.bySecond.length, other.bySecond.length);
  const bySecond: number[] = [];
  let [sum, otherSum, mergedSum] = [0, 0, 0];
  for (let age = 0; age < seconds; age++) {
    sum += history.bySecond[age] ?? 0;
    otherSum += other.bySecond[age] ?? 0;
    const largerSum = Math.max(sum, otherSum);
    bySecond.push(largerSum - mergedSum);
    mergedSum = largerSum;
  }
  return { workspace: history.workspace, spent: mergedSum, bySecond };
}

/**
 * Rounds a history up to whole cost units, which halves its encoded size.
 *
 * @param history Spending of a workspace.
 * @returns A new history of whole cost units.
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

/** Sliding-window log of spending by workspace, in slices of time. */
export class SpendingLog {
  readonly #windowMs: number;
  readonly #byWorkspace = new Map<string, WorkspaceLog>();

  /** @param windowMs Length of the sliding window in milliseconds. */
  constructor(windowMs: number) {
    this.#windowMs = windowMs;
  }

  /**
   * Records spending.
   *
   * @param workspace Name of the workspace.
   * @param cost Cost units.
   * @param nowMs Current local time in milliseconds.
   */
  record(workspace: string, cost: number, nowMs: number): void {
    const log = this.#log(workspace);
    log.spent += cost;
    const newest = log.slices.at(-1);
    if (newest !== undefined && nowMs - newest.beganAtMs < SLICE_MS) {
      newest.spent += cost;
    } else {
      log.slices.push({ beganAtMs: nowMs, spent: cost });
    }
  }

  /**
   * Inserts spending of an earlier time.
   *
   * @param workspace Name of the workspace.
   * @param cost Cost units.
   * @param atMs Local time in milliseconds.
   */
  insert(workspace: string, cost: number, atMs: number): void {
    if (cost > 0) {
      this.#insertAll(workspace, [{ beganAtMs: atMs, spent: cost }]);
    }
  }

  #insertAll(workspace: string, slices: readonly Slice[]): void {
    const log = this.#log(workspace);
    const inserted = [...log.slices, ...slices];
    inserted.sort((a, b) => a.beganAtMs - b.beganAtMs);
    log.slices = inserted;
    log.spent += sumOf(slices.map(({ spent }) => spent));
  }

  /**
   * Takes spending back that was recorded before, from the time at which it was
   * recorded. Taken from a later time, it would still reduce the sum of the
   * window when the spending itself has left it.
   *
   * @param workspace Name of the workspace.
   * @param cost Cost units.
   * @param recordedAtMs Local time in milliseconds at which it was recorded.
   */
  takeBack(workspace: string, cost: number, recordedAtMs: number): void {
    const log = this.#log(workspace);
    const slice = log.slices
      .findLast(({ beganAtMs }) => beganAtMs <= recordedAtMs);
    if (slice !== undefined) {
      slice.spent -= cost;
      log.spent -= cost;
    }
  }

  /**
   * @param workspace Name of a workspace.
   * @param nowMs Current local time in milliseconds.
   * @returns Cost units that the workspace spent within the window.
   */
  spent(workspace: string, nowMs: number): number {
    return this.#unexpired(workspace, nowMs)?.spent ?? 0;
  }

  /**
   * @param workspace Name of a workspace.
   * @param untilMs Local time in milliseconds; slices that began later are left
   * out.
   * @param nowMs Current local time in milliseconds.
   * @returns Cost units that the workspace spent within the window until then.
   */
  spentUntil(workspace: string, untilMs: number, nowMs: number): number {
    const slices = this.#slices(workspace, nowMs)
      .filter(({ beganAtMs }) => beganAtMs <= untilMs);
    return sumOf(slices.map(({ spent }) => spent));
  }

  /**
   * Appends the spending of another log.
   *
   * @param other The other log.
   */
  append(other: SpendingLog): void {
    for (const [workspace, { slices }] of other.#byWorkspace) {
      this.#insertAll(workspace, slices.map((slice) => ({ ...slice })));
    }
  }

  /**
   * @param workspace Name of a workspace.
   * @param nowMs Current local time in milliseconds.
   * @returns Spending of the workspace within the window by age.
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
   * Replaces the spending of a workspace. The spending of each second counts at
   * the second's end, so that it never expires too early.
   *
   * @param history Spending by age.
   * @param atMs Local time in milliseconds that the ages count from.
   */
  setHistory({ workspace, bySecond }: SpendingHistory, atMs: number): void {
    const slices = bySecond.map((spent, age) => ({
      beganAtMs: atMs - age * MS_PER_S,
      spent,
    }));
    this.#byWorkspace.set(workspace, {
      slices: slices.reverse(),
      spent: sumOf(bySecond),
    });
  }

  /**
   * @param workspace Name of a workspace.
   * @param nowMs Current local time in milliseconds.
   * @returns Its spending within the window, the oldest first.
   */
  slices(workspace: string, nowMs: number): readonly Readonly<Slice>[] {
    return this.#slices(workspace, nowMs);
  }

  /**
   * @param nowMs Current local time in milliseconds.
   * @returns Total spending of each workspace within the window.
   */
  totals(nowMs: number): WorkspaceSpending[] {
    return [...this.#byWorkspace.keys()]
      .map((workspace) => ({ workspace, spent: this.spent(workspace, nowMs) }))
      .filter(({ spent }) => spent > 0);
  }

  /**
   * @param nowMs Current local time in milliseconds.
   * @returns Names of the workspaces with spending within the window.
   */
  workspaces(nowMs: number): string[] {
    return [...this.#byWorkspace.keys()]
      .filter((workspace) => this.#unexpired(workspace, nowMs) !== undefined);
  }

  /** Retention of a slice: until its last moment has left the window. */
  #retentionMs(): number {
    return this.#windowMs + SLICE_MS;
  }

  #log(workspace: string): WorkspaceLog {
    let log = this.#byWorkspace.get(workspace);
    if (log === undefined) {
      log = { slices: [], spent: 0 };
      this.#byWorkspace.set(workspace, log);
    }
    return log;
  }

  #slices(workspace: string, nowMs: number): readonly Slice[] {
    return this.#unexpired(workspace, nowMs)?.slices ?? [];
  }

  /** Removes what has left the window; undefined if nothing is left. */
  #unexpired(workspace: string, nowMs: number): WorkspaceLog | undefined {
    const log = this.#byWorkspace.get(workspace);
    if (log === undefined) {
      return undefined;
    }
    const { slices } = log;
    const retentionMs = this.#retentionMs();
    while (slices.length > 0 && nowMs - slices[0]!.beganAtMs > retentionMs) {
      log.spent -= slices.shift()!.spent;
    }
    if (slices.length === 0) {
      this.#byWorkspace.delete(workspace);
      return undefined;
    }
    return log;
  }
}
