import Table from 'cli-table3';

/** A cell of a table. */
export type TableCell = string | number;

/** Creates a plain-text table. */
export function createTable(
  head: readonly string[],
  rows: readonly (readonly TableCell[])[],
): string {
  const table = new Table({
    head: [...head],
    style: {head: [], border: [], compact: true},
  });
  for (const row of rows) table.push([...row]);
  return table.toString();
}
