import {PartRecord, Quarantine} from './crashTable.js';

/**
 * Number of crashes under a part, without one complete answer to a prompt with it,
 * after which the part is taken for their cause.
 */
const minCrashes = 4;

/** Returns whether two sets have the same elements. */
function isSameSet(a: ReadonlySet<string>, b: ReadonlySet<string>): boolean {
  if (a.size !== b.size) return false;
  for (const element of a) {
    if (!b.has(element)) return false;
  }
  return true;
}

/** Returns the largest of some sets of crashes; undefined if there is none. */
function pickLargest(
  sets: Iterable<ReadonlySet<string>>,
): ReadonlySet<string> | undefined {
  let largest: ReadonlySet<string> | undefined;
  for (const crashes of sets) {
    if (crashes.size > (largest?.size ?? 0)) largest = crashes;
  }
  return largest;
}

/** Returns the crashes that this VM has known of since a time, by part. */
function listKnownCrashes(
  records: ReadonlyMap<string, PartRecord>,
  knownSinceMs: number,
): Map<string, Set<string>> {
  const crashesByPart = new Map<string, Set<string>>();
  for (const [part, {crashes}] of records) {
    const known = new Set<string>();
    for (const [process, learnedAtMs] of crashes) {
      if (learnedAtMs <= knownSinceMs) known.add(process);
    }
    crashesByPart.set(part, known);
  }
  return crashesByPart;
}

/**
 * Finds the parts that cause crashes. A crash also cuts the answers to all other
 * prompts on the endpoint, so the part under which most crashes happened is taken
 * for the cause of all of these, and counts of the others leave them out. Parts
 * that were always together are found together.
 *
 * @param knownSinceMs crashes that this VM learned of later do not count yet
 */
export function findCrashingParts(
  records: ReadonlyMap<string, PartRecord>,
  knownSinceMs: number,
): Quarantine[] {
  const crashesByPart = listKnownCrashes(records, knownSinceMs);
  const found: Quarantine[] = [];
  for (;;) {
    const largest = pickLargest(crashesByPart.values());
    if (largest === undefined || largest.size < minCrashes) return found;
    const explained = new Set(largest);
    const parts: string[] = [];
    for (const [part, crashes] of crashesByPart) {
      if (isSameSet(crashes, explained)) parts.push(part);
    }
    found.push(parts.sort());
    for (const crashes of crashesByPart.values()) {
      for (const process of explained) crashes.delete(process);
    }
  }
}
