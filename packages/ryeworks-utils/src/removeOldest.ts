/** Removes the entry of a map that was added first. */
export function removeOldest(map: Map<string, unknown>): void {
  for (const [key] of map) {
    map.delete(key);
    return;
  }
}
