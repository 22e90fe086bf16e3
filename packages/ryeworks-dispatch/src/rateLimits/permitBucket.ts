/** Time of the rate for which unused permits accumulate, in ms. */
const accumulationMs = 500;
/**
 * The same time for a cold endpoint, in ms: what its bound allows beyond its rate is
 * left for calls that are under way.
 */
const coldAccumulationMs = 100;
/** Fewest permits that can accumulate. */
const minAccumulated = 1;

/**
 * Permits that become available at a rate. It starts empty: the endpoint may
 * just have got calls of VMs that did not know its limit, or calls on permits of
 * the limit's previous owner.
 */
export class PermitBucket {
  /** Permits that were available at `updatedAtMs`. */
  private permits = 0;
  private accumulatesMs = accumulationMs;

  constructor(private updatedAtMs: number) {}

  /** Lets fewer permits accumulate, and no new ones until a time. */
  startCold(fromMs: number): void {
    this.accumulatesMs = coldAccumulationMs;
    this.clear(fromMs);
  }

  /** Lets the usual number of permits accumulate again. */
  endCold(): void {
    this.accumulatesMs = accumulationMs;
  }

  /**
   * Removes all permits; new ones become available from the given time on, which may
   * be later than now.
   */
  clear(nowMs: number): void {
    this.permits = 0;
    this.updatedAtMs = nowMs;
  }

  /** Returns the permits that are available now, possibly a fraction of one. */
  getAvailable(perSecond: number, nowMs: number): number {
    const accumulated = (perSecond * this.accumulatesMs) / 1000;
    const maxPermits = Math.max(minAccumulated, accumulated);
    const addedPermits = ((nowMs - this.updatedAtMs) * perSecond) / 1000;
    return Math.min(maxPermits, this.permits + addedPermits);
  }

  /** Returns the time until a number of permits becomes available, in ms. */
  getWaitMs(permits: number, perSecond: number, nowMs: number): number {
    const missing = permits - this.getAvailable(perSecond, nowMs);
    return missing <= 0 ? 0 : (missing / perSecond) * 1000;
  }

  /** Takes a permit; returns whether one was available. */
  acquire(perSecond: number, nowMs: number): boolean {
    const available = this.getAvailable(perSecond, nowMs);
    if (available < 1) return false;
    this.permits = available - 1;
    this.updatedAtMs = nowMs;
    return true;
  }
}
