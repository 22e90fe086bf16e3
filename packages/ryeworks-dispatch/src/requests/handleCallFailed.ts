import {checkLostCall} from '../crashes/checkLostCall.js';
import {failQuarantined} from '../crashes/endQuarantinedRequests.js';
import {DispatchState} from '../dispatchState.js';
import {createCount, createLog, Effect, Log} from '../effect.js';
import {recordFailure} from '../endpoints/recordFailure.js';
import {CallFailed, callFailure, CallFailure} from '../input.js';
import {ActiveRequest} from './activeRequest.js';
import {markAvoided} from './avoidedEndpoints.js';
import {breakRequest, failRequest, finishRequest} from './endRequest.js';
import {
  findCall,
  findCalledEntry,
  FoundCall,
  getEndpointEntry,
} from './findCall.js';
import {
  consumeRetry,
  findRetryObstacle,
  provesNotRun,
  RetryObstacle,
  retryObstacle,
} from './findRetryObstacle.js';
import {canRetryLater, retryRequest, scheduleRetry} from './retryRequest.js';
import {releaseFailedCall} from './standbyCall.js';

/** Retry-after time of a request that no endpoint ran, in ms. */
export const notRunRetryAfterMs = 300;

/** Maximum number of parts of a prompt in a log line. */
const maxLoggedParts = 8;

/** Ends a request whose call failed and is not retried. */
function endFailedRequest(
  state: DispatchState,
  request: ActiveRequest,
  input: CallFailed,
  obstacle: RetryObstacle,
  nowMs: number,
): Effect[] {
  const {failure, requestId} = input;
  const reason = `${failure}_${obstacle}`;
  if (input.hasResponseStarted)
    return breakRequest(state, request, reason, nowMs);
  if (failure === callFailure.failed) {
    return [
      {kind: 'forwardFailure', requestId},
      ...finishRequest(
        state,
        request,
        {outcome: 'failed', reason: obstacle},
        nowMs,
      ),
    ];
  }
  if (obstacle === retryObstacle.quarantined) {
    return failQuarantined(state, request, nowMs);
  }
  if (request.possibleRuns === 0) {
    const retryAfterMs = notRunRetryAfterMs;
    return failRequest(
      state,
      request,
      'noEndpoint',
      reason,
      retryAfterMs,
      nowMs,
    );
  }
  return failRequest(state, request, 'outcomeUnknown', reason, 0, nowMs);
}

/** Creates the log line of a call that failed. */
function createFailureLog(
  {call, request}: FoundCall,
  {detail, failure, isConnectionLost = false}: CallFailed,
  next: string,
  nowMs: number,
): Log {
  return createLog('call_failed', {
    request: request.attemptId,
    endpoint: call.endpointId,
    failure,
    detail,
    isConnectionLost,
    events: call.events,
    sharedParts: request.sharedParts.slice(0, maxLoggedParts).join(),
    call: call.callNumber,
    afterMs: Math.round(nowMs - call.startedAtMs),
    next,
  });
}

/**
 * Returns the reason why a request whose call failed must not be retried, or
 * undefined if it may be. A permitted retry is charged to the retry budget.
 */
function findObstacle(
  state: DispatchState,
  request: ActiveRequest,
  failure: CallFailure,
  nowMs: number,
): RetryObstacle | undefined {
  const obstacle = findRetryObstacle(state, request, failure, nowMs);
  if (obstacle !== undefined) return obstacle;
  return consumeRetry(state, request, nowMs)
    ? undefined
    : retryObstacle.budgetUsed;
}

/**
 * Retries a request whose call failed, or ends it. A request with another call
 * goes on with that one.
 */
export function handleCallFailed(
  state: DispatchState,
  input: CallFailed,
  nowMs: number,
): Effect[] {
  const found = findCall(state, input);
  if (found === undefined) return [];
  const {call, request} = found;
  const {failure} = input;
  const entry = getEndpointEntry(state, call);
  if (entry !== undefined) recordFailure(state, entry, call, failure, nowMs);
  const wasSent = failure !== callFailure.notSent;
  if (wasSent && provesNotRun[failure]) request.possibleRuns -= 1;
  markAvoided(request, call.endpointId, nowMs);
  const effects: Effect[] = [createCount('calls_failed', {failure})];
  // The entry may be that of another process by now.
  const lostEntry =
    input.isConnectionLost === true ? findCalledEntry(state, call) : undefined;
  if (lostEntry !== undefined) {
    effects.push(...checkLostCall(state, request, call, lostEntry, nowMs));
  }
  const keepEffects = releaseFailedCall(state, request, call, nowMs);
  if (keepEffects !== undefined) {
    effects.push(createFailureLog(found, input, 'other_call', nowMs));
    effects.push(...keepEffects);
    return effects;
  }
  const obstacle = findObstacle(state, request, failure, nowMs);
  const isRetriedLater =
    obstacle !== undefined &&
    input.hasResponseStarted &&
    canRetryLater(obstacle);
  const next = isRetriedLater ? 'repeat_later' : (obstacle ?? 'repeat');
  effects.push(createFailureLog(found, input, next, nowMs));
  if (isRetriedLater) {
    effects.push(...scheduleRetry(state, request, nowMs));
    return effects;
  }
  if (obstacle !== undefined) {
    effects.push(createCount('calls_not_repeated', {reason: obstacle}));
    effects.push(...endFailedRequest(state, request, input, obstacle, nowMs));
    return effects;
  }
  effects.push(
    createCount('calls_repeated', {reason: failure}),
    ...retryRequest(state, request, nowMs),
  );
  return effects;
}
