import {routeClass, RouteClass, runStatus} from '@ryeworks/types';
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
import {NodeState} from '../nodeState.js';
import {EndOutcome, endRequest, returnGrant} from './endRequest.js';
import {ActiveRequest} from './requestsState.js';

/** Attempts of one request, the first included. */
const maxAttempts = 4;
/** Times that one stream is resumed. */
const maxResumes = 3;
/** First pause before another attempt, in ms; doubles each time. */
const baseBackoffMs = 20;

/** What a failed call allows, by what is known of it and the route class. */
const mayRetry: Record<CallFailure, Record<RouteClass, boolean>> = {
  notSent: {idempotent: true, dispatchOnce: true, nonIdempotent: true},
  refused: {idempotent: true, dispatchOnce: false, nonIdempotent: true},
  failed: {idempotent: true, dispatchOnce: false, nonIdempotent: false},
  cut: {idempotent: true, dispatchOnce: false, nonIdempotent: false},
  streamUnknown: {idempotent: true, dispatchOnce: false, nonIdempotent: false},
};

/** The answer when a failed call allows no further attempt. */
const failureOutcomes: Record<CallFailure, EndOutcome> = {
  notSent: {error: 'noEndpoint', reason: 'connect_failed'},
  refused: {error: 'noEndpoint', reason: 'endpoint_refused'},
  failed: {error: 'endpointFailed', reason: 'endpoint_failed'},
  cut: {error: 'outcomeUnknown', reason: 'connection_cut'},
  streamUnknown: {error: 'outcomeUnknown', reason: 'stream_unknown'},
};

/** Finds a dispatched request. */
function findDispatched(
  state: NodeState,
  requestId: string,
): ActiveRequest | undefined {
  const request = state.requests.active.get(requestId);
  return request?.phase === 'dispatched' ? request : undefined;
}

/** Notes that the answer goes on. */
function recordProgress(
  state: NodeState,
  request: ActiveRequest,
  nowMs: number,
): void {
  request.lastProgressMs = nowMs;
  const dueMs = nowMs + state.options.progressTimeoutMs;
  state.timers.set('progressTimeout', request.requestId, dueMs);
}

/** Notes the first token of an answer. */
export function handleEndpointFirstToken(
  state: NodeState,
  input: EndpointFirstToken,
  nowMs: number,
): Effect[] {
  const request = findDispatched(state, input.requestId);
  if (request === undefined) return [];
  if (request.firstTokenAtMs === 0) request.firstTokenAtMs = nowMs;
  recordProgress(state, request, nowMs);
  return [];
}

/** Notes more of an answer. */
export function handleEndpointProgress(
  state: NodeState,
  input: EndpointProgress,
  nowMs: number,
): Effect[] {
  const request = findDispatched(state, input.requestId);
  if (request !== undefined) recordProgress(state, request, nowMs);
  return [];
}

/** Ends a request whose answer is whole. */
export function handleEndpointDone(
  state: NodeState,
  input: EndpointDone,
  nowMs: number,
): Effect[] {
  const request = findDispatched(state, input.requestId);
  if (request === undefined) return [];
  const {outputTokens} = input;
  return endRequest(state, request, {done: true, outputTokens}, nowMs);
}

/** Resumes a stream on its endpoint when that is possible. */
function resumeStream(
  state: NodeState,
  request: ActiveRequest,
  reason: string,
  nowMs: number,
): Effect[] | undefined {
  const endpoint = state.admission.endpoints.get(request.endpoint);
  if (endpoint?.canResume !== true) return undefined;
  if (request.resumes >= maxResumes) return undefined;
  request.resumes += 1;
  recordProgress(state, request, nowMs);
  const {requestId} = request;
  return [
    {kind: 'resume', requestId, endpoint, streamId: requestId},
    createCount('request.resumed', {reason}),
  ];
}

/** Tells whether a failed call had reached its endpoint and cost it work. */
function hasReachedEndpoint(failure: CallFailure): boolean {
  return failure !== callFailure.notSent;
}

/** Decides whether a request may be attempted again. */
function canRetry(
  state: NodeState,
  request: ActiveRequest,
  failure: CallFailure,
): boolean {
  if (!mayRetry[failure][request.routeClass]) return false;
  if (request.firstTokenAtMs > 0) return false;
  if (request.attempts >= maxAttempts) return false;
  return !hasReachedEndpoint(failure) || state.requests.retryBudget >= 1;
}

/** Waits a little and attempts a request again on another endpoint. */
function scheduleRetry(
  state: NodeState,
  request: ActiveRequest,
  failure: CallFailure,
  nowMs: number,
): Effect[] {
  const {random, requests, timers} = state;
  if (hasReachedEndpoint(failure)) requests.retryBudget -= 1;
  const effects: Effect[] = [
    createCount('request.retried', {reason: failure}),
    ...recordObservation(state, request, false, 0, nowMs),
    ...returnGrant(state, request, 'failed', 0, nowMs),
  ];
  timers.clear('progressTimeout', request.requestId);
  request.phase = 'backoff';
  request.avoid = [...request.avoid, request.endpoint];
  const longestMs = baseBackoffMs * 2 ** request.attempts;
  const delayMs = longestMs * (0.5 + random.next() / 2);
  timers.set('retryBackoff', request.requestId, nowMs + delayMs);
  return effects;
}

/**
 * Classifies a failure by the whole call: when a stream cannot even be picked
 * up over a new connection, its request had been sent before all the same.
 */
function classifyFailure(
  request: ActiveRequest,
  failure: CallFailure,
): CallFailure {
  const wasSent = request.resumes > 0;
  return wasSent && failure === callFailure.notSent ? callFailure.cut : failure;
}

/** Resumes, attempts again or ends a request whose call failed. */
export function handleEndpointFailed(
  state: NodeState,
  input: EndpointFailed,
  nowMs: number,
): Effect[] {
  const request = findDispatched(state, input.requestId);
  if (request === undefined) return [];
  const failure = classifyFailure(request, input.failure);
  if (failure === callFailure.cut) {
    const resumed = resumeStream(state, request, 'cut', nowMs);
    if (resumed !== undefined) return resumed;
  }
  if (canRetry(state, request, failure)) {
    return scheduleRetry(state, request, failure, nowMs);
  }
  const outcome = {...failureOutcomes[failure], isEndpointFault: true};
  return endRequest(state, request, outcome, nowMs);
}

/** Resumes or gives up a call that has gone silent. */
export function expireProgress(
  state: NodeState,
  requestId: string,
  nowMs: number,
): Effect[] {
  const request = findDispatched(state, requestId);
  if (request === undefined) return [];
  const resumed = resumeStream(state, request, 'silent', nowMs);
  if (resumed !== undefined) return resumed;
  const isRepeatable = request.routeClass === routeClass.idempotent;
  if (isRepeatable && canRetry(state, request, callFailure.cut)) {
    return [
      {kind: 'cancelDispatch', requestId},
      ...scheduleRetry(state, request, callFailure.cut, nowMs),
    ];
  }
  const outcome: EndOutcome = {
    error: 'outcomeUnknown',
    reason: 'silent',
    ran: runStatus.unknown,
    isEndpointFault: true,
  };
  return endRequest(state, request, outcome, nowMs);
}
