import {DispatchState} from '../dispatchState.js';
import {PeerState} from './peerTable.js';

/** Returns the peers in an availability zone, by default in that of this VM. */
export function listZonePeers(
  state: DispatchState,
  zone = state.options.availabilityZone,
): PeerState[] {
  const peers: PeerState[] = [];
  for (const peer of state.peers.byVm.values()) {
    if (peer.availabilityZone === zone) peers.push(peer);
  }
  return peers;
}
