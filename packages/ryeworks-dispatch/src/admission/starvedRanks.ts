/**
 * Time after a request has waited in vain for which requests of its rank are
 * taken for starved, in ms.
 */
const starvedForMs = 1000;

/** Since when, and when last, requests of one rank have waited in vain. */
interface Starvation {
  readonly sinceMs: number;
  lastMs: number;
}

/** A starved rank, and for how long it has been starved. */
export interface StarvedRank {
  readonly rank: number;
  readonly starvedMs: number;
}

/**
 * The ranks of one service whose waiting requests are not dispatched in time,
 * because requests of higher priority take all slots. Further requests of such a
 * rank would wait in vain as well.
 */
export class StarvedRanks {
  private readonly byRank = new Map<number, Starvation>();

  /** Records that a request was refused after it had waited. */
  recordWaitedInVain(rank: number, nowMs: number): void {
    const existing = this.byRank.get(rank);
    if (existing === undefined || nowMs - existing.lastMs > starvedForMs) {
      this.byRank.set(rank, {sinceMs: nowMs, lastMs: nowMs});
      return;
    }
    existing.lastMs = nowMs;
  }

  /** Records that a request was dispatched: its rank and those ahead are served. */
  recordDispatch(rank: number): void {
    for (const starvedRank of this.byRank.keys()) {
      if (starvedRank <= rank) this.byRank.delete(starvedRank);
    }
  }

  /**
   * Finds the most urgent rank that is starved, up to the given one; undefined if
   * none is.
   */
  findStarvedRank(rank: number, nowMs: number): StarvedRank | undefined {
    let mostUrgent: StarvedRank | undefined;
    for (const [starvedRank, {lastMs, sinceMs}] of this.byRank) {
      if (starvedRank > rank || nowMs - lastMs > starvedForMs) continue;
      if (mostUrgent !== undefined && mostUrgent.rank <= starvedRank) continue;
      mostUrgent = {rank: starvedRank, starvedMs: nowMs - sinceMs};
    }
    return mostUrgent;
  }
}
