import {Effect} from '../effect.js';
import {rankOwners} from '../membership/membershipState.js';
import {createSendPeer} from '../membership/createSendPeer.js';
import {SchedulerState} from '../schedulerState.js';
import {ClaimUpdate} from '../peerMessage.js';
import {claimReplicas} from '../claims/handleClaims.js';
import {ActiveRequest} from './requestsState.js';

/** Sends the new state of a claim to the owners of the key. */
export function updateClaims(
  state: SchedulerState,
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
  // The first owner forwards other updates to its replica. A release must not
  // depend on that owner alone, or else the key may stay claimed.
  const receiverCount = claimState === 'released' ? claimReplicas : 1;
  const effects: Effect[] = [];
  for (const zone of zones) {
    const owners = rankOwners(membership, request.claimKey, zone);
    for (const owner of owners.slice(0, receiverCount)) {
      effects.push(createSendPeer(state, owner, update));
    }
  }
  return effects;
}
