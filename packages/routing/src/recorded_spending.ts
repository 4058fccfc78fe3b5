/**
 * What the record in the platform's store says at least, while writes to it are
 * on their way or may have been lost.
 */

/** Spending that a record states, as of one moment. */
export interface SpendingCoverage {
  /** Share of the fleet that the record covers, above 0 and at most 1. */
  readonly share: number;
  /** Cost units by workspace. */
  readonly byWorkspace: ReadonlyMap<string, number>;
}

/** State of a write of the record. */
export enum RecordOutcome {
  /** The record was replaced. */
  Written = "written",
  /** The record was certainly not replaced. */
  NotWritten = "not_written",
  /** The store refused the call, and may refuse it again. */
  Rejected = "rejected",
  /** No answer: the record may have been replaced, or may be replaced later. */
  Unknown = "unknown",
}

/** A record that states no spending. */
export const NOTHING_RECORDED: SpendingCoverage = {
  share: 1,
  byWorkspace: new Map(),
};

/**
 * Returns what a record states of a part of the fleet.
 *
 * @param coverage The record.
 * @param workspace Name of a workspace.
 * @param share Share of the fleet that the part is.
 * @returns Cost units.
 */
export function coveredBy(
  coverage: SpendingCoverage,
  workspace: string,
  share: number,
): number {
  const spent = coverage.byWorkspace.get(workspace) ?? 0;
  return spent * Math.min(1, share / coverage.share);
}

/** The record as it is known here, and the writes that may have replaced it. */
export class RecordedSpending {
  #confirmed = NOTHING_RECORDED;
  /** Contents that may have replaced the confirmed one. */
  #possible: SpendingCoverage[] = [];

  /**
   * Replaces what is known of the record: it was read, or a predecessor
   * announced it.
   *
   * @param coverage Spending that the record states.
   */
  found(coverage: SpendingCoverage): void {
    this.#confirmed = coverage;
    this.#possible = [];
  }

  /** The record may be lost. */
  lost(): void {
    this.found(NOTHING_RECORDED);
  }

  /**
   * Records that a write was sent.
   *
   * @param coverage Spending that it states.
   */
  writing(coverage: SpendingCoverage): void {
    this.#possible.push(coverage);
  }

  /**
   * Records the outcome of the last write.
   *
   * @param outcome The outcome.
   */
  ended(outcome: RecordOutcome): void {
    const last = this.#possible.at(-1);
    if (last === undefined || outcome === RecordOutcome.Unknown) {
      return;
    }
    if (outcome === RecordOutcome.Written) {
      this.found(last);
    } else {
      this.#possible.pop();
    }
  }

  /**
   * @param workspace Name of a workspace.
   * @param share Share of the fleet whose spending has to be covered.
   * @returns Cost units that a fleet without other knowledge will find as spent.
   */
  covered(workspace: string, share: number): number {
    const amounts = [this.#confirmed, ...this.#possible]
      .map((coverage) => coveredBy(coverage, workspace, share));
    return Math.min(...amounts);
  }
}
