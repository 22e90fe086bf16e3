import murmurhash from 'murmurhash';

/**
 * Orders members by rendezvous hashing: the first owns the key, the next one
 * takes over when it leaves. Each key moves only with its own members.
 */
export function rankByKey(key: string, members: readonly string[]): string[] {
  const scored = members.map(member => ({
    member,
    score: murmurhash.v3(`${key}|${member}`),
  }));
  scored.sort((a, b) => b.score - a.score || (a.member < b.member ? -1 : 1));
  return scored.map(entry => entry.member);
}

/** Hashes text to an unsigned 32-bit number. */
export function getHash(text: string): number {
  return murmurhash.v3(text);
}
