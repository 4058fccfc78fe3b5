/** Suggests the known name that a mistyped one most likely stands for. */

/** Largest edit distance of a suggestion, as a share of the name's length. */
const MAX_DISTANCE_SHARE = 0.4;

/**
 * Finds the known name with the smallest edit distance to a given name,
 * ignoring case.
 *
 * @param name The name as written.
 * @param known The valid names.
 * @returns The nearest name, or `undefined` where none is close enough.
 */
export function nearestName(
  name: string,
  known: Iterable<string>,
): string | undefined {
  let nearest: string | undefined;
  let nearestDistance = Math.max(
    1,
    Math.floor(name.length * MAX_DISTANCE_SHARE),
  );
  for (const candidate of known) {
    const distance = editDistance(name.toLowerCase(), candidate.toLowerCase());
    if (distance > nearestDistance) continue;
    if (distance === nearestDistance && nearest !== undefined) continue;
    nearest = candidate;
    nearestDistance = distance;
  }
  return nearest;
}

/**
 * Computes the Levenshtein distance between two words.
 *
 * @param left The first word.
 * @param right The second word.
 * @returns The smallest number of single-character insertions, deletions and
 * replacements that turn one word into the other.
 */
export function editDistance(left: string, right: string): number {
  let previous = Array.from({ length: right.length + 1 }, (_, i) => i);
  for (let row = 1; row <= left.length; row++) {
    const current = [row];
    for (let column = 1; column <= right.length; column++) {
      const replacementCost = left[row - 1] === right[column - 1] ? 0 : 1;
      current[column] = Math.min(
        previous[column] + 1,
        current[column - 1] + 1,
        previous[column - 1] + replacementCost,
      );
    }
    previous = current;
  }
  return previous[right.length];
}
