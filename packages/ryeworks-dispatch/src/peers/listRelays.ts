import {DispatchState} from '../dispatchState.js';
import {listZonePeers} from './listZonePeers.js';
import {hasRecentDigest} from './peerTable.js';

/** Minimum number of relays in a zone: the loss of one must not stop digests. */
const minRelays = 2;
/**
 * Number of VMs in a zone for each of its relays. What a relay sends in a second
 * then depends little on the size of the zone.
 */
const vmsPerRelay = 16;
/**
 * Time between two batches of digests that a VM gets from the relays of its zone
 * together, in ms.
 */
const batchIntervalMs = 100;
/**
 * Number of batches after which a relay without a new digest is taken for dead.
 * Its digests may wait for a relay of another zone, and one may be lost.
 */
const maxMissingBatches = 4;

/** A VM that relays the digests of its zone. */
export interface Relay {
  readonly vm: string;
  /** `host:port` at which it receives peer messages. */
  readonly address: string;
  /** What it can carry for others; see `DispatchOptions`. */
  readonly capacity: number;
}

/** Returns the number of relays in a zone with a number of VMs. */
export function countRelays(vmCount: number): number {
  return Math.max(minRelays, Math.floor(vmCount / vmsPerRelay));
}

/** Returns the time between two batches of one of some relays, in ms. */
export function getBatchPeriodMs(relayCount: number): number {
  return relayCount * batchIntervalMs;
}

/** Orders VMs by capacity, then by name, so that all VMs find the same order. */
function compareRelays(a: Relay, b: Relay): number {
  if (a.capacity !== b.capacity) return b.capacity - a.capacity;
  return a.vm < b.vm ? -1 : 1;
}

/**
 * Returns the relays of a zone as this VM knows them, this VM possibly among
 * them: those with the most capacity of the VMs that are surely running.
 */
export function listRelays(
  state: DispatchState,
  zone: string,
  nowMs: number,
): Relay[] {
  const {availabilityZone, peerAddress, relayCapacity, vm} = state.options;
  const peers = listZonePeers(state, zone);
  const isLocal = zone === availabilityZone;
  const vmCount = peers.length + (isLocal ? 1 : 0);
  const count = countRelays(vmCount);
  const maxAgeMs = maxMissingBatches * getBatchPeriodMs(count);
  const candidates: Relay[] = isLocal
    ? [{vm, address: peerAddress, capacity: relayCapacity}]
    : [];
  for (const peer of peers) {
    const {address, relayCapacity: capacity} = peer;
    const ageMs = nowMs - peer.digestReceivedAtMs;
    if (ageMs > maxAgeMs || !hasRecentDigest(peer, nowMs)) continue;
    if (capacity === undefined) continue;
    candidates.push({vm: peer.vm, address, capacity});
  }
  return candidates.sort(compareRelays).slice(0, count);
}
