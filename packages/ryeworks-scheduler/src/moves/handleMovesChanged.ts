import {createLog, Effect} from '../effect.js';
import {SchedulerState} from '../schedulerState.js';

/** Logs the phase of every move and discards the evidence of ended moves. */
export function handleMovesChanged(state: SchedulerState): Effect[] {
  const {documents, moves} = state;
  const effects: Effect[] = [];
  const activeMoves = new Set<string>();
  for (const move of documents.contents.moves.moves) {
    const isEnded = move.phase === 'done' || move.phase === 'withdrawn';
    if (!isEnded) activeMoves.add(move.move);
    const {phase, share} = move;
    effects.push(createLog('move_phase', {move: move.move, phase, share}));
  }
  for (const key of moves.tests.keys()) {
    if (!activeMoves.has(key.split('|')[0])) moves.tests.delete(key);
  }
  for (const move of moves.progress.keys()) {
    if (!activeMoves.has(move)) moves.progress.delete(move);
  }
  return effects;
}
