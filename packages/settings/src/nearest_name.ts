/** Finds the name that a mistyped one was probably meant to be. */

/** Share of the word's length that may differ. */
const MAX_DISTANCE_SHARE = 0.4;

/**
 * Picks the known name closest to a given one.
 *
 * @param name The name as written.
 * @param known Names that would have been right.
 * @returns The closest known name, or `undefined` where none is close.
 */
export function nearestName(
  name: string,
  known: Iterable<string>,
): string | undefined {
  let best: string | undefined;
  let bestDistance = Math.max(1, Math.floor(name.length * MAX_DISTANCE_SHARE));
  for (const candidate of known) {
    const distance = editDistance(name.toLowerCase(), candidate.toLowerCase());
    if (distance > bestDistance) continue;
    if (distance === bestDistance && best !== undefined) continue;
    best = candidate;
    bestDistance = distance;
  }
  return best;
}

/**
 * Counts the single-letter edits between two words (Levenshtein distance).
 *
 * @param left One word.
 * @param right The other word.
 * @returns The smallest number of insertions, deletions and replacements.
 */
export function editDistance(left: string, right: string): number {
  let previous = Array.from({ length: right.length + 1 }, (_, i) => i);
  for (let row = 1; row <= left.length; row++) {
    const current = [row];
    for (let column = 1; column <= right.length; column++) {
      const replaced = left[row - 1] === right[column - 1] ? 0 : 1;
      current[column] = Math.min(
        previous[column] + 1,
        current[column - 1] + 1,
        previous[column - 1] + replaced,
      );
    }
    previous = current;
  }
  return previous[right.length];
}
