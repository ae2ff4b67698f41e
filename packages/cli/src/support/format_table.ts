/** Formats rows as lines whose columns are aligned. */
export function formatTable(
  rows: ReadonlyArray<readonly string[]>,
): readonly string[] {
  const widths: number[] = [];
  for (const row of rows) {
    for (const [column, text] of row.entries()) {
      widths[column] = Math.max(widths[column] ?? 0, text.length);
    }
  }
  return rows.map(row =>
    row
      .map((text, column) => text.padEnd(widths[column] ?? 0))
      .join('  ')
      .trimEnd(),
  );
}
