import {DispatchState} from '../dispatchState.js';
import {createLog, Effect} from '../effect.js';
import {handleEndpointsListed} from '../endpoints/handleEndpoints.js';
import {
  handleEvacuationsRead,
  hasMissingEvacuations,
} from '../endpoints/evacuations.js';
import {EvacuationsView, StorePositionRead, StoreViewRead} from '../input.js';
import {handleMovesRead} from '../moves/handleMovesRead.js';
import {updateStoreEra} from '../store/updateStoreEra.js';
import {
  isLaterPosition,
  noPosition,
  StorePosition,
} from '../store/storePosition.js';
import {isProbablyAlive, PeerState} from './peerTable.js';
import {Digest} from './peerMessage.js';
import {listZonePeers} from './listZonePeers.js';
import {isLargeFleet} from './relayDigests.js';

/** Number of VMs in each zone of a large fleet that watch the store. */
const watchersPerZone = 2;
/**
 * Time after the start of this VM for which peers that it has not heard of yet are
 * taken for alive, in ms: many VMs may have started with it.
 */
const startGraceMs = 1500;
/** Delay before a store view is fetched from a peer in another zone, in ms. */
const remoteFetchDelayMs = 300;
/** Minimum time between two fetches of a store view, in ms. */
const minFetchIntervalMs = 250;

/** Returns whether a peer can be expected to watch the store if it should. */
function isPossibleWatcher(
  {peers}: DispatchState,
  peer: PeerState,
  nowMs: number,
): boolean {
  const isUnheard = peer.sequence < 0;
  // The monotonic clock starts at 0 with the process.
  if (isUnheard && nowMs < startGraceMs) return true;
  return isProbablyAlive(peers, peer, nowMs);
}

/**
 * Returns whether this VM should watch the store. In a small fleet every VM
 * does. In a large one the first VMs of each zone by name do, not counting
 * peers that are probably dead.
 */
function isStoreWatcher(state: DispatchState, nowMs: number): boolean {
  if (!isLargeFleet(state)) return true;
  let preceding = 0;
  for (const peer of listZonePeers(state)) {
    if (peer.vm >= state.options.vm) continue;
    if (isPossibleWatcher(state, peer, nowMs)) preceding += 1;
  }
  return preceding < watchersPerZone;
}

/**
 * Starts or stops this VM's watches of the store. In a large fleet only a few
 * VMs in each zone watch the store and the others get changes from them;
 * otherwise each change would cost one store call per VM. A VM that has no
 * recent digest from any peer in its zone watches the store itself.
 */
export function updateStoreWatching(
  state: DispatchState,
  nowMs: number,
): Effect[] {
  const isWatching = isStoreWatcher(state, nowMs);
  if (isWatching === state.isWatchingStore) return [];
  state.isWatchingStore = isWatching;
  const fields = {isWatching, ...state.storePosition};
  return [
    {kind: 'setStoreWatch', isWatching},
    createLog('store_watching_changed', fields),
  ];
}

/** Returns whether an endpoint or a move order may only be lost for a while. */
function hasMissingEntries(state: DispatchState): boolean {
  for (const entry of state.endpoints.byId.values()) {
    if (entry.isMissing) return true;
  }
  for (const move of state.moves.values()) {
    if (move.isMissing) return true;
  }
  return false;
}

/** Positions up to which each kind of objects was read. */
interface ViewPositions {
  readonly position: StorePosition;
  readonly ordersPosition: StorePosition;
  readonly evacuationsPosition: StorePosition;
}

/**
 * Returns the positions that this VM reports to its peers: none while entries are
 * missing from the store, nor of an earlier era than the current one.
 */
export function getReportedPositions(state: DispatchState): ViewPositions {
  const {evacuationsPosition, ordersPosition, storeEra, storePosition} = state;
  // Missing entries may come back, so they must not be reported as removed.
  const isComplete = !hasMissingEntries(state);
  const hasAllEvacuations = !hasMissingEvacuations(state);
  const getReported = (position: StorePosition, isWhole: boolean) =>
    isWhole && position.era === (storeEra.current ?? 0) ? position : noPosition;
  return {
    position: getReported(storePosition, isComplete),
    ordersPosition: getReported(ordersPosition, isComplete),
    evacuationsPosition: getReported(evacuationsPosition, hasAllEvacuations),
  };
}

/** Returns which positions are later than those that this VM has applied. */
function findLaterParts(
  state: DispatchState,
  {evacuationsPosition, ordersPosition, position}: ViewPositions,
) {
  const hasEndpoints = isLaterPosition(position, state.storePosition);
  const hasOrders = isLaterPosition(ordersPosition, state.ordersPosition);
  const hasEvacuations =
    state.options.evacuationMs !== undefined &&
    isLaterPosition(evacuationsPosition, state.evacuationsPosition);
  const hasAny = hasEndpoints || hasOrders || hasEvacuations;
  return {hasAny, hasEndpoints, hasEvacuations, hasOrders};
}

/**
 * Returns the position of a revision that a digest reports. A build that knows no
 * eras is assumed to be in the era of this VM.
 */
function createReportedPosition(
  state: DispatchState,
  {storeEra}: Digest,
  revision: number,
): StorePosition {
  if (revision === 0) return noPosition;
  return {era: storeEra ?? state.storePosition.era, revision};
}

/** Returns whether a digest reports a change that this VM has not applied. */
function isDigestLater(state: DispatchState, digest: Digest): boolean {
  const {evacuationsRevision = 0, ordersRevision = 0, storeRevision} = digest;
  const reported = {
    position: createReportedPosition(state, digest, storeRevision),
    ordersPosition: createReportedPosition(state, digest, ordersRevision),
    evacuationsPosition: createReportedPosition(
      state,
      digest,
      evacuationsRevision,
    ),
  };
  return findLaterParts(state, reported).hasAny;
}

/** Records that the changes of the store up to a position are known. */
export function handleStorePositionRead(
  state: DispatchState,
  input: StorePositionRead,
  nowMs: number,
): Effect[] {
  const {evacuationsPosition = noPosition} = input;
  const read = {...input, evacuationsPosition};
  const later = findLaterParts(state, read);
  const {hasAny, hasEndpoints, hasEvacuations, hasOrders} = later;
  if (!hasAny) return [];
  if (hasEvacuations) state.evacuationsPosition = evacuationsPosition;
  if (hasEndpoints) state.storePosition = input.position;
  if (hasOrders) state.ordersPosition = input.ordersPosition;
  state.laterPositionSeenAtMs = undefined;
  // VMs that do not watch the store wait for this position.
  if (isLargeFleet(state)) state.timers.set('digest', '', nowMs);
  return [];
}

/**
 * Returns whether this VM learns of changes by its own watches of the store: it
 * watches the store and has not lost it since.
 */
function isFollowingStore(state: DispatchState): boolean {
  const {isStoreReachable, isWatchingStore, storeLostAtMs} = state;
  return (
    isWatchingStore && (isStoreReachable || !Number.isFinite(storeLostAtMs))
  );
}

/**
 * Fetches the store view of a digest's sender if it is newer, from peers in the
 * local zone first and only one at a time. VMs that follow the store never fetch.
 */
export function fetchStoreView(
  state: DispatchState,
  digest: Digest,
  nowMs: number,
): Effect[] {
  if (isFollowingStore(state) || !isDigestLater(state, digest)) return [];
  state.laterPositionSeenAtMs ??= nowMs;
  const isInLocalZone =
    digest.availabilityZone === state.options.availabilityZone;
  const delayMs = isInLocalZone ? 0 : remoteFetchDelayMs;
  if (nowMs - state.laterPositionSeenAtMs < delayMs) return [];
  if (state.isFetchingStoreView) return [];
  if (nowMs - state.storeViewRequestedAtMs < minFetchIntervalMs) return [];
  state.isFetchingStoreView = true;
  state.storeViewRequestedAtMs = nowMs;
  return [{kind: 'fetchStoreView', address: digest.address}];
}

/** Records that the fetch of a store view has ended, so that another can start. */
export function handleStoreViewFetchEnded(state: DispatchState): Effect[] {
  state.isFetchingStoreView = false;
  return [];
}

/** Applies the endpoints of a peer's store view. */
function applyEndpoints(
  state: DispatchState,
  {endpoints, position}: StoreViewRead,
  nowMs: number,
): Effect[] {
  state.storePosition = position;
  const {era} = position;
  const listed = {kind: 'endpointsListed', era, endpoints} as const;
  return handleEndpointsListed(state, listed, nowMs);
}

/** Applies the move orders of a peer's store view. */
function applyOrders(
  state: DispatchState,
  {orders, ordersPosition}: StoreViewRead,
  nowMs: number,
): Effect[] {
  state.ordersPosition = ordersPosition;
  const {era} = ordersPosition;
  return handleMovesRead(state, {kind: 'movesRead', era, orders}, nowMs);
}

/** Applies the evacuations of a peer's store view. */
function applyEvacuations(
  state: DispatchState,
  {position, zones}: EvacuationsView,
  nowMs: number,
): Effect[] {
  state.evacuationsPosition = position;
  const {era} = position;
  const read = {kind: 'evacuationsRead', era, zones} as const;
  return handleEvacuationsRead(state, read, nowMs);
}

/**
 * Applies the parts of a peer's store view that are not outdated, unless this VM
 * follows the store itself.
 */
export function handleStoreViewRead(
  state: DispatchState,
  view: StoreViewRead,
  nowMs: number,
): Effect[] {
  const {endpoints, evacuations, ordersPosition, position} = view;
  const evacuationsPosition = evacuations?.position ?? noPosition;
  const positions = {evacuationsPosition, ordersPosition, position};
  const later = findLaterParts(state, positions);
  const {hasAny, hasEndpoints, hasEvacuations, hasOrders} = later;
  if (isFollowingStore(state) || !hasAny) return [];
  state.laterPositionSeenAtMs = undefined;
  const ordersRevision = ordersPosition.revision;
  const fields = {...position, ordersRevision, endpoints: endpoints.length};
  const effects: Effect[] = [
    createLog('store_view_applied', fields),
    ...updateStoreEra(
      state,
      Math.max(position.era, evacuationsPosition.era),
      nowMs,
    ),
  ];
  // First, so that no request is sent to a zone that is evacuated by now.
  if (hasEvacuations && evacuations !== undefined) {
    effects.push(...applyEvacuations(state, evacuations, nowMs));
  }
  if (hasEndpoints) effects.push(...applyEndpoints(state, view, nowMs));
  if (hasOrders) effects.push(...applyOrders(state, view, nowMs));
  return effects;
}

/** Creates the store view that peers may fetch from this VM. */
export function createStoreView(state: DispatchState): StoreViewRead {
  const {evacuationsPosition, ...positions} = getReportedPositions(state);
  const zones = [...state.evacuations.keys()];
  const evacuations = {position: evacuationsPosition, zones};
  return {
    kind: 'storeViewRead',
    ...positions,
    ...(evacuationsPosition === noPosition ? {} : {evacuations}),
    endpoints: [...state.endpoints.byId.values()].map(entry => entry.endpoint),
    orders: [...state.moves.values()].map(move => move.order),
  };
}
