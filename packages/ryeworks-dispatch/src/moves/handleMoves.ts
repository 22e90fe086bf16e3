import {addObservations, estimateFailureRates} from '@ryeworks/utils';
import {DispatchState} from '../dispatchState.js';
import {createLog, Effect} from '../effect.js';
import {listEndpoints} from '../endpoints/endpointTable.js';
import {MovesRead} from '../input.js';
import {countCalls} from '../admission/pickEndpoint.js';
import {hasRecentDigest} from '../peers/peerTable.js';
import {VersionCounts} from '../peers/peerMessage.js';
import {getElapsedFraction, getNewVersionShare} from './decideTrial.js';
import {
  createMoveState,
  VersionEvidence,
  MoveState,
  noCounts,
} from './moveTable.js';
import {MoveOrder, MovePhase} from './moveOrder.js';

/** Time between two looks at the moves, in ms. */
export const moveUpdatePeriodMs = 250;
/** Time after which an unanswered write is made again, in ms. */
const writeRetryMs = 1500;
/** Part of a move's time after which its completion may be written. */
const minCompletionFraction = 0.65;
/** Part of a move's time after which calls on old versions hold it no more. */
const forcedCompletionFraction = 0.9;
/** Rates of slow answers that the test of slowness tells apart. */
const slowRates = {acceptable: 0.08, unacceptable: 0.4};

/** Tells whether an order is another one than the one that is known. */
function isNewOrder(known: MoveState | undefined, order: MoveOrder): boolean {
  if (known === undefined) return true;
  if (known.order.createdRevision !== order.createdRevision) return true;
  return known.order.toVersion !== order.toVersion;
}

/** Brings the operators' orders into the book. */
export function handleMovesRead(
  state: DispatchState,
  input: MovesRead,
  nowMs: number,
): Effect[] {
  const effects: Effect[] = [];
  const listed = new Set<string>();
  for (const order of input.orders) {
    listed.add(order.service);
    const known = state.moves.get(order.service);
    if (known !== undefined && !isNewOrder(known, order)) {
      known.order = order;
      if (order.phase === 'reverted') known.isBad = true;
      continue;
    }
    state.moves.set(order.service, createMoveState(order, nowMs));
    const {service, toVersion, durationMs, revision} = order;
    const fields = {service, toVersion, durationMs, revision};
    effects.push(createLog('move_ordered', fields));
  }
  for (const service of state.moves.keys()) {
    if (!listed.has(service)) state.moves.delete(service);
  }
  return effects;
}

/** Creates the key of a side's counts in a digest. */
export function createEvidenceKey(view: MoveState, isNew: boolean): string {
  const {service, createdRevision} = view.order;
  return `${service}|${createdRevision}|${isNew ? 'new' : 'old'}`;
}

/** Adds up what all VMs report of one side of a move. */
function sumEvidence(state: DispatchState, view: MoveState, isNew: boolean) {
  const side = isNew ? view.newEvidence : view.oldEvidence;
  const key = createEvidenceKey(view, isNew);
  const total = {...side.own};
  for (const peer of state.peers.byVm.values()) {
    const counts = peer.evidence[key] ?? noCounts;
    total.answered += counts.answered;
    total.failed += counts.failed;
    total.slow += counts.slow;
  }
  return total;
}

/** Takes what is new since the last look; a VM's restart gives nothing. */
function updateTotalCounts(
  side: VersionEvidence,
  total: VersionCounts,
): VersionCounts {
  const fresh = {
    answered: Math.max(0, total.answered - side.total.answered),
    failed: Math.max(0, total.failed - side.total.failed),
    slow: Math.max(0, total.slow - side.total.slow),
  };
  side.total = total;
  return fresh;
}

/** Tests whether the new version is worse than the old one. */
function testNewVersion(state: DispatchState, view: MoveState): Effect[] {
  updateTotalCounts(view.oldEvidence, sumEvidence(state, view, false));
  const fresh = updateTotalCounts(
    view.newEvidence,
    sumEvidence(state, view, true),
  );
  if (view.isBad || fresh.answered === 0) return [];
  const old = view.oldEvidence.total;
  const rates = estimateFailureRates(old.answered, old.failed);
  const {answered, failed, slow} = fresh;
  const fails = addObservations(view.failureTest, answered, failed, rates);
  const lags = addObservations(view.slownessTest, answered, slow, slowRates);
  if (!fails && !lags) return [];
  view.isBad = true;
  const {service, toVersion} = view.order;
  const reason = fails ? 'failures' : 'slowness';
  const seen = view.newEvidence.total;
  const fields = {service, toVersion, reason, ...seen};
  return [createLog('move_found_bad', fields)];
}

/** Tells whether calls still run on versions that a move replaces. */
function hasOldVersionCalls(
  state: DispatchState,
  view: MoveState,
  nowMs: number,
): boolean {
  for (const entry of listEndpoints(state.endpoints, view.order.service)) {
    if (entry.endpoint.version === view.order.toVersion) continue;
    if (countCalls(state, entry, nowMs) > 0) return true;
  }
  return false;
}

/** Decides what is to be written of a move; undefined: nothing now. */
function decideNextPhase(
  state: DispatchState,
  view: MoveState,
  nowMs: number,
): MovePhase | undefined {
  const {phase} = view.order;
  if (phase === 'completed' || phase === 'reverted') return undefined;
  if (view.isBad) return 'reverted';
  const fraction = getElapsedFraction(view, nowMs);
  const isMoved = getNewVersionShare(view, nowMs) >= 1;
  if (isMoved && fraction >= minCompletionFraction) {
    const isForced = fraction >= forcedCompletionFraction;
    if (isForced || !hasOldVersionCalls(state, view, nowMs)) return 'completed';
  }
  return phase === undefined ? 'moving' : undefined;
}

/** Tells whether this VM writes the results: the first by name of the VMs. */
function isResultWriter(state: DispatchState, nowMs: number): boolean {
  for (const peer of state.peers.byVm.values()) {
    if (peer.vm < state.options.vm && hasRecentDigest(peer, nowMs))
      return false;
  }
  return true;
}

/** Looks at all moves: evidence, steps, and what is to be written. */
export function updateMoves(
  state: DispatchState,
  _subject: string,
  nowMs: number,
): Effect[] {
  state.timers.set('moves', '', nowMs + moveUpdatePeriodMs);
  const effects: Effect[] = [];
  for (const view of state.moves.values()) {
    effects.push(...testNewVersion(state, view));
    const phase = decideNextPhase(state, view, nowMs);
    if (phase === undefined || !isResultWriter(state, nowMs)) continue;
    if (nowMs - view.resultWrittenAtMs < writeRetryMs) continue;
    view.resultWrittenAtMs = nowMs;
    const {service, toVersion, revision} = view.order;
    const result = {service, toVersion, phase, revision};
    effects.push(
      {kind: 'writeMoveResult', result},
      createLog('move_result', {...result}),
    );
  }
  return effects;
}
