import {countCalls, hasFreeCapacity} from '../admission/capacity.js';
import {
  createServiceSnapshot,
  pickEndpoint,
} from '../admission/pickEndpoint.js';
import {DispatchState} from '../dispatchState.js';
import {isOpen, listCallableEndpoints} from '../endpoints/callObstacles.js';
import {EndpointEntry} from '../endpoints/endpointTable.js';
import {ActiveCall, ActiveRequest} from '../requests/activeRequest.js';
import {getEndpointEntry} from '../requests/findCall.js';

/** Fraction of an endpoint's slots from which on it is loaded. */
const loadedFraction = 0.5;

/**
 * Returns whether an endpoint has room beyond what other requests may need soon: it
 * would take a request of the lowest tier, and no permit is needed.
 */
function isUnloaded(
  state: DispatchState,
  entry: EndpointEntry,
  request: ActiveRequest,
  nowMs: number,
): boolean {
  if (entry.limit !== undefined || !isOpen(state, entry, nowMs)) return false;
  const calls = countCalls(state, entry, nowMs);
  if (calls >= entry.endpoint.slots * loadedFraction) return false;
  const lowestTier = {...request, tier: Number.POSITIVE_INFINITY};
  return hasFreeCapacity(state, entry, lowestTier, nowMs);
}

/**
 * Picks the endpoint of a hedged request: another one than that of the late call,
 * not loaded, in another zone if one can take it there. Undefined if there is none.
 */
export function pickHedgeEndpoint(
  state: DispatchState,
  request: ActiveRequest,
  lateCall: ActiveCall,
  nowMs: number,
): EndpointEntry | undefined {
  const snapshot = createServiceSnapshot(state, request.service);
  const {entries} = snapshot;
  const callable = listCallableEndpoints(state, request, entries, nowMs);
  const unloaded = callable.filter(entry =>
    isUnloaded(state, entry, request, nowMs),
  );
  const lateZone = getEndpointEntry(state, lateCall)?.endpoint.availabilityZone;
  const elsewhere = unloaded.filter(
    ({endpoint}) => endpoint.availabilityZone !== lateZone,
  );
  const choices = elsewhere.length > 0 ? elsewhere : unloaded;
  return pickEndpoint(state, request, {...snapshot, entries: choices}, nowMs);
}
