import {sampleRandom} from '@ryeworks/utils';
import {DispatchState} from '../dispatchState.js';
import {listCallableEndpoints} from '../endpoints/callObstacles.js';
import {EndpointEntry, listEndpoints} from '../endpoints/endpointTable.js';
import {
  estimateFirstEventMs,
  getMeanFirstEventMs,
} from '../endpoints/latency.js';
import {isLargeFleet} from '../peers/relayDigests.js';
import {ActiveRequest} from '../requests/activeRequest.js';
import {countCalls, getTierDistance} from './capacity.js';

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
/** Number of endpoints from which a VM of a large fleet picks the cheapest. */
const maxSampledEndpoints = 3;
/**
 * The same for a small service with fewer endpoints than that in the local zone: more
 * choices would send most calls to the one that seems idle.
 */
const maxSampledOverZones = 2;
/** Number of callable endpoints up to which a service is small. */
const maxSmallService = 2 * maxSampledEndpoints;
/** Weight of an endpoint's failure rate in the cost of a call. */
const failureWeight = 4;

/** Returns whether an endpoint is in the zone of this VM. */
function isLocal(state: DispatchState, {endpoint}: EndpointEntry): boolean {
  return endpoint.availabilityZone === state.options.availabilityZone;
}

/** Estimates the cost of a call to an endpoint. */
function estimateCost(
  state: DispatchState,
  entry: EndpointEntry,
  request: ActiveRequest,
  serviceMeanMs: number,
  nowMs: number,
): number {
  const load = countCalls(state, entry, nowMs) / entry.endpoint.slots;
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
  const zoneFactor = isLocal(state, entry) ? 1 : remoteZoneCostFactor;
  return (
    (1 + firstEventMs) * (1 + loadWeight * load) * failureFactor * zoneFactor
  );
}

/** The endpoints of a service at one moment. */
export interface ServiceSnapshot {
  readonly entries: readonly EndpointEntry[];
  /** Their mean time to the first event, in ms; 0 if unknown. */
  readonly firstEventMs: number;
  /** Number of them in the local zone. */
  readonly localCount: number;
}

/** Creates a snapshot of a service, to pick endpoints at one moment. */
export function createServiceSnapshot(
  state: DispatchState,
  service: string,
): ServiceSnapshot {
  const entries = [...listEndpoints(state.endpoints, service)];
  const localCount = entries.filter(entry => isLocal(state, entry)).length;
  const firstEventMs = getMeanFirstEventMs(entries);
  return {entries, firstEventMs, localCount};
}

/**
 * Samples a few random endpoints, from the local zone if any of them is there
 * because what is known of its load is most recent. If many VMs all picked the
 * cheapest endpoint by the same outdated load, their requests would pile up on it; so
 * they would on the only one of the zone.
 */
function sampleEndpoints(
  state: DispatchState,
  callable: EndpointEntry[],
  localCount: number,
): EndpointEntry[] {
  const isSmall =
    localCount < maxSampledEndpoints && callable.length <= maxSmallService;
  if (isSmall) {
    return sampleRandom(state.random, callable, maxSampledOverZones);
  }
  const inLocalZone = callable.filter(entry => isLocal(state, entry));
  const pool = inLocalZone.length > 0 ? inLocalZone : callable;
  return sampleRandom(state.random, pool, maxSampledEndpoints);
}

/**
 * Picks the cheapest endpoint for a request; undefined if the request must
 * wait.
 */
export function pickEndpoint(
  state: DispatchState,
  request: ActiveRequest,
  {entries, firstEventMs, localCount}: ServiceSnapshot,
  nowMs: number,
): EndpointEntry | undefined {
  const callable = listCallableEndpoints(state, request, entries, nowMs);
  const choices = isLargeFleet(state)
    ? sampleEndpoints(state, callable, localCount)
    : callable;
  let cheapest: EndpointEntry | undefined;
  let lowestCost = Number.POSITIVE_INFINITY;
  for (const entry of choices) {
    const cost = estimateCost(state, entry, request, firstEventMs, nowMs);
    const isCheapest = cheapest === undefined || cost < lowestCost;
    if (!isCheapest) continue;
    cheapest = entry;
    lowestCost = cost;
  }
  return cheapest;
}
