import {createLog, Effect} from '../effect.js';
import {NodeState} from '../nodeState.js';

/** Forgets the evidence of moves that have ended and logs their phases. */
export function handleMovesChanged(state: NodeState): Effect[] {
  const {documents, moves} = state;
  const effects: Effect[] = [];
  const underWay = new Set<string>();
  for (const move of documents.contents.moves.moves) {
    const isEnded = move.phase === 'done' || move.phase === 'withdrawn';
    if (!isEnded) underWay.add(move.move);
    const {phase, share} = move;
    effects.push(createLog('move_phase', {move: move.move, phase, share}));
  }
  for (const key of moves.tests.keys()) {
    if (!underWay.has(key.split('|')[0])) moves.tests.delete(key);
  }
  for (const move of moves.progress.keys()) {
    if (!underWay.has(move)) moves.progress.delete(move);
  }
  return effects;
}
