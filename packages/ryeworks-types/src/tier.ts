/** Request tiers; 1 is the highest, never refused in favor of a lower one. */
export const tiers = [1, 2, 3] as const;

/** One of the request tiers. */
export type Tier = (typeof tiers)[number];

/** Tier that is never shed while a lower one is served. */
export const highestTier: Tier = 1;
