import {startWaiting} from '../admission/refuseOrQueue.js';
import {DispatchState} from '../dispatchState.js';
import {Effect} from '../effect.js';
import {ActiveRequest} from './activeRequest.js';
import {releaseCalls} from './endRequest.js';
import {
  consumeRetry,
  RetryObstacle,
  retryObstacle,
} from './findRetryObstacle.js';

/**
 * Time until a request whose answer has begun is retried again although it has
 * used up its calls or the retry budget, in ms. Callers give up a stream after
 * a pause of two seconds.
 */
const retryDelayMs = 250;

/** Obstacles to a retry that may pass, or that only ask for a slower pace. */
const passingObstacles: ReadonlySet<RetryObstacle> = new Set([
  retryObstacle.budgetUsed,
  retryObstacle.callsUsed,
  retryObstacle.arrivalsUsed,
]);

/** Puts a request back into its queue, to be sent to another endpoint. */
export function retryRequest(
  state: DispatchState,
  request: ActiveRequest,
  nowMs: number,
): Effect[] {
  request.phase = 'waiting';
  return [
    ...releaseCalls(state, request, nowMs),
    ...startWaiting(state, request, nowMs),
  ];
}

/** Returns whether a later retry may succeed although one now must not be made. */
export function canRetryLater(obstacle: RetryObstacle): boolean {
  return passingObstacles.has(obstacle);
}

/** Keeps a request whose answer has begun, to be retried later. */
export function scheduleRetry(
  state: DispatchState,
  request: ActiveRequest,
  nowMs: number,
): Effect[] {
  request.phase = 'waiting';
  state.timers.set('retry', request.requestId, nowMs + retryDelayMs);
  return releaseCalls(state, request, nowMs);
}

/** Retries a request whose retry was put off, once the budget allows it. */
export function expireRetryDelay(
  state: DispatchState,
  requestId: string,
  nowMs: number,
): Effect[] {
  const request = state.requests.get(requestId);
  if (request === undefined) return [];
  if (!consumeRetry(state, request, nowMs)) {
    return scheduleRetry(state, request, nowMs);
  }
  return retryRequest(state, request, nowMs);
}
