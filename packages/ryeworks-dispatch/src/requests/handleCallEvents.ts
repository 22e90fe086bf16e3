import {maxEventsOfBeginning} from '../crashes/crashTable.js';
import {recordLife} from '../crashes/processEnds.js';
import {recordAnsweredPart} from '../crashes/soundParts.js';
import {recordUnframedEnd} from '../crashes/unframedEnds.js';
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
import {recordFirstProgress} from '../hedging/recordHedging.js';
import {
  CallDone,
  CallerGone,
  CallPaused,
  CallProgressed,
  CallSent,
} from '../input.js';
import {recordMoveEvidence} from '../moves/recordMoveEvidence.js';
import {ActiveCall, ActiveRequest} from './activeRequest.js';
import {cancelCalls, failRequest, finishRequest} from './endRequest.js';
import {findCall, getEndpointEntry} from './findCall.js';
import {notRunRetryAfterMs} from './handleCallFailed.js';
import {scheduleSilenceTimeout} from './silenceTimeout.js';
import {resolveStandby} from './standbyCall.js';

/**
 * Multiple of the endpoint's mean time to the first event above which a first
 * event is slow, provided that it also misses the latency target.
 */
const slowFactor = 2.5;

/** Lowest HTTP status of an answer that is no success. */
const minUnsuccessfulStatus = 300;

/** Records that a call was sent, so that the request may have run. */
export function handleCallSent(
  state: DispatchState,
  input: CallSent,
): Effect[] {
  const found = findCall(state, input);
  if (found === undefined) return [];
  const {call, request} = found;
  call.isSent = true;
  request.possibleRuns += 1;
  request.sentCalls += 1;
  return [];
}

/** Lets a call that makes progress, and no other, go on. */
function handleProgress(
  state: DispatchState,
  request: ActiveRequest,
  call: ActiveCall,
  nowMs: number,
): Effect[] {
  return [
    ...recordFirstProgress(state, request, call, nowMs),
    ...resolveStandby(state, request, call, nowMs),
    ...recordLife(state, call, nowMs),
  ];
}

/** Records progress of a response, and the time to its first event. */
export function handleCallProgressed(
  state: DispatchState,
  input: CallProgressed,
  nowMs: number,
): Effect[] {
  const found = findCall(state, input);
  if (found === undefined) return [];
  const {call, request} = found;
  const effects = handleProgress(state, request, call, nowMs);
  call.lastProgressAtMs = nowMs;
  call.events = input.events;
  call.isSilenceLogged = false;
  const entry = getEndpointEntry(state, call);
  if (entry !== undefined) {
    const {availabilityZone} = entry.endpoint;
    recordZoneResponse(state.lastZoneResponses, availabilityZone, nowMs);
  }
  if (call.hasFirstEvent) return effects;
  call.hasFirstEvent = true;
  if (request.firstEventAtMs === 0) request.firstEventAtMs = nowMs;
  scheduleSilenceTimeout(state, request, nowMs);
  if (entry === undefined) return effects;
  const elapsedMs = nowMs - call.startedAtMs;
  recordSlowFirstEvent(state, request, call, entry, elapsedMs);
  recordFirstEvent(entry, elapsedMs, request.promptTokens);
  const labels = {tier: `${request.tier}`};
  return [
    ...effects,
    {kind: 'observe', name: 'first_event_ms', labels, valueMs: elapsedMs},
  ];
}

/** Records that a response is not read, or that it is read again. */
export function handleCallPaused(
  state: DispatchState,
  input: CallPaused,
  nowMs: number,
): Effect[] {
  const call = findCall(state, input)?.call;
  if (call === undefined) return [];
  call.isPaused = input.isPaused;
  // The endpoint could not make progress meanwhile.
  call.lastProgressAtMs = nowMs;
  return [];
}

/**
 * Records a slow answer for the endpoint's version if the first event of a call
 * was late.
 */
function recordSlowFirstEvent(
  state: DispatchState,
  request: ActiveRequest,
  call: ActiveCall,
  entry: EndpointEntry,
  elapsedMs: number,
): void {
  const meanMs = entry.firstEventMs;
  const isSlow =
    elapsedMs > request.route.latencyTargetMs &&
    (meanMs === 0 || elapsedMs > meanMs * slowFactor);
  const {service, version} = entry.endpoint;
  if (isSlow) {
    recordMoveEvidence(state, call, {
      service,
      version,
      isFailed: false,
      isSlow,
    });
  }
}

/** Records that the parts of a prompt are sound, as its response is complete. */
function recordAnswer(
  state: DispatchState,
  request: ActiveRequest,
  call: ActiveCall,
  {isUnframed = false}: CallDone,
  nowMs: number,
): Effect[] {
  const {attemptId, sharedParts} = request;
  if (isUnframed && call.events <= maxEventsOfBeginning) {
    recordUnframedEnd(state.crashes, request, call, nowMs);
    return [];
  }
  return sharedParts.flatMap(part =>
    recordAnsweredPart(state, part, attemptId, nowMs),
  );
}

/** Ends a request whose response is complete. */
export function handleCallDone(
  state: DispatchState,
  input: CallDone,
  nowMs: number,
): Effect[] {
  const found = findCall(state, input);
  if (found === undefined) return [];
  const {call, request} = found;
  const effects = handleProgress(state, request, call, nowMs);
  const entry = getEndpointEntry(state, call);
  if (entry !== undefined) {
    recordOutcome(entry, true);
    const {service, version} = entry.endpoint;
    recordMoveEvidence(state, call, {
      service,
      version,
      isFailed: false,
      isSlow: false,
    });
    recordStreamEventGap(request, call, entry);
  }
  if (input.status < minUnsuccessfulStatus) {
    effects.push(...recordAnswer(state, request, call, input, nowMs));
  }
  const reason = `${input.status}`;
  return [
    ...effects,
    ...finishRequest(state, request, {outcome: 'done', reason}, nowMs),
  ];
}

/**
 * Records the mean time between the events of a stream that has ended; the time
 * to the first event counts as one of the gaps.
 */
function recordStreamEventGap(
  request: ActiveRequest,
  call: ActiveCall,
  entry: EndpointEntry,
): void {
  if (request.route.kind !== callKind.stream || call.events < 2) return;
  const spanMs = call.lastProgressAtMs - call.startedAtMs;
  recordEventGap(entry, spanMs / call.events);
}

/** Ends a request whose connection to the caller has closed. */
export function handleCallerGone(
  state: DispatchState,
  input: CallerGone,
  nowMs: number,
): Effect[] {
  state.earlyRequests.delete(input.requestId);
  const request = state.requests.get(input.requestId);
  if (request === undefined) return [];
  const isClosedHere = input.isClosedHere ?? false;
  const cause = isClosedHere ? 'connection_closed' : 'caller_gone';
  const outcome = isClosedHere ? 'connectionClosed' : 'callerGone';
  const reason = request.phase;
  return [
    ...cancelCalls(request),
    createCount('requests_unanswered', {cause}),
    ...finishRequest(state, request, {outcome, reason}, nowMs),
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
  for (const call of request.calls) {
    const entry = getEndpointEntry(state, call);
    if (entry !== undefined && !call.hasFirstEvent) {
      recordUnanswered(entry, toleratedCuts, nowMs);
    }
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
