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
import {recordLateFirstEvent} from '../endpoints/latency.js';
import {recordLostCall} from '../hedging/recordHedging.js';
import {ActiveCall, ActiveRequest} from './activeRequest.js';
import {markAvoided} from './avoidedEndpoints.js';
import {releaseSlot} from './endRequest.js';
import {getEndpointEntry} from './findCall.js';
import {getSilenceTimeoutMs, scheduleSilenceTimeout} from './silenceTimeout.js';

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

/** The reasons why a call is canceled in favor of another one. */
const cancelReason = {
  silent: 'silent',
  /** A silent call went on, so its standby call is canceled. */
  resumed: 'resumed',
  /** A hedged request made progress first; the late call is not a failure. */
  hedgeWon: 'hedge_won',
  hedgeLost: 'hedge_lost',
} as const;

/** Returns the reason why a call is canceled in favor of the kept one. */
function classifyCancel(
  state: DispatchState,
  request: ActiveRequest,
  canceled: ActiveCall,
  kept: ActiveCall,
  nowMs: number,
): (typeof cancelReason)[keyof typeof cancelReason] {
  if (canceled.callNumber > kept.callNumber) {
    return canceled.isHedge ? cancelReason.hedgeLost : cancelReason.resumed;
  }
  if (!kept.isHedge) return cancelReason.silent;
  const silentMs = nowMs - canceled.lastProgressAtMs;
  const isSilent = silentMs >= getSilenceTimeoutMs(state, request, canceled);
  return isSilent ? cancelReason.silent : cancelReason.hedgeWon;
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
  const reason = classifyCancel(state, request, canceled, kept, nowMs);
  const wasSilent = reason === cancelReason.silent;
  const entry = getEndpointEntry(state, canceled);
  if (callNumber < kept.callNumber) {
    recordLostCall(state, request, canceled, nowMs);
  }
  if (entry !== undefined && reason === cancelReason.hedgeWon) {
    const elapsedMs = nowMs - canceled.startedAtMs;
    recordLateFirstEvent(entry, elapsedMs, request.promptTokens);
  }
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
      reason,
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
