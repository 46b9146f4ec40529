/** Readable tables for the terminal. */

/** Formats rows under a head, columns aligned. */
export function formatTable(
  head: readonly string[],
  rows: readonly (readonly string[])[],
): string {
  const lines = [head, ...rows];
  const widths = head.map((_, column) =>
    Math.max(...lines.map((line) => (line[column] ?? "").length))
  );
  return lines
    .map((line) =>
      line.map((cell, column) => cell.padEnd(widths[column] ?? 0)).join("  ")
        .trimEnd()
    )
    .join("\n");
}
