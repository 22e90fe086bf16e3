import {isQuarantined} from '../crashes/isQuarantined.js';
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

/** The reasons why a request is not retried after a failure. */
export const retryObstacle = {
  mayHaveRun: 'may_have_run',
  attemptsUsed: 'attempts_used',
  /** Endpoints have refused too many calls of the request. */
  arrivalsUsed: 'arrivals_used',
  callsUsed: 'calls_used',
  noTimeLeft: 'no_time_left',
  budgetUsed: 'budget_used',
  /** Endpoints crash under the prompt. */
  quarantined: 'quarantined',
} as const;

/** One of the reasons why a request is not retried. */
export type RetryObstacle = (typeof retryObstacle)[keyof typeof retryObstacle];

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
  state: DispatchState,
  request: ActiveRequest,
  failure: CallFailure,
  nowMs: number,
): RetryObstacle | undefined {
  const {maxAttempts} = request.route;
  const {calls, callsStarted, isRetryable, possibleRuns, sentCalls} = request;
  const timeLeftMs = request.timeoutAtMs - nowMs;
  if (isQuarantined(state.crashes, request, nowMs)) {
    return retryObstacle.quarantined;
  }
  if (!provesNotRun[failure] && !isRetryable) return retryObstacle.mayHaveRun;
  const unsentHedges = calls.filter(call => call.isHedge && !call.isSent);
  const runs = possibleRuns + unsentHedges.length;
  if (runs >= maxAttempts) return retryObstacle.attemptsUsed;
  const maxSentCalls = maxAttempts + extraSentCalls;
  if (sentCalls >= maxSentCalls) return retryObstacle.arrivalsUsed;
  if (callsStarted >= maxCalls) return retryObstacle.callsUsed;
  return timeLeftMs < minRetryTimeMs ? retryObstacle.noTimeLeft : undefined;
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
