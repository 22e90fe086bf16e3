/** The tier that is served first. Larger numbers are lower tiers. */
export const highestTier = 0;
