import {getQueueHead} from '../admission/assignFreedSlot.js';
import {DispatchState} from '../dispatchState.js';
import {Effect} from '../effect.js';
import {createEvidenceKey} from '../moves/handleMoves.js';
import {Digest, QueueHead, VersionCounts} from './peerMessage.js';
import {getReportedRevision, updateStoreWatching} from './storeWatching.js';
import {
  getDigestPeriodMs,
  isRelaying,
  listZonePeers,
  pickRelays,
  flushRelayedDigests,
} from './relayDigests.js';

/** Time after which an unchanged digest is sent again, in ms. */
const unchangedDigestPeriodMs = 300;

/** Lists the calls that this VM has in flight. */
function countInFlightCalls(state: DispatchState): Record<string, number> {
  const inFlight: Record<string, number> = {};
  for (const [id, entry] of state.endpoints.byId) {
    if (entry.inFlight > 0) inFlight[id] = entry.inFlight;
  }
  return inFlight;
}

/** Lists the most urgent waiting requests. */
function createQueueHeads(
  state: DispatchState,
  nowMs: number,
): Record<string, QueueHead> {
  const heads: Record<string, QueueHead> = {};
  for (const service of state.queues.keys()) {
    const head = getQueueHead(state, service, nowMs);
    if (head !== undefined) heads[service] = head;
  }
  return heads;
}

/** Lists the units that this VM has taken. */
function createUnitsTaken(state: DispatchState): Record<string, number> {
  const unitsTaken: Record<string, number> = {};
  for (const [customer, use] of state.usageByCustomer) {
    unitsTaken[customer] = use.consumed;
    use.reported = use.consumed;
  }
  return unitsTaken;
}

/** Lists the evidence on moves that this VM has seen. */
function createEvidence(state: DispatchState): Record<string, VersionCounts> {
  const evidence: Record<string, VersionCounts> = {};
  for (const view of state.moves.values()) {
    evidence[createEvidenceKey(view, true)] = view.newEvidence.own;
    evidence[createEvidenceKey(view, false)] = view.oldEvidence.own;
  }
  return evidence;
}

/** Creates what this VM tells the others. */
function createDigest(state: DispatchState, nowMs: number): Digest {
  const {availabilityZone, incarnation, peerAddress, vm} = state.options;
  return {
    kind: 'digest',
    vm,
    address: peerAddress,
    availabilityZone,
    incarnation,
    sequence: state.digestSequence,
    desiredVersion: state.desiredState.current?.version ?? -1,
    storeRevision: getReportedRevision(state),
    storeReachedForMs:
      state.isStoreReachable && state.isWatchingStore
        ? Math.round(nowMs - state.storeReachedAtMs)
        : 0,
    inFlight: countInFlightCalls(state),
    heads: createQueueHeads(state, nowMs),
    unitsTaken: createUnitsTaken(state),
    evidence: createEvidence(state),
  };
}

/** Lists the VMs that are told directly: the seeds before any is known. */
function listPeerAddresses(state: DispatchState): string[] {
  const {byVm} = state.peers;
  if (byVm.size === 0) return state.seedAddresses;
  return [...byVm.values()].map(peer => peer.address);
}

/** Tells the own zone of this VM and of others, and one VM of each other zone. */
function sendThroughRelays(
  state: DispatchState,
  own: Digest,
  nowMs: number,
): Effect[] {
  const {vm} = state.options;
  const relayed = flushRelayedDigests(state);
  const batch = {kind: 'digestBatch', vm, own, relayed} as const;
  const effects: Effect[] = [];
  for (const {address} of listZonePeers(state)) {
    effects.push({kind: 'sendPeer', address, message: batch});
  }
  for (const {address} of pickRelays(state, nowMs)) {
    effects.push({kind: 'sendPeer', address, message: own});
  }
  return effects;
}

/** Tells whether nothing is new since the last digest and it is not due. */
function isDigestRedundant(
  state: DispatchState,
  digest: Digest,
  nowMs: number,
): boolean {
  const text = JSON.stringify({...digest, storeReachedForMs: 0, sequence: 0});
  const isUnchanged = text === state.lastDigestText;
  state.lastDigestText = text;
  const idleMs = Math.max(getDigestPeriodMs(state), unchangedDigestPeriodMs);
  const isDue = nowMs - state.lastDigestAtMs >= idleMs;
  return isUnchanged && !isDue && state.relayedDigests.size === 0;
}

/** Tells all others of this VM, less often while nothing changes. */
export function sendDigest(
  state: DispatchState,
  _subject: string,
  nowMs: number,
): Effect[] {
  state.timers.set('digest', '', nowMs + getDigestPeriodMs(state));
  const duties = updateStoreWatching(state, nowMs);
  const digest = createDigest(state, nowMs);
  if (isDigestRedundant(state, digest, nowMs)) return duties;
  state.lastDigestAtMs = nowMs;
  state.digestSequence += 1;
  const message = {...digest, sequence: state.digestSequence};
  if (isRelaying(state)) {
    return [...duties, ...sendThroughRelays(state, message, nowMs)];
  }
  const effects = [...duties];
  for (const address of listPeerAddresses(state)) {
    effects.push({kind: 'sendPeer', address, message});
  }
  return effects;
}
