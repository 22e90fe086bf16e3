/**
 * Memory that the process needs itself, in bytes: its code and state, the desired
 * state while a large one is decoded, what sockets hold, and what was let go and
 * is not collected yet.
 */
const processBytes = 134_217_728;
/** Smallest share of the memory that is used for callers and endpoints. */
const minBudgetShare = 1 / 5;

/**
 * Returns how much of the memory may be used for callers and endpoints, in bytes;
 * infinite if the memory is not limited.
 */
export function getBudgetBytes(memoryBytes: number | undefined): number {
  if (memoryBytes === undefined) return Number.POSITIVE_INFINITY;
  const smallestBytes = Math.floor(memoryBytes * minBudgetShare);
  return Math.max(memoryBytes - processBytes, smallestBytes);
}
