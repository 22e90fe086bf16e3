import {
  EndpointEntry,
  getRelativePace,
  listEndpoints,
} from '../endpoints/endpointBook.js';
import {DispatchState} from '../dispatchState.js';
import {countPeerCalls} from '../peers/peerBook.js';
import {ActiveRequest} from '../requests/activeRequest.js';
import {highestTier} from '../tier.js';

/**
 * Calls beyond its slots that an endpoint is given. The highest tier may wait
 * in the endpoint's own queue, ahead of all that waits here, so that it never
 * waits for another VM's slot to be passed on.
 */
const extraCalls = {highestTier: 2, others: 0} as const;
/** How much a call to another availability zone counts over one at home. */
const remoteZoneFactor = 1.1;
/** How much the share of failures of an endpoint counts against it. */
const failureWeight = 4;

/** Returns the calls that an endpoint may have in flight for a tier. */
function getCapacity(entry: EndpointEntry, tier: number): number {
  const extra = tier === highestTier ? extraCalls.highestTier : 0;
  return entry.endpoint.slots + extra;
}

/** Returns the calls of all VMs at an endpoint, as far as they are known. */
export function countCalls(
  state: DispatchState,
  entry: EndpointEntry,
  nowMs: number,
): number {
  const {id} = entry.endpoint;
  return entry.inFlight + countPeerCalls(state.peers, id, nowMs);
}

/** Returns the mean time to the first event over a service, in ms; 0: none. */
export function getServiceFirstEventMs(
  entries: Iterable<EndpointEntry>,
): number {
  let total = 0;
  let count = 0;
  for (const entry of entries) {
    if (entry.firstEventMs === 0) continue;
    total += entry.firstEventMs;
    count += 1;
  }
  return count === 0 ? 0 : total / count;
}

/** Tells whether an endpoint takes new calls at all. */
export function isUsable(entry: EndpointEntry, nowMs: number): boolean {
  return !entry.endpoint.isDraining && entry.restUntilMs <= nowMs;
}

/** An endpoint that could take a request; the least cost is best. */
interface Candidate {
  readonly entry: EndpointEntry;
  readonly cost: number;
}

/** Works out how much a call to an endpoint costs; undefined: it is full. */
function estimateCost(
  state: DispatchState,
  entry: EndpointEntry,
  request: ActiveRequest,
  serviceMs: number,
  nowMs: number,
): number | undefined {
  const calls = countCalls(state, entry, nowMs);
  if (calls >= getCapacity(entry, request.tier)) return undefined;
  const load = (calls + 1) / entry.endpoint.slots;
  const pace = getRelativePace(entry, serviceMs);
  const doubt = 1 + failureWeight * entry.failureShare;
  const isHome =
    entry.endpoint.availabilityZone === state.options.availabilityZone;
  return load * pace * doubt * (isHome ? 1 : remoteZoneFactor);
}

/** Picks the endpoint with the least cost for a request; undefined: wait. */
export function pickEndpoint(
  state: DispatchState,
  request: ActiveRequest,
  nowMs: number,
): EndpointEntry | undefined {
  const entries = [...listEndpoints(state.endpoints, request.service)];
  const serviceMs = getServiceFirstEventMs(entries);
  let best: Candidate | undefined;
  for (const entry of entries) {
    if (!isUsable(entry, nowMs)) continue;
    if (request.avoided.has(entry.endpoint.id)) continue;
    const cost = estimateCost(state, entry, request, serviceMs, nowMs);
    if (cost === undefined) continue;
    if (best === undefined || cost < best.cost) best = {entry, cost};
  }
  return best?.entry;
}
