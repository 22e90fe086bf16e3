import {admitWaiting} from '../admission/admitWaiting.js';
import {applyCrashReports} from '../crashes/crashReports.js';
import {DispatchState, getQueue} from '../dispatchState.js';
import {checkFirstVersion} from '../desired/checkFirstVersion.js';
import {fetchNewerVersion} from '../desired/fetchNewerVersion.js';
import {createCount, createLog, Effect} from '../effect.js';
import {applyLeavingReports} from '../endpoints/leavingReports.js';
import {PeerMessageReceived, SeedListed, VmListed} from '../input.js';
import {addPeerUsage} from '../limits/customerUsage.js';
import {handlePermitAsk} from '../rateLimits/grantPermits.js';
import {applyLimitReports} from '../rateLimits/limitReports.js';
import {handlePermitAnswer} from '../rateLimits/requestPermits.js';
import {addPeer, applyDigest, setPeerCalls} from './peerTable.js';
import {
  CompressedBatch,
  Digest,
  DigestBatch,
  DigestToRelay,
  PeerMessage,
  SlotOffer,
} from './peerMessage.js';
import {updateStoreEra} from '../store/updateStoreEra.js';
import {fetchStoreView} from './storeWatching.js';
import {addDigestsToRelay, isLargeFleet} from './relayDigests.js';

/** Handles one kind of peer message. */
type PeerMessageHandler<K extends PeerMessage['kind']> = (
  state: DispatchState,
  message: Extract<PeerMessage, {kind: K}>,
  nowMs: number,
) => Effect[];

/**
 * Applies a digest to the peer table, and fetches the sender's desired state or
 * store view if they are newer.
 */
function updateFromDigest(
  state: DispatchState,
  digest: Digest,
  isRelayed: boolean,
  nowMs: number,
): Effect[] {
  const {address, vm} = digest;
  if (vm === state.options.vm) return [];
  const effects: Effect[] = [];
  if (!state.peers.byVm.has(vm)) {
    effects.push(createLog('peer_discovered', {peer: vm, address}));
  }
  for (const usage of applyDigest(state.peers, digest, isRelayed, nowMs)) {
    addPeerUsage(state.usageByCustomer, usage.customer, usage.units, nowMs);
  }
  effects.push(
    ...applyLimitReports(state, digest.limits ?? {}, vm, nowMs),
    ...applyLeavingReports(state, digest.leaving ?? {}, vm, nowMs),
    ...applyCrashReports(
      state,
      digest.crashes ?? [],
      digest.soundParts ?? [],
      vm,
      nowMs,
    ),
    ...fetchNewerVersion(state, digest, nowMs),
    ...checkFirstVersion(state, nowMs),
    ...(digest.storeEra === undefined
      ? []
      : updateStoreEra(state, digest.storeEra, nowMs)),
    ...fetchStoreView(state, digest, nowMs),
  );
  return effects;
}

/**
 * Dispatches waiting requests after the known load of endpoints has changed.
 */
function admitAllWaiting(state: DispatchState, nowMs: number): Effect[] {
  const effects: Effect[] = [];
  for (const [service, queue] of state.queues) {
    if (queue.length === 0) continue;
    effects.push(...admitWaiting(state, service, nowMs));
  }
  return effects;
}

/** Applies a digest that this VM got from its sender. */
function applyDirectDigest(
  state: DispatchState,
  digest: Digest,
  nowMs: number,
): Effect[] {
  return [
    ...updateFromDigest(state, digest, false, nowMs),
    ...admitAllWaiting(state, nowMs),
  ];
}

/**
 * Handles a digest that a peer sent about itself. One from another zone is
 * relayed: a VM that knows no relays in this zone has sent it to any VM.
 */
function handleDigest(
  state: DispatchState,
  digest: Digest,
  nowMs: number,
): Effect[] {
  const isLocal = digest.availabilityZone === state.options.availabilityZone;
  if (!isLocal && isLargeFleet(state)) {
    addDigestsToRelay(state, [digest], nowMs);
  }
  return applyDirectDigest(state, digest, nowMs);
}

/** Handles a digest that this VM is to relay. */
function handleDigestToRelay(
  state: DispatchState,
  {digest}: DigestToRelay,
  nowMs: number,
): Effect[] {
  addDigestsToRelay(state, [digest], nowMs);
  return applyDirectDigest(state, digest, nowMs);
}

/**
 * Handles a peer's own digest and those that it relays. A batch from another
 * zone is relayed in this one.
 */
function handleDigestBatch(
  state: DispatchState,
  {own, relayed}: DigestBatch | CompressedBatch,
  nowMs: number,
): Effect[] {
  const isLocal = own.availabilityZone === state.options.availabilityZone;
  if (!isLocal) addDigestsToRelay(state, [own, ...relayed], nowMs);
  const effects = updateFromDigest(state, own, !isLocal, nowMs);
  for (const digest of relayed) {
    effects.push(...updateFromDigest(state, digest, true, nowMs));
  }
  effects.push(...admitAllWaiting(state, nowMs));
  return effects;
}

/**
 * Takes a slot that a peer offered: subtracts it from the peer's calls at the
 * endpoint and dispatches waiting requests.
 */
function handleSlotOffer(
  state: DispatchState,
  offer: SlotOffer,
  nowMs: number,
): Effect[] {
  const entry = state.endpoints.byId.get(offer.endpointId);
  if (entry === undefined) return [];
  const {id, service} = entry.endpoint;
  const peer = state.peers.byVm.get(offer.vm);
  if (peer !== undefined) {
    const calls = Math.max(0, (peer.inFlight.get(id) ?? 0) - 1);
    setPeerCalls(state.peers, peer, id, calls);
  }
  if (getQueue(state, service).length === 0) return [];
  return [createCount('slots_taken'), ...admitWaiting(state, service, nowMs)];
}

const peerMessageHandlers: {
  [K in PeerMessage['kind']]: PeerMessageHandler<K>;
} = {
  digest: handleDigest,
  digestToRelay: handleDigestToRelay,
  digestBatch: handleDigestBatch,
  compressedBatch: handleDigestBatch,
  slotOffer: handleSlotOffer,
  permitAsk: handlePermitAsk,
  permitAnswer: handlePermitAnswer,
};

/** Handles a message from a peer. */
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

/**
 * Adds a VM that is listed in the store, or updates its address. A list that makes
 * the fleet a large one decides whether this VM watches the store.
 */
export function handleVmListed(
  state: DispatchState,
  input: VmListed,
  nowMs: number,
): Effect[] {
  const {vm, address, availabilityZone} = input;
  if (vm === state.options.vm) return [];
  const wasLarge = isLargeFleet(state);
  const peer = addPeer(state.peers, vm, address, availabilityZone);
  peer.address = address;
  if (!wasLarge && isLargeFleet(state)) state.timers.set('digest', '', nowMs);
  return [];
}

/** Records the address of a seed peer from the settings. */
export function handleSeedListed(
  state: DispatchState,
  input: SeedListed,
): Effect[] {
  if (input.address !== state.options.peerAddress) {
    state.seedAddresses.push(input.address);
  }
  return [];
}
