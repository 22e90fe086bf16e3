import {findOwnHead} from '../admission/decideRefill.js';
import {DispatchState} from '../dispatchState.js';
import {Effect} from '../effect.js';
import {createEvidenceKey} from '../moves/handleMoves.js';
import {Digest, QueueHead, VersionCounts} from './peerMessage.js';

/** Least time between two digests, in ms. */
const leastPeriodMs = 100;
/** Time after which an unchanged digest is sent again, in ms. */
const unchangedPeriodMs = 300;
/** Peers for each of which the period grows. */
const peersAtLeastPeriod = 20;

/** Returns the time between two digests: it grows with the number of VMs. */
function getPeriodMs(state: DispatchState): number {
  return leastPeriodMs * Math.max(1, state.peers.size / peersAtLeastPeriod);
}

/** Lists the calls that this VM has in flight. */
function createInFlight(state: DispatchState): Record<string, number> {
  const inFlight: Record<string, number> = {};
  for (const [id, entry] of state.endpoints.byId) {
    if (entry.inFlight > 0) inFlight[id] = entry.inFlight;
  }
  return inFlight;
}

/** Lists the most urgent waiting requests. */
function createHeads(
  state: DispatchState,
  nowMs: number,
): Record<string, QueueHead> {
  const heads: Record<string, QueueHead> = {};
  for (const service of state.queues.keys()) {
    const head = findOwnHead(state, service, nowMs);
    if (head !== undefined) heads[service] = head;
  }
  return heads;
}

/** Lists the units that this VM has taken. */
function createUnitsTaken(state: DispatchState): Record<string, number> {
  const unitsTaken: Record<string, number> = {};
  for (const [customer, use] of state.customerUses) {
    unitsTaken[customer] = use.taken;
    use.reported = use.taken;
  }
  return unitsTaken;
}

/** Lists the evidence on moves that this VM has seen. */
function createEvidence(state: DispatchState): Record<string, VersionCounts> {
  const evidence: Record<string, VersionCounts> = {};
  for (const view of state.moves.values()) {
    evidence[createEvidenceKey(view, true)] = view.newSide.own;
    evidence[createEvidenceKey(view, false)] = view.oldSide.own;
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
    desiredVersion: state.desired.desired?.version ?? -1,
    storeReachedForMs: state.isStoreReached
      ? Math.round(nowMs - state.storeReachedAtMs)
      : 0,
    inFlight: createInFlight(state),
    heads: createHeads(state, nowMs),
    unitsTaken: createUnitsTaken(state),
    evidence: createEvidence(state),
  };
}

/** Lists where the digest goes: the known peers, or the seeds before any. */
function listAddresses(state: DispatchState): string[] {
  if (state.peers.size === 0) return state.seedAddresses;
  return [...state.peers.values()].map(peer => peer.address);
}

/** Tells all others of this VM, less often while nothing changes. */
export function sendDigest(
  state: DispatchState,
  _subject: string,
  nowMs: number,
): Effect[] {
  const periodMs = getPeriodMs(state);
  state.timers.set('digest', '', nowMs + periodMs);
  const digest = createDigest(state, nowMs);
  const text = JSON.stringify({...digest, storeReachedForMs: 0});
  const isUnchanged = text === state.lastDigestText;
  const idleMs = Math.max(periodMs, unchangedPeriodMs);
  if (isUnchanged && nowMs - state.lastDigestAtMs < idleMs) return [];
  state.lastDigestText = text;
  state.lastDigestAtMs = nowMs;
  state.digestSequence += 1;
  const message = {...digest, sequence: state.digestSequence};
  const effects: Effect[] = [];
  for (const address of listAddresses(state)) {
    effects.push({kind: 'sendPeer', address, message});
  }
  return effects;
}
