import {DispatchState} from '../dispatchState.js';
import {isProbablyAlive} from './peerTable.js';

/**
 * Returns whether this VM writes to the store for all VMs: it is the first by name
 * of those that reach the store, or of all if none does, not counting peers that
 * are probably dead.
 */
export function isStoreWriter(state: DispatchState, nowMs: number): boolean {
  const isReaching = state.isStoreReachable && state.isWatchingStore;
  for (const peer of state.peers.byVm.values()) {
    if (!isProbablyAlive(state.peers, peer, nowMs)) continue;
    const isPeerReaching = Number.isFinite(peer.storeReachableSinceMs);
    const isPeerFirst =
      isPeerReaching === isReaching
        ? peer.vm < state.options.vm
        : isPeerReaching;
    if (isPeerFirst) return false;
  }
  return true;
}
