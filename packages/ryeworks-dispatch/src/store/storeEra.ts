/**
 * Grace period for entries to reappear, in ms: after the store became reachable,
 * or came back from an older copy without them.
 */
export const returnGracePeriodMs = 1900;

/** The era of the platform's store, as this VM knows it. */
export interface StoreEra {
  /** Number of the era; undefined before the first answer of the store. */
  current: number | undefined;
  /** Era in which the endpoints were last listed; undefined if in none. */
  listed: number | undefined;
  /**
   * When the endpoints were first listed in a later era than before, in ms;
   * -Infinity if they never were.
   */
  relistedAtMs: number;
}

/** Creates the state before the first answer of the store. */
export function createStoreEra(): StoreEra {
  return {
    current: undefined,
    listed: undefined,
    relistedAtMs: Number.NEGATIVE_INFINITY,
  };
}

/** Returns whether something was read in an earlier era than the current one. */
export function isOutdatedEra(storeEra: StoreEra, era: number): boolean {
  return storeEra.current !== undefined && era < storeEra.current;
}

/** Records that the endpoints were listed in the current era. */
export function recordListing(storeEra: StoreEra, nowMs: number): void {
  if (storeEra.listed === storeEra.current) return;
  if (storeEra.listed !== undefined) storeEra.relistedAtMs = nowMs;
  storeEra.listed = storeEra.current;
}

/**
 * Returns whether entries that are missing from the store may only be lost with
 * the copy that it came back from and reappear.
 */
export function isLossLikely(storeEra: StoreEra, nowMs: number): boolean {
  const {current, listed, relistedAtMs} = storeEra;
  if (listed !== undefined && listed !== current) return true;
  return nowMs - relistedAtMs < returnGracePeriodMs;
}
