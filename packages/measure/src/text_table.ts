/** Tables of plain text. */

const GAP = "  ";

/**
 * Lays out rows in columns.
 *
 * @param rows Rows with the same columns.
 * @returns The lines, headings first; none for no rows.
 */
export function tableLines(
  rows: readonly Readonly<Record<string, string | number>>[],
): string[] {
  if (rows.length === 0) {
    return [];
  }
  const columns = Object.keys(rows[0]);
  const cells = [
    columns,
    ...rows.map((row) => columns.map((c) => `${row[c]}`)),
  ];
  const widths = columns.map((_, index) =>
    Math.max(...cells.map((line) => line[index].length))
  );
  return cells.map((line) =>
    line.map((cell, index) => cell.padEnd(widths[index])).join(GAP).trimEnd()
  );
}
