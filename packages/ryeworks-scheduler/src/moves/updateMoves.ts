import {MovesList, VersionMove} from '@ryeworks/types';
import {createCount, createLog, Effect} from '../effect.js';
import {PlatformCallEnded} from '../input.js';
import {getWallClockMs, NodeState} from '../nodeState.js';
import {getMovesLeader} from './handleEvidence.js';
import {decideNextMove} from './moveSchedule.js';

/** Time between two looks at the moves, in ms. */
const updatePeriodMs = 500;
/** Time after which an unanswered write is given up, in ms. */
const writeTimeoutMs = 5000;

/** Sums the observations of the present step. */
function countObservedInStep(state: NodeState, move: VersionMove): number {
  const progress = state.moves.progress.get(move.move);
  if (progress === undefined) return 0;
  let total = 0;
  for (const observed of progress.observedByZone.values()) total += observed;
  if (progress.step !== move.step) {
    progress.step = move.step;
    progress.observedAtStep = total;
  }
  return total - progress.observedAtStep;
}

/** Decides the next state of one move; undefined when nothing changes. */
function decideMove(
  state: NodeState,
  move: VersionMove,
  nowMs: number,
): VersionMove | undefined {
  if (move.phase === 'withdrawn' || move.phase === 'done') return undefined;
  const wallClockMs = Math.round(getWallClockMs(state, nowMs));
  const evidence = state.moves.withdrawn.get(move.move);
  if (evidence !== undefined) {
    const taken = {phase: 'withdrawn' as const, share: 0, evidence};
    return {...move, ...taken, stepAtMs: wallClockMs};
  }
  return decideNextMove(move, {
    observedInStep: countObservedInStep(state, move),
    wallClockMs,
    observeMs: state.options.observeMs,
  });
}

/**
 * Advances or takes back moves, when this VM leads them. The write succeeds
 * only on the version that was decided on, so two leaders cannot both advance
 * a move, and a paused one cannot undo a withdrawal.
 */
export function updateMoves(
  state: NodeState,
  _subject: string,
  nowMs: number,
): Effect[] {
  const {documents, moves, options, timers} = state;
  timers.set('updateMoves', '', nowMs + updatePeriodMs);
  if (getMovesLeader(state) !== options.vm) return [];
  if (moves.pendingCallId !== '') return [];
  const effects: Effect[] = [];
  const next: VersionMove[] = [];
  let isChanged = false;
  for (const move of documents.contents.moves.moves) {
    const decided = decideMove(state, move, nowMs);
    next.push(decided ?? move);
    if (decided === undefined) continue;
    isChanged = true;
    effects.push(
      createLog('move_decided', {
        move: move.move,
        phase: decided.phase,
        share: decided.share,
        late: decided.late,
      }),
      createCount('move.decided', {phase: decided.phase}),
    );
  }
  if (!isChanged) return [];
  const callId = `moves-${moves.nextCallNumber++}`;
  moves.pendingCallId = callId;
  timers.set('updateMoves', '', nowMs + writeTimeoutMs);
  const content: MovesList = {moves: next};
  effects.push({
    kind: 'writeDocument',
    callId,
    name: 'moves',
    expectedVersion: documents.versions.moves,
    contentJson: JSON.stringify(content),
  });
  return effects;
}

/** Ends a write; reads the document back unless the write is known done. */
export function handlePlatformCallEnded(
  state: NodeState,
  input: PlatformCallEnded,
  nowMs: number,
): Effect[] {
  const {moves, timers} = state;
  if (input.callId !== moves.pendingCallId) return [];
  moves.pendingCallId = '';
  timers.set('updateMoves', '', nowMs + updatePeriodMs);
  if (input.result === 'ok') return [];
  return [
    createCount('platform.write_failed', {result: input.result}),
    {kind: 'readDocument', name: 'moves'},
  ];
}
