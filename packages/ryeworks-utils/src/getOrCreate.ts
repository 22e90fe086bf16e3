/** Returns the value of a key; creates and adds it on first use. */
export function getOrCreate<K, V>(
  map: Map<K, V>,
  key: K,
  createValue: () => V,
): V {
  const existing = map.get(key);
  if (existing !== undefined) return existing;
  const value = createValue();
  map.set(key, value);
  return value;
}
