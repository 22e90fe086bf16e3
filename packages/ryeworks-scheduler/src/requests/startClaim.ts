import {createCount, Effect} from '../effect.js';
import {rankOwners} from '../membership/membershipState.js';
import {createSendPeer} from '../membership/createSendPeer.js';
import {NodeState} from '../nodeState.js';
import {ClaimAsk} from '../peerMessage.js';
import {endRequest} from './endRequest.js';
import {ActiveRequest} from './requestsState.js';

/**
 * Lists the zones that may have seen the key: for a first attempt the own zone
 * alone, else every zone.
 */
function getClaimZones(state: NodeState, request: ActiveRequest): string[] {
  const {availabilityZone, availabilityZones} = state.options;
  if (request.isFirstAttempt) return [availabilityZone];
  return [...availabilityZones];
}

/** Asks the owner of the key in one zone. */
export function sendClaimRequest(
  state: NodeState,
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
  const ask: ClaimAsk = {
    kind: 'claimAsk',
    claimKey: request.claimKey,
    requestId: request.requestId,
    fingerprint: request.fingerprint,
    firstAttempt: request.isFirstAttempt,
    keyAgeMs: request.keyAgeMs < 0 ? -1 : request.keyAgeMs + elapsedMs,
  };
  return createSendPeer(state, owner, ask);
}

/** Claims the key of a request in every zone that may know it. */
export function startClaim(
  state: NodeState,
  request: ActiveRequest,
  nowMs: number,
): Effect[] {
  const effects: Effect[] = [];
  for (const zone of getClaimZones(state, request)) {
    const ask = sendClaimRequest(state, request, zone, 0, nowMs);
    if (ask === undefined) {
      const outcome = {
        error: 'outcomeUnknown' as const,
        reason: 'zone_unreachable',
      };
      return [
        createCount('claim.unknown', {reason: 'zone_unreachable'}),
        ...endRequest(state, request, outcome, nowMs),
      ];
    }
    request.pendingClaims.add(zone);
    effects.push(ask);
  }
  const dueMs = nowMs + state.options.claimTimeoutMs;
  state.timers.set('claimTimeout', request.requestId, dueMs);
  return effects;
}
