import murmurhash from 'murmurhash';

/**
 * Ranks members for a key by rendezvous hashing. The first member owns the key;
 * the next one takes over when the owner leaves. A change of membership moves
 * only the keys of the members that joined or left.
 */
export function rankByKey(key: string, members: readonly string[]): string[] {
  const scored = members.map(member => ({
    member,
    score: murmurhash.v3(`${key}|${member}`),
  }));
  scored.sort((a, b) => b.score - a.score || (a.member < b.member ? -1 : 1));
  return scored.map(entry => entry.member);
}

/** Returns the hash of a text as an unsigned 32-bit integer. */
export function getHash(text: string): number {
  return murmurhash.v3(text);
}
