import {DispatchState} from '../dispatchState.js';
import {createCount, Effect} from '../effect.js';
import {ActiveRequest} from '../requests/activeRequest.js';
import {hedgeObstacle} from './hedgeObstacle.js';
import {getLearnedDelay} from './hedgingState.js';

/**
 * Schedules the decision on a hedged request beside the call that was just
 * started: after the learned delay, and only if the request may be repeated.
 */
export function scheduleHedge(
  state: DispatchState,
  request: ActiveRequest,
  nowMs: number,
): Effect[] {
  const call = request.calls.at(-1);
  const {firstEventAtMs, isRetryable, promptTokens, requestId, route} = request;
  const {hedgeRatio} = state.options;
  if (hedgeRatio === 0 || call === undefined) return [];
  if (!isRetryable || firstEventAtMs > 0) return [];
  const learned = getLearnedDelay(
    state.hedging,
    route.name,
    promptTokens,
    nowMs,
  );
  const delayMs = learned.getDelayMs(hedgeRatio, nowMs);
  if (delayMs === undefined) {
    return [createCount('hedges_denied', {reason: hedgeObstacle.fewSamples})];
  }
  // A call that takes as long as the delay is not late yet.
  call.lateAtMs = nowMs + delayMs + 1;
  state.timers.set('hedge', requestId, call.lateAtMs);
  return [];
}
