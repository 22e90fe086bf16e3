import {Effect} from '../effect.js';
import {rankOwners} from '../membership/membershipState.js';
import {createSendPeer} from '../membership/createSendPeer.js';
import {NodeState} from '../nodeState.js';
import {ClaimUpdate} from '../peerMessage.js';
import {claimReplicas} from '../claims/handleClaims.js';
import {ActiveRequest} from './requestsState.js';

/** Tells the owners of a request's key what became of the request. */
export function updateClaims(
  state: NodeState,
  request: ActiveRequest,
  claimState: ClaimUpdate['state'],
): Effect[] {
  if (request.claimKey === '') return [];
  const {membership, options} = state;
  const zones = request.isFirstAttempt
    ? [options.availabilityZone]
    : options.availabilityZones;
  const update: ClaimUpdate = {
    kind: 'claimUpdate',
    claimKey: request.claimKey,
    requestId: request.requestId,
    state: claimState,
    endpoint: request.endpoint,
  };
  // The owner passes on what its replica should know; a release must not
  // depend on the owner alone, or the key stays claimed.
  const receivers = claimState === 'released' ? claimReplicas : 1;
  const effects: Effect[] = [];
  for (const zone of zones) {
    const owners = rankOwners(membership, request.claimKey, zone);
    for (const owner of owners.slice(0, receivers)) {
      effects.push(createSendPeer(state, owner, update));
    }
  }
  return effects;
}
