import {DispatchState} from '../dispatchState.js';
import {Effect} from '../effect.js';
import {DesiredStateFetchEnded} from '../input.js';
import {fetchSource} from './desiredStateTracker.js';

/** Time to wait for the store to deliver a version that a peer has, in ms. */
const storeWaitMs = 150;
/**
 * Time after which a version is also fetched from peers of other zones, in ms.
 */
const remoteZoneWaitMs = 450;
/** Time from the end of a fetch until the next one may start, in ms. */
const fetchPauseMs = 100;

/** A VM and the version of the desired state that it has applied. */
export interface VersionHolder {
  readonly address: string;
  readonly availabilityZone: string;
  readonly desiredVersion: number;
}

/**
 * Returns how long to wait for a version from the store or the local zone
 * before it is fetched from a holder, in ms.
 */
function getFetchDelayMs(state: DispatchState, holder: VersionHolder): number {
  const isInLocalZone =
    holder.availabilityZone === state.options.availabilityZone;
  if (!isInLocalZone) return remoteZoneWaitMs;
  const isStoreUpdateExpected = state.isStoreReachable && state.isWatchingStore;
  return isStoreUpdateExpected ? storeWaitMs : 0;
}

/**
 * Fetches a newer desired state from a peer unless the store is about to
 * deliver it. Since a version can be large, only one fetch runs at a time and
 * peers in the local zone are preferred.
 */
export function fetchNewerVersion(
  state: DispatchState,
  holder: VersionHolder,
  nowMs: number,
): Effect[] {
  const tracker = state.desiredState;
  const ownVersion = tracker.current?.version ?? -1;
  if (holder.desiredVersion <= ownVersion) return [];
  if (tracker.newerSeenAtMs === undefined) tracker.newerSeenAtMs = nowMs;
  if (tracker.fetchSource !== undefined) return [];
  const isInitial = tracker.current === undefined;
  // A version can be too large for a peer to send it to its whole zone, so a VM
  // that does not watch the store reads the store first.
  const shouldReadStore =
    !state.isWatchingStore && tracker.storeReadVersion < holder.desiredVersion;
  const delayMs =
    isInitial || shouldReadStore ? 0 : getFetchDelayMs(state, holder);
  if (nowMs - tracker.newerSeenAtMs < delayMs) return [];
  if (nowMs - tracker.fetchEndedAtMs < fetchPauseMs) return [];
  if (shouldReadStore) {
    tracker.fetchSource = fetchSource.store;
    tracker.storeReadVersion = holder.desiredVersion;
    return [{kind: 'readDesiredState', version: holder.desiredVersion}];
  }
  tracker.fetchSource = fetchSource.peer;
  return [{kind: 'fetchDesiredState', address: holder.address}];
}

/**
 * Records that a fetch of the desired state has ended, so that another can
 * start. A fetch from a peer that brought no newer version is followed by a read
 * of the store, and the reverse, so that neither source alone is relied on.
 */
export function handleDesiredStateFetchEnded(
  state: DispatchState,
  _input: DesiredStateFetchEnded,
  nowMs: number,
): Effect[] {
  const tracker = state.desiredState;
  if (tracker.fetchSource === fetchSource.peer) tracker.storeReadVersion = -1;
  tracker.fetchSource = undefined;
  tracker.fetchEndedAtMs = nowMs;
  return [];
}
