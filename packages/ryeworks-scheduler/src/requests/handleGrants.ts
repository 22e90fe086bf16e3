import {endpointState} from '@ryeworks/types';
import {createCount, Effect} from '../effect.js';
import {createSendPeer} from '../membership/createSendPeer.js';
import {isWithdrawnVersion} from '../moves/decideVersion.js';
import {NodeState} from '../nodeState.js';
import {GrantOffer, GrantQueued, GrantRefusal} from '../peerMessage.js';
import {askNextCell} from './askForGrant.js';
import {dispatchRequest} from './dispatchRequest.js';
import {EndOutcome, endRequest, returnGrant} from './endRequest.js';
import {expireRequest} from './handleRequestReceived.js';
import {ActiveRequest} from './requestsState.js';
import {startAttempt} from './startAttempt.js';

/** Time after which a waiting ask is repeated, in ms. */
const queuedResendMs = 1000;

/** Finds the request of an ask id. */
function findRequestAwaitingGrant(
  state: NodeState,
  askId: string,
): ActiveRequest | undefined {
  const requestId = askId.slice(0, askId.lastIndexOf('/'));
  const request = state.requests.active.get(requestId);
  const isWanted = request?.phase === 'asking' && request.askId === askId;
  return isWanted ? request : undefined;
}

/** Notes that an ask waits; it is repeated in case its owner goes. */
export function handleGrantQueued(
  state: NodeState,
  _from: string,
  message: GrantQueued,
  nowMs: number,
): Effect[] {
  const request = findRequestAwaitingGrant(state, message.askId);
  if (request === undefined) return [];
  request.isQueued = true;
  const dueMs = nowMs + queuedResendMs;
  state.timers.set('grantAskTimeout', request.requestId, dueMs);
  return [];
}

/** Returns a grant that nobody waits for. */
function returnUnusedGrant(
  state: NodeState,
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

/** Dispatches a request to the endpoint that was granted. */
export function handleGrantOffer(
  state: NodeState,
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

/** Asks another cell, or gives the request up at once. */
export function handleGrantRefusal(
  state: NodeState,
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
  const asked = askNextCell(state, request, nowMs);
  if (asked !== undefined) {
    return [createCount('ask.next_cell', {reason: message.reason}), ...asked];
  }
  request.cellKey = '';
  const {reason, retryAfterMs} = message;
  const error = reason === 'wouldWait' ? 'overloaded' : reason;
  const outcome: EndOutcome = {error, reason, retryAfterMs};
  return endRequest(state, request, outcome, nowMs);
}
