import {DispatchState} from '../dispatchState.js';
import {createCount, Effect} from '../effect.js';
import {ActiveCall, ActiveRequest} from '../requests/activeRequest.js';
import {
  clearHedging,
  getLearnedDelay,
  getServiceHedging,
} from './hedgingState.js';

/** Records a request of a caller, which adds to the budget of hedged requests. */
export function recordHedgeableRequest(
  state: DispatchState,
  service: string,
  nowMs: number,
): void {
  const {hedgeRatio, retryBounds} = state.options;
  if (hedgeRatio === 0) {
    clearHedging(state.hedging);
    return;
  }
  const {budget} = getServiceHedging(state.hedging, service);
  budget.recordRequest(retryBounds, nowMs);
}

/** Records how long a call had no first event. */
function recordDelay(
  state: DispatchState,
  {promptTokens, route}: ActiveRequest,
  {startedAtMs}: ActiveCall,
  nowMs: number,
): void {
  getLearnedDelay(state.hedging, route.name, promptTokens, nowMs).recordSample(
    nowMs - startedAtMs,
    nowMs,
  );
}

/**
 * Records the first progress of a call. The times of hedged requests are not
 * samples: they have only the requests whose first call is late.
 */
export function recordFirstProgress(
  state: DispatchState,
  request: ActiveRequest,
  call: ActiveCall,
  nowMs: number,
): Effect[] {
  if (call.hasFirstEvent || request.firstEventAtMs > 0) return [];
  if (call.isHedge) return [createCount('hedges_won')];
  const {hedging, options} = state;
  if (options.hedgeRatio === 0 || !request.isRetryable) return [];
  recordDelay(state, request, call, nowMs);
  if (!call.isLate) {
    const {slowness} = getServiceHedging(hedging, request.service);
    slowness.recordCall(call.endpointId, false, nowMs);
  }
  return [];
}

/**
 * Records a call that was canceled before its first event in favor of a later one.
 * It would have taken longer, but its time is beyond the percentile already;
 * without it, the delay would shrink with each hedged request.
 */
export function recordLostCall(
  state: DispatchState,
  request: ActiveRequest,
  call: ActiveCall,
  nowMs: number,
): void {
  if (call.hasFirstEvent || call.isHedge || request.firstEventAtMs > 0) return;
  if (state.options.hedgeRatio === 0 || !request.isRetryable) return;
  recordDelay(state, request, call, nowMs);
}
