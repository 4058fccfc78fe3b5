/** Tables of plain text. */

const COLUMN_GAP = "  ";

/**
 * Lays out rows in columns.
 *
 * @param rows Rows with the same columns.
 * @returns The lines, headings first; none for no rows.
 */
export function formatTable(
  rows: readonly Readonly<Record<string, string | number>>[],
): string[] {
  if (rows.length === 0) {
    return [];
  }
  const columns = Object.keys(rows[0]);
  const cellRows = [
    columns,
    ...rows.map((row) => columns.map((c) => `${row[c]}`)),
  ];
  const widths = columns.map((_, index) =>
    Math.max(...cellRows.map((line) => line[index].length))
  );
  return cellRows.map((cells) =>
    cells.map((cell, index) => cell.padEnd(widths[index])).join(COLUMN_GAP)
      .trimEnd()
  );
}
