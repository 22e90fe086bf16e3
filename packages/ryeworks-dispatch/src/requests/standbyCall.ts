import {
  createServiceSnapshot,
  pickEndpoint,
} from '../admission/pickEndpoint.js';
import {isAhead} from '../admission/waitingQueue.js';
import {DispatchState, getQueue} from '../dispatchState.js';
import {createLog, Effect} from '../effect.js';
import {
  EndpointEntry,
  recordOutcome,
  recordUnanswered,
  toleratedCuts,
} from '../endpoints/endpointTable.js';
import {ActiveCall, ActiveRequest} from './activeRequest.js';
import {markAvoided} from './avoidedEndpoints.js';
import {releaseSlot} from './endRequest.js';
import {getEndpointEntry} from './findCall.js';
import {scheduleSilenceTimeout} from './silenceTimeout.js';

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
  // A new version whose call is silent may be bad: the old one takes over.
  const untried = {...request, isTrial: false};
  return pickEndpoint(state, untried, snapshot, nowMs);
}

/** Cancels a call of a request in favor of the one that made progress. */
function cancelCall(
  state: DispatchState,
  request: ActiveRequest,
  canceled: ActiveCall,
  kept: ActiveCall,
  nowMs: number,
): Effect[] {
  const {attemptId, requestId} = request;
  const {callNumber, endpointId} = canceled;
  const wasSilent = callNumber < kept.callNumber;
  const entry = getEndpointEntry(state, canceled);
  if (entry !== undefined && wasSilent) {
    recordOutcome(entry, false);
    recordUnanswered(entry, toleratedCuts, nowMs);
  }
  if (wasSilent) markAvoided(request, endpointId, nowMs);
  return [
    {kind: 'cancelCall', requestId, callNumber},
    createLog('call_superseded', {
      request: attemptId,
      endpoint: endpointId,
      call: callNumber,
      keptEndpoint: kept.endpointId,
      keptCall: kept.callNumber,
      reason: wasSilent ? 'silent' : 'resumed',
    }),
    ...releaseSlot(state, canceled, nowMs),
  ];
}

/** Keeps the call of a request that made progress, and no other. */
export function resolveStandby(
  state: DispatchState,
  request: ActiveRequest,
  progressed: ActiveCall,
  nowMs: number,
): Effect[] {
  if (request.calls.length === 1) return [];
  const canceled = request.calls.filter(call => call !== progressed);
  request.calls = [progressed];
  scheduleSilenceTimeout(state, request, nowMs);
  const effects: Effect[] = [];
  for (const call of canceled) {
    effects.push(...cancelCall(state, request, call, progressed, nowMs));
  }
  return effects;
}

/**
 * Ends a failed call of a request that goes on with its other calls. Returns
 * undefined if it has no other.
 */
export function releaseFailedCall(
  state: DispatchState,
  request: ActiveRequest,
  failed: ActiveCall,
  nowMs: number,
): Effect[] | undefined {
  if (request.calls.length === 1) return undefined;
  request.calls = request.calls.filter(call => call !== failed);
  scheduleSilenceTimeout(state, request, nowMs);
  return releaseSlot(state, failed, nowMs);
}
