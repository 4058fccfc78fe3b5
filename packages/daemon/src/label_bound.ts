/** Keeps the number of values of each metric label bounded. */

/** Value that stands for all beyond the bound. */
export const OTHER_VALUE = "other";

const DEFAULT_MAX_VALUES = 100;

/** Lets through the first values of each label. */
export class LabelBound {
  readonly #maxValues: number;
  readonly #valuesByLabel = new Map<string, Set<string>>();

  /** @param maxValues Most values of one label. */
  constructor(maxValues = DEFAULT_MAX_VALUES) {
    this.#maxValues = maxValues;
  }

  /**
   * @param label The label's name.
   * @param value Its value.
   * @returns The value, or {@link OTHER_VALUE} where there are too many.
   */
  bounded(label: string, value: string): string {
    const values = this.#valuesByLabel.get(label) ?? new Set();
    this.#valuesByLabel.set(label, values);
    if (!values.has(value) && values.size >= this.#maxValues) {
      return OTHER_VALUE;
    }
    values.add(value);
    return value;
  }
}
