/** A limit on the cardinality of metric labels. */

/** Value that replaces all values beyond the limit. */
export const OTHER_VALUE = "other";

const DEFAULT_MAX_VALUES = 100;

/** Passes the first distinct values of each label and replaces all others. */
export class LabelValueLimiter {
  readonly #maxValues: number;
  readonly #valuesByLabel = new Map<string, Set<string>>();

  /** @param maxValues Maximum number of distinct values per label. */
  constructor(maxValues = DEFAULT_MAX_VALUES) {
    this.#maxValues = maxValues;
  }

  /**
   * Limits the value of a label.
   *
   * @param label Name of the label.
   * @param value Value of the label.
   * @returns The value, or {@link OTHER_VALUE} if the label has too many.
   */
  limit(label: string, value: string): string {
    const values = this.#valuesByLabel.get(label) ?? new Set();
    this.#valuesByLabel.set(label, values);
    if (!values.has(value) && values.size >= this.#maxValues) {
      return OTHER_VALUE;
    }
    values.add(value);
    return value;
  }
}
