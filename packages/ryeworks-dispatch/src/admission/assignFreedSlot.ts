import {DispatchState, getQueue} from '../dispatchState.js';
import {createCount, Effect} from '../effect.js';
import {EndpointEntry} from '../endpoints/endpointTable.js';
import {isRelaying, listZonePeers} from '../peers/relayDigests.js';
import {hasRecentDigest, PeerState, setPeerCalls} from '../peers/peerTable.js';
import {QueueHead} from '../peers/peerMessage.js';
import {admitWaiting} from './admitWaiting.js';
import {countCalls, isUsable} from './pickEndpoint.js';

/** Lead in waiting that makes a peer's request of one rank go first, in ms. */
const peerWaitMarginMs = 150;

/** A peer whose most urgent request waits for a service. */
interface WaitingPeer {
  readonly peer: PeerState;
  readonly head: QueueHead;
}

/** Tells whether one head goes before another. */
function isMoreUrgent(head: QueueHead, other: QueueHead): boolean {
  if (head.rank !== other.rank) return head.rank < other.rank;
  return head.waitedMs > other.waitedMs + peerWaitMarginMs;
}

/** Finds the peer with the most urgent waiting request. */
function findWaitingPeer(
  state: DispatchState,
  service: string,
  nowMs: number,
): WaitingPeer | undefined {
  let best: WaitingPeer | undefined;
  // In a large fleet only the own zone's news are new enough for an offer.
  const peers = isRelaying(state)
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

/** Returns the head of this VM's own queue. */
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

/** Offers a slot to a peer and counts it as taken until its next digest. */
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
 * Uses a freed slot: for this VM's own waiting requests, or for those of a peer
 * when they are more urgent.
 */
export function assignFreedSlot(
  state: DispatchState,
  entry: EndpointEntry,
  nowMs: number,
): Effect[] {
  const {service, slots} = entry.endpoint;
  const hasFreeSlot = countCalls(state, entry, nowMs) < slots;
  if (hasFreeSlot && isUsable(entry, nowMs)) {
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
