import {MovesList, VersionMove} from '@ryeworks/types';
import {createCount, createLog, Effect} from '../effect.js';
import {PlatformCallEnded} from '../input.js';
import {getWallClockMs, SchedulerState} from '../schedulerState.js';
import {getMovesLeader} from './handleEvidence.js';
import {decideNextMove} from './moveSchedule.js';

/** Time between two checks of the moves, in ms. */
const updatePeriodMs = 500;
/** Time until the next check after a write was started, in ms. */
const checkDelayAfterWriteMs = 5000;
/**
 * Time after which the result of a write no longer comes, in ms: above the time
 * limits of a call to the platform.
 */
const maxWriteMs = 30_000;

/** Counts the observations of the new version in the current step. */
function countObservedInStep(state: SchedulerState, move: VersionMove): number {
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

/** Decides the next state of one move; undefined if it does not change. */
function decideMove(
  state: SchedulerState,
  move: VersionMove,
  nowMs: number,
): VersionMove | undefined {
  if (move.phase === 'withdrawn' || move.phase === 'done') return undefined;
  const wallClockMs = Math.round(getWallClockMs(state, nowMs));
  const evidence = state.moves.withdrawn.get(move.move);
  if (evidence !== undefined) {
    const withdrawal = {phase: 'withdrawn' as const, share: 0, evidence};
    return {...move, ...withdrawal, stepAtMs: wallClockMs};
  }
  return decideNextMove(move, {
    observedInStep: countObservedInStep(state, move),
    wallClockMs,
    observeMs: state.options.observeMs,
  });
}

/**
 * Ends the wait for a write whose result does not come, as if it were unknown. A
 * write that was done later fails the next one, which expects the version before.
 */
function expireWrite(state: SchedulerState, nowMs: number): Effect[] {
  const {pendingCallId: callId, pendingSinceMs} = state.moves;
  if (nowMs - pendingSinceMs < maxWriteMs) return [];
  const ended = {kind: 'platformCallEnded', callId, result: 'unknown'} as const;
  return handlePlatformCallEnded(state, ended, nowMs);
}

/**
 * Advances or withdraws moves if this VM is their leader. The write succeeds
 * only if the moves document still has the version that the decision is based
 * on, so two leaders cannot both advance a move, and a leader that was paused
 * cannot undo a withdrawal.
 */
export function updateMoves(
  state: SchedulerState,
  _subject: string,
  nowMs: number,
): Effect[] {
  const {documents, moves, options, timers} = state;
  timers.set('updateMoves', '', nowMs + updatePeriodMs);
  if (getMovesLeader(state) !== options.vm) return [];
  if (moves.pendingCallId !== '') return expireWrite(state, nowMs);
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
  moves.pendingSinceMs = nowMs;
  timers.set('updateMoves', '', nowMs + checkDelayAfterWriteMs);
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

/**
 * Ends a write of the moves. Unless it is confirmed as successful, the document
 * is read again.
 */
export function handlePlatformCallEnded(
  state: SchedulerState,
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
