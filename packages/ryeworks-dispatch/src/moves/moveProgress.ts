import {countCalls} from '../admission/pickEndpoint.js';
import {DispatchState} from '../dispatchState.js';
import {listEndpoints} from '../endpoints/endpointTable.js';
import {MoveReport} from '../peers/peerMessage.js';
import {PeerState} from '../peers/peerTable.js';
import {getNewVersionShare} from './decideTrial.js';
import {MoveOrder, movePhase} from './moveOrder.js';
import {MoveState} from './moveTable.js';

/** Creates the key of a move in digests. */
export function createMoveKey({createdAt, service}: MoveOrder): string {
  return `${service}|${createdAt.era}.${createdAt.revision}`;
}

/**
 * Creates the key under which a digest holds the counts of a move's new version
 * or of its old versions.
 */
export function createEvidenceKey(order: MoveOrder, isNew: boolean): string {
  return `${createMoveKey(order)}|${isNew ? 'new' : 'old'}`;
}

/** Returns whether a move has ended, according to the order as last read. */
export function hasEnded({phase}: MoveOrder): boolean {
  return phase === movePhase.completed || phase === movePhase.reverted;
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
    reports[createMoveKey(move.order)] = {ageMs, share};
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
 * Sets the start of a move to the earliest that a peer reports. A VM that starts
 * during a move then routes its requests as the others do, rather than to an old
 * version that is about to stop.
 */
export function updateStart(state: DispatchState, move: MoveState): void {
  for (const peer of state.peers.byVm.values()) {
    const report = findReport(peer, move);
    if (report === undefined) continue;
    const startedAtMs = peer.digestReceivedAtMs - report.ageMs;
    move.startedAtMs = Math.min(move.startedAtMs, startedAtMs);
  }
}

/**
 * Returns whether calls at versions that a move replaces are in flight on any VM.
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
  return false;
}
