import {DispatchState, getQueue} from '../dispatchState.js';
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

/** Returns whether a peer's request goes before this VM's own. */
function isMoreUrgent(peerHead: QueueHead, ownHead: QueueHead): boolean {
  if (peerHead.rank !== ownHead.rank) return peerHead.rank < ownHead.rank;
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
    const isFirst =
      best === undefined ||
      head.rank < best.head.rank ||
      (head.rank === best.head.rank && head.waitedMs > best.head.waitedMs);
    if (isFirst) best = {peer, head};
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
  return {rank: first.rank, waitedMs, count: queue.length};
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
        ownHead === undefined || isMoreUrgent(waitingPeer.head, ownHead);
      if (isPeerFirst) return sendSlotOffer(state, entry, waitingPeer);
    }
  }
  return admitWaiting(state, service, nowMs);
}
