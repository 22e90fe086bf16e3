import {DispatchState, getRankContention} from '../dispatchState.js';
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
 * known late, so slots are kept free for higher tiers: behind responses of the
 * lowest tier their requests would wait for seconds. More are kept free while
 * requests of higher tiers have to wait.
 */
const capacityFractions = {
  free: [1.15, 1, 0.8],
  contended: [1.15, 0.85, 0.6],
} as const;

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
  nowMs: number,
): number {
  const {service, slots} = entry.endpoint;
  const maxDistance = extraCallsByTierDistance.length - 1;
  const distance = Math.min(maxDistance, getTierDistance(state, request));
  if (!isLargeFleet(state)) {
    return Math.max(1, slots + extraCallsByTierDistance[distance]);
  }
  const contention = getRankContention(state, service, nowMs);
  const isContended = contention.isContended(request.rank, nowMs);
  const fractions = isContended
    ? capacityFractions.contended
    : capacityFractions.free;
  return Math.max(1, Math.round(slots * fractions[distance]));
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
  return calls < getCapacity(state, entry, request, nowMs);
}
