import {DispatchState} from '../dispatchState.js';
import {createLog, Effect} from '../effect.js';
import {handleEndpointsListed} from '../endpoints/handleEndpoints.js';
import {StoreRevisionRead, StoreViewRead} from '../input.js';
import {handleMovesRead} from '../moves/handleMoves.js';
import {hasRecentDigest} from './peerTable.js';
import {Digest} from './peerMessage.js';
import {isRelaying, listZonePeers} from './relayDigests.js';

/** VMs of each zone that watch the store for all of the zone. */
const watchersPerZone = 2;
/** Time that peers of the own zone are asked before others, in ms. */
const remoteFetchDelayMs = 300;
/** Least time between two fetches of a peer's view, in ms. */
const minFetchIntervalMs = 250;

/** Tells whether this VM is one of those that watch the store for its zone. */
function isStoreWatcher(state: DispatchState, nowMs: number): boolean {
  if (!isRelaying(state)) return true;
  let before = 0;
  for (const peer of listZonePeers(state)) {
    if (peer.vm < state.options.vm && hasRecentDigest(peer, nowMs)) before += 1;
  }
  return before < watchersPerZone;
}

/**
 * Begins or ends this VM's watches of the store. In a large fleet a few VMs of
 * each zone watch, the others take the news from them: each change would else
 * cost a call for every VM. A VM that hears nobody watches itself.
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
    createLog('store_duty_changed', {isOnDuty: isWatching, storeRevision}),
  ];
}

/** Returns the revision of the store that this VM's knowledge is of. */
export function getReportedRevision(state: DispatchState): number {
  // Entries that may come back are not told of as gone.
  for (const entry of state.endpoints.byId.values()) {
    if (entry.isMissing) return 0;
  }
  return state.storeRevision;
}

/** Notes that what the store tells is known up to a revision. */
export function handleStoreRevisionRead(
  state: DispatchState,
  {revision}: StoreRevisionRead,
  nowMs: number,
): Effect[] {
  if (revision <= state.storeRevision) return [];
  state.storeRevision = revision;
  state.newerRevisionSeenAtMs = undefined;
  // The others wait for it.
  if (isRelaying(state)) state.timers.set('digest', '', nowMs);
  return [];
}

/** Asks a peer for what it knows of the store, if that is newer. */
export function fetchStoreView(
  state: DispatchState,
  digest: Digest,
  nowMs: number,
): Effect[] {
  if (state.isWatchingStore || digest.storeRevision <= state.storeRevision) {
    return [];
  }
  state.newerRevisionSeenAtMs ??= nowMs;
  const isHome = digest.availabilityZone === state.options.availabilityZone;
  const leadMs = isHome ? 0 : remoteFetchDelayMs;
  if (nowMs - state.newerRevisionSeenAtMs < leadMs) return [];
  if (nowMs - state.storeViewRequestedAtMs < minFetchIntervalMs) return [];
  state.storeViewRequestedAtMs = nowMs;
  return [{kind: 'fetchStoreView', address: digest.address}];
}

/** Brings a peer's view of the store into the books. */
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

/** Creates what a peer may take over of this VM's knowledge of the store. */
export function createStoreView(state: DispatchState): StoreViewRead {
  return {
    kind: 'storeViewRead',
    revision: getReportedRevision(state),
    endpoints: [...state.endpoints.byId.values()].map(one => one.endpoint),
    orders: [...state.moves.values()].map(one => one.order),
  };
}
