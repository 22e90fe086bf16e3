import {admitWaiting} from '../admission/admitWaiting.js';
import {DispatchState, getQueue} from '../dispatchState.js';
import {createCount, createLog, Effect} from '../effect.js';
import {PeerMessageReceived, SeedListed, VmListed} from '../input.js';
import {applyPeerUse} from '../limits/customerUse.js';
import {addPeer, applyDigest} from './peerBook.js';
import {Digest, PeerMessage, SlotOffer} from './peerMessage.js';

/** Reacts to one kind of peers' message. */
type PeerMessageHandler<K extends PeerMessage['kind']> = (
  state: DispatchState,
  message: Extract<PeerMessage, {kind: K}>,
  nowMs: number,
) => Effect[];

/** Takes in what a peer tells of itself. */
function handleDigest(
  state: DispatchState,
  digest: Digest,
  nowMs: number,
): Effect[] {
  const effects: Effect[] = [];
  if (!state.peers.has(digest.vm)) {
    const {vm, address} = digest;
    effects.push(createLog('vm_heard', {peer: vm, address}));
  }
  for (const use of applyDigest(state.peers, digest, nowMs)) {
    applyPeerUse(state.customerUses, use.customer, use.units, nowMs);
  }
  const ownVersion = state.desired.desired?.version ?? -1;
  if (digest.desiredVersion > ownVersion) {
    effects.push({kind: 'fetchDesiredState', address: digest.address});
  }
  for (const [service, queue] of state.queues) {
    if (queue.length === 0) continue;
    effects.push(...admitWaiting(state, service, nowMs));
  }
  return effects;
}

/** Uses a slot that a peer left to this VM. */
function handleSlotOffer(
  state: DispatchState,
  offer: SlotOffer,
  nowMs: number,
): Effect[] {
  const entry = state.endpoints.byId.get(offer.endpointId);
  if (entry === undefined) return [];
  const {id, service} = entry.endpoint;
  const peer = state.peers.get(offer.vm);
  const peerCalls = peer?.inFlight.get(id) ?? 0;
  peer?.inFlight.set(id, Math.max(0, peerCalls - 1));
  if (getQueue(state, service).length === 0) return [];
  return [createCount('slots_taken'), ...admitWaiting(state, service, nowMs)];
}

const peerMessageHandlers: {
  [K in PeerMessage['kind']]: PeerMessageHandler<K>;
} = {digest: handleDigest, slotOffer: handleSlotOffer};

/** Reacts to a peer's message. */
export function handlePeerMessage(
  state: DispatchState,
  input: PeerMessageReceived,
  nowMs: number,
): Effect[] {
  const {message} = input;
  if (message.vm === state.options.vm) return [];
  const handler = peerMessageHandlers[message.kind] as PeerMessageHandler<
    PeerMessage['kind']
  >;
  return handler(state, message, nowMs);
}

/** Adds a VM that the store lists. */
export function handleVmListed(
  state: DispatchState,
  input: VmListed,
): Effect[] {
  const {vm, address, availabilityZone} = input;
  if (vm === state.options.vm) return [];
  const view = addPeer(state.peers, vm, address, availabilityZone);
  view.address = address;
  return [];
}

/** Notes a peer that the settings name. */
export function handleSeedListed(
  state: DispatchState,
  input: SeedListed,
): Effect[] {
  if (input.address !== state.options.peerAddress) {
    state.seedAddresses.push(input.address);
  }
  return [];
}
