/** Tables as plain text. */

/**
 * Aligns columns.
 *
 * @param rows Cells by row; the first row is the header.
 * @returns One line for each row.
 */
export function alignColumns(rows: readonly (readonly string[])[]): string[] {
  const widths = rows[0].map((_, column) =>
    Math.max(...rows.map((row) => row[column].length))
  );
  return rows.map((row) =>
    row.map((cell, column) => cell.padEnd(widths[column])).join("  ").trimEnd()
  );
}

/**
 * Words a section: its title and an indented table.
 *
 * @param title The title.
 * @param rows Cells by row, the header first.
 * @returns Its lines; a table without rows says so.
 */
export function section(
  title: string,
  rows: readonly (readonly string[])[],
): string[] {
  const lines = rows.length > 1 ? alignColumns(rows) : ["none"];
  return [`${title}:`, ...lines.map((line) => `  ${line}`)];
}
