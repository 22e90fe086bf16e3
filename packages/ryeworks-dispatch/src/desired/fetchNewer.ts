import {DispatchState} from '../dispatchState.js';
import {Effect} from '../effect.js';

/** Time that the store is given to tell of a version that a peer has, in ms. */
const storeLeadMs = 150;
/** Time after which a peer of another zone is asked, too, in ms. */
const zoneLeadMs = 450;
/** Time after which a fetch without an answer is made again, in ms. */
const refetchMs = 600;
/** The same for a first version, and for reads of the store, in ms. */
const firstRefetchMs = 150;

/** A VM that has a desired state in force. */
export interface VersionHolder {
  readonly address: string;
  readonly availabilityZone: string;
  readonly desiredVersion: number;
}

/** Returns how long others are given to tell of a version first, in ms. */
function getLeadMs(state: DispatchState, holder: VersionHolder): number {
  const isHome = holder.availabilityZone === state.options.availabilityZone;
  if (!isHome) return zoneLeadMs;
  const isToldSoon = state.isStoreReached && state.isOnStoreDuty;
  return isToldSoon ? storeLeadMs : 0;
}

/**
 * Fetches a newer desired state from a peer unless the store is about to tell of
 * it: one fetch at a time, from the own zone first, since a version can be large.
 */
export function fetchNewer(
  state: DispatchState,
  holder: VersionHolder,
  nowMs: number,
): Effect[] {
  const book = state.desired;
  const ownVersion = book.desired?.version ?? -1;
  if (holder.desiredVersion <= ownVersion) return [];
  if (book.newerHeardAtMs === undefined) book.newerHeardAtMs = nowMs;
  const isFirst = book.desired === undefined;
  // A version can be too large for a peer to give it to its whole zone.
  const isReadFirst =
    !state.isOnStoreDuty && book.readVersion < holder.desiredVersion;
  const leadMs = isFirst || isReadFirst ? 0 : getLeadMs(state, holder);
  if (nowMs - book.newerHeardAtMs < leadMs) return [];
  const pauseMs = isFirst || isReadFirst ? firstRefetchMs : refetchMs;
  if (nowMs - book.fetchedAtMs < pauseMs) return [];
  book.fetchedAtMs = nowMs;
  if (isReadFirst) {
    book.readVersion = holder.desiredVersion;
    return [{kind: 'readDesiredState', version: holder.desiredVersion}];
  }
  return [{kind: 'fetchDesiredState', address: holder.address}];
}
