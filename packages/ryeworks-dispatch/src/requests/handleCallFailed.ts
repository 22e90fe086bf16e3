import {startWaiting} from '../admission/refuseOrQueue.js';
import {DispatchState, getRetryBudget} from '../dispatchState.js';
import {createCount, createLog, Effect} from '../effect.js';
import {
  EndpointEntry,
  recordUnanswered,
  recordOutcome,
  toleratedCuts,
} from '../endpoints/endpointTable.js';
import {startZoneCooldown} from '../endpoints/zoneCooldown.js';
import {CallFailed, callFailure, CallFailure} from '../input.js';
import {recordMoveEvidence} from '../moves/recordMoveEvidence.js';
import {ActiveRequest} from './activeRequest.js';
import {
  breakRequest,
  failRequest,
  finishRequest,
  releaseCall,
} from './endRequest.js';
import {findRequestByCall, getEndpointEntry} from './findRequestByCall.js';
import {getSilenceTimeoutMs} from './silenceTimeout.js';

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
/** Retry-after time of a request that no endpoint ran, in ms. */
export const notRunRetryAfterMs = 300;
/** Minimum time left until its timeout for a request to be retried, in ms. */
const minRetryTimeMs = 30;
/**
 * Time during which an endpoint gets no calls after another endpoint responded
 * at its address, in ms.
 */
const wrongEndpointCooldownMs = 1500;

/**
 * Pauses calls to all endpoints in a remote zone if none of them has responded
 * recently.
 */
function startRemoteZoneCooldown(
  state: DispatchState,
  entry: EndpointEntry,
  nowMs: number,
): void {
  const {availabilityZone: zone} = entry.endpoint;
  if (zone === state.options.availabilityZone) return;
  startZoneCooldown(state.lastZoneResponses, state.endpoints, zone, nowMs);
}

/** Records what the failure of a call shows about its endpoint. */
function recordFailure(
  state: DispatchState,
  entry: EndpointEntry,
  failure: CallFailure,
  nowMs: number,
): void {
  const {service, version} = entry.endpoint;
  const evidence = {service, version, isFailed: true, isSlow: false};
  const handlers: Record<CallFailure, () => void> = {
    notSent: () => {
      recordUnanswered(entry, 0, nowMs);
      startRemoteZoneCooldown(state, entry, nowMs);
    },
    refused: () => recordOutcome(entry, false),
    wrongEndpoint: () => {
      entry.cooldownUntilMs = nowMs + wrongEndpointCooldownMs;
    },
    failed: () => {
      recordOutcome(entry, false);
      recordMoveEvidence(state, evidence);
    },
    cut: () => {
      recordOutcome(entry, false);
      recordUnanswered(entry, toleratedCuts, nowMs);
      recordMoveEvidence(state, evidence);
    },
  };
  handlers[failure]();
}

/** Whether each failure proves that the call did not run. */
const provesNotRun: Record<CallFailure, boolean> = {
  notSent: true,
  refused: true,
  wrongEndpoint: true,
  failed: false,
  cut: false,
};

/**
 * Returns the reason why a request whose call failed must not be retried, or
 * undefined if it may be. A permitted retry is charged to the retry budget,
 * unless no call of the request has been sent yet.
 */
function findRetryObstacle(
  state: DispatchState,
  request: ActiveRequest,
  failure: CallFailure,
  nowMs: number,
): string | undefined {
  const {maxAttempts} = request.route;
  if (!provesNotRun[failure] && !request.isRetryable) return 'may_have_run';
  if (request.possibleRuns >= maxAttempts) return 'attempts_used';
  if (request.sentCalls >= maxAttempts + extraSentCalls) return 'arrivals_used';
  if (request.callNumber >= maxCalls) return 'calls_used';
  if (request.timeoutAtMs - nowMs < minRetryTimeMs) return 'no_time_left';
  if (request.sentCalls === 0) return undefined;
  const budget = getRetryBudget(state, request.service);
  const bounds = state.options.retryBounds;
  const vmCount = state.peers.byVm.size + 1;
  const hasResponseStarted = request.firstEventAtMs > 0;
  return budget.consumeRetry(bounds, vmCount, hasResponseStarted, nowMs)
    ? undefined
    : 'budget_used';
}

/** Ends a request whose call failed and is not retried. */
function endFailedRequest(
  state: DispatchState,
  request: ActiveRequest,
  input: CallFailed,
  obstacle: string,
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

/** Retries a request whose call failed, or ends it. */
export function handleCallFailed(
  state: DispatchState,
  input: CallFailed,
  nowMs: number,
): Effect[] {
  const request = findRequestByCall(state, input);
  if (request === undefined) return [];
  const {failure} = input;
  const {endpointId} = request;
  const entry = getEndpointEntry(state, request);
  if (entry !== undefined) recordFailure(state, entry, failure, nowMs);
  const wasSent = failure !== callFailure.notSent;
  if (wasSent && provesNotRun[failure]) request.possibleRuns -= 1;
  const obstacle = findRetryObstacle(state, request, failure, nowMs);
  const effects: Effect[] = [
    createCount('calls_failed', {failure}),
    createLog('call_failed', {
      request: request.attemptId,
      endpoint: endpointId,
      failure,
      detail: input.detail,
      call: request.callNumber,
      afterMs: Math.round(nowMs - request.callStartedAtMs),
      next: obstacle ?? 'repeat',
    }),
  ];
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

/** Puts a request back into its queue, to be sent to another endpoint. */
function retryRequest(
  state: DispatchState,
  request: ActiveRequest,
  nowMs: number,
): Effect[] {
  request.avoidedEndpoints.add(request.endpointId);
  request.phase = 'waiting';
  return [
    ...releaseCall(state, request, nowMs),
    ...startWaiting(state, request, nowMs),
  ];
}

/**
 * Cancels a call that has been silent for too long and retries its request, if
 * it may be retried.
 */
export function expireSilentCall(
  state: DispatchState,
  requestId: string,
  nowMs: number,
): Effect[] {
  const request = state.requests.get(requestId);
  if (request?.phase !== 'calling') return [];
  const entry = getEndpointEntry(state, request);
  if (entry === undefined) return [];
  const timeoutMs = getSilenceTimeoutMs(state, request, entry);
  const dueMs = request.lastProgressAtMs + timeoutMs;
  if (dueMs > nowMs) {
    state.timers.set('silence', requestId, dueMs);
    return [];
  }
  const failure = callFailure.cut;
  const obstacle = findRetryObstacle(state, request, failure, nowMs);
  const effects: Effect[] = [
    createLog('call_silent', {
      request: request.attemptId,
      endpoint: request.endpointId,
      silentMs: Math.round(nowMs - request.lastProgressAtMs),
      timeoutMs: Math.round(timeoutMs),
      hasFirstEvent: request.hasFirstEvent,
      next: obstacle ?? 'repeat',
    }),
  ];
  if (obstacle !== undefined) return effects;
  recordFailure(state, entry, failure, nowMs);
  effects.push(
    createCount('calls_repeated', {reason: 'silent'}),
    {kind: 'cancelCall', requestId},
    ...retryRequest(state, request, nowMs),
  );
  return effects;
}
