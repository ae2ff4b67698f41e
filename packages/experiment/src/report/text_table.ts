/** Formats rows as text columns, the first left-aligned, others right-aligned. */
export function textTable(rows: ReadonlyArray<readonly string[]>): string {
  const columns = Math.max(0, ...rows.map(row => row.length));
  const widths = Array.from({length: columns}, (unused, column) =>
    Math.max(...rows.map(row => (row[column] ?? '').length)),
  );
  return rows
    .map(row =>
      row
        .map((cell, column) => {
          const width = widths[column] ?? 0;
          return column === 0 ? cell.padEnd(width) : cell.padStart(width);
        })
        .join('  ')
        .trimEnd(),
    )
    .join('\n');
}
