/** The tier that goes first; larger numbers go later. */
export const highestTier = 0;
