import {Digest, QueueHead, VersionCounts} from './peerMessage.js';

/** Age from which a peer's own digest is no longer relied on, in ms. */
const directFreshMs = 600;
/** The same for a digest that came through another VM, in ms. */
const relayedFreshMs = 1200;
/** Age from which the calls of a silent peer count as ended, in ms. */
const callsForgottenMs = 2000;

/** What this VM knows of another one. */
export interface PeerView {
  readonly vm: string;
  address: string;
  availabilityZone: string;
  incarnation: number;
  sequence: number;
  /** When the last digest came, in ms; -Infinity before the first. */
  heardAtMs: number;
  /** Age from which the last digest is no longer relied on, in ms. */
  freshForMs: number;
  desiredVersion: number;
  /** Since when the store answers there, in ms; Infinity: it does not. */
  storeReachedSinceMs: number;
  /** Calls by endpoint; changed by `setPeerCalls` only. */
  readonly inFlight: Map<string, number>;
  heads: Map<string, QueueHead>;
  unitsTaken: Readonly<Record<string, number>>;
  evidence: Readonly<Record<string, VersionCounts>>;
}

/** All other VMs. */
export interface PeerBook {
  /** By name. */
  readonly byVm: Map<string, PeerView>;
  /** Calls of all peers that are not forgotten, by endpoint. */
  readonly callsByEndpoint: Map<string, number>;
  /** Before this time no peer's calls are to be forgotten, in ms. */
  forgetAtMs: number;
}

/** Creates the book of a VM that knows no other. */
export function createPeerBook(): PeerBook {
  return {
    byVm: new Map(),
    callsByEndpoint: new Map(),
    forgetAtMs: Number.POSITIVE_INFINITY,
  };
}

/** Units that a peer took between two digests. */
export interface PeerUse {
  readonly customer: string;
  readonly units: number;
}

/** Adds a VM that was listed or heard of; returns its view. */
export function addPeer(
  book: PeerBook,
  vm: string,
  address: string,
  availabilityZone: string,
): PeerView {
  const known = book.byVm.get(vm);
  if (known !== undefined) return known;
  const view: PeerView = {
    vm,
    address,
    availabilityZone,
    incarnation: 0,
    sequence: -1,
    heardAtMs: Number.NEGATIVE_INFINITY,
    freshForMs: directFreshMs,
    desiredVersion: -1,
    storeReachedSinceMs: Number.POSITIVE_INFINITY,
    inFlight: new Map(),
    heads: new Map(),
    unitsTaken: {},
    evidence: {},
  };
  book.byVm.set(vm, view);
  return view;
}

/** Tells whether a peer's digest is new enough to rely on. */
export function isFresh(peer: PeerView, nowMs: number): boolean {
  return nowMs - peer.heardAtMs <= peer.freshForMs;
}

/** Counts the other VMs whose state is known here. */
export function countFreshPeers(book: PeerBook, nowMs: number): number {
  let known = 0;
  for (const peer of book.byVm.values()) {
    if (isFresh(peer, nowMs)) known += 1;
  }
  return known;
}

/** Sets the calls of a peer at an endpoint, and their sum over all peers. */
export function setPeerCalls(
  book: PeerBook,
  peer: PeerView,
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
function applyCalls(
  book: PeerBook,
  peer: PeerView,
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
function forgetSilentCalls(book: PeerBook, nowMs: number): void {
  book.forgetAtMs = Number.POSITIVE_INFINITY;
  for (const peer of book.byVm.values()) {
    if (peer.inFlight.size === 0) continue;
    const dueMs = peer.heardAtMs + callsForgottenMs;
    if (dueMs < nowMs) applyCalls(book, peer, {});
    else book.forgetAtMs = Math.min(book.forgetAtMs, dueMs);
  }
}

/** Returns how many calls other VMs have in flight at an endpoint. */
export function countPeerCalls(
  book: PeerBook,
  endpointId: string,
  nowMs: number,
): number {
  if (nowMs > book.forgetAtMs) forgetSilentCalls(book, nowMs);
  return book.callsByEndpoint.get(endpointId) ?? 0;
}

/** Tells whether a digest is older than what is known of its VM. */
function isOutdated(peer: PeerView, digest: Digest): boolean {
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
function listUses(peer: PeerView, digest: Digest, nowMs: number): PeerUse[] {
  const isFirst = peer.sequence < 0;
  const isRestarted = digest.incarnation !== peer.incarnation;
  if (isFirst || (!isRestarted && !isFresh(peer, nowMs))) return [];
  const known = isRestarted ? {} : peer.unitsTaken;
  const uses: PeerUse[] = [];
  for (const [customer, taken] of Object.entries(digest.unitsTaken)) {
    const units = taken - (known[customer] ?? 0);
    if (units !== 0) uses.push({customer, units});
  }
  return uses;
}

/** Brings a digest into the book; returns the customers' use since the last. */
export function applyDigest(
  book: PeerBook,
  digest: Digest,
  isRelayed: boolean,
  nowMs: number,
): PeerUse[] {
  const {vm, address, availabilityZone} = digest;
  const peer = addPeer(book, vm, address, availabilityZone);
  if (isOutdated(peer, digest)) return [];
  const uses = listUses(peer, digest, nowMs);
  peer.address = address;
  peer.availabilityZone = availabilityZone;
  peer.incarnation = digest.incarnation;
  peer.sequence = digest.sequence;
  peer.heardAtMs = nowMs;
  peer.freshForMs = isRelayed ? relayedFreshMs : directFreshMs;
  peer.desiredVersion = digest.desiredVersion;
  const {storeReachedForMs} = digest;
  peer.storeReachedSinceMs =
    storeReachedForMs > 0
      ? nowMs - storeReachedForMs
      : Number.POSITIVE_INFINITY;
  applyCalls(book, peer, digest.inFlight);
  book.forgetAtMs = Math.min(book.forgetAtMs, nowMs + callsForgottenMs);
  peer.heads = new Map(Object.entries(digest.heads));
  peer.unitsTaken = digest.unitsTaken;
  peer.evidence = digest.evidence;
  return uses;
}
