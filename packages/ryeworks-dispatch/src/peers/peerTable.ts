import {Digest, QueueHead, VersionCounts} from './peerMessage.js';

/** Age from which a peer's own digest is no longer relied on, in ms. */
const directDigestMaxAgeMs = 600;
/** The same for a digest that came through another VM, in ms. */
const relayedDigestMaxAgeMs = 1200;
/** Age from which the calls of a silent peer count as ended, in ms. */
const callsMaxAgeMs = 2000;

/** What this VM knows of another one. */
export interface PeerState {
  readonly vm: string;
  address: string;
  availabilityZone: string;
  incarnation: number;
  sequence: number;
  /** When the last digest came, in ms; -Infinity before the first. */
  digestReceivedAtMs: number;
  /** Age from which the last digest is no longer relied on, in ms. */
  digestMaxAgeMs: number;
  desiredVersion: number;
  /** Since when the store answers there, in ms; Infinity: it does not. */
  storeReachableSinceMs: number;
  /** Calls by endpoint; changed by `setPeerCalls` only. */
  readonly inFlight: Map<string, number>;
  heads: Map<string, QueueHead>;
  unitsTaken: Readonly<Record<string, number>>;
  evidence: Readonly<Record<string, VersionCounts>>;
}

/** All other VMs. */
export interface PeerTable {
  /** By name. */
  readonly byVm: Map<string, PeerState>;
  /** Calls of all peers that are not forgotten, by endpoint. */
  readonly callsByEndpoint: Map<string, number>;
  /** Before this time no peer's calls are to be forgotten, in ms. */
  nextCallExpiryAtMs: number;
}

/** Creates the book of a VM that knows no other. */
export function createPeerTable(): PeerTable {
  return {
    byVm: new Map(),
    callsByEndpoint: new Map(),
    nextCallExpiryAtMs: Number.POSITIVE_INFINITY,
  };
}

/** Units that a peer took between two digests. */
export interface PeerUsage {
  readonly customer: string;
  readonly units: number;
}

/** Adds a VM that was listed or heard of; returns its view. */
export function addPeer(
  book: PeerTable,
  vm: string,
  address: string,
  availabilityZone: string,
): PeerState {
  const known = book.byVm.get(vm);
  if (known !== undefined) return known;
  const view: PeerState = {
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
    evidence: {},
  };
  book.byVm.set(vm, view);
  return view;
}

/** Tells whether a peer's digest is new enough to rely on. */
export function hasRecentDigest(peer: PeerState, nowMs: number): boolean {
  return nowMs - peer.digestReceivedAtMs <= peer.digestMaxAgeMs;
}

/** Counts the other VMs whose state is known here. */
export function countPeersWithRecentDigest(
  book: PeerTable,
  nowMs: number,
): number {
  let known = 0;
  for (const peer of book.byVm.values()) {
    if (hasRecentDigest(peer, nowMs)) known += 1;
  }
  return known;
}

/** Sets the calls of a peer at an endpoint, and their sum over all peers. */
export function setPeerCalls(
  book: PeerTable,
  peer: PeerState,
  endpointId: string,
  calls: number,
): void {
  const change = calls - (peer.inFlight.get(endpointId) ?? 0);
  if (change === 0) return;
  if (calls === 0) peer.inFlight.delete(endpointId);
  else peer.inFlight.set(endpointId, calls);
  const total = (book.callsByEndpoint.get(endpointId) ?? 0) + change;
  if (total === 0) book.callsByEndpoint.delete(endpointId);
  else book.callsByEndpoint.set(endpointId, total);
}

/** Replaces all calls of a peer. */
function setAllPeerCalls(
  book: PeerTable,
  peer: PeerState,
  inFlight: Readonly<Record<string, number>>,
): void {
  for (const endpointId of [...peer.inFlight.keys()]) {
    if (inFlight[endpointId] === undefined) {
      setPeerCalls(book, peer, endpointId, 0);
    }
  }
  for (const [endpointId, calls] of Object.entries(inFlight)) {
    setPeerCalls(book, peer, endpointId, calls);
  }
}

/** Forgets the calls of peers that have been silent for long. */
function expirePeerCalls(book: PeerTable, nowMs: number): void {
  book.nextCallExpiryAtMs = Number.POSITIVE_INFINITY;
  for (const peer of book.byVm.values()) {
    if (peer.inFlight.size === 0) continue;
    const dueMs = peer.digestReceivedAtMs + callsMaxAgeMs;
    if (dueMs < nowMs) setAllPeerCalls(book, peer, {});
    else book.nextCallExpiryAtMs = Math.min(book.nextCallExpiryAtMs, dueMs);
  }
}

/** Returns how many calls other VMs have in flight at an endpoint. */
export function countPeerCalls(
  book: PeerTable,
  endpointId: string,
  nowMs: number,
): number {
  if (nowMs > book.nextCallExpiryAtMs) expirePeerCalls(book, nowMs);
  return book.callsByEndpoint.get(endpointId) ?? 0;
}

/** Tells whether a digest is older than what is known of its VM. */
function isOutdated(peer: PeerState, digest: Digest): boolean {
  if (digest.incarnation !== peer.incarnation) {
    return digest.incarnation < peer.incarnation;
  }
  return digest.sequence <= peer.sequence;
}

/**
 * Lists what a peer took since its last digest: all that it took if it has
 * started since. After a silence nothing is listed: its use was then covered by
 * leaving it an even share.
 */
function listNewUsage(
  peer: PeerState,
  digest: Digest,
  nowMs: number,
): PeerUsage[] {
  const isFirst = peer.sequence < 0;
  const isRestarted = digest.incarnation !== peer.incarnation;
  if (isFirst || (!isRestarted && !hasRecentDigest(peer, nowMs))) return [];
  const known = isRestarted ? {} : peer.unitsTaken;
  const uses: PeerUsage[] = [];
  for (const [customer, taken] of Object.entries(digest.unitsTaken)) {
    const units = taken - (known[customer] ?? 0);
    if (units !== 0) uses.push({customer, units});
  }
  return uses;
}

/** Brings a digest into the book; returns the customers' use since the last. */
export function applyDigest(
  book: PeerTable,
  digest: Digest,
  isRelayed: boolean,
  nowMs: number,
): PeerUsage[] {
  const {vm, address, availabilityZone} = digest;
  const peer = addPeer(book, vm, address, availabilityZone);
  if (isOutdated(peer, digest)) return [];
  const uses = listNewUsage(peer, digest, nowMs);
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
  setAllPeerCalls(book, peer, digest.inFlight);
  book.nextCallExpiryAtMs = Math.min(
    book.nextCallExpiryAtMs,
    nowMs + callsMaxAgeMs,
  );
  peer.heads = new Map(Object.entries(digest.heads));
  peer.unitsTaken = digest.unitsTaken;
  peer.evidence = digest.evidence;
  return uses;
}
