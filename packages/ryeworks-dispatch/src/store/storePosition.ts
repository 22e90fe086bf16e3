/**
 * A point in the history of the platform's store. When the store comes back from
 * an older copy, a new era begins and revisions of the earlier one are given out
 * again, so that a revision means something only together with its era.
 */
export interface StorePosition {
  /** Number of the era; increases each time the store comes back from a copy. */
  readonly era: number;
  /** Revision of the store within the era. */
  readonly revision: number;
}

/** The position before all changes of any era. */
export const noPosition: StorePosition = {era: 0, revision: 0};

/** Returns whether a position is later than another. */
export function isLaterPosition(
  position: StorePosition,
  other: StorePosition,
): boolean {
  if (position.era !== other.era) return position.era > other.era;
  return position.revision > other.revision;
}

/** Returns whether two positions are the same. */
export function isSamePosition(
  position: StorePosition,
  other: StorePosition,
): boolean {
  return position.era === other.era && position.revision === other.revision;
}
