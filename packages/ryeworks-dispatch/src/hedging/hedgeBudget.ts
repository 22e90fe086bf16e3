import {RetryBounds} from '../retries/retryBudget.js';

/** Length of one time slice of the window, in ms. */
const sliceMs = 500;
/**
 * Fraction of the ratio that a VM uses. The rest covers windows in which the load
 * falls, and the requests of a VM that has restarted.
 */
const usedFraction = 0.8;

/**
 * Parts of the window, up to now, in which the ratio must hold as well. If only the
 * whole window counted, the requests of a busy time would allow hedged requests long
 * after the load has fallen.
 */
const checkedFractions = [1, 0.25] as const;

/** Requests and hedged requests in one time slice. */
interface Slice {
  readonly startMs: number;
  requests: number;
  hedges: number;
}

/**
 * Limits the hedged requests that this VM sends to one service to a fraction of
 * its own requests in the retry window. The whole window has no allowance, so the sum
 * over all VMs keeps to the same fraction without any message between them; the last
 * quarter of the window always allows one.
 */
export class HedgeBudget {
  private readonly slices: Slice[] = [];

  /** Records a request of a caller. */
  recordRequest(bounds: RetryBounds, nowMs: number): void {
    this.getSlice(bounds, nowMs).requests += 1;
  }

  /** Returns whether another hedged request keeps to the ratio. */
  hasRoom(ratio: number, bounds: RetryBounds, nowMs: number): boolean {
    this.getSlice(bounds, nowMs);
    const usedRatio = usedFraction * Math.min(ratio, bounds.ratio);
    return checkedFractions.every(fraction => {
      const sums = this.sumSlices(bounds.windowMs * fraction, nowMs);
      const allowed = usedRatio * sums.requests;
      const isWhole = fraction === 1;
      return sums.hedges + 1 <= (isWhole ? allowed : Math.max(1, allowed));
    });
  }

  /**
   * Returns the hedged requests of at least the last `spanMs`, and the requests of
   * at most that: a slice that lies partly in it counts for its hedged ones only.
   */
  private sumSlices(spanMs: number, nowMs: number) {
    const sums = {requests: 0, hedges: 0};
    for (const {hedges, requests, startMs} of this.slices) {
      if (startMs > nowMs - spanMs - sliceMs) sums.hedges += hedges;
      if (startMs > nowMs - spanMs) sums.requests += requests;
    }
    return sums;
  }

  /** Uses up one hedged request of the budget. */
  consumeHedge(bounds: RetryBounds, nowMs: number): void {
    this.getSlice(bounds, nowMs).hedges += 1;
  }

  private getSlice({windowMs}: RetryBounds, nowMs: number): Slice {
    while (this.slices.length > 0) {
      if (this.slices[0].startMs > nowMs - windowMs - sliceMs) break;
      this.slices.shift();
    }
    const startMs = Math.floor(nowMs / sliceMs) * sliceMs;
    const last = this.slices.at(-1);
    if (last?.startMs === startMs) return last;
    const slice = {startMs, requests: 0, hedges: 0};
    this.slices.push(slice);
    return slice;
  }
}
