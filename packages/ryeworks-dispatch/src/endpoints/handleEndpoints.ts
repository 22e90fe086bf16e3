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
import {resumeLimit} from '../rateLimits/applyLimit.js';
import {recordColdTime, updateWarmUp} from '../rateLimits/warmUp.js';
import {
  isLossLikely,
  isOutdatedEra,
  recordListing,
  returnGracePeriodMs,
} from '../store/storeEra.js';
import {
  applyProcessEnd,
  isReplaced,
  processEnd,
} from '../crashes/processEnds.js';
import {
  applyEarlierRemoval,
  getListedEra,
  recordDraining,
  resumeDraining,
} from './earlierEras.js';
import {Endpoint} from './endpoint.js';
import {
  EndpointEntry,
  removeEndpoint,
  updateEndpoint,
} from './endpointTable.js';

/** Time between two checks of the missing endpoints, in ms. */
const missingSweepPeriodMs = 200;

/** Returns whether a peer could reach the store while this VM could not. */
function wasStoreReachableByPeer(state: DispatchState, nowMs: number): boolean {
  for (const peer of state.peers.byVm.values()) {
    if (!hasRecentDigest(peer, nowMs)) continue;
    if (peer.storeReachableSinceMs < state.storeLostAtMs) return true;
  }
  return false;
}

/**
 * Returns whether missing entries may only have expired while the store was
 * unavailable, or be lost with the copy that it came back from. If only this VM
 * was cut off from the store, endpoints whose entries are missing are gone.
 */
function isExpiryLikely(state: DispatchState, nowMs: number): boolean {
  if (isLossLikely(state.storeEra, nowMs)) return true;
  if (nowMs - state.storeReachedAtMs >= returnGracePeriodMs) return false;
  return !wasStoreReachableByPeer(state, nowMs);
}

/** Reports a change of an endpoint in the log and in a counter. */
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

/**
 * Removes an endpoint, or marks it as missing if its entry may only have
 * expired.
 */
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
  return applyRemoval(state, entry, nowMs);
}

/** Removes the endpoint of an entry. */
function applyRemoval(
  state: DispatchState,
  {endpoint, notices}: EndpointEntry,
  nowMs: number,
): Effect[] {
  notices.removedEra = getListedEra(state);
  removeEndpoint(state.endpoints, endpoint.id, nowMs);
  return [
    ...reportChange('removed', endpoint),
    ...applyProcessEnd(state, endpoint, processEnd.removed, nowMs),
  ];
}

/**
 * Updates the table from a complete list of endpoints. Ignores a list of an
 * earlier era than the current one.
 */
export function handleEndpointsListed(
  state: DispatchState,
  input: EndpointsListed,
  nowMs: number,
): Effect[] {
  if (isOutdatedEra(state.storeEra, input.era)) return [];
  recordListing(state.storeEra, nowMs);
  const effects: Effect[] = [];
  const listed = new Set<string>();
  for (const endpoint of input.endpoints) {
    listed.add(endpoint.id);
    effects.push(...applyEndpoint(state, endpoint, false, nowMs));
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

/** Applies what is known of a process that is listed again. */
function handleReturn(
  state: DispatchState,
  resumed: EndpointEntry,
  nowMs: number,
): Effect[] {
  resumeLimit(state, resumed, nowMs);
  return applyEarlierRemoval(state, resumed, nowMs);
}

/** Returns the name of an endpoint's change for reports. */
function findChange(
  previous: Endpoint | undefined,
  resumed: EndpointEntry | undefined,
): string {
  if (previous !== undefined) return 'changed';
  return resumed === undefined ? 'added' : 'returned';
}

/**
 * Adds or updates one endpoint and dispatches requests that can now run there.
 *
 * @param isChange whether its entry was written, not only listed
 */
function applyEndpoint(
  state: DispatchState,
  listed: Endpoint,
  isChange: boolean,
  nowMs: number,
): Effect[] {
  const {byId} = state.endpoints;
  const previous = byId.get(listed.id)?.endpoint;
  const endpoint = resumeDraining(state, listed);
  const resumed = updateEndpoint(state.endpoints, endpoint, nowMs);
  const entry = byId.get(endpoint.id)!;
  recordDraining(state, entry);
  const effects =
    resumed === undefined ? [] : handleReturn(state, resumed, nowMs);
  recordColdTime(entry, isChange, nowMs);
  effects.push(...updateWarmUp(state, entry, nowMs));
  const isUnchanged =
    previous !== undefined &&
    previous.isDraining === endpoint.isDraining &&
    previous.startedAtMs === endpoint.startedAtMs;
  if (isUnchanged) return effects;
  if (previous !== undefined && isReplaced(state, previous)) {
    effects.push(
      ...applyProcessEnd(state, previous, processEnd.replaced, nowMs),
    );
  }
  return [
    ...effects,
    ...reportChange(findChange(previous, resumed), endpoint),
    ...admitWaiting(state, endpoint.service, nowMs),
  ];
}

/** Applies a change of one endpoint. */
export function handleEndpointChanged(
  state: DispatchState,
  input: EndpointChanged,
  nowMs: number,
): Effect[] {
  return applyEndpoint(state, input.endpoint, true, nowMs);
}

/** Handles the removal of an endpoint's entry from the store. */
export function handleEndpointRemoved(
  state: DispatchState,
  input: EndpointRemoved,
  nowMs: number,
): Effect[] {
  return removeOrMarkMissing(state, input.id, nowMs);
}

/** Records that the store became reachable or unreachable. */
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

/** Removes endpoints whose entries did not reappear within the grace period. */
export function sweepMissing(
  state: DispatchState,
  _subject: string,
  nowMs: number,
): Effect[] {
  const effects: Effect[] = [];
  let isAnyMissing = false;
  for (const entry of [...state.endpoints.byId.values()]) {
    if (!entry.isMissing) continue;
    if (isExpiryLikely(state, nowMs)) {
      isAnyMissing = true;
      continue;
    }
    effects.push(...applyRemoval(state, entry, nowMs));
  }
  if (isAnyMissing) {
    state.timers.set('sweepMissing', '', nowMs + missingSweepPeriodMs);
  }
  return effects;
}
