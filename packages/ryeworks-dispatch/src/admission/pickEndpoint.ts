import {sampleRandom} from '@ryeworks/utils';
import {EndpointEntry, listEndpoints} from '../endpoints/endpointTable.js';
import {
  estimateFirstEventMs,
  getMeanFirstEventMs,
} from '../endpoints/latency.js';
import {DispatchState} from '../dispatchState.js';
import {listAllowedEndpoints} from '../moves/decideTrial.js';
import {countPeerCalls} from '../peers/peerTable.js';
import {isRelaying} from '../peers/relayDigests.js';
import {ActiveRequest} from '../requests/activeRequest.js';

/**
 * Calls beyond its slots that an endpoint is given, by how far the tier is from
 * the service's highest. The highest tier may wait in the endpoint's own queue,
 * ahead of all that waits here; the lowest tiers leave a slot free for it.
 * Under load a request of the highest tier then neither waits for another VM to
 * pass a slot on nor stands behind long answers of lower tiers.
 */
const extraCallsByTierDistance = [2, 0, -1] as const;
/**
 * Part of its slots that an endpoint of a large fleet is given, by the same
 * distance. What many VMs have under way is known late, so the highest tier is left
 * more room: behind answers of the lowest tier it would wait for seconds.
 */
const capacityFractionByTierDistance = [1.15, 0.85, 0.6] as const;
/** How much a call to another availability zone counts over one at home. */
const remoteZoneCostFactor = 1.1;
/**
 * How much a full endpoint counts over an empty one. The highest tier goes where
 * its first event comes soonest; the others spread and leave it the fast ones.
 */
const loadWeights = {highestTier: 0.3, lowerTiers: 1.5} as const;
/** Endpoints among which a VM of a large fleet chooses. */
const maxSampledEndpoints = 3;
/** How much the share of failures of an endpoint counts against it. */
const failureWeight = 4;

/** Returns how far a request is from the highest tier of its service. */
function getTierDistance(state: DispatchState, request: ActiveRequest): number {
  const {highestTierByService} = state.desiredState;
  const highestTier = highestTierByService.get(request.service) ?? request.tier;
  return Math.max(0, request.tier - highestTier);
}

/** Returns the calls that an endpoint may have in flight for a request. */
function getCapacity(
  state: DispatchState,
  entry: EndpointEntry,
  request: ActiveRequest,
): number {
  const {slots} = entry.endpoint;
  const maxDistance = extraCallsByTierDistance.length - 1;
  const distance = Math.min(maxDistance, getTierDistance(state, request));
  const capacity = isRelaying(state)
    ? Math.round(slots * capacityFractionByTierDistance[distance])
    : slots + extraCallsByTierDistance[distance];
  return Math.max(1, capacity);
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

/** Tells whether an endpoint takes new calls at all. */
export function isUsable(entry: EndpointEntry, nowMs: number): boolean {
  return !entry.endpoint.isDraining && entry.cooldownUntilMs <= nowMs;
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
  const isInOwnZone =
    entry.endpoint.availabilityZone === state.options.availabilityZone;
  const zoneFactor = isInOwnZone ? 1 : remoteZoneCostFactor;
  return (
    (1 + firstEventMs) * (1 + loadWeight * load) * failureFactor * zoneFactor
  );
}

/** A service's endpoints, and what is known of all of them together. */
export interface ServiceSnapshot {
  readonly entries: readonly EndpointEntry[];
  /** Their mean time to a first event, in ms; 0: nothing is known. */
  readonly firstEventMs: number;
}

/** Creates the view of a service, for picks at one moment. */
export function createServiceSnapshot(
  state: DispatchState,
  service: string,
): ServiceSnapshot {
  const entries = [...listEndpoints(state.endpoints, service)];
  return {entries, firstEventMs: getMeanFirstEventMs(entries)};
}

/** Lists the endpoints that could take a request now. */
function listCandidates(
  state: DispatchState,
  request: ActiveRequest,
  {entries, firstEventMs}: ServiceSnapshot,
  nowMs: number,
): Candidate[] {
  const {isTrial, service} = request;
  const candidates: Candidate[] = [];
  for (const entry of listAllowedEndpoints(state, service, entries, isTrial)) {
    if (!isUsable(entry, nowMs)) continue;
    if (request.avoidedEndpoints.has(entry.endpoint.id)) continue;
    const cost = estimateCost(state, entry, request, firstEventMs, nowMs);
    if (cost !== undefined) candidates.push({entry, cost});
  }
  return candidates;
}

/**
 * Draws a few candidates, from the own zone if it has any: what is known of it is
 * newest. Many VMs that all take the best by the same old news would pile up on
 * one endpoint.
 */
function sampleCandidates(
  state: DispatchState,
  candidates: Candidate[],
): Candidate[] {
  const ownZone = state.options.availabilityZone;
  const inOwnZone = candidates.filter(
    ({entry}) => entry.endpoint.availabilityZone === ownZone,
  );
  const pool = inOwnZone.length > 0 ? inOwnZone : candidates;
  return sampleRandom(state.random, pool, maxSampledEndpoints);
}

/** Picks the endpoint with the least cost for a request; undefined: wait. */
export function pickEndpoint(
  state: DispatchState,
  request: ActiveRequest,
  snapshot: ServiceSnapshot,
  nowMs: number,
): EndpointEntry | undefined {
  const candidates = listCandidates(state, request, snapshot, nowMs);
  const choices = isRelaying(state)
    ? sampleCandidates(state, candidates)
    : candidates;
  let best: Candidate | undefined;
  for (const candidate of choices) {
    if (best === undefined || candidate.cost < best.cost) best = candidate;
  }
  return best?.entry;
}
