import {DispatchState} from '../dispatchState.js';
import {hasRecentDigest, PeerState} from './peerTable.js';
import {Digest} from './peerMessage.js';

/** Number of peers up to which every VM sends its digests directly to all. */
const maxDirectPeers = 20;
/** Minimum time between two digests, in ms. */
const minPeriodMs = 100;
/**
 * Number of peers in the local zone up to which digests are sent at the minimum
 * period. Beyond it, the period grows in proportion to the number of peers.
 */
const maxZonePeersAtMinPeriod = 6;

/**
 * Returns whether digests are sent to other zones through one relay VM in each
 * zone. If sent directly to all VMs, the traffic between zones would grow with
 * the square of the number of VMs.
 */
export function isLargeFleet(state: DispatchState): boolean {
  return state.peers.byVm.size > maxDirectPeers;
}

/** Returns the peers in this VM's availability zone. */
export function listZonePeers(state: DispatchState): PeerState[] {
  const peers: PeerState[] = [];
  for (const peer of state.peers.byVm.values()) {
    if (peer.availabilityZone === state.options.availabilityZone) {
      peers.push(peer);
    }
  }
  return peers;
}

/**
 * Returns the time between two digests, in ms. In a large fleet it grows with the
 * number of VMs in the zone.
 */
export function getDigestPeriodMs(state: DispatchState): number {
  if (!isLargeFleet(state)) return minPeriodMs;
  const zonePeers = listZonePeers(state).length;
  return minPeriodMs * Math.max(1, zonePeers / maxZonePeersAtMinPeriod);
}

/** Returns the peers in other availability zones, grouped by zone. */
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
 * Picks one VM in each other zone to relay a digest there. The VM is picked anew
 * at random for each digest, so that a dead relay costs a single round.
 */
export function pickRelays(state: DispatchState, nowMs: number): PeerState[] {
  const relays: PeerState[] = [];
  for (const group of listRemotePeersByZone(state).values()) {
    const recent = group.filter(peer => hasRecentDigest(peer, nowMs));
    const candidates = recent.length > 0 ? recent : group;
    relays.push(
      candidates[Math.floor(state.random.next() * candidates.length)],
    );
  }
  return relays;
}

/** Stores a digest from another zone until it is relayed in this zone. */
export function addDigestToRelay(state: DispatchState, digest: Digest): void {
  if (!isLargeFleet(state)) return;
  if (digest.availabilityZone === state.options.availabilityZone) return;
  state.digestsToRelay.set(digest.vm, digest);
}

/** Returns the digests to be relayed in this zone and removes them. */
export function flushDigestsToRelay(state: DispatchState): Digest[] {
  const digests = [...state.digestsToRelay.values()];
  state.digestsToRelay.clear();
  return digests;
}
