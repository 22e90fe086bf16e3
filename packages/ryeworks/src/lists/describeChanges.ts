/** Collects the leaves of a nested value by path, each as JSON text. */
function listLeaves(
  value: unknown,
  path: string,
  leaves: Map<string, string>,
): Map<string, string> {
  if (typeof value !== 'object' || value === null) {
    leaves.set(path, JSON.stringify(value));
    return leaves;
  }
  for (const [key, child] of Object.entries(value)) {
    listLeaves(child, path === '' ? key : `${path}.${key}`, leaves);
  }
  return leaves;
}

/** Describes the differences between two values, one line per difference. */
export function describeChanges(before: unknown, after: unknown): string[] {
  const oldLeaves = listLeaves(before, '', new Map());
  const newLeaves = listLeaves(after, '', new Map());
  const lines: string[] = [];
  for (const [path, value] of oldLeaves) {
    const newText = newLeaves.get(path);
    if (newText === undefined) lines.push(`- ${path}: ${value}`);
    else if (newText !== value) lines.push(`~ ${path}: ${value} -> ${newText}`);
  }
  for (const [path, value] of newLeaves) {
    if (!oldLeaves.has(path)) lines.push(`+ ${path}: ${value}`);
  }
  return lines;
}
