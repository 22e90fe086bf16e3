import {DispatchState} from '../dispatchState.js';
import {Effect} from '../effect.js';

/** Time that the store is given to tell of a version that a peer has, in ms. */
const storeWaitMs = 150;
/** Time after which a peer of another zone is asked, too, in ms. */
const remoteZoneWaitMs = 450;
/** Time after which a fetch without an answer is made again, in ms. */
const fetchRetryMs = 600;
/** The same for a first version, and for reads of the store, in ms. */
const initialFetchRetryMs = 150;

/** A VM that has a desired state in force. */
export interface VersionHolder {
  readonly address: string;
  readonly availabilityZone: string;
  readonly desiredVersion: number;
}

/** Returns how long others are given to tell of a version first, in ms. */
function getFetchDelayMs(state: DispatchState, holder: VersionHolder): number {
  const isInOwnZone =
    holder.availabilityZone === state.options.availabilityZone;
  if (!isInOwnZone) return remoteZoneWaitMs;
  const isStoreUpdateExpected = state.isStoreReachable && state.isWatchingStore;
  return isStoreUpdateExpected ? storeWaitMs : 0;
}

/**
 * Fetches a newer desired state from a peer unless the store is about to tell of
 * it: one fetch at a time, from the own zone first, since a version can be large.
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
  const isInitial = tracker.current === undefined;
  // A version can be too large for a peer to give it to its whole zone.
  const shouldReadStore =
    !state.isWatchingStore && tracker.storeReadVersion < holder.desiredVersion;
  const delayMs =
    isInitial || shouldReadStore ? 0 : getFetchDelayMs(state, holder);
  if (nowMs - tracker.newerSeenAtMs < delayMs) return [];
  const retryMs =
    isInitial || shouldReadStore ? initialFetchRetryMs : fetchRetryMs;
  if (nowMs - tracker.fetchStartedAtMs < retryMs) return [];
  tracker.fetchStartedAtMs = nowMs;
  if (shouldReadStore) {
    tracker.storeReadVersion = holder.desiredVersion;
    return [{kind: 'readDesiredState', version: holder.desiredVersion}];
  }
  return [{kind: 'fetchDesiredState', address: holder.address}];
}
