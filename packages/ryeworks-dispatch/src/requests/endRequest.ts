import {ErrorKind} from '@ryeworks/types';
import {assignFreedSlot} from '../admission/assignFreedSlot.js';
import {reduceLaterTags, removeWaiting} from '../admission/waitingQueue.js';
import {DispatchState, getFairQueue, getQueue} from '../dispatchState.js';
import {createCount, createLog, Effect} from '../effect.js';
import {refundUnits} from '../limits/customerUsage.js';
import {ActiveCall, ActiveRequest} from './activeRequest.js';
import {findCalledEntry} from './findCall.js';

/** Outcome of a request, for logs and counters. */
export interface RequestOutcome {
  readonly outcome: string;
  readonly reason: string;
}

/** Releases the slot of a call that has ended for other requests. */
export function releaseSlot(
  state: DispatchState,
  call: ActiveCall,
  nowMs: number,
): Effect[] {
  const entry = findCalledEntry(state, call);
  if (entry === undefined) return [];
  entry.inFlight = Math.max(0, entry.inFlight - 1);
  if (entry.removedAtMs !== undefined) return [];
  return assignFreedSlot(state, entry, nowMs);
}

/** Releases the slots of all calls of a request. */
export function releaseCalls(
  state: DispatchState,
  request: ActiveRequest,
  nowMs: number,
): Effect[] {
  const {calls} = request;
  request.calls = [];
  state.timers.clear('silence', request.requestId);
  state.timers.clear('hedge', request.requestId);
  const effects: Effect[] = [];
  for (const call of calls) effects.push(...releaseSlot(state, call, nowMs));
  return effects;
}

/** Returns the effects that cancel all calls of a request. */
export function cancelCalls(request: ActiveRequest): Effect[] {
  const {requestId} = request;
  const effects: Effect[] = [];
  for (const {callNumber} of request.calls) {
    effects.push({kind: 'cancelCall', requestId, callNumber});
  }
  return effects;
}

/** Returns the time to the first event or byte, in ms; -1 if none arrived. */
function getFirstEventMs(request: ActiveRequest): number {
  const {firstEventAtMs, receivedAtMs} = request;
  return firstEventAtMs === 0 ? -1 : Math.round(firstEventAtMs - receivedAtMs);
}

/**
 * Removes a request that has ended, releases what it uses, and reports its
 * outcome. Units of the customer's limit are refunded if it did not run.
 */
export function finishRequest(
  state: DispatchState,
  request: ActiveRequest,
  {outcome, reason}: RequestOutcome,
  nowMs: number,
): Effect[] {
  const {requestId, attemptId, possibleRuns, sentCalls} = request;
  const endpointId = request.calls[0]?.endpointId ?? '';
  const tier = `${request.tier}`;
  const durationMs = Math.round(nowMs - request.receivedAtMs);
  state.requests.delete(requestId);
  state.timers.clear('requestTimeout', requestId);
  state.timers.clear('retry', requestId);
  const queue = getQueue(state, request.service);
  if (removeWaiting(queue, request) && request.callsStarted === 0) {
    getFairQueue(state, request.service).refundRequest(request);
    reduceLaterTags(queue, request);
  }
  if (possibleRuns === 0) {
    refundUnits(state.usageByCustomer, request.customer, request.units, nowMs);
  }
  return [
    ...releaseCalls(state, request, nowMs),
    createCount('requests_ended', {outcome, tier}),
    {
      kind: 'observe',
      name: 'request_ms',
      labels: {tier, outcome},
      valueMs: durationMs,
    },
    createLog('request_ended', {
      request: attemptId,
      route: request.route.name,
      endpoint: endpointId,
      outcome,
      reason,
      durationMs,
      firstEventMs: getFirstEventMs(request),
      tier: request.tier,
      rank: request.rank,
      possibleRuns,
      sentCalls,
    }),
  ];
}

/** Ends a request with an error response from this VM. */
export function failRequest(
  state: DispatchState,
  request: ActiveRequest,
  error: ErrorKind,
  reason: string,
  retryAfterMs: number,
  nowMs: number,
): Effect[] {
  const {requestId} = request;
  return [
    ...cancelCalls(request),
    {kind: 'answerError', requestId, error, reason, retryAfterMs},
    createCount('requests_refused', {reason, tier: `${request.tier}`}),
    ...finishRequest(state, request, {outcome: error, reason}, nowMs),
  ];
}

/**
 * Ends a request whose response has partly reached the caller, by closing the
 * caller's connection.
 */
export function breakRequest(
  state: DispatchState,
  request: ActiveRequest,
  reason: string,
  nowMs: number,
): Effect[] {
  const {requestId} = request;
  return [
    ...cancelCalls(request),
    {kind: 'abortResponse', requestId, reason},
    ...finishRequest(state, request, {outcome: 'broken', reason}, nowMs),
  ];
}
