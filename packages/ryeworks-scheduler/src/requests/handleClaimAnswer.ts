import {createCount, Effect} from '../effect.js';
import {NodeState} from '../nodeState.js';
import {ClaimAnswer, ClaimRecord, memberStatus} from '../peerMessage.js';
import {dispatchResume} from './dispatchRequest.js';
import {endRequest, EndOutcome} from './endRequest.js';
import {updateClaims} from './updateClaims.js';
import {ActiveRequest} from './requestsState.js';
import {startAttempt} from './startAttempt.js';
import {sendClaimRequest} from './startClaim.js';

/** Claims sent to ever later owners before a first attempt gives up. */
const maxClaimOwnerRank = 2;

/** Ends a request of which an earlier attempt may have run. */
function endWithUnknownOutcome(
  state: NodeState,
  request: ActiveRequest,
  reason: string,
  nowMs: number,
): Effect[] {
  const outcome: EndOutcome = {error: 'outcomeUnknown', reason};
  return [
    createCount('claim.unknown', {reason}),
    ...endRequest(state, request, outcome, nowMs),
  ];
}

/** Gives the caller the answer of the request that holds the key. */
function attachToHolder(
  state: NodeState,
  request: ActiveRequest,
  record: ClaimRecord,
  nowMs: number,
): Effect[] {
  const {admission, membership} = state;
  if (record.fingerprint !== request.fingerprint) {
    const outcome: EndOutcome = {error: 'keyReused', reason: 'key_reused'};
    return endRequest(state, request, outcome, nowMs);
  }
  const holder = membership.members.get(record.holder);
  const isReachable =
    holder !== undefined &&
    holder.status !== memberStatus.unreachable &&
    holder.status !== memberStatus.left;
  if (isReachable) {
    return [
      createCount('claim.attached'),
      ...endRequest(state, request, {attached: true}, nowMs),
      {
        kind: 'attachAnswer',
        requestId: request.requestId,
        holder: record.holder,
        holderAddress: holder.address,
        holderRequestId: record.requestId,
      },
    ];
  }
  const endpoint = admission.endpoints.get(record.endpoint);
  if (record.state !== 'claimed' && endpoint?.canResume === true) {
    return dispatchResume(state, request, endpoint, record.requestId, nowMs);
  }
  return endWithUnknownOutcome(state, request, 'holder_unreachable', nowMs);
}

/** Takes the answer of one zone to a claim. */
export function handleClaimAnswer(
  state: NodeState,
  _from: string,
  message: ClaimAnswer,
  nowMs: number,
): Effect[] {
  const request = state.requests.active.get(message.requestId);
  if (request === undefined || request.phase !== 'claiming') return [];
  if (message.status === 'unknown') {
    return endWithUnknownOutcome(state, request, 'owner_incomplete', nowMs);
  }
  if (message.status === 'held' && message.record !== undefined) {
    state.timers.clear('claimTimeout', request.requestId);
    return [
      ...updateClaims(state, request, 'released'),
      ...attachToHolder(state, request, message.record, nowMs),
    ];
  }
  request.pendingClaims.delete(message.availabilityZone);
  if (request.pendingClaims.size > 0) return [];
  state.timers.clear('claimTimeout', request.requestId);
  return startAttempt(state, request.requestId, nowMs);
}

/** Asks the next owner, or gives up a claim that nobody answers. */
export function expireClaim(
  state: NodeState,
  requestId: string,
  nowMs: number,
): Effect[] {
  const request = state.requests.active.get(requestId);
  if (request === undefined || request.phase !== 'claiming') return [];
  if (!request.isFirstAttempt) {
    return endWithUnknownOutcome(state, request, 'owner_silent', nowMs);
  }
  request.claimOwnerRank += 1;
  const {availabilityZone} = state.options;
  const {claimOwnerRank} = request;
  const ask =
    claimOwnerRank > maxClaimOwnerRank
      ? undefined
      : sendClaimRequest(
          state,
          request,
          availabilityZone,
          claimOwnerRank,
          nowMs,
        );
  if (ask === undefined) {
    const outcome: EndOutcome = {error: 'noEndpoint', reason: 'claim_silent'};
    return endRequest(state, request, outcome, nowMs);
  }
  const dueMs = nowMs + state.options.claimTimeoutMs;
  state.timers.set('claimTimeout', requestId, dueMs);
  return [ask, createCount('claim.retried')];
}
