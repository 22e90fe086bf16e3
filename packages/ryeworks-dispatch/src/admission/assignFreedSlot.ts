import {DispatchState, getQueue, getSlotShares} from '../dispatchState.js';
import {createCount, Effect} from '../effect.js';
import {isOpen} from '../endpoints/callObstacles.js';
import {EndpointEntry} from '../endpoints/endpointTable.js';
import {listZonePeers} from '../peers/listZonePeers.js';
import {isLargeFleet} from '../peers/relayDigests.js';
import {hasRecentDigest, PeerState, setPeerCalls} from '../peers/peerTable.js';
import {QueueHead} from '../peers/peerMessage.js';
import {admitWaiting} from './admitWaiting.js';
import {countCalls} from './capacity.js';

/**
 * How much longer than this VM's own request a peer's request of the same rank
 * must have waited to go first, in ms.
 */
const peerWaitMarginMs = 150;

/** A peer with requests waiting for a service. */
interface WaitingPeer {
  readonly peer: PeerState;
  /** The most urgent request in the peer's queue. */
  readonly head: QueueHead;
}

/**
 * Compares two heads by rank, then by what their customers have got of the slots
 * that this VM has freed. A customer cannot gain by more requests that wait longer,
 * nor by waiting on more VMs.
 */
function compareHeads(
  state: DispatchState,
  service: string,
  a: QueueHead,
  b: QueueHead,
): number {
  if (a.rank !== b.rank) return a.rank - b.rank;
  if (a.customer === undefined || b.customer === undefined) return 0;
  if (a.customer === b.customer) return 0;
  const shares = getSlotShares(state, service);
  const {rank} = a;
  return (
    shares.getStartTag({rank, customer: a.customer}) -
    shares.getStartTag({rank, customer: b.customer})
  );
}

/** Charges a freed slot to the customer whose request gets it. */
function recordSlot(
  state: DispatchState,
  service: string,
  {cost = 1, customer, rank}: QueueHead,
): void {
  if (customer === undefined) return;
  const shares = getSlotShares(state, service);
  shares.recordDispatch(rank, shares.addRequest({rank, customer, cost}));
  shares.dropIdle(() => true);
}

/** Returns whether a peer's request goes before this VM's own. */
function isMoreUrgent(
  state: DispatchState,
  service: string,
  peerHead: QueueHead,
  ownHead: QueueHead,
): boolean {
  const difference = compareHeads(state, service, peerHead, ownHead);
  if (difference !== 0) return difference < 0;
  return peerHead.waitedMs > ownHead.waitedMs + peerWaitMarginMs;
}

/** Finds the peer whose waiting request is the most urgent. */
function findWaitingPeer(
  state: DispatchState,
  service: string,
  nowMs: number,
): WaitingPeer | undefined {
  let best: WaitingPeer | undefined;
  // In a large fleet, only digests from the local zone are recent enough
  // for a slot offer.
  const peers = isLargeFleet(state)
    ? listZonePeers(state)
    : state.peers.byVm.values();
  for (const peer of peers) {
    if (!hasRecentDigest(peer, nowMs)) continue;
    const head = peer.heads.get(service);
    if (head === undefined || head.count <= 0) continue;
    if (best === undefined) {
      best = {peer, head};
      continue;
    }
    const difference = compareHeads(state, service, head, best.head);
    const waitsLonger = head.waitedMs > best.head.waitedMs;
    if (difference < 0 || (difference === 0 && waitsLonger)) {
      best = {peer, head};
    }
  }
  return best;
}

/** Returns the head of this VM's own queue; undefined if the queue is empty. */
export function getQueueHead(
  state: DispatchState,
  service: string,
  nowMs: number,
): QueueHead | undefined {
  const queue = getQueue(state, service);
  if (queue.length === 0) return undefined;
  const [first] = queue;
  const waitedMs = Math.round(nowMs - first.receivedAtMs);
  const {cost, customer, rank} = first;
  return {rank, waitedMs, count: queue.length, customer, cost};
}

/**
 * Offers a slot to a peer and counts it as in use until the peer's next digest.
 */
function sendSlotOffer(
  state: DispatchState,
  entry: EndpointEntry,
  {peer, head}: WaitingPeer,
): Effect[] {
  const {id, service} = entry.endpoint;
  setPeerCalls(state.peers, peer, id, (peer.inFlight.get(id) ?? 0) + 1);
  peer.heads.set(service, {...head, count: head.count - 1});
  const {vm} = state.options;
  return [
    {
      kind: 'sendPeer',
      address: peer.address,
      message: {kind: 'slotOffer', vm, endpointId: id},
    },
    createCount('slots_offered'),
  ];
}

/**
 * Assigns a freed slot: offers it to a peer if the peer's waiting request is
 * more urgent, otherwise dispatches this VM's own waiting requests. A slot of an
 * endpoint with a rate limit is of no use to a peer without a permit.
 */
export function assignFreedSlot(
  state: DispatchState,
  entry: EndpointEntry,
  nowMs: number,
): Effect[] {
  const {service, slots} = entry.endpoint;
  if (entry.limit !== undefined) return admitWaiting(state, service, nowMs);
  const hasFreeSlot = countCalls(state, entry, nowMs) < slots;
  if (hasFreeSlot && isOpen(state, entry, nowMs)) {
    const waitingPeer = findWaitingPeer(state, service, nowMs);
    const ownHead = getQueueHead(state, service, nowMs);
    if (waitingPeer !== undefined) {
      const isPeerFirst =
        ownHead === undefined ||
        isMoreUrgent(state, service, waitingPeer.head, ownHead);
      const first = isPeerFirst ? waitingPeer.head : ownHead;
      recordSlot(state, service, first);
      if (isPeerFirst) return sendSlotOffer(state, entry, waitingPeer);
    }
  }
  return admitWaiting(state, service, nowMs);
}
