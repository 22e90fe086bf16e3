/** Length of one slice of the window, in ms. */
const sliceMs = 500;

/** Bounds of the repeats to one service, over all VMs. */
export interface RetryBounds {
  /** Repeats for each request of the window. */
  readonly ratio: number;
  /** Length of the window, in ms. */
  readonly windowMs: number;
  /** Repeats allowed beyond the ratio, over all VMs. */
  readonly allowance: number;
}

/**
 * Part of the bounds that this VM uses; the rest covers restarts. An answer that
 * has begun is broken off without a repeat, so it may use more.
 */
const budgetFractions = {beforeResponse: 0.7, duringResponse: 0.9} as const;

/** Requests and repeats in one slice of time. */
interface Slice {
  readonly startMs: number;
  requests: number;
  retries: number;
}

/** Repeats that this VM has made to one service. */
export class RetryBudget {
  private readonly slices: Slice[] = [];

  /** Counts a request of a caller. */
  recordRequest(bounds: RetryBounds, nowMs: number): void {
    this.getSlice(bounds, nowMs).requests += 1;
  }

  /**
   * Takes one repeat out of the budget; returns false when it is used up.
   *
   * @param vmCount VMs among which the allowance is divided
   * @param hasResponseStarted whether the caller has part of the answer
   */
  consumeRetry(
    bounds: RetryBounds,
    vmCount: number,
    hasResponseStarted: boolean,
    nowMs: number,
  ): boolean {
    const slice = this.getSlice(bounds, nowMs);
    let requests = 0;
    let retries = 0;
    for (const windowSlice of this.slices) {
      requests += windowSlice.requests;
      retries += windowSlice.retries;
    }
    const ownAllowance = bounds.allowance / Math.max(1, vmCount);
    const fraction = hasResponseStarted
      ? budgetFractions.duringResponse
      : budgetFractions.beforeResponse;
    const allowed = fraction * (bounds.ratio * requests + ownAllowance);
    if (retries + 1 > allowed) return false;
    slice.retries += 1;
    return true;
  }

  private getSlice(bounds: RetryBounds, nowMs: number): Slice {
    while (this.slices.length > 0) {
      if (this.slices[0].startMs > nowMs - bounds.windowMs - sliceMs) break;
      this.slices.shift();
    }
    const startMs = Math.floor(nowMs / sliceMs) * sliceMs;
    const last = this.slices.at(-1);
    if (last?.startMs === startMs) return last;
    const slice = {startMs, requests: 0, retries: 0};
    this.slices.push(slice);
    return slice;
  }
}
