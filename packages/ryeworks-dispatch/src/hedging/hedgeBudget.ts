import {RequestSlices, sliceMs} from '../retries/requestSlices.js';
import {RetryBounds} from '../retries/retryBudget.js';

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

/**
 * Limits the hedged requests that this VM sends to one service to a fraction of
 * its own requests in the retry window. The whole window has no allowance, so the sum
 * over all VMs keeps to the same fraction without any message between them; the last
 * quarter of the window always allows one.
 */
export class HedgeBudget {
  private readonly slices = new RequestSlices();

  /** Records a request of a caller. */
  recordRequest(bounds: RetryBounds, nowMs: number): void {
    this.slices.getCurrent(bounds.windowMs, nowMs).requests += 1;
  }

  /** Returns whether another hedged request keeps to the ratio. */
  hasRoom(ratio: number, bounds: RetryBounds, nowMs: number): boolean {
    this.slices.getCurrent(bounds.windowMs, nowMs);
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
    for (const {repeats, requests, startMs} of this.slices) {
      if (startMs > nowMs - spanMs - sliceMs) sums.hedges += repeats;
      if (startMs > nowMs - spanMs) sums.requests += requests;
    }
    return sums;
  }

  /** Uses up one hedged request of the budget. */
  consumeHedge(bounds: RetryBounds, nowMs: number): void {
    this.slices.getCurrent(bounds.windowMs, nowMs).repeats += 1;
  }
}
