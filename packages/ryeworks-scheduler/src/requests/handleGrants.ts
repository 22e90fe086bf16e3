import {endpointState} from '@ryeworks/types';
import {createCount, Effect} from '../effect.js';
import {createSendPeer} from '../membership/createSendPeer.js';
import {isWithdrawnVersion} from '../moves/decideVersion.js';
import {SchedulerState} from '../schedulerState.js';
import {GrantOffer, GrantQueued, GrantRefusal} from '../peerMessage.js';
import {askNextCell} from './askForGrant.js';
import {dispatchRequest} from './dispatchRequest.js';
import {EndOutcome, returnGrant} from './endRequest.js';
import {expireRequest} from './expireRequest.js';
import {ActiveRequest} from './requestsState.js';
import {endRefusedRequest} from './silentCall.js';
import {startAttempt} from './startAttempt.js';

/** Time after which a queued grant request is sent again, in ms. */
const queuedResendMs = 1000;

/** Finds the request that awaits a grant under an `askId`. */
function findRequestAwaitingGrant(
  state: SchedulerState,
  askId: string,
): ActiveRequest | undefined {
  const requestId = askId.slice(0, askId.lastIndexOf('/'));
  const request = state.requests.active.get(requestId);
  const isCurrent =
    request?.phase === 'awaitingGrant' && request.askId === askId;
  return isCurrent ? request : undefined;
}

/**
 * Records that a grant request is queued. It is sent again after a while, in
 * case the owner of the cell was lost.
 */
export function handleGrantQueued(
  state: SchedulerState,
  _from: string,
  message: GrantQueued,
  nowMs: number,
): Effect[] {
  const request = findRequestAwaitingGrant(state, message.askId);
  if (request === undefined) return [];
  request.isQueued = true;
  const dueMs = nowMs + queuedResendMs;
  state.timers.set('grantRequestTimeout', request.requestId, dueMs);
  return [];
}

/** Returns a grant that no request awaits, unless it is already in use. */
function returnUnusedGrant(
  state: SchedulerState,
  from: string,
  message: GrantOffer,
): Effect[] {
  const {askId, endpoint} = message;
  const requestId = askId.slice(0, askId.lastIndexOf('/'));
  const request = state.requests.active.get(requestId);
  const isInUse =
    request?.phase === 'dispatched' &&
    request.askId === askId &&
    request.endpoint === endpoint;
  if (isInUse) return [];
  const cellKey = state.admission.cellKeyByEndpoint.get(endpoint) ?? '';
  return [
    createSendPeer(state, from, {
      kind: 'grantEnd',
      askId,
      cellKey,
      outcome: 'unused',
      firstTokenMs: 0,
      interTokenMs: 0,
      outputTokens: 0,
    }),
    createCount('grant.unwanted'),
  ];
}

/**
 * Dispatches a request to the granted endpoint, or returns the grant and starts
 * a new attempt when the endpoint can no longer be used.
 */
export function handleGrantOffer(
  state: SchedulerState,
  from: string,
  message: GrantOffer,
  nowMs: number,
): Effect[] {
  const request = findRequestAwaitingGrant(state, message.askId);
  if (request === undefined) return returnUnusedGrant(state, from, message);
  if (nowMs >= request.deadlineMs) {
    return expireRequest(state, request.requestId, nowMs);
  }
  const endpoint = state.admission.endpoints.get(message.endpoint);
  const isUsable = endpoint?.state === endpointState.live;
  const {service} = request.service;
  if (!isUsable || isWithdrawnVersion(state, service, endpoint.version)) {
    const effects = returnGrant(state, request, 'unused', 0, nowMs);
    return [...effects, ...startAttempt(state, request.requestId, nowMs)];
  }
  return dispatchRequest(state, request, endpoint, nowMs);
}

/** Asks another cell, or ends the request immediately when none is left. */
export function handleGrantRefusal(
  state: SchedulerState,
  _from: string,
  message: GrantRefusal,
  nowMs: number,
): Effect[] {
  const request = findRequestAwaitingGrant(state, message.askId);
  if (request === undefined) return [];
  if (message.reason === 'wouldWait') {
    request.cellWaitsMs.set(request.cellKey, message.waitMs);
  } else {
    request.refusedCells.add(request.cellKey);
  }
  const nextEffects = askNextCell(state, request, nowMs);
  if (nextEffects !== undefined) {
    return [
      createCount('ask.next_cell', {reason: message.reason}),
      ...nextEffects,
    ];
  }
  request.cellKey = '';
  const {reason, retryAfterMs} = message;
  const error = reason === 'wouldWait' ? 'overloaded' : reason;
  const outcome: EndOutcome = {error, reason, retryAfterMs};
  return endRefusedRequest(state, request, outcome, nowMs);
}
