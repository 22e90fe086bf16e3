import {
  createServiceSnapshot,
  pickEndpoint,
} from '../admission/pickEndpoint.js';
import {isAhead} from '../admission/waitingQueue.js';
import {DispatchState, getQueue} from '../dispatchState.js';
import {createCount, createLog, Effect} from '../effect.js';
import {EndpointEntry} from '../endpoints/endpointTable.js';
import {recordFailure} from '../endpoints/recordFailure.js';
import {callFailure} from '../input.js';
import {ActiveCall, ActiveRequest} from './activeRequest.js';
import {releaseSlot} from './endRequest.js';
import {getEndpointEntry} from './findCall.js';
import {scheduleSilenceTimeout} from './silenceTimeout.js';
import {createCall, createCallEffects} from './startCall.js';

/**
 * Returns an endpoint that can take over a request at once; undefined if there
 * is none, or if a more urgent request waits for it.
 */
export function pickStandbyEndpoint(
  state: DispatchState,
  request: ActiveRequest,
  nowMs: number,
): EndpointEntry | undefined {
  const {service} = request;
  const [first] = getQueue(state, service);
  if (first !== undefined && isAhead(first, request)) return undefined;
  const snapshot = createServiceSnapshot(state, service);
  return pickEndpoint(state, request, snapshot, nowMs);
}

/**
 * Starts a second call of a request whose current call is silent. The current
 * one goes on until the second makes progress, so that nothing is lost if the
 * second is refused, is silent as well, or the silence ends. An engine begins to
 * run a request with its first token; the current call is canceled then.
 */
export function startStandbyCall(
  state: DispatchState,
  request: ActiveRequest,
  entry: EndpointEntry,
  nowMs: number,
): Effect[] {
  request.standbyCall = createCall(state, request, entry, nowMs);
  return [
    createCount('calls_repeated', {reason: 'silent'}),
    ...createCallEffects(state, request, entry, nowMs),
  ];
}

/** Ends one of the two calls of a request; the other one is its current call. */
function endOtherCall(
  state: DispatchState,
  request: ActiveRequest,
  kept: ActiveCall,
  ended: ActiveCall,
  nowMs: number,
): Effect[] {
  request.call = kept;
  request.standbyCall = undefined;
  const entry = getEndpointEntry(state, kept);
  if (entry !== undefined) scheduleSilenceTimeout(state, request, entry, nowMs);
  return releaseSlot(state, ended, nowMs);
}

/** Cancels one of the two calls of a request in favor of the other one. */
function cancelOtherCall(
  state: DispatchState,
  request: ActiveRequest,
  kept: ActiveCall,
  canceled: ActiveCall,
  reason: string,
  nowMs: number,
): Effect[] {
  const {requestId, attemptId} = request;
  const {callNumber, endpointId} = canceled;
  return [
    {kind: 'cancelCall', requestId, callNumber},
    createLog('call_superseded', {
      request: attemptId,
      endpoint: endpointId,
      call: callNumber,
      keptEndpoint: kept.endpointId,
      keptCall: kept.callNumber,
      reason,
    }),
    ...endOtherCall(state, request, kept, canceled, nowMs),
  ];
}

/** Keeps the call that made progress, if a request has two, and no other. */
export function resolveStandby(
  state: DispatchState,
  request: ActiveRequest,
  progressed: ActiveCall,
  nowMs: number,
): Effect[] {
  const {call, standbyCall} = request;
  if (call === undefined || standbyCall === undefined) return [];
  if (progressed === call) {
    return cancelOtherCall(state, request, call, standbyCall, 'resumed', nowMs);
  }
  const entry = getEndpointEntry(state, call);
  if (entry !== undefined) recordFailure(state, entry, callFailure.cut, nowMs);
  return cancelOtherCall(state, request, standbyCall, call, 'silent', nowMs);
}

/**
 * Keeps the other call if one of the two calls of a request failed. Returns
 * undefined if the request had only this call.
 */
export function releaseFailedCall(
  state: DispatchState,
  request: ActiveRequest,
  failed: ActiveCall,
  nowMs: number,
): Effect[] | undefined {
  const {call, standbyCall} = request;
  if (call === undefined || standbyCall === undefined) return undefined;
  const kept = failed === call ? standbyCall : call;
  return endOtherCall(state, request, kept, failed, nowMs);
}
