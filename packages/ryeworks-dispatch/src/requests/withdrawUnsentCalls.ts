import {DispatchState} from '../dispatchState.js';
import {createLog, Effect} from '../effect.js';
import {EndpointEntry} from '../endpoints/endpointTable.js';
import {ActiveCall, ActiveRequest} from './activeRequest.js';
import {findCalledEntry} from './findCall.js';
import {retryRequest} from './retryRequest.js';
import {releaseFailedCall} from './standbyCall.js';

/**
 * Cancels a call that was not sent yet. Its request goes on with its other calls,
 * or is sent elsewhere.
 */
export function withdrawCall(
  state: DispatchState,
  request: ActiveRequest,
  call: ActiveCall,
  nowMs: number,
): Effect[] {
  const {attemptId, requestId} = request;
  const {callNumber, endpointId: endpoint} = call;
  return [
    {kind: 'cancelCall', requestId, callNumber},
    createLog('call_withdrawn', {
      request: attemptId,
      endpoint,
      call: callNumber,
    }),
    ...(releaseFailedCall(state, request, call, nowMs) ??
      retryRequest(state, request, nowMs)),
  ];
}

/**
 * Cancels the calls to an endpoint whose connections are still being opened: it
 * must not receive them any more.
 */
export function withdrawUnsentCalls(
  state: DispatchState,
  entry: EndpointEntry,
  nowMs: number,
): Effect[] {
  const effects: Effect[] = [];
  for (const request of [...state.requests.values()]) {
    const unsent = request.calls.find(
      call => findCalledEntry(state, call) === entry && !call.isSent,
    );
    if (unsent === undefined) continue;
    effects.push(...withdrawCall(state, request, unsent, nowMs));
  }
  return effects;
}
