import {DispatchState} from '../dispatchState.js';
import {hasRecentDigest, PeerState} from './peerTable.js';
import {Digest} from './peerMessage.js';

/** Peers up to which every VM tells all others itself. */
const maxDirectPeers = 20;
/** Least time between two digests, in ms. */
const minPeriodMs = 100;
/** Peers in the own zone for each of which the period grows. */
const maxZonePeersAtMinPeriod = 6;

/**
 * Tells whether digests go to other zones through one VM there. Directly, the
 * bytes between zones would grow with the square of the number of VMs.
 */
export function isRelaying(state: DispatchState): boolean {
  return state.peers.byVm.size > maxDirectPeers;
}

/** Lists the peers in this VM's own availability zone. */
export function listZonePeers(state: DispatchState): PeerState[] {
  const peers: PeerState[] = [];
  for (const peer of state.peers.byVm.values()) {
    if (peer.availabilityZone === state.options.availabilityZone) {
      peers.push(peer);
    }
  }
  return peers;
}

/** Returns the time between two digests: it grows with the number of VMs. */
export function getDigestPeriodMs(state: DispatchState): number {
  if (!isRelaying(state)) return minPeriodMs;
  const zonePeers = listZonePeers(state).length;
  return minPeriodMs * Math.max(1, zonePeers / maxZonePeersAtMinPeriod);
}

/** Groups the peers of other availability zones by zone. */
function listRemotePeersByZone(state: DispatchState): Map<string, PeerState[]> {
  const groups = new Map<string, PeerState[]>();
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
export function pickRelays(state: DispatchState, nowMs: number): PeerState[] {
  const relays: PeerState[] = [];
  for (const group of listRemotePeersByZone(state).values()) {
    const fresh = group.filter(peer => hasRecentDigest(peer, nowMs));
    const choice = fresh.length > 0 ? fresh : group;
    relays.push(choice[Math.floor(state.random.next() * choice.length)]);
  }
  return relays;
}

/** Keeps a digest of another zone until it is passed on in this one. */
export function addRelayedDigest(state: DispatchState, digest: Digest): void {
  if (!isRelaying(state)) return;
  if (digest.availabilityZone === state.options.availabilityZone) return;
  state.relayedDigests.set(digest.vm, digest);
}

/** Takes the digests that are to be passed on in this zone. */
export function flushRelayedDigests(state: DispatchState): Digest[] {
  const digests = [...state.relayedDigests.values()];
  state.relayedDigests.clear();
  return digests;
}
