/** Maximum number of callers that are expected at the same time. */
const maxExpected = 256;

/** A refused caller that was told when to come back. */
interface ExpectedCaller {
  readonly atMs: number;
  readonly rank: number;
}

/**
 * Callers that were told to come back later. Each of them is expected to use a
 * permit, so that the next one is told a later time.
 */
export class ReturnSchedule {
  private expected: ExpectedCaller[] = [];

  /** Counts the callers yet to come back that go before one of a rank. */
  countAhead(rank: number, nowMs: number): number {
    let count = 0;
    for (const caller of this.expected) {
      if (caller.atMs > nowMs && caller.rank <= rank) count += 1;
    }
    return count;
  }

  /** Adds a caller that was told to come back at a time. */
  add(atMs: number, rank: number, nowMs: number): void {
    this.expected = this.expected.filter(caller => caller.atMs > nowMs);
    if (this.expected.length < maxExpected) this.expected.push({atMs, rank});
  }
}
