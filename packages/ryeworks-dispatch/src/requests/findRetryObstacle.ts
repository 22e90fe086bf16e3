import {DispatchState, getRetryBudget} from '../dispatchState.js';
import {callFailure, CallFailure} from '../input.js';
import {ActiveRequest} from './activeRequest.js';

/**
 * Number of calls that may be sent beyond a route's maximum number of attempts
 * if endpoints refuse them.
 */
const extraSentCalls = 2;
/**
 * Maximum number of calls for one request, including those that were not sent,
 * whatever number of attempts its route allows.
 */
const maxCalls = 6;
/** Minimum time left until its timeout for a request to be retried, in ms. */
const minRetryTimeMs = 30;

/** Whether each failure proves that the call did not run. */
export const provesNotRun: Readonly<Record<CallFailure, boolean>> = {
  [callFailure.notSent]: true,
  [callFailure.refused]: true,
  [callFailure.wrongEndpoint]: true,
  [callFailure.failed]: false,
  [callFailure.cut]: false,
};

/**
 * Returns the reason why a request must not be called again after a failure of
 * its call, or undefined if it may be, as far as the retry budget allows.
 */
export function findRetryObstacle(
  request: ActiveRequest,
  failure: CallFailure,
  nowMs: number,
): string | undefined {
  const {maxAttempts} = request.route;
  if (!provesNotRun[failure] && !request.isRetryable) return 'may_have_run';
  if (request.possibleRuns >= maxAttempts) return 'attempts_used';
  if (request.sentCalls >= maxAttempts + extraSentCalls) return 'arrivals_used';
  if (request.callsStarted >= maxCalls) return 'calls_used';
  if (request.timeoutAtMs - nowMs < minRetryTimeMs) return 'no_time_left';
  return undefined;
}

/**
 * Charges a retry to the budget of its service, unless no call of the request
 * has been sent yet. Returns false if the budget is used up.
 */
export function consumeRetry(
  state: DispatchState,
  request: ActiveRequest,
  nowMs: number,
): boolean {
  if (request.sentCalls === 0) return true;
  const budget = getRetryBudget(state, request.service);
  const vmCount = state.peers.byVm.size + 1;
  const hasResponseStarted = request.firstEventAtMs > 0;
  const {retryBounds} = state.options;
  return budget.consumeRetry(retryBounds, vmCount, hasResponseStarted, nowMs);
}
