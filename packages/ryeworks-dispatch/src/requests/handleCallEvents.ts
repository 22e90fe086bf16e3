import {callKind} from '../desired/desiredState.js';
import {DispatchState} from '../dispatchState.js';
import {createCount, Effect} from '../effect.js';
import {
  EndpointEntry,
  recordUnanswered,
  recordOutcome,
  toleratedCuts,
} from '../endpoints/endpointTable.js';
import {recordEventGap, recordFirstEvent} from '../endpoints/latency.js';
import {recordZoneResponse} from '../endpoints/zoneCooldown.js';
import {CallDone, CallerGone, CallProgressed, CallSent} from '../input.js';
import {recordMoveEvidence} from '../moves/recordMoveEvidence.js';
import {ActiveRequest} from './activeRequest.js';
import {failRequest, finishRequest} from './endRequest.js';
import {findRequestByCall, getEndpointEntry} from './findRequestByCall.js';
import {notRunRetryAfterMs} from './handleCallFailed.js';
import {scheduleSilenceTimeout} from './silenceTimeout.js';

/**
 * Multiple of the endpoint's mean time to the first event above which a first
 * event is slow, provided that it also misses the latency target.
 */
const slowFactor = 2.5;

/** Records that a call was sent, so that the request may have run. */
export function handleCallSent(
  state: DispatchState,
  input: CallSent,
): Effect[] {
  const request = findRequestByCall(state, input);
  if (request === undefined) return [];
  request.possibleRuns += 1;
  request.sentCalls += 1;
  return [];
}

/** Records progress of a response, and the time to its first event. */
export function handleCallProgressed(
  state: DispatchState,
  input: CallProgressed,
  nowMs: number,
): Effect[] {
  const request = findRequestByCall(state, input);
  if (request === undefined) return [];
  request.lastProgressAtMs = nowMs;
  request.events = input.events;
  const entry = getEndpointEntry(state, request);
  if (entry !== undefined) {
    const {availabilityZone} = entry.endpoint;
    recordZoneResponse(state.lastZoneResponses, availabilityZone, nowMs);
  }
  if (request.hasFirstEvent) return [];
  request.hasFirstEvent = true;
  if (request.firstEventAtMs === 0) request.firstEventAtMs = nowMs;
  if (entry === undefined) return [];
  const elapsedMs = nowMs - request.callStartedAtMs;
  recordSlowFirstEvent(state, request, entry, elapsedMs);
  recordFirstEvent(entry, elapsedMs, request.promptTokens);
  scheduleSilenceTimeout(state, request, entry, nowMs);
  const labels = {tier: `${request.tier}`};
  return [
    {kind: 'observe', name: 'first_event_ms', labels, valueMs: elapsedMs},
  ];
}

/**
 * Records a slow answer for the endpoint's version if the first event of a call
 * was late.
 */
function recordSlowFirstEvent(
  state: DispatchState,
  request: ActiveRequest,
  entry: EndpointEntry,
  elapsedMs: number,
): void {
  const meanMs = entry.firstEventMs;
  const isSlow =
    elapsedMs > request.route.latencyTargetMs &&
    (meanMs === 0 || elapsedMs > meanMs * slowFactor);
  const {service, version} = entry.endpoint;
  if (isSlow) {
    recordMoveEvidence(state, {service, version, isFailed: false, isSlow});
  }
}

/** Ends a request whose response is complete. */
export function handleCallDone(
  state: DispatchState,
  input: CallDone,
  nowMs: number,
): Effect[] {
  const request = findRequestByCall(state, input);
  if (request === undefined) return [];
  const entry = getEndpointEntry(state, request);
  if (entry !== undefined) {
    recordOutcome(entry, true);
    const {service, version} = entry.endpoint;
    recordMoveEvidence(state, {
      service,
      version,
      isFailed: false,
      isSlow: false,
    });
    recordStreamEventGap(request, entry);
  }
  const reason = `${input.status}`;
  return finishRequest(state, request, {outcome: 'done', reason}, nowMs);
}

/**
 * Records the mean time between the events of a stream that has ended; the time
 * to the first event counts as one of the gaps.
 */
function recordStreamEventGap(
  request: ActiveRequest,
  entry: EndpointEntry,
): void {
  if (request.route.kind !== callKind.stream || request.events < 2) return;
  const spanMs = request.lastProgressAtMs - request.callStartedAtMs;
  recordEventGap(entry, spanMs / request.events);
}

/** Ends a request whose caller closed the connection. */
export function handleCallerGone(
  state: DispatchState,
  input: CallerGone,
  nowMs: number,
): Effect[] {
  state.earlyRequests.delete(input.requestId);
  const request = state.requests.get(input.requestId);
  if (request === undefined) return [];
  const {requestId} = input;
  const reason = request.phase;
  return [
    {kind: 'cancelCall', requestId},
    createCount('requests_unanswered', {cause: 'caller_gone'}),
    ...finishRequest(state, request, {outcome: 'callerGone', reason}, nowMs),
  ];
}

/** Ends a request whose timeout has expired. */
export function expireRequest(
  state: DispatchState,
  requestId: string,
  nowMs: number,
): Effect[] {
  const request = state.requests.get(requestId);
  if (request === undefined) return [];
  const entry = getEndpointEntry(state, request);
  if (entry !== undefined && !request.hasFirstEvent) {
    recordUnanswered(entry, toleratedCuts, nowMs);
  }
  if (request.possibleRuns > 0) {
    return failRequest(state, request, 'endpointTimeout', 'timeout', 0, nowMs);
  }
  return failRequest(
    state,
    request,
    'overloaded',
    'timeout',
    notRunRetryAfterMs,
    nowMs,
  );
}
