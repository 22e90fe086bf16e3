import {FleetArrival, FleetEndpoint} from './fleetEndpoint.js';

/** Length of the window over which calls are compared with a limit, in ms. */
const windowMs = 4000;
/** Time after which a VM that has passed on a limit must keep to it, in ms. */
const toldGraceMs = 500;
/** Time after which the VMs must keep to a limit that is new, in ms. */
const contactMs = 3000;
/** Calls that a window may hold: the limit's, times the ratio, and some more. */
const toleratedRatio = 1.5;
const toleratedCalls = 5;

/** Returns the number of calls that a limit allows in a window. */
export function getAllowedCalls(perSecond: number): number {
  return (perSecond * windowMs * toleratedRatio) / 1000 + toleratedCalls;
}

/** Returns whether a call counts against the limit that its endpoint names. */
function isCounted(endpoint: FleetEndpoint, arrival: FleetArrival): boolean {
  const toldAtMs = endpoint.toldAtMs.get(arrival.vm);
  return toldAtMs !== undefined && arrival.atMs >= toldAtMs + toldGraceMs;
}

/**
 * Returns the largest number of calls by VMs that knew of the limit, over all
 * windows that end while the limit must be kept.
 */
export function countMostCalls(endpoint: FleetEndpoint): number {
  const {limitedSinceMs} = endpoint;
  if (limitedSinceMs === undefined) return 0;
  const counted = endpoint.arrivals.filter(arrival =>
    isCounted(endpoint, arrival),
  );
  let most = 0;
  let first = 0;
  for (const [last, {atMs}] of counted.entries()) {
    while (counted[first].atMs <= atMs - windowMs) first += 1;
    if (atMs < limitedSinceMs + contactMs) continue;
    most = Math.max(most, last - first + 1);
  }
  return most;
}
