/**
 * Time for which slots are kept free after a request had to wait, in ms. Digests
 * of a large zone are up to half a second apart.
 */
const contentionMs = 1000;

/**
 * The ranks of one service whose requests have had to wait in this zone lately.
 * Requests behind them leave slots free, so that the next one of such a rank
 * does not wait behind their answers.
 */
export class RankContention {
  private readonly lastWaitMs = new Map<number, number>();

  /** @param startedAtMs since when waits are recorded, in ms */
  constructor(private readonly startedAtMs: number) {}

  /** Records that a request of a rank waits, on this VM or a peer of its zone. */
  recordWait(rank: number, nowMs: number): void {
    this.lastWaitMs.set(rank, nowMs);
  }

  /**
   * Returns whether requests that go before those of a rank had to wait, or may
   * have: a VM that has just started does not know.
   */
  isContended(rank: number, nowMs: number): boolean {
    if (nowMs - this.startedAtMs <= contentionMs) return true;
    for (const [waitingRank, lastMs] of this.lastWaitMs) {
      if (nowMs - lastMs > contentionMs) this.lastWaitMs.delete(waitingRank);
      else if (waitingRank < rank) return true;
    }
    return false;
  }
}
