import {Effect} from '../effect.js';
import {rankOwners} from '../membership/membershipState.js';
import {createSendPeer} from '../membership/createSendPeer.js';
import {SchedulerState} from '../schedulerState.js';
import {ClaimAsk} from '../peerMessage.js';
import {endWithUnknownOutcome} from './endRequest.js';
import {ActiveRequest, claimDoubt} from './requestsState.js';

/**
 * Lists the zones in which the key may have been claimed: for a first attempt
 * only the zone of this VM, else every zone.
 */
function getClaimZones(
  state: SchedulerState,
  request: ActiveRequest,
): string[] {
  const {availabilityZone, availabilityZones} = state.options;
  if (request.isFirstAttempt) return [availabilityZone];
  return [...availabilityZones];
}

/**
 * Sends a claim to the owner of the given rank in one zone. Returns undefined
 * when there is no such owner.
 */
export function sendClaimRequest(
  state: SchedulerState,
  request: ActiveRequest,
  availabilityZone: string,
  rank: number,
  nowMs: number,
): Effect | undefined {
  const {membership} = state;
  const owners = rankOwners(membership, request.claimKey, availabilityZone);
  const owner = owners[rank];
  if (owner === undefined) return undefined;
  const elapsedMs = Math.round(nowMs - request.receivedAtMs);
  const claimRequest: ClaimAsk = {
    kind: 'claimAsk',
    claimKey: request.claimKey,
    requestId: request.requestId,
    fingerprint: request.fingerprint,
    firstAttempt: request.isFirstAttempt,
    keyAgeMs: request.keyAgeMs < 0 ? -1 : request.keyAgeMs + elapsedMs,
  };
  return createSendPeer(state, owner, claimRequest);
}

/**
 * Sends a claim to the first owner of the key in a zone, or records that the
 * zone cannot be asked.
 */
export function askZone(
  state: SchedulerState,
  request: ActiveRequest,
  zone: string,
  nowMs: number,
): Effect[] {
  const claimRequest = sendClaimRequest(state, request, zone, 0, nowMs);
  if (claimRequest === undefined) {
    request.claimDoubts.set(zone, claimDoubt.zoneUnreachable);
    return [];
  }
  request.pendingClaims.add(zone);
  return [claimRequest];
}

/**
 * Claims the key of a request in every zone where it may have been claimed. A
 * zone without a reachable VM does not keep the others from being asked, since
 * one of them may hold the claim.
 */
export function startClaim(
  state: SchedulerState,
  request: ActiveRequest,
  nowMs: number,
): Effect[] {
  const effects: Effect[] = [];
  for (const zone of getClaimZones(state, request)) {
    effects.push(...askZone(state, request, zone, nowMs));
  }
  if (request.pendingClaims.size === 0) {
    return endWithUnknownOutcome(
      state,
      request,
      claimDoubt.zoneUnreachable,
      nowMs,
    );
  }
  const dueMs = nowMs + state.options.claimTimeoutMs;
  state.timers.set('claimTimeout', request.requestId, dueMs);
  return effects;
}
