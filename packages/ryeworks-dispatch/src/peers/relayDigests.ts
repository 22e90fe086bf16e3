import {pickRandom} from '@ryeworks/utils';
import {DispatchState} from '../dispatchState.js';
import {createLog, Effect} from '../effect.js';
import {Digest, PeerMessage} from './peerMessage.js';
import {
  countRelays,
  getBatchPeriodMs,
  listRelays,
  Relay,
} from './listRelays.js';
import {listZonePeers} from './listZonePeers.js';
import {isGone} from './peerTable.js';

/** Number of peers up to which every VM sends its digests directly to all. */
const maxDirectPeers = 20;
/** Digest periods until usage is reported, if a digest may be late or lost. */
const directReportPeriods = 1.5;
/** The same for waits at relays, in batches: two on average waits, one whole. */
const relayedReportBatches = 1.5;
/** Minimum time between two digests, in ms. */
const minPeriodMs = 100;
/**
 * Maximum time between two digests, in ms. With two waits at relays, a digest is
 * replaced before it is stale.
 */
const maxPeriodMs = 500;
/**
 * Number of peers in the local zone up to which digests are sent at the minimum
 * period. Beyond it, the period grows in proportion to the number of peers.
 */
const maxZonePeersAtMinPeriod = 12;

/**
 * Returns whether the fleet is so large that digests are sent through relays. If
 * sent directly to all VMs, the number of messages would grow with the square of
 * the number of VMs.
 */
export function isLargeFleet(state: DispatchState): boolean {
  return state.peers.byVm.size > maxDirectPeers;
}

/**
 * Returns the time between two digests in a large fleet, in ms. It grows with the
 * number of VMs in the zone.
 */
function getLargeFleetPeriodMs(zonePeers: number): number {
  const periodMs = (minPeriodMs * zonePeers) / maxZonePeersAtMinPeriod;
  return Math.min(maxPeriodMs, Math.max(minPeriodMs, periodMs));
}

/** Returns the time between two digests, in ms. */
export function getDigestPeriodMs(state: DispatchState): number {
  if (!isLargeFleet(state)) return minPeriodMs;
  return getLargeFleetPeriodMs(listZonePeers(state).length);
}

/** Returns whether this VM is one of the relays of its zone. */
function isRelay(state: DispatchState, relays: readonly Relay[]): boolean {
  return relays.some(({vm}) => vm === state.options.vm);
}

/**
 * Returns the time until this VM next sends its digest, in ms.
 *
 * @param relays those of the local zone
 */
export function getSendDelayMs(
  state: DispatchState,
  relays: readonly Relay[],
): number {
  const hasBatches = isLargeFleet(state) && isRelay(state, relays);
  return hasBatches
    ? getBatchPeriodMs(relays.length)
    : state.peers.digestPeriodMs;
}

/**
 * Returns the time until most of what a VM reports is known to the others, in ms:
 * it waits for the digest of its VM, and that digest at up to two relays.
 */
export function getReportDelayMs(state: DispatchState): number {
  if (!isLargeFleet(state)) return directReportPeriods * minPeriodMs;
  const zonePeers = listZonePeers(state).length;
  const batchPeriodMs = getBatchPeriodMs(countRelays(zonePeers + 1));
  return (
    getLargeFleetPeriodMs(zonePeers) + relayedReportBatches * batchPeriodMs
  );
}

/** Stores digests until they are relayed in this zone, with the next batch. */
export function addDigestsToRelay(
  state: DispatchState,
  digests: readonly Digest[],
  nowMs: number,
): void {
  const {availabilityZone, vm} = state.options;
  if (state.digestsToRelay.size === 0) {
    const relays = listRelays(state, availabilityZone, nowMs);
    const dueMs = state.lastDigestAtMs + getBatchPeriodMs(relays.length);
    state.timers.set('digest', '', Math.max(nowMs, dueMs));
  }
  for (const digest of digests) {
    const stored = state.digestsToRelay.get(digest.vm);
    const isOlder =
      stored !== undefined &&
      stored.incarnation === digest.incarnation &&
      stored.sequence >= digest.sequence;
    if (digest.vm === vm || isOlder) continue;
    state.digestsToRelay.set(digest.vm, digest);
  }
}

/** Returns the digests to be relayed and removes them. */
function flushDigestsToRelay(state: DispatchState): Digest[] {
  const digests = [...state.digestsToRelay.values()];
  state.digestsToRelay.clear();
  return digests;
}

/**
 * Sends digests to all VMs in the local zone. A VM that may be gone gets only
 * this VM's own one, so that those that were removed cost little.
 */
function sendInZone(
  state: DispatchState,
  own: Digest,
  relayed: readonly Digest[],
  nowMs: number,
): Effect[] {
  const {vm} = state.options;
  const compressed = {kind: 'compressedBatch', vm, own, relayed} as const;
  const plain = {kind: 'digestBatch', vm, own, relayed} as const;
  const single = {kind: 'digestBatch', vm, own, relayed: []} as const;
  const addressesByMessage = new Map<PeerMessage, string[]>([
    [compressed, []],
    [plain, []],
    [single, []],
  ]);
  for (const peer of listZonePeers(state)) {
    const readable = peer.relayCapacity === undefined ? plain : compressed;
    const message = isGone(peer, nowMs) ? single : readable;
    addressesByMessage.get(message)!.push(peer.address);
  }
  // All receivers of a message in a row: it is encoded once.
  const effects: Effect[] = [];
  for (const [message, addresses] of addressesByMessage) {
    for (const address of addresses) {
      effects.push({kind: 'sendPeer', address, message});
    }
  }
  return effects;
}

/** Returns the names of all other zones. */
function listOtherZones(state: DispatchState): Set<string> {
  const zones = new Set<string>();
  for (const {availabilityZone} of state.peers.byVm.values()) {
    zones.add(availabilityZone);
  }
  zones.delete(state.options.availabilityZone);
  return zones;
}

/**
 * Sends the digests of the local zone to one relay in each other zone, another
 * one each time, so that a dead relay loses only a part of them. To a zone
 * without a known relay, each is sent to any VM, which relays it whatever its
 * build.
 */
function sendToOtherZones(
  state: DispatchState,
  own: Digest,
  relayed: readonly Digest[],
  nowMs: number,
): Effect[] {
  const {vm} = state.options;
  const message = {kind: 'compressedBatch', vm, own, relayed} as const;
  const effects: Effect[] = [];
  for (const zone of listOtherZones(state)) {
    const relay = pickRandom(state.random, listRelays(state, zone, nowMs));
    if (relay !== undefined) {
      effects.push({kind: 'sendPeer', address: relay.address, message});
      continue;
    }
    const peers = listZonePeers(state, zone);
    for (const digest of [own, ...relayed]) {
      const {address} = pickRandom(state.random, peers)!;
      effects.push({kind: 'sendPeer', address, message: digest});
    }
  }
  return effects;
}

/** Updates whether this VM takes itself for a relay; logs a change. */
function updateRelayRole(
  state: DispatchState,
  relays: readonly Relay[],
): Effect[] {
  const wasRelay = state.isRelay;
  state.isRelay = isRelay(state, relays);
  if (state.isRelay === wasRelay) return [];
  const names = relays.map(({vm}) => vm).join();
  return [
    createLog('relay_role_changed', {isRelay: state.isRelay, relays: names}),
  ];
}

/**
 * Sends this VM's digest to one relay of its zone, in turn. A relay sends it to
 * all VMs of its zone and to one relay in each other zone, with all digests that
 * it has received since the last time. So does a VM that is sent digests without
 * being a relay by its own view.
 *
 * @param relays those of the local zone
 */
export function sendThroughRelays(
  state: DispatchState,
  own: Digest,
  relays: readonly Relay[],
  nowMs: number,
): Effect[] {
  const {availabilityZone} = state.options;
  const roleEffects = updateRelayRole(state, relays);
  if (!state.isRelay && state.digestsToRelay.size === 0) {
    const {address} = relays[own.sequence % relays.length];
    const {vm} = state.options;
    const message = {kind: 'digestToRelay', vm, digest: own} as const;
    return [...roleEffects, {kind: 'sendPeer', address, message}];
  }
  const relayed = flushDigestsToRelay(state);
  const local = relayed.filter(
    digest => digest.availabilityZone === availabilityZone,
  );
  return [
    ...roleEffects,
    ...sendInZone(state, own, relayed, nowMs),
    ...sendToOtherZones(state, own, local, nowMs),
  ];
}
