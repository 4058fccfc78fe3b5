/** Formats tables as plain text. */

/**
 * Pads cells so that columns align.
 *
 * @param rows Cells by row, all rows of one length; the first is the header.
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
 * Formats a section: a title and an indented table.
 *
 * @param title Title of the section.
 * @param rows Cells by row; the first row is the header.
 * @returns Lines of the section; `none` in place of a table without rows.
 */
export function sectionLines(
  title: string,
  rows: readonly (readonly string[])[],
): string[] {
  const lines = rows.length > 1 ? alignColumns(rows) : ["none"];
  return [`${title}:`, ...lines.map((line) => `  ${line}`)];
}
