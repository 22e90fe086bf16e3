import {getQueueHead} from '../admission/assignFreedSlot.js';
import {createCrashReports} from '../crashes/crashReports.js';
import {listSoundReports} from '../crashes/soundParts.js';
import {DispatchState} from '../dispatchState.js';
import {Effect} from '../effect.js';
import {sweepEvacuations} from '../endpoints/evacuations.js';
import {createLeavingReports} from '../endpoints/leavingReports.js';
import {createEvidenceKey, createMoveReports} from '../moves/moveProgress.js';
import {createLimitReports} from '../rateLimits/limitReports.js';
import {updateRateLimits} from '../rateLimits/updateRateLimits.js';
import {listRelays} from './listRelays.js';
import {isGone} from './peerTable.js';
import {Digest, QueueHead, VersionCounts} from './peerMessage.js';
import {getReportedPositions, updateStoreWatching} from './storeWatching.js';
import {
  getDigestPeriodMs,
  getSendDelayMs,
  isLargeFleet,
  sendThroughRelays,
} from './relayDigests.js';

/** Minimum time after which an unchanged digest is sent again, in ms. */
const unchangedDigestPeriodMs = 300;
/**
 * Time for which changed units are in each digest, in ms: datagrams may be lost.
 */
const changedUnitsMs = 3000;
/** Time between two digests with the units of all customers, in ms. */
const allUnitsPeriodMs = 4000;

/** Counts the calls that this VM has in flight, by endpoint id. */
function countInFlightCalls(state: DispatchState): Record<string, number> {
  const inFlight: Record<string, number> = {};
  for (const [id, entry] of state.endpoints.byId) {
    if (entry.inFlight > 0) inFlight[id] = entry.inFlight;
  }
  return inFlight;
}

/** Creates the queue heads of this VM, by service. */
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

/** Returns whether units may be omitted: whether all known peers read that. */
function canOmitUnits(state: DispatchState, nowMs: number): boolean {
  for (const peer of state.peers.byVm.values()) {
    const isOld = peer.relayCapacity === undefined;
    if (isOld && !isGone(peer, nowMs)) return false;
  }
  return true;
}

/**
 * Returns the units that this VM has used, and marks them as reported. Units
 * that have not changed for a while may be omitted.
 */
function createUnitsTaken(
  state: DispatchState,
  omitsUnits: boolean,
  nowMs: number,
): Record<string, number> {
  const unitsTaken: Record<string, number> = {};
  for (const [customer, usage] of state.usageByCustomer) {
    if (usage.consumed !== usage.reported) usage.changeReportedAtMs = nowMs;
    usage.reported = usage.consumed;
    const isOld = nowMs - usage.changeReportedAtMs > changedUnitsMs;
    if (!omitsUnits || !isOld) unitsTaken[customer] = usage.consumed;
  }
  return unitsTaken;
}

/**
 * Collects the call outcomes that this VM has counted for the new and the old
 * versions of each move.
 */
function createEvidence(state: DispatchState): Record<string, VersionCounts> {
  const evidence: Record<string, VersionCounts> = {};
  for (const move of state.moves.values()) {
    evidence[createEvidenceKey(move.order, true)] = move.newEvidence.own;
    evidence[createEvidenceKey(move.order, false)] = move.oldEvidence.own;
  }
  return evidence;
}

/** Creates the digest of this VM. */
function createDigest(state: DispatchState, nowMs: number): Digest {
  const {availabilityZone, incarnation, peerAddress, vm} = state.options;
  // A VM that stops is a relay for as long as there is no other only.
  const isStopping = state.stop !== undefined;
  const relayCapacity = isStopping ? 0 : state.options.relayCapacity;
  const {evacuationsPosition, ordersPosition, position} =
    getReportedPositions(state);
  const omitsUnits =
    nowMs - state.allUnitsSentAtMs < allUnitsPeriodMs &&
    canOmitUnits(state, nowMs);
  return {
    kind: 'digest',
    vm,
    address: peerAddress,
    availabilityZone,
    incarnation,
    sequence: state.digestSequence,
    desiredVersion: state.desiredState.current?.version ?? -1,
    storeEra: state.storeEra.current,
    storeRevision: position.revision,
    ordersRevision: ordersPosition.revision,
    ...(state.options.evacuationMs === undefined
      ? {}
      : {evacuationsRevision: evacuationsPosition.revision}),
    storeReachedForMs:
      state.isStoreReachable && state.isWatchingStore
        ? Math.round(nowMs - state.storeReachedAtMs)
        : 0,
    inFlight: countInFlightCalls(state),
    heads: createQueueHeads(state, nowMs),
    unitsTaken: createUnitsTaken(state, omitsUnits, nowMs),
    omitsUnits,
    relayCapacity,
    evidence: createEvidence(state),
    moves: createMoveReports(state, nowMs),
    limits: createLimitReports(state, nowMs),
    leaving: createLeavingReports(state),
    crashes: createCrashReports(state, nowMs),
    soundParts: listSoundReports(state.crashes, nowMs),
  };
}

/** Returns the addresses of all peers, or the seeds while no peer is known. */
function listPeerAddresses(state: DispatchState): string[] {
  const {byVm} = state.peers;
  if (byVm.size === 0) return state.seedAddresses;
  return [...byVm.values()].map(peer => peer.address);
}

/** Returns whether the digest created now reports units used since the last. */
function hasNewUnits(state: DispatchState, nowMs: number): boolean {
  for (const {changeReportedAtMs} of state.usageByCustomer.values()) {
    if (changeReportedAtMs === nowMs) return true;
  }
  return false;
}

/**
 * Returns whether a digest need not be sent: it equals the previous one, apart
 * from `sequence` and times, is not due for resending, and no
 * digests are waiting to be relayed. Stores its content for the next
 * comparison.
 */
function isDigestRedundant(
  state: DispatchState,
  digest: Digest,
  nowMs: number,
): boolean {
  const limits = Object.entries(digest.limits ?? {}).map(
    ([id, {isLifted, perSecond}]) => [id, isLifted, perSecond],
  );
  const shares = Object.entries(digest.moves ?? {}).map(([key, {share}]) => [
    key,
    share,
  ]);
  const changing = {
    storeReachedForMs: 0,
    sequence: 0,
    moves: shares,
    limits,
    omitsUnits: false,
    unitsTaken: {},
  };
  const compared = {...digest, ...changing};
  const text = JSON.stringify(compared);
  const isUnchanged =
    text === state.lastDigestText && !hasNewUnits(state, nowMs);
  state.lastDigestText = text;
  const resendAfterMs = Math.max(
    state.peers.digestPeriodMs,
    unchangedDigestPeriodMs,
  );
  const isDue = nowMs - state.lastDigestAtMs >= resendAfterMs;
  return isUnchanged && !isDue && state.digestsToRelay.size === 0;
}

/**
 * Sends this VM's digest to all others, less often while it does not change.
 */
export function sendDigest(
  state: DispatchState,
  _subject: string,
  nowMs: number,
): Effect[] {
  const relays = listRelays(state, state.options.availabilityZone, nowMs);
  state.peers.digestPeriodMs = getDigestPeriodMs(state);
  state.timers.set('digest', '', nowMs + getSendDelayMs(state, relays));
  const updates = [
    ...updateStoreWatching(state, nowMs),
    ...updateRateLimits(state, nowMs),
    ...sweepEvacuations(state, nowMs),
  ];
  const digest = createDigest(state, nowMs);
  if (isDigestRedundant(state, digest, nowMs)) return updates;
  state.lastDigestAtMs = nowMs;
  state.digestSequence += 1;
  if (digest.omitsUnits !== true) state.allUnitsSentAtMs = nowMs;
  const message = {...digest, sequence: state.digestSequence};
  if (isLargeFleet(state) || state.digestsToRelay.size > 0) {
    return [...updates, ...sendThroughRelays(state, message, relays, nowMs)];
  }
  const effects: Effect[] = [...updates];
  for (const address of listPeerAddresses(state)) {
    effects.push({kind: 'sendPeer', address, message});
  }
  return effects;
}
