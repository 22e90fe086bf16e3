import {sampleRandom} from '@ryeworks/utils';
import {EndpointEntry, listEndpoints} from '../endpoints/endpointTable.js';
import {
  estimateFirstEventMs,
  getMeanFirstEventMs,
} from '../endpoints/latency.js';
import {DispatchState} from '../dispatchState.js';
import {listAllowedEndpoints} from '../moves/decideTrial.js';
import {countPeerCalls} from '../peers/peerTable.js';
import {isLargeFleet} from '../peers/relayDigests.js';
import {hasPermit} from '../rateLimits/permits.js';
import {ActiveRequest} from '../requests/activeRequest.js';
import {isAvoided} from '../requests/avoidedEndpoints.js';

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
 * Cost of a call to a remote availability zone relative to one in the local
 * zone.
 */
const remoteZoneCostFactor = 1.1;
/**
 * Weight of an endpoint's load in the cost of a call. Requests of the highest
 * tier go where the first event is expected soonest; lower tiers spread over
 * all endpoints and leave the fast ones to the highest tier.
 */
const loadWeights = {highestTier: 0.3, lowerTiers: 1.5} as const;
/** Number of candidates from which a VM of a large fleet picks the cheapest. */
const maxSampledEndpoints = 3;
/** Weight of an endpoint's failure rate in the cost of a call. */
const failureWeight = 4;

/**
 * Returns the distance of a request's tier from the highest tier of its
 * service.
 */
function getTierDistance(state: DispatchState, request: ActiveRequest): number {
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

/** Returns whether an endpoint is neither draining nor in a cool-down. */
export function isUsable(entry: EndpointEntry, nowMs: number): boolean {
  return !entry.endpoint.isDraining && entry.cooldownUntilMs <= nowMs;
}

/** Returns whether an endpoint has capacity for a request of this tier. */
export function hasCapacity(
  state: DispatchState,
  entry: EndpointEntry,
  request: ActiveRequest,
  nowMs: number,
): boolean {
  const calls = countCalls(state, entry, nowMs);
  return calls < getCapacity(state, entry, request);
}

/** An endpoint that could take a request, and the cost of using it. */
interface Candidate {
  readonly entry: EndpointEntry;
  readonly cost: number;
}

/**
 * Estimates the cost of a call to an endpoint; undefined if it has no capacity.
 */
function estimateCost(
  state: DispatchState,
  entry: EndpointEntry,
  request: ActiveRequest,
  serviceMeanMs: number,
  nowMs: number,
): number | undefined {
  const calls = countCalls(state, entry, nowMs);
  if (calls >= getCapacity(state, entry, request)) return undefined;
  const load = calls / entry.endpoint.slots;
  const isHighestTier = getTierDistance(state, request) === 0;
  const loadWeight = isHighestTier
    ? loadWeights.highestTier
    : loadWeights.lowerTiers;
  const firstEventMs = estimateFirstEventMs(
    entry,
    serviceMeanMs,
    request.promptTokens,
  );
  const failureFactor = 1 + failureWeight * entry.failureRate;
  const isInLocalZone =
    entry.endpoint.availabilityZone === state.options.availabilityZone;
  const zoneFactor = isInLocalZone ? 1 : remoteZoneCostFactor;
  return (
    (1 + firstEventMs) * (1 + loadWeight * load) * failureFactor * zoneFactor
  );
}

/** The endpoints of a service at one moment. */
export interface ServiceSnapshot {
  readonly entries: readonly EndpointEntry[];
  /** Their mean time to the first event, in ms; 0 if unknown. */
  readonly firstEventMs: number;
}

/** Creates a snapshot of a service, to pick endpoints at one moment. */
export function createServiceSnapshot(
  state: DispatchState,
  service: string,
): ServiceSnapshot {
  const entries = [...listEndpoints(state.endpoints, service)];
  return {entries, firstEventMs: getMeanFirstEventMs(entries)};
}

/** Lists the endpoints that can take a request now. */
function listCandidates(
  state: DispatchState,
  request: ActiveRequest,
  {entries, firstEventMs}: ServiceSnapshot,
  nowMs: number,
): Candidate[] {
  const {isTrial, service} = request;
  const allowed = listAllowedEndpoints(state, service, entries, isTrial, nowMs);
  const candidates: Candidate[] = [];
  for (const entry of allowed) {
    if (!isUsable(entry, nowMs)) continue;
    if (isAvoided(request, entry.endpoint.id, nowMs)) continue;
    if (!hasPermit(state, entry, request.rank, nowMs)) continue;
    const cost = estimateCost(state, entry, request, firstEventMs, nowMs);
    if (cost !== undefined) candidates.push({entry, cost});
  }
  return candidates;
}

/**
 * Samples a few random candidates, from the local zone if it has any because
 * what is known of its load is most recent. If many VMs all picked the cheapest
 * endpoint by the same outdated load, their requests would pile up on it.
 */
function sampleCandidates(
  state: DispatchState,
  candidates: Candidate[],
): Candidate[] {
  const localZone = state.options.availabilityZone;
  const inLocalZone = candidates.filter(
    ({entry}) => entry.endpoint.availabilityZone === localZone,
  );
  const pool = inLocalZone.length > 0 ? inLocalZone : candidates;
  return sampleRandom(state.random, pool, maxSampledEndpoints);
}

/**
 * Picks the cheapest endpoint for a request; undefined if the request must
 * wait.
 */
export function pickEndpoint(
  state: DispatchState,
  request: ActiveRequest,
  snapshot: ServiceSnapshot,
  nowMs: number,
): EndpointEntry | undefined {
  const candidates = listCandidates(state, request, snapshot, nowMs);
  const choices = isLargeFleet(state)
    ? sampleCandidates(state, candidates)
    : candidates;
  let best: Candidate | undefined;
  for (const candidate of choices) {
    if (best === undefined || candidate.cost < best.cost) best = candidate;
  }
  return best?.entry;
}
