import {addObservations, estimateFailureRates} from '@ryeworks/utils';
import {DispatchState} from '../dispatchState.js';
import {createLog, Effect} from '../effect.js';
import {isStoreWriter} from '../peers/isStoreWriter.js';
import {VersionCounts} from '../peers/peerMessage.js';
import {startMove} from './handleMovesRead.js';
import {getElapsedFraction, getNewVersionShare} from './decideTrial.js';
import {MoveState, noCounts, VersionEvidence} from './moveTable.js';
import {hasEnded, MovePhase} from './moveOrder.js';
import {
  createEvidenceKey,
  hasOldVersionCalls,
  applyReports,
} from './moveProgress.js';
import {
  listProvenVersions,
  removeMove,
  sweepProvenVersions,
} from './provenVersions.js';
import {isLossLikely} from '../store/storeEra.js';

/** Time between two updates of the moves, in ms. */
export const moveUpdatePeriodMs = 250;
/**
 * Time after which a result is written again if the order does not show it yet,
 * in ms.
 */
const writeRetryMs = 1500;
/** Fraction of a move's duration after which it may be completed. */
const minCompletionFraction = 0.65;
/**
 * Fraction of a move's duration after which calls on old versions, in flight or
 * possible, no longer delay its completion.
 */
const forcedCompletionFraction = 0.9;
/** Rates of slow answers between which the slowness test distinguishes. */
const slowRates = {acceptable: 0.08, unacceptable: 0.4};

/** Sums up the counts of a move's new or old version over all VMs. */
function sumEvidence(state: DispatchState, move: MoveState, isNew: boolean) {
  const evidence = isNew ? move.newEvidence : move.oldEvidence;
  const key = createEvidenceKey(move.order, isNew);
  // Peers that have not read the order in the current era use its earlier key.
  const earlierKey = createEvidenceKey(move.earlierOrder ?? move.order, isNew);
  const total = {...evidence.own};
  for (const peer of state.peers.byVm.values()) {
    const counts = peer.evidence[key] ?? peer.evidence[earlierKey] ?? noCounts;
    total.answered += counts.answered;
    total.failed += counts.failed;
    total.slow += counts.slow;
  }
  return total;
}

/**
 * Stores the new total counts and returns their increase since the last update.
 * A decrease counts as 0, since the counts of a VM drop to 0 when it
 * restarts.
 */
function updateTotalCounts(
  evidence: VersionEvidence,
  total: VersionCounts,
): VersionCounts {
  const increase = {
    answered: Math.max(0, total.answered - evidence.total.answered),
    failed: Math.max(0, total.failed - evidence.total.failed),
    slow: Math.max(0, total.slow - evidence.total.slow),
  };
  evidence.total = total;
  return increase;
}

/**
 * Tests whether the new version fails more often than the old one or answers
 * too slowly, and marks it as bad if so.
 */
function testNewVersion(state: DispatchState, move: MoveState): Effect[] {
  updateTotalCounts(move.oldEvidence, sumEvidence(state, move, false));
  const increase = updateTotalCounts(
    move.newEvidence,
    sumEvidence(state, move, true),
  );
  const {answered, failed, slow} = increase;
  if (move.isBad || answered + failed + slow === 0) return [];
  const old = move.oldEvidence.total;
  const rates = estimateFailureRates(old.answered, old.failed);
  const isFailing = addObservations(move.failureTest, answered, failed, rates);
  const isSlow = addObservations(move.slownessTest, answered, slow, slowRates);
  if (!isFailing && !isSlow) return [];
  move.isBad = true;
  const {service, toVersion} = move.order;
  const reason = isFailing ? 'failures' : 'slowness';
  const total = move.newEvidence.total;
  const fields = {service, toVersion, reason, ...total};
  return [createLog('move_version_bad', fields)];
}

/**
 * Returns the phase to be written for a move; undefined if there is none now.
 */
function decideNextPhase(
  state: DispatchState,
  move: MoveState,
  nowMs: number,
): MovePhase | undefined {
  const {phase} = move.order;
  if (hasEnded(move.order)) return undefined;
  if (move.wasCompleted) return 'completed';
  if (move.isBad) return 'reverted';
  const fraction = getElapsedFraction(move, nowMs);
  const hasAllRequests = getNewVersionShare(move, nowMs) >= 1;
  if (hasAllRequests && fraction >= minCompletionFraction) {
    const isForced = fraction >= forcedCompletionFraction;
    if (isForced || !hasOldVersionCalls(state, move, nowMs)) return 'completed';
  }
  return phase === undefined ? 'moving' : undefined;
}

/**
 * Ends the wait for orders that the store lost with a copy: applies the orders
 * that were read in place of others, and removes moves whose orders did not
 * return.
 */
function endOrderWaits(state: DispatchState, nowMs: number): Effect[] {
  if (isLossLikely(state.storeEra, nowMs)) return [];
  const effects: Effect[] = [];
  for (const [service, move] of state.moves) {
    if (move.heldOrder !== undefined) {
      effects.push(...startMove(state, move.heldOrder, nowMs));
    } else if (move.isMissing) removeMove(state, service);
  }
  return effects;
}

/** Tests the new version of each move and writes phases that have changed. */
export function updateMoves(
  state: DispatchState,
  _subject: string,
  nowMs: number,
): Effect[] {
  state.timers.set('moves', '', nowMs + moveUpdatePeriodMs);
  const effects = endOrderWaits(state, nowMs);
  sweepProvenVersions(state);
  for (const move of state.moves.values()) {
    effects.push(...applyReports(state, move));
    effects.push(...testNewVersion(state, move));
    if (move.isMissing) continue;
    const phase = decideNextPhase(state, move, nowMs);
    if (phase === undefined || !isStoreWriter(state, nowMs)) continue;
    if (nowMs - move.resultWrittenAtMs < writeRetryMs) continue;
    move.resultWrittenAtMs = nowMs;
    const {durationMs, orderedAt, position, service, toVersion} = move.order;
    const provenVersions = listProvenVersions(state, service);
    const fields = {service, toVersion, durationMs, phase, position};
    const result = {...fields, orderedAt, provenVersions};
    effects.push(
      {kind: 'writeMoveResult', result},
      createLog('move_result', {service, toVersion, phase, ...position}),
    );
  }
  return effects;
}
