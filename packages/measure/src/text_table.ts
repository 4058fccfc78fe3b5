/** Formatting of tables as plain text. */

const COLUMN_GAP = "  ";

/**
 * Formats rows as a table with aligned columns.
 *
 * @param rows Rows with the same keys, which become the column headings.
 * @returns The lines, headings first; none if there are no rows.
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
