import {admitWaiting} from '../admission/admitWaiting.js';
import {DispatchState} from '../dispatchState.js';
import {createCount, createLog, Effect} from '../effect.js';
import {
  EndpointChanged,
  EndpointRemoved,
  EndpointsListed,
  StoreReachabilityChanged,
} from '../input.js';
import {handleEarlyRequests} from '../requests/handleRequestReceived.js';
import {hasRecentDigest} from '../peers/peerTable.js';
import {Endpoint} from './endpoint.js';
import {removeEndpoint, updateEndpoint} from './endpointTable.js';

/** Time for entries to come back after the store returned, in ms. */
const returnGracePeriodMs = 1900;
/** Time between two looks at missing endpoints, in ms. */
const missingSweepPeriodMs = 200;

/** Tells whether a peer reached the store while this VM did not. */
function wasStoreReachableByPeer(state: DispatchState, nowMs: number): boolean {
  for (const peer of state.peers.byVm.values()) {
    if (!hasRecentDigest(peer, nowMs)) continue;
    if (peer.storeReachableSinceMs < state.storeLostAtMs) return true;
  }
  return false;
}

/**
 * Tells whether entries may be missing only because the store was away. If only
 * this VM was cut off from it, what is missing has left.
 */
function isExpiryLikely(state: DispatchState, nowMs: number): boolean {
  if (nowMs - state.storeReachedAtMs >= returnGracePeriodMs) return false;
  return !wasStoreReachableByPeer(state, nowMs);
}

/** Logs and counts a change of the endpoints. */
function reportChange(change: string, endpoint: Endpoint): Effect[] {
  const {id, service, version, isDraining} = endpoint;
  return [
    createCount('endpoints_changed', {change}),
    createLog('endpoint_changed', {
      endpoint: id,
      service,
      version,
      change,
      isDraining,
    }),
  ];
}

/** Removes an endpoint, or keeps it for a while when it may have lapsed. */
function removeOrMarkMissing(
  state: DispatchState,
  id: string,
  nowMs: number,
): Effect[] {
  const entry = state.endpoints.byId.get(id);
  if (entry === undefined) return [];
  if (isExpiryLikely(state, nowMs)) {
    if (entry.isMissing) return [];
    entry.isMissing = true;
    state.timers.set('sweepMissing', '', nowMs + missingSweepPeriodMs);
    return reportChange('missing', entry.endpoint);
  }
  removeEndpoint(state.endpoints, id);
  return reportChange('removed', entry.endpoint);
}

/** Brings a whole list of endpoints into the book. */
export function handleEndpointsListed(
  state: DispatchState,
  input: EndpointsListed,
  nowMs: number,
): Effect[] {
  const effects: Effect[] = [];
  const listed = new Set<string>();
  for (const endpoint of input.endpoints) {
    listed.add(endpoint.id);
    effects.push(...applyEndpoint(state, endpoint, nowMs));
  }
  for (const id of [...state.endpoints.byId.keys()]) {
    if (!listed.has(id)) effects.push(...removeOrMarkMissing(state, id, nowMs));
  }
  if (!state.hasListedEndpoints) {
    state.hasListedEndpoints = true;
    effects.push(createLog('endpoints_listed', {count: listed.size}));
    effects.push(...handleEarlyRequests(state, nowMs));
  }
  return effects;
}

/** Brings one endpoint into the book. */
function applyEndpoint(
  state: DispatchState,
  endpoint: Endpoint,
  nowMs: number,
): Effect[] {
  const previous = state.endpoints.byId.get(endpoint.id)?.endpoint;
  updateEndpoint(state.endpoints, endpoint);
  const isUnchanged =
    previous !== undefined &&
    previous.isDraining === endpoint.isDraining &&
    previous.startedAtMs === endpoint.startedAtMs;
  if (isUnchanged) return [];
  const change = previous === undefined ? 'added' : 'changed';
  return [
    ...reportChange(change, endpoint),
    ...admitWaiting(state, endpoint.service, nowMs),
  ];
}

/** Brings a change of one endpoint into the book. */
export function handleEndpointChanged(
  state: DispatchState,
  input: EndpointChanged,
  nowMs: number,
): Effect[] {
  return applyEndpoint(state, input.endpoint, nowMs);
}

/** Takes out an endpoint whose entry was removed. */
export function handleEndpointRemoved(
  state: DispatchState,
  input: EndpointRemoved,
  nowMs: number,
): Effect[] {
  return removeOrMarkMissing(state, input.id, nowMs);
}

/** Notes that the store was lost or came back. */
export function handleStoreReachabilityChanged(
  state: DispatchState,
  input: StoreReachabilityChanged,
  nowMs: number,
): Effect[] {
  if (state.isStoreReachable === input.isReachable) return [];
  state.isStoreReachable = input.isReachable;
  if (input.isReachable) state.storeReachedAtMs = nowMs;
  else state.storeLostAtMs = nowMs;
  const change = input.isReachable ? 'regained' : 'lost';
  const desiredVersion = state.desiredState.current?.version ?? -1;
  return [
    createCount('store_changes', {state: change}),
    createLog(`store_${change}`, {desiredVersion}),
  ];
}

/** Takes out endpoints that did not come back after the store returned. */
export function sweepMissing(
  state: DispatchState,
  _subject: string,
  nowMs: number,
): Effect[] {
  const effects: Effect[] = [];
  let isAnyMissing = false;
  for (const [id, entry] of [...state.endpoints.byId]) {
    if (!entry.isMissing) continue;
    if (isExpiryLikely(state, nowMs)) {
      isAnyMissing = true;
      continue;
    }
    removeEndpoint(state.endpoints, id);
    effects.push(...reportChange('removed', entry.endpoint));
  }
  if (isAnyMissing) {
    state.timers.set('sweepMissing', '', nowMs + missingSweepPeriodMs);
  }
  return effects;
}
