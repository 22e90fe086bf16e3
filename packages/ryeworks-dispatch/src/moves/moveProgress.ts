import {countCalls} from '../admission/capacity.js';
import {DispatchState} from '../dispatchState.js';
import {createLog, Effect} from '../effect.js';
import {listEndpoints} from '../endpoints/endpointTable.js';
import {MoveReport} from '../peers/peerMessage.js';
import {isProbablyAlive, PeerState} from '../peers/peerTable.js';
import {getNewVersionShare} from './decideTrial.js';
import {hasEnded, MoveOrder} from './moveOrder.js';
import {MoveState} from './moveTable.js';

/**
 * Changes of a move's start that are logged, in ms; smaller ones come from the
 * delay of digests.
 */
const minLoggedChangeMs = 500;

/**
 * Creates the key of a move in digests. It names the order and not its entry: an
 * order must not take over the age and the evidence of the one that it replaces.
 */
export function createMoveKey({orderedAt, service}: MoveOrder): string {
  return `${service}|${orderedAt.era}.${orderedAt.revision}`;
}

/**
 * Creates the key under which a digest holds the counts of a move's new version
 * or of its old versions.
 */
export function createEvidenceKey(order: MoveOrder, isNew: boolean): string {
  return `${createMoveKey(order)}|${isNew ? 'new' : 'old'}`;
}

/** Describes how far the moves under way have come on this VM. */
export function createMoveReports(
  state: DispatchState,
  nowMs: number,
): Record<string, MoveReport> {
  const reports: Record<string, MoveReport> = {};
  for (const move of state.moves.values()) {
    if (hasEnded(move.order)) continue;
    const ageMs = Math.round(nowMs - move.startedAtMs);
    const share = getNewVersionShare(move, nowMs);
    const {isBad} = move;
    reports[createMoveKey(move.order)] = {ageMs, share, isBad};
  }
  return reports;
}

/** Finds a peer's report of a move, by the key of this or of an earlier era. */
function findReport(peer: PeerState, move: MoveState): MoveReport | undefined {
  const {earlierOrder = move.order, order} = move;
  const reports = peer.moves ?? {};
  return reports[createMoveKey(order)] ?? reports[createMoveKey(earlierOrder)];
}

/**
 * Applies the peers' reports of a move under way. Its start is the earliest that
 * a peer reports: a VM that starts during a move then routes its requests as the
 * others do, rather than to an old version that is about to stop. A version that
 * a peer found bad is bad here as well, or else this VM might complete the move.
 */
export function applyReports(state: DispatchState, move: MoveState): Effect[] {
  if (hasEnded(move.order)) return [];
  const effects: Effect[] = [];
  for (const peer of state.peers.byVm.values()) {
    const report = findReport(peer, move);
    if (report === undefined) continue;
    const startedAtMs = peer.digestReceivedAtMs - report.ageMs;
    const {service, toVersion} = move.order;
    const earlierMs = Math.round(move.startedAtMs - startedAtMs);
    if (earlierMs >= minLoggedChangeMs) {
      const fields = {service, toVersion, earlierMs, peer: peer.vm};
      effects.push(createLog('move_start_changed', fields));
    }
    move.startedAtMs = Math.min(move.startedAtMs, startedAtMs);
    if (!report.isBad || move.isBad) continue;
    move.isBad = true;
    const fields = {service, toVersion, reason: 'peer', peer: peer.vm};
    effects.push(createLog('move_version_bad', fields));
  }
  return effects;
}

/** Returns the longest time that a call may take, in ms. */
function getLongestCallMs(state: DispatchState): number {
  const {routes = []} = state.desiredState.current ?? {};
  return Math.max(0, ...routes.map(route => route.timeoutMs));
}

/**
 * Returns whether a peer may start calls at versions that a move replaces, or
 * may have some in flight that its last digest does not show: it has not yet
 * reported that it routes all requests to the new version, or it has not been
 * silent for so long that its calls must have ended.
 */
function canCallOldVersions(
  state: DispatchState,
  peer: PeerState,
  move: MoveState,
  nowMs: number,
): boolean {
  if (!isProbablyAlive(state.peers, peer, nowMs)) {
    return nowMs - peer.digestReceivedAtMs <= getLongestCallMs(state);
  }
  // A build that does not report its moves shows only that it knows the order.
  if (peer.moves === undefined) {
    return peer.evidence[createEvidenceKey(move.order, true)] === undefined;
  }
  const {share = 0} = findReport(peer, move) ?? {};
  return share < 1;
}

/**
 * Returns whether calls at versions that a move replaces are in flight on any VM
 * or may still start.
 */
export function hasOldVersionCalls(
  state: DispatchState,
  move: MoveState,
  nowMs: number,
): boolean {
  const {service, toVersion} = move.order;
  for (const entry of listEndpoints(state.endpoints, service)) {
    if (entry.endpoint.version === toVersion) continue;
    if (countCalls(state, entry, nowMs) > 0) return true;
  }
  for (const peer of state.peers.byVm.values()) {
    if (canCallOldVersions(state, peer, move, nowMs)) return true;
  }
  return false;
}
