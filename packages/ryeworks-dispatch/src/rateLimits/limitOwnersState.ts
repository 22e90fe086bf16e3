/** The VMs that can own limits, as this VM knows them. */
export interface LimitOwners {
  readonly all: readonly string[];
  readonly byZone: ReadonlyMap<string, readonly string[]>;
  /**
   * Fraction of all VMs that this VM hears from, itself included, 0 to 1. An
   * owner grants this part of a limit, so that both sides of a partition
   * together stay within it.
   */
  readonly knownRatio: number;
}
