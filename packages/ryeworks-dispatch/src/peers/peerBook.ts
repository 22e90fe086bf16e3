import {Digest, QueueHead, VersionCounts} from './peerMessage.js';

/** Age from which a peer's digest is no longer relied on, in ms. */
const digestFreshMs = 600;
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
  desiredVersion: number;
  /** Since when the store answers there, in ms; Infinity: it does not. */
  storeReachedSinceMs: number;
  inFlight: Map<string, number>;
  heads: Map<string, QueueHead>;
  unitsTaken: Readonly<Record<string, number>>;
  evidence: Readonly<Record<string, VersionCounts>>;
}

/** All other VMs, by name. */
export type PeerBook = Map<string, PeerView>;

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
  const known = book.get(vm);
  if (known !== undefined) return known;
  const view: PeerView = {
    vm,
    address,
    availabilityZone,
    incarnation: 0,
    sequence: -1,
    heardAtMs: Number.NEGATIVE_INFINITY,
    desiredVersion: -1,
    storeReachedSinceMs: Number.POSITIVE_INFINITY,
    inFlight: new Map(),
    heads: new Map(),
    unitsTaken: {},
    evidence: {},
  };
  book.set(vm, view);
  return view;
}

/** Tells whether a peer's digest is new enough to rely on. */
export function isFresh(peer: PeerView, nowMs: number): boolean {
  return nowMs - peer.heardAtMs <= digestFreshMs;
}

/** Counts the other VMs whose state is known here. */
export function countFreshPeers(book: PeerBook, nowMs: number): number {
  let known = 0;
  for (const peer of book.values()) {
    if (isFresh(peer, nowMs)) known += 1;
  }
  return known;
}

/** Returns how many calls other VMs have in flight at an endpoint. */
export function countPeerCalls(
  book: PeerBook,
  endpointId: string,
  nowMs: number,
): number {
  let count = 0;
  for (const peer of book.values()) {
    if (nowMs - peer.heardAtMs > callsForgottenMs) continue;
    count += peer.inFlight.get(endpointId) ?? 0;
  }
  return count;
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
  peer.desiredVersion = digest.desiredVersion;
  const {storeReachedForMs} = digest;
  peer.storeReachedSinceMs =
    storeReachedForMs > 0
      ? nowMs - storeReachedForMs
      : Number.POSITIVE_INFINITY;
  peer.inFlight = new Map(Object.entries(digest.inFlight));
  peer.heads = new Map(Object.entries(digest.heads));
  peer.unitsTaken = digest.unitsTaken;
  peer.evidence = digest.evidence;
  return uses;
}
