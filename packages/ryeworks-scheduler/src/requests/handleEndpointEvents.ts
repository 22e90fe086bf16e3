import {routeClass, RouteClass} from '@ryeworks/types';
import {createCount, Effect} from '../effect.js';
import {
  CallFailure,
  callFailure,
  EndpointDone,
  EndpointFailed,
  EndpointFirstToken,
  EndpointProgress,
} from '../input.js';
import {recordObservation} from '../moves/recordObservation.js';
import {SchedulerState} from '../schedulerState.js';
import {EndOutcome, endRequest, returnGrant} from './endRequest.js';
import {ActiveRequest, hasCall} from './requestsState.js';
import {endSilence, waitForCall} from './silentCall.js';
import {startAttempt} from './startAttempt.js';

/** Maximum number of attempts of one request, including the first. */
const maxAttempts = 4;
/** Maximum number of times that one stream is resumed. */
const maxResumes = 3;
/** Base delay before another attempt, in ms; doubled with each attempt. */
const baseBackoffMs = 20;
/**
 * Delay before a stream whose resumed call failed as well is resumed again, in
 * ms; doubled each time. What made the endpoint refuse may pass.
 */
const baseResumeDelayMs = 200;

/** Whether a failed call may be retried, by failure and route class. */
const mayRetry: Record<CallFailure, Record<RouteClass, boolean>> = {
  notSent: {idempotent: true, dispatchOnce: true, nonIdempotent: true},
  refused: {idempotent: true, dispatchOnce: false, nonIdempotent: true},
  failed: {idempotent: true, dispatchOnce: false, nonIdempotent: false},
  cut: {idempotent: true, dispatchOnce: false, nonIdempotent: false},
  streamUnknown: {idempotent: true, dispatchOnce: false, nonIdempotent: false},
};

/** Outcome of a request when its failed call is not retried. */
const failureOutcomes: Record<CallFailure, EndOutcome> = {
  notSent: {error: 'noEndpoint', reason: 'connect_failed'},
  refused: {error: 'noEndpoint', reason: 'endpoint_refused'},
  failed: {error: 'endpointFailed', reason: 'endpoint_failed'},
  cut: {error: 'outcomeUnknown', reason: 'connection_cut'},
  streamUnknown: {error: 'outcomeUnknown', reason: 'stream_unknown'},
};

/** Finds a request by ID; undefined unless a call of it is in progress. */
function findCalled(
  state: SchedulerState,
  requestId: string,
): ActiveRequest | undefined {
  const request = state.requests.active.get(requestId);
  return request !== undefined && hasCall(request) ? request : undefined;
}

/** Finds a request by ID; undefined unless it is dispatched. */
function findDispatched(
  state: SchedulerState,
  requestId: string,
): ActiveRequest | undefined {
  const request = state.requests.active.get(requestId);
  return request?.phase === 'dispatched' ? request : undefined;
}

/** Records progress of an answer and restarts the progress timeout. */
function recordProgress(
  state: SchedulerState,
  request: ActiveRequest,
  nowMs: number,
): void {
  request.lastProgressMs = nowMs;
  const dueMs = nowMs + state.options.progressTimeoutMs;
  state.timers.set('progressTimeout', request.requestId, dueMs);
}

/** Records the arrival of the first token of an answer. */
export function handleEndpointFirstToken(
  state: SchedulerState,
  input: EndpointFirstToken,
  nowMs: number,
): Effect[] {
  const request = findCalled(state, input.requestId);
  if (request === undefined) return [];
  if (request.firstTokenAtMs === 0) request.firstTokenAtMs = nowMs;
  recordProgress(state, request, nowMs);
  return endSilence(state, request, nowMs);
}

/** Records the arrival of more of an answer. */
export function handleEndpointProgress(
  state: SchedulerState,
  input: EndpointProgress,
  nowMs: number,
): Effect[] {
  const request = findCalled(state, input.requestId);
  if (request === undefined) return [];
  recordProgress(state, request, nowMs);
  return endSilence(state, request, nowMs);
}

/** Ends a request whose answer is complete. */
export function handleEndpointDone(
  state: SchedulerState,
  input: EndpointDone,
  nowMs: number,
): Effect[] {
  const request = findCalled(state, input.requestId);
  if (request === undefined) return [];
  const {outputTokens} = input;
  return [
    ...endSilence(state, request, nowMs),
    ...endRequest(state, request, {done: true, outputTokens}, nowMs),
  ];
}

/** Resumes a stream on its endpoint; undefined if that is not possible. */
function resumeStream(
  state: SchedulerState,
  request: ActiveRequest,
  reason: string,
  nowMs: number,
): Effect[] | undefined {
  const endpoint = state.admission.endpoints.get(request.endpoint);
  if (endpoint?.canResume !== true) return undefined;
  if (request.resumes >= maxResumes) return undefined;
  state.timers.clear('resumeBackoff', request.requestId);
  request.resumes += 1;
  recordProgress(state, request, nowMs);
  const {requestId, streamId} = request;
  return [
    {kind: 'resume', requestId, endpoint, streamId},
    createCount('request.resumed', {reason}),
  ];
}

/**
 * Resumes a stream whose connection was cut, at once or, if it was resumed
 * before, after a delay. Returns undefined if that is not possible.
 */
function resumeCutStream(
  state: SchedulerState,
  request: ActiveRequest,
  nowMs: number,
): Effect[] | undefined {
  const {requestId, resumes} = request;
  if (resumes === 0) return resumeStream(state, request, 'cut', nowMs);
  const endpoint = state.admission.endpoints.get(request.endpoint);
  if (endpoint?.canResume !== true || resumes >= maxResumes) return undefined;
  const delayMs = baseResumeDelayMs * 2 ** (resumes - 1);
  state.timers.clear('progressTimeout', requestId);
  state.timers.set('resumeBackoff', requestId, nowMs + delayMs);
  return [];
}

/** Resumes a stream again whose last resumed call failed. */
export function resumeAgain(
  state: SchedulerState,
  requestId: string,
  nowMs: number,
): Effect[] {
  const request = findDispatched(state, requestId);
  if (request === undefined) return [];
  return (
    resumeStream(state, request, 'cut', nowMs) ??
    endFailedRequest(state, request, callFailure.cut, nowMs)
  );
}

/**
 * Returns whether a failed call reached its endpoint. A retry then counts
 * against the retry budget, since the failed call cost the endpoint work.
 */
function hasReachedEndpoint(failure: CallFailure): boolean {
  return failure !== callFailure.notSent;
}

/** Returns whether a request may be retried after a failure. */
function canRetry(
  state: SchedulerState,
  request: ActiveRequest,
  failure: CallFailure,
): boolean {
  if (!mayRetry[failure][request.routeClass]) return false;
  if (request.firstTokenAtMs > 0) return false;
  if (request.attempts >= maxAttempts) return false;
  return !hasReachedEndpoint(failure) || state.requests.retryBudget >= 1;
}

/** Schedules a retry on another endpoint after a random backoff. */
function scheduleRetry(
  state: SchedulerState,
  request: ActiveRequest,
  failure: CallFailure,
  nowMs: number,
): Effect[] {
  const {random, requests, timers} = state;
  if (hasReachedEndpoint(failure)) requests.retryBudget -= 1;
  if (!isProvenNotRun(failure)) request.mayHaveRun = true;
  const effects: Effect[] = [
    createCount('request.retried', {reason: failure}),
    ...recordObservation(state, request, false, 0, nowMs),
    ...returnGrant(state, request, 'failed', 0, nowMs),
  ];
  timers.clear('progressTimeout', request.requestId);
  request.phase = 'backoff';
  request.avoid = [...request.avoid, request.endpoint];
  const maxDelayMs = baseBackoffMs * 2 ** request.attempts;
  const delayMs = maxDelayMs * (0.5 + random.next() / 2);
  timers.set('retryBackoff', request.requestId, nowMs + delayMs);
  return effects;
}

/** Returns whether a failure of a call shows that the call did not run. */
function isProvenNotRun(failure: CallFailure): boolean {
  return failure === callFailure.notSent || failure === callFailure.refused;
}

/**
 * Classifies a failure with regard to the whole call. When a stream cannot be
 * resumed because no new connection can be made, or because the endpoint refuses
 * the call that would resume it, the failure counts as `cut`, since the request
 * itself was sent earlier and may still be running.
 */
function classifyFailure(
  request: ActiveRequest,
  failure: CallFailure,
): CallFailure {
  const wasSent = request.resumes > 0;
  return wasSent && isProvenNotRun(failure) ? callFailure.cut : failure;
}

/** Retries a request whose call failed, or ends it. */
function endFailedRequest(
  state: SchedulerState,
  request: ActiveRequest,
  failure: CallFailure,
  nowMs: number,
): Effect[] {
  if (canRetry(state, request, failure)) {
    return scheduleRetry(state, request, failure, nowMs);
  }
  const outcome = {...failureOutcomes[failure], isEndpointFault: true};
  return endRequest(state, request, outcome, nowMs);
}

/** Resumes, retries or ends a request whose call failed. */
export function handleEndpointFailed(
  state: SchedulerState,
  input: EndpointFailed,
  nowMs: number,
): Effect[] {
  const request = findCalled(state, input.requestId);
  if (request === undefined) return [];
  if (request.hasSilentCall) {
    request.hasSilentCall = false;
    return [];
  }
  const failure = classifyFailure(request, input.failure);
  if (failure === callFailure.cut) {
    const resumed = resumeCutStream(state, request, nowMs);
    if (resumed !== undefined) return resumed;
  }
  return endFailedRequest(state, request, failure, nowMs);
}

/**
 * Asks for another endpoint for a request whose call makes no progress. The call
 * goes on until the other endpoint is granted, so that nothing is lost if none is
 * or if the silence ends.
 */
function retrySilentCall(
  state: SchedulerState,
  request: ActiveRequest,
  nowMs: number,
): Effect[] {
  state.requests.retryBudget -= 1;
  const effects: Effect[] = [
    createCount('request.retried', {reason: 'silent'}),
    ...recordObservation(state, request, false, 0, nowMs),
    ...returnGrant(state, request, 'failed', 0, nowMs),
  ];
  request.hasSilentCall = true;
  request.mayHaveRun = true;
  request.avoid = [...request.avoid, request.endpoint];
  effects.push(...startAttempt(state, request.requestId, nowMs));
  return effects;
}

/**
 * Resumes or retries a request whose call makes no progress. A call that can be
 * neither is waited for until the deadline of its request.
 */
export function expireProgress(
  state: SchedulerState,
  requestId: string,
  nowMs: number,
): Effect[] {
  const request = findDispatched(state, requestId);
  if (request === undefined) return [];
  const resumed = resumeStream(state, request, 'silent', nowMs);
  if (resumed !== undefined) return resumed;
  const isIdempotent = request.routeClass === routeClass.idempotent;
  if (isIdempotent && canRetry(state, request, callFailure.cut)) {
    return retrySilentCall(state, request, nowMs);
  }
  return waitForCall(state, request, nowMs);
}
