import {DispatchState} from '../dispatchState.js';
import {EndpointEntry} from '../endpoints/endpointTable.js';
import {countPeerCalls} from '../peers/peerTable.js';
import {isLargeFleet} from '../peers/relayDigests.js';
import {ActiveRequest} from '../requests/activeRequest.js';

/**
 * Calls that an endpoint may receive in addition to its slots, by distance of
 * the request's tier from the highest tier of the service. Requests of the
 * highest tier may wait in the endpoint's own queue, ahead of everything that
 * waits on this VM; the lowest tiers leave a slot free for them. Under load, a
 * request of the highest tier then neither waits for another VM to offer a slot
 * nor queues behind long responses of lower tiers.
 */
const extraCallsByTierDistance = [2, 0, -1] as const;
/**
 * Calls that an endpoint may receive in a large fleet, as a fraction of its
 * slots, by the same distance. With many VMs, their calls in flight become
 * known late, so more slots are kept free for the highest tier: behind
 * responses of the lowest tier its requests would wait for seconds.
 */
const capacityFractionByTierDistance = [1.15, 0.85, 0.6] as const;

/**
 * Returns the distance of a request's tier from the highest tier of its
 * service.
 */
export function getTierDistance(
  state: DispatchState,
  request: ActiveRequest,
): number {
  const {highestTierByService} = state.desiredState;
  const highestTier = highestTierByService.get(request.service) ?? request.tier;
  return Math.max(0, request.tier - highestTier);
}

/**
 * Returns the number of calls in flight below which an endpoint may take a
 * request of this tier.
 */
function getCapacity(
  state: DispatchState,
  entry: EndpointEntry,
  request: ActiveRequest,
): number {
  const {slots} = entry.endpoint;
  const maxDistance = extraCallsByTierDistance.length - 1;
  const distance = Math.min(maxDistance, getTierDistance(state, request));
  const capacity = isLargeFleet(state)
    ? Math.round(slots * capacityFractionByTierDistance[distance])
    : slots + extraCallsByTierDistance[distance];
  return Math.max(1, capacity);
}

/** Counts the calls of all VMs at an endpoint, as far as this VM knows them. */
export function countCalls(
  state: DispatchState,
  entry: EndpointEntry,
  nowMs: number,
): number {
  const {id} = entry.endpoint;
  return entry.inFlight + countPeerCalls(state.peers, id, nowMs);
}

/** Returns whether an endpoint has capacity for a request of this tier. */
export function hasFreeCapacity(
  state: DispatchState,
  entry: EndpointEntry,
  request: ActiveRequest,
  nowMs: number,
): boolean {
  const calls = countCalls(state, entry, nowMs);
  return calls < getCapacity(state, entry, request);
}
