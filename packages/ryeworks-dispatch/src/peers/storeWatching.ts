import {DispatchState} from '../dispatchState.js';
import {createLog, Effect} from '../effect.js';
import {handleEndpointsListed} from '../endpoints/handleEndpoints.js';
import {StoreRevisionRead, StoreViewRead} from '../input.js';
import {handleMovesRead} from '../moves/handleMoves.js';
import {hasRecentDigest} from './peerTable.js';
import {Digest} from './peerMessage.js';
import {isLargeFleet, listZonePeers} from './relayDigests.js';

/** Number of VMs in each zone of a large fleet that watch the store. */
const watchersPerZone = 2;
/** Delay before a store view is fetched from a peer in another zone, in ms. */
const remoteFetchDelayMs = 300;
/** Minimum time between two fetches of a store view, in ms. */
const minFetchIntervalMs = 250;

/**
 * Returns whether this VM should watch the store. In a small fleet every VM
 * does. In a large one the first VMs of each zone by name do, not counting
 * peers without a recent digest.
 */
function isStoreWatcher(state: DispatchState, nowMs: number): boolean {
  if (!isLargeFleet(state)) return true;
  let preceding = 0;
  for (const peer of listZonePeers(state)) {
    if (peer.vm < state.options.vm && hasRecentDigest(peer, nowMs))
      preceding += 1;
  }
  return preceding < watchersPerZone;
}

/**
 * Starts or stops this VM's watches of the store. In a large fleet only a few
 * VMs in each zone watch the store and the others get changes from them;
 * otherwise each change would cost one store call per VM. A VM that has no
 * recent digest from any peer in its zone watches the store itself.
 */
export function updateStoreWatching(
  state: DispatchState,
  nowMs: number,
): Effect[] {
  const isWatching = isStoreWatcher(state, nowMs);
  if (isWatching === state.isWatchingStore) return [];
  state.isWatchingStore = isWatching;
  const {storeRevision} = state;
  return [
    {kind: 'setStoreWatch', isWatching},
    createLog('store_watching_changed', {isWatching, storeRevision}),
  ];
}

/**
 * Returns the store revision that this VM reports to its peers; 0 while
 * endpoints are missing from the store.
 */
export function getReportedRevision(state: DispatchState): number {
  // Missing endpoints may come back, so they must not be reported as removed.
  for (const entry of state.endpoints.byId.values()) {
    if (entry.isMissing) return 0;
  }
  return state.storeRevision;
}

/** Records that all changes of the store up to a revision are known. */
export function handleStoreRevisionRead(
  state: DispatchState,
  {revision}: StoreRevisionRead,
  nowMs: number,
): Effect[] {
  if (revision <= state.storeRevision) return [];
  state.storeRevision = revision;
  state.newerRevisionSeenAtMs = undefined;
  // VMs that do not watch the store wait for this revision.
  if (isLargeFleet(state)) state.timers.set('digest', '', nowMs);
  return [];
}

/**
 * Fetches the store view of a digest's sender if it is newer, from peers in the
 * local zone first and only one at a time. VMs that watch the store never fetch.
 */
export function fetchStoreView(
  state: DispatchState,
  digest: Digest,
  nowMs: number,
): Effect[] {
  if (state.isWatchingStore || digest.storeRevision <= state.storeRevision) {
    return [];
  }
  state.newerRevisionSeenAtMs ??= nowMs;
  const isInLocalZone =
    digest.availabilityZone === state.options.availabilityZone;
  const delayMs = isInLocalZone ? 0 : remoteFetchDelayMs;
  if (nowMs - state.newerRevisionSeenAtMs < delayMs) return [];
  if (state.isFetchingStoreView) return [];
  if (nowMs - state.storeViewRequestedAtMs < minFetchIntervalMs) return [];
  state.isFetchingStoreView = true;
  state.storeViewRequestedAtMs = nowMs;
  return [{kind: 'fetchStoreView', address: digest.address}];
}

/** Records that the fetch of a store view has ended, so that another can start. */
export function handleStoreViewFetchEnded(state: DispatchState): Effect[] {
  state.isFetchingStoreView = false;
  return [];
}

/**
 * Applies a peer's store view unless it is outdated or this VM watches the
 * store.
 */
export function handleStoreViewRead(
  state: DispatchState,
  {endpoints, orders, revision}: StoreViewRead,
  nowMs: number,
): Effect[] {
  if (state.isWatchingStore || revision <= state.storeRevision) return [];
  state.storeRevision = revision;
  state.newerRevisionSeenAtMs = undefined;
  return [
    createLog('store_view_applied', {revision, endpoints: endpoints.length}),
    ...handleEndpointsListed(
      state,
      {kind: 'endpointsListed', endpoints},
      nowMs,
    ),
    ...handleMovesRead(state, {kind: 'movesRead', orders}, nowMs),
  ];
}

/** Creates the store view that peers may fetch from this VM. */
export function createStoreView(state: DispatchState): StoreViewRead {
  return {
    kind: 'storeViewRead',
    revision: getReportedRevision(state),
    endpoints: [...state.endpoints.byId.values()].map(entry => entry.endpoint),
    orders: [...state.moves.values()].map(move => move.order),
  };
}
