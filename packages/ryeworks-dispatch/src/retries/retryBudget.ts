import {RequestSlices} from './requestSlices.js';

/** Bounds of the retries to one service, over all VMs. */
export interface RetryBounds {
  /** Retries allowed for each request in the window. */
  readonly ratio: number;
  /** Length of the window, in ms. */
  readonly windowMs: number;
  /** Retries allowed in addition to the ratio, over all VMs. */
  readonly allowance: number;
}

/**
 * Fraction of the bounds that this VM uses; the rest covers restarts. A
 * response that has begun is aborted if it gets no retry, so its retry may use
 * more of the bounds.
 */
const budgetFractions = {beforeResponse: 0.7, duringResponse: 0.9} as const;

/** Limits the retries that this VM sends to one service. */
export class RetryBudget {
  private readonly slices = new RequestSlices();

  /** Records a request of a caller. */
  recordRequest(bounds: RetryBounds, nowMs: number): void {
    this.slices.getCurrent(bounds.windowMs, nowMs).requests += 1;
  }

  /**
   * Consumes one retry of the budget. Returns false if the budget is used up.
   *
   * @param vmCount number of VMs among which the allowance is divided
   * @param hasResponseStarted whether the caller has received part of the
   * response
   */
  consumeRetry(
    bounds: RetryBounds,
    vmCount: number,
    hasResponseStarted: boolean,
    nowMs: number,
  ): boolean {
    const slice = this.slices.getCurrent(bounds.windowMs, nowMs);
    let requests = 0;
    let retries = 0;
    for (const windowSlice of this.slices) {
      requests += windowSlice.requests;
      retries += windowSlice.repeats;
    }
    const ownAllowance = bounds.allowance / Math.max(1, vmCount);
    const fraction = hasResponseStarted
      ? budgetFractions.duringResponse
      : budgetFractions.beforeResponse;
    const allowed = fraction * (bounds.ratio * requests + ownAllowance);
    if (retries + 1 > allowed) return false;
    slice.repeats += 1;
    return true;
  }
}
