import {DispatchState} from '../dispatchState.js';
import {isFresh, PeerView} from './peerBook.js';
import {Digest} from './peerMessage.js';

/** Peers up to which every VM tells all others itself. */
const mostDirectPeers = 20;
/** Least time between two digests, in ms. */
const leastPeriodMs = 100;
/** Peers in the own zone for each of which the period grows. */
const zonePeersAtLeastPeriod = 6;

/**
 * Tells whether digests go to other zones through one VM there. Directly, the
 * bytes between zones would grow with the square of the number of VMs.
 */
export function isRelaying(state: DispatchState): boolean {
  return state.peers.byVm.size > mostDirectPeers;
}

/** Lists the peers in this VM's own availability zone. */
export function listZonePeers(state: DispatchState): PeerView[] {
  const peers: PeerView[] = [];
  for (const peer of state.peers.byVm.values()) {
    if (peer.availabilityZone === state.options.availabilityZone) {
      peers.push(peer);
    }
  }
  return peers;
}

/** Returns the time between two digests: it grows with the number of VMs. */
export function getPeriodMs(state: DispatchState): number {
  if (!isRelaying(state)) return leastPeriodMs;
  const zonePeers = listZonePeers(state).length;
  return leastPeriodMs * Math.max(1, zonePeers / zonePeersAtLeastPeriod);
}

/** Groups the peers of other availability zones by zone. */
function listRemotePeers(state: DispatchState): Map<string, PeerView[]> {
  const groups = new Map<string, PeerView[]>();
  for (const peer of state.peers.byVm.values()) {
    const {availabilityZone: zone} = peer;
    if (zone === state.options.availabilityZone) continue;
    const group = groups.get(zone) ?? [];
    group.push(peer);
    groups.set(zone, group);
  }
  return groups;
}

/**
 * Picks a VM of each other zone that passes a digest on there; another one each
 * time, so that a dead one costs a single round.
 */
export function pickRelays(state: DispatchState, nowMs: number): PeerView[] {
  const relays: PeerView[] = [];
  for (const group of listRemotePeers(state).values()) {
    const fresh = group.filter(peer => isFresh(peer, nowMs));
    const choice = fresh.length > 0 ? fresh : group;
    relays.push(choice[Math.floor(state.random.next() * choice.length)]);
  }
  return relays;
}

/** Keeps a digest of another zone until it is passed on in this one. */
export function addForRelay(state: DispatchState, digest: Digest): void {
  if (!isRelaying(state)) return;
  if (digest.availabilityZone === state.options.availabilityZone) return;
  state.relayedDigests.set(digest.vm, digest);
}

/** Takes the digests that are to be passed on in this zone. */
export function takeRelayed(state: DispatchState): Digest[] {
  const digests = [...state.relayedDigests.values()];
  state.relayedDigests.clear();
  return digests;
}
