import {Digest, MoveReport, QueueHead, VersionCounts} from './peerMessage.js';

/** Age above which a digest received directly from its VM is stale, in ms. */
const directDigestMaxAgeMs = 600;
/** Age above which a digest relayed by another VM is stale, in ms. */
const relayedDigestMaxAgeMs = 1200;
/**
 * Number of digest periods after which a VM without a new digest is taken for
 * dead, unless its last one is not stale. A relayed digest may wait one period
 * at its relay.
 */
const maxMissingPeriods = 4;
/**
 * Age of a peer's last digest above which its calls are assumed to have ended,
 * in ms.
 */
const callsMaxAgeMs = 2000;

/**
 * Time without a digest after which a VM counts as gone, in ms. It may have been
 * removed for good.
 */
const maxSilenceMs = 10_000;

/** State of another VM, as this VM knows it from digests and the store. */
export interface PeerState {
  readonly vm: string;
  address: string;
  availabilityZone: string;
  incarnation: number;
  sequence: number;
  /** When the last digest was received, in ms; -Infinity before the first. */
  digestReceivedAtMs: number;
  /** Age above which the last digest is stale, in ms. */
  digestMaxAgeMs: number;
  desiredVersion: number;
  /**
   * Since when the VM has been able to reach the store, in ms; Infinity if it
   * cannot or does not watch the store.
   */
  storeReachableSinceMs: number;
  /** In-flight calls by endpoint id; changed only by `setPeerCalls`. */
  readonly inFlight: Map<string, number>;
  heads: Map<string, QueueHead>;
  /** Units used since the VM started, by customer, as far as reported. */
  unitsTaken: Readonly<Record<string, number>>;
  /**
   * Whether `unitsTaken` holds all customers; otherwise the units of a missing
   * one are unknown.
   */
  hasAllUnits: boolean;
  /** What the VM can carry for others; undefined if it relays no digests. */
  relayCapacity: number | undefined;
  evidence: Readonly<Record<string, VersionCounts>>;
  /** Moves under way; undefined from a build that does not report them. */
  moves: Readonly<Record<string, MoveReport>> | undefined;
  /** Whether the VM runs a build that keeps to the rate limits of endpoints. */
  knowsLimits: boolean;
}

/** All other VMs known to this VM. */
export interface PeerTable {
  /** Peers by VM name. */
  readonly byVm: Map<string, PeerState>;
  /** In-flight calls of all peers, without expired ones, by endpoint id. */
  readonly callsByEndpoint: Map<string, number>;
  /** Earliest time at which the calls of a peer may expire, in ms. */
  nextCallExpiryAtMs: number;
  /** Time between two digests of a VM, in ms; 0 before the first was sent. */
  digestPeriodMs: number;
}

/** Creates an empty peer table. */
export function createPeerTable(): PeerTable {
  return {
    byVm: new Map(),
    callsByEndpoint: new Map(),
    nextCallExpiryAtMs: Number.POSITIVE_INFINITY,
    digestPeriodMs: 0,
  };
}

/** Units of a customer's limit that a peer used between two digests. */
export interface PeerUsage {
  readonly customer: string;
  readonly units: number;
}

/** Returns the state of a VM, adding the VM if it is not in the table yet. */
export function addPeer(
  table: PeerTable,
  vm: string,
  address: string,
  availabilityZone: string,
): PeerState {
  const existing = table.byVm.get(vm);
  if (existing !== undefined) return existing;
  const peer: PeerState = {
    vm,
    address,
    availabilityZone,
    incarnation: 0,
    sequence: -1,
    digestReceivedAtMs: Number.NEGATIVE_INFINITY,
    digestMaxAgeMs: directDigestMaxAgeMs,
    desiredVersion: -1,
    storeReachableSinceMs: Number.POSITIVE_INFINITY,
    inFlight: new Map(),
    heads: new Map(),
    unitsTaken: {},
    hasAllUnits: false,
    relayCapacity: undefined,
    evidence: {},
    moves: undefined,
    knowsLimits: false,
  };
  table.byVm.set(vm, peer);
  return peer;
}

/** Returns whether a peer's last digest is not stale. */
export function hasRecentDigest(peer: PeerState, nowMs: number): boolean {
  return nowMs - peer.digestReceivedAtMs <= peer.digestMaxAgeMs;
}

/**
 * Returns whether a peer is probably running. In a large fleet, whose digests are
 * far apart, its last digest may be stale.
 */
export function isProbablyAlive(
  table: PeerTable,
  peer: PeerState,
  nowMs: number,
): boolean {
  if (hasRecentDigest(peer, nowMs)) return true;
  const ageMs = nowMs - peer.digestReceivedAtMs;
  return ageMs <= maxMissingPeriods * table.digestPeriodMs;
}

/** Returns whether a peer was not heard of for so long that it may be gone. */
export function isGone(peer: PeerState, nowMs: number): boolean {
  return nowMs - peer.digestReceivedAtMs > maxSilenceMs;
}

/** Returns the number of peers whose last digest is not stale. */
export function countPeersWithRecentDigest(
  table: PeerTable,
  nowMs: number,
): number {
  let count = 0;
  for (const peer of table.byVm.values()) {
    if (hasRecentDigest(peer, nowMs)) count += 1;
  }
  return count;
}

/**
 * Sets the number of calls that a peer has in flight at an endpoint, and
 * updates the sum over all peers.
 */
export function setPeerCalls(
  table: PeerTable,
  peer: PeerState,
  endpointId: string,
  calls: number,
): void {
  const change = calls - (peer.inFlight.get(endpointId) ?? 0);
  if (change === 0) return;
  if (calls === 0) peer.inFlight.delete(endpointId);
  else peer.inFlight.set(endpointId, calls);
  const total = (table.callsByEndpoint.get(endpointId) ?? 0) + change;
  if (total === 0) table.callsByEndpoint.delete(endpointId);
  else table.callsByEndpoint.set(endpointId, total);
}

/** Replaces the in-flight calls of a peer at all endpoints. */
function setAllPeerCalls(
  table: PeerTable,
  peer: PeerState,
  inFlight: Readonly<Record<string, number>>,
): void {
  for (const endpointId of [...peer.inFlight.keys()]) {
    if (inFlight[endpointId] === undefined) {
      setPeerCalls(table, peer, endpointId, 0);
    }
  }
  for (const [endpointId, calls] of Object.entries(inFlight)) {
    setPeerCalls(table, peer, endpointId, calls);
  }
}

/** Removes the calls of peers that have sent no digest for `callsMaxAgeMs`. */
function expirePeerCalls(table: PeerTable, nowMs: number): void {
  table.nextCallExpiryAtMs = Number.POSITIVE_INFINITY;
  for (const peer of table.byVm.values()) {
    if (peer.inFlight.size === 0) continue;
    const dueMs = peer.digestReceivedAtMs + callsMaxAgeMs;
    if (dueMs < nowMs) setAllPeerCalls(table, peer, {});
    else table.nextCallExpiryAtMs = Math.min(table.nextCallExpiryAtMs, dueMs);
  }
}

/** Returns the number of calls that other VMs have in flight at an endpoint. */
export function countPeerCalls(
  table: PeerTable,
  endpointId: string,
  nowMs: number,
): number {
  if (nowMs > table.nextCallExpiryAtMs) expirePeerCalls(table, nowMs);
  return table.callsByEndpoint.get(endpointId) ?? 0;
}

/**
 * Returns whether a digest is no newer than the last one applied for its VM.
 */
function isOutdated(peer: PeerState, digest: Digest): boolean {
  if (digest.incarnation !== peer.incarnation) {
    return digest.incarnation < peer.incarnation;
  }
  return digest.sequence <= peer.sequence;
}

/**
 * Prepares the units of a peer for its next digest. A peer that has restarted
 * has used none. Those of a peer that is new or whose last digest is stale are
 * unknown: meanwhile an equal share of each limit was reserved for the peer,
 * which covers its usage.
 */
function resetUnitsTaken(peer: PeerState, digest: Digest, nowMs: number): void {
  const isFirst = peer.sequence < 0;
  const isRestarted = !isFirst && digest.incarnation !== peer.incarnation;
  if (!isFirst && !isRestarted && hasRecentDigest(peer, nowMs)) return;
  peer.unitsTaken = {};
  peer.hasAllUnits = isRestarted;
}

/**
 * Updates the units that a peer has used from its digest. Returns those that it
 * has used since the digests before, of customers whose units were known.
 */
function updateUnitsTaken(peer: PeerState, digest: Digest): PeerUsage[] {
  const usages: PeerUsage[] = [];
  for (const [customer, unitsTaken] of Object.entries(digest.unitsTaken)) {
    const previous =
      peer.unitsTaken[customer] ?? (peer.hasAllUnits ? 0 : unitsTaken);
    const units = unitsTaken - previous;
    if (units !== 0) usages.push({customer, units});
  }
  peer.unitsTaken = {...peer.unitsTaken, ...digest.unitsTaken};
  if (digest.omitsUnits !== true) peer.hasAllUnits = true;
  return usages;
}

/**
 * Updates the table from a digest unless it is outdated. Returns the customers'
 * usage since the previous digest.
 */
export function applyDigest(
  table: PeerTable,
  digest: Digest,
  isRelayed: boolean,
  nowMs: number,
): PeerUsage[] {
  const {vm, address, availabilityZone} = digest;
  const peer = addPeer(table, vm, address, availabilityZone);
  if (isOutdated(peer, digest)) return [];
  resetUnitsTaken(peer, digest, nowMs);
  const usages = updateUnitsTaken(peer, digest);
  peer.address = address;
  peer.availabilityZone = availabilityZone;
  peer.incarnation = digest.incarnation;
  peer.sequence = digest.sequence;
  peer.digestReceivedAtMs = nowMs;
  peer.digestMaxAgeMs = isRelayed
    ? relayedDigestMaxAgeMs
    : directDigestMaxAgeMs;
  peer.desiredVersion = digest.desiredVersion;
  const {storeReachedForMs} = digest;
  peer.storeReachableSinceMs =
    storeReachedForMs > 0
      ? nowMs - storeReachedForMs
      : Number.POSITIVE_INFINITY;
  setAllPeerCalls(table, peer, digest.inFlight);
  table.nextCallExpiryAtMs = Math.min(
    table.nextCallExpiryAtMs,
    nowMs + callsMaxAgeMs,
  );
  peer.heads = new Map(Object.entries(digest.heads));
  peer.relayCapacity = digest.relayCapacity;
  peer.evidence = digest.evidence;
  peer.moves = digest.moves;
  peer.knowsLimits = digest.limits !== undefined;
  return usages;
}
