/** Flattens a value to its leaves by path. */
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

/** Describes how one value differs from another, a line a difference. */
export function describeChanges(before: unknown, after: unknown): string[] {
  const old = listLeaves(before, '', new Map());
  const current = listLeaves(after, '', new Map());
  const lines: string[] = [];
  for (const [path, value] of old) {
    const now = current.get(path);
    if (now === undefined) lines.push(`- ${path}: ${value}`);
    else if (now !== value) lines.push(`~ ${path}: ${value} -> ${now}`);
  }
  for (const [path, value] of current) {
    if (!old.has(path)) lines.push(`+ ${path}: ${value}`);
  }
  return lines;
}
