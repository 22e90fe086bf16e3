import {createCount, createLog, Effect} from '../effect.js';
import {SchedulerState} from '../schedulerState.js';
import {ClaimAnswer, ClaimRecord, memberStatus} from '../peerMessage.js';
import {dispatchResume} from './dispatchRequest.js';
import {endRequest, EndOutcome, endWithUnknownOutcome} from './endRequest.js';
import {updateClaims} from './updateClaims.js';
import {ActiveRequest, claimDoubt} from './requestsState.js';
import {startAttempt} from './startAttempt.js';
import {askZone, sendClaimRequest} from './startClaim.js';

/** Highest owner rank that the claim of a first attempt is sent to. */
const maxClaimOwnerRank = 2;
/**
 * How often the zones of a retry are asked again. A retry is no use to its caller
 * if it waits much longer than a first attempt does.
 */
const maxClaimRepeats = 2;

/**
 * Attaches the caller to the answer of the request that holds the key. When the
 * VM of that request is unreachable or has left, resumes the stream if it was
 * dispatched and the endpoint can.
 */
function attachToHolder(
  state: SchedulerState,
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

/**
 * Returns whether a retry asks again before it is attached to a holder that was
 * not dispatched. Two retries that each hold a claim of one zone would else be
 * attached to each other, without an answer; of these, the lower ID goes on.
 */
function isHolderUndecided(
  request: ActiveRequest,
  record: ClaimRecord,
): boolean {
  return (
    !request.isFirstAttempt &&
    request.claimRepeats < maxClaimRepeats &&
    record.state === 'claimed' &&
    record.requestId > request.requestId
  );
}

/**
 * Starts the first attempt to dispatch a request once every zone has answered
 * its claim. If a zone may hold a claim that is not known, ends the request.
 */
function finishClaim(
  state: SchedulerState,
  request: ActiveRequest,
  nowMs: number,
): Effect[] {
  if (request.pendingClaims.size > 0) return [];
  const {claimDoubts, claimRepeats, requestId} = request;
  const [reason] = claimDoubts.values();
  if (reason !== undefined) {
    const {zoneUnreachable} = claimDoubt;
    const canSettle = [...claimDoubts.values()].some(
      doubt => doubt !== zoneUnreachable,
    );
    // The zone may know more before the claim timeout asks it again.
    if (canSettle && claimRepeats < maxClaimRepeats) return [];
    return endWithUnknownOutcome(state, request, reason, nowMs);
  }
  state.timers.clear('claimTimeout', requestId);
  return startAttempt(state, requestId, nowMs);
}

/**
 * Handles the answer of one zone to a claim. A zone that does not know whether
 * the key was claimed there does not end the request while another zone may
 * still answer with the claim.
 */
export function handleClaimAnswer(
  state: SchedulerState,
  _from: string,
  message: ClaimAnswer,
  nowMs: number,
): Effect[] {
  const request = state.requests.active.get(message.requestId);
  if (request === undefined || request.phase !== 'claiming') return [];
  const {availabilityZone, record, status} = message;
  const isUndecided =
    record !== undefined && isHolderUndecided(request, record);
  if (status === 'held' && record !== undefined && !isUndecided) {
    state.timers.clear('claimTimeout', request.requestId);
    return [
      ...updateClaims(state, request, 'released'),
      ...attachToHolder(state, request, record, nowMs),
    ];
  }
  request.pendingClaims.delete(availabilityZone);
  request.claimDoubts.delete(availabilityZone);
  if (status === 'unknown') {
    request.claimDoubts.set(availabilityZone, claimDoubt.ownerIncomplete);
  }
  if (isUndecided) {
    request.claimDoubts.set(availabilityZone, claimDoubt.holderUndecided);
  }
  return finishClaim(state, request, nowMs);
}

/**
 * Sends the claim of a retry again to the zones that were silent or may hold a
 * claim that is not known. Ends the request after the last repeat. Only the
 * first owner of a zone is asked, since a claim that it grants must be the only
 * one.
 */
function sendClaimAgain(
  state: SchedulerState,
  request: ActiveRequest,
  nowMs: number,
): Effect[] {
  const {claimDoubts, pendingClaims, requestId} = request;
  const silentZones = [...pendingClaims].join();
  const effects: Effect[] = [];
  if (silentZones !== '') {
    effects.push(createLog('claim_silent', {requestId, silentZones}));
  }
  if (request.claimRepeats >= maxClaimRepeats) {
    return [
      ...effects,
      ...endWithUnknownOutcome(state, request, 'owner_silent', nowMs),
    ];
  }
  request.claimRepeats += 1;
  for (const zone of [...pendingClaims, ...claimDoubts.keys()]) {
    pendingClaims.delete(zone);
    claimDoubts.delete(zone);
    effects.push(...askZone(state, request, zone, nowMs));
  }
  const dueMs = nowMs + state.options.claimTimeoutMs;
  state.timers.set('claimTimeout', requestId, dueMs);
  return [
    ...effects,
    createCount('claim.retried'),
    ...finishClaim(state, request, nowMs),
  ];
}

/**
 * Handles a claim timeout. The claim of a retry is sent again to its zones, the
 * claim of a first attempt to the next owner while there is one; else the request
 * ends.
 */
export function expireClaim(
  state: SchedulerState,
  requestId: string,
  nowMs: number,
): Effect[] {
  const request = state.requests.active.get(requestId);
  if (request === undefined || request.phase !== 'claiming') return [];
  if (!request.isFirstAttempt) return sendClaimAgain(state, request, nowMs);
  request.claimOwnerRank += 1;
  const {availabilityZone} = state.options;
  const {claimOwnerRank} = request;
  const claimRequest =
    claimOwnerRank > maxClaimOwnerRank
      ? undefined
      : sendClaimRequest(
          state,
          request,
          availabilityZone,
          claimOwnerRank,
          nowMs,
        );
  if (claimRequest === undefined) {
    const outcome: EndOutcome = {error: 'noEndpoint', reason: 'claim_silent'};
    return endRequest(state, request, outcome, nowMs);
  }
  const dueMs = nowMs + state.options.claimTimeoutMs;
  state.timers.set('claimTimeout', requestId, dueMs);
  return [claimRequest, createCount('claim.retried')];
}
