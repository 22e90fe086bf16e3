import {failRequest} from './endRequest.js';
import {DispatchState} from '../dispatchState.js';
import {Effect} from '../effect.js';
import {ActiveRequest} from './activeRequest.js';

/**
 * Time after the signal to stop during which any request is accepted, in ms. The
 * load balancer sends no new connections after two failed readiness checks, one
 * second apart.
 */
const acceptAllMs = 2500;
/** Minimum time left for a call that the stop may cut, in ms. */
const minCutCallMs = 1500;
/** Time by which timers may be late, in ms. */
const lateTimerMs = 100;
/** Retry-after time of a VM that is stopping, to retry at another VM, in ms. */
export const stoppingRetryAfterMs = 50;

/**
 * Returns whether a request will have ended, by its time limit at the latest,
 * before the process stops.
 */
function isOverBeforeStop({stop}: DispatchState, timeoutAtMs: number): boolean {
  return stop === undefined || timeoutAtMs + lateTimerMs <= stop.endAtMs;
}

/**
 * Returns whether a stopping VM can take or go on with a request that may last
 * longer than the process: there must be time for a call.
 */
function hasTimeForCall({stop}: DispatchState, nowMs: number): boolean {
  return stop === undefined || nowMs + minCutCallMs <= stop.endAtMs;
}

/**
 * Returns whether a VM accepts a request. As soon as the load balancer has had
 * the time to send callers elsewhere, a stopping VM accepts only requests that end
 * before it does, however slow their endpoints are. The callers of the others
 * should turn to another VM from the start.
 *
 * @param timeoutAtMs when the request times out, in ms
 */
export function canFinish(
  state: DispatchState,
  timeoutAtMs: number,
  nowMs: number,
): boolean {
  const {stop} = state;
  if (stop === undefined || isOverBeforeStop(state, timeoutAtMs)) return true;
  if (nowMs - stop.startedAtMs > acceptAllMs) return false;
  return hasTimeForCall(state, nowMs);
}

/**
 * Refuses a waiting request that has not run if the process may stop before a call
 * of it ends. Returns undefined if it may go on waiting.
 */
export function refuseBeforeStop(
  state: DispatchState,
  request: ActiveRequest,
  nowMs: number,
): Effect[] | undefined {
  const {possibleRuns, timeoutAtMs} = request;
  if (possibleRuns > 0 || isOverBeforeStop(state, timeoutAtMs))
    return undefined;
  if (hasTimeForCall(state, nowMs)) return undefined;
  const retryAfterMs = stoppingRetryAfterMs;
  const reason = 'stopping';
  return failRequest(state, request, 'notReady', reason, retryAfterMs, nowMs);
}
