/** Tiers of requests; 1 is the highest and is never refused for a lower one. */
export const tiers = [1, 2, 3] as const;

/** One tier of requests. */
export type Tier = (typeof tiers)[number];

/** The tier that is never shed while a lower one is served. */
export const highestTier: Tier = 1;
