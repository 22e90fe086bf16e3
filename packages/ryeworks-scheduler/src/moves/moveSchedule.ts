import {VersionMove} from '@ryeworks/types';

/** One step of a move. */
interface MoveStep {
  /** Share of the traffic on the new version. */
  readonly share: number;
  /** Part of the move's window that has passed when the step ends. */
  readonly endFraction: number;
}

/** Small shares take most of the window, so that a bad version gets little. */
export const moveSteps: readonly MoveStep[] = [
  {share: 0.01, endFraction: 0.3},
  {share: 0.02, endFraction: 0.5},
  {share: 0.05, endFraction: 0.65},
  {share: 0.2, endFraction: 0.75},
  {share: 0.5, endFraction: 0.85},
  {share: 1, endFraction: 1},
];

/** Observations of the new version that a step needs. */
const minObservations = 20;
/** Observations that suffice once a step is overdue. */
const minObservationsWhenOverdue = 3;
/** Part of the window after which a step is overdue. */
const overdueFraction = 0.05;

/** What the leader knows when it decides on a move. */
export interface MoveEvidence {
  /** Observations of the new version in the present step. */
  readonly observedInStep: number;
  /** Wall-clock time, in ms since 1970. */
  readonly wallClockMs: number;
  /** Time for which a finished move is watched, in ms. */
  readonly observeMs: number;
}

/** Returns the wall-clock time at which a step is to end. */
export function getStepEndMs(move: VersionMove, step: number): number {
  const windowMs = move.deadlineAtMs - move.startedAtMs;
  return move.startedAtMs + windowMs * moveSteps[step].endFraction;
}

/** Tells whether the present step may end. */
function canEndStep(move: VersionMove, evidence: MoveEvidence): boolean {
  const windowMs = move.deadlineAtMs - move.startedAtMs;
  const overMs = evidence.wallClockMs - getStepEndMs(move, move.step);
  if (overMs < 0) return false;
  const isOverdue = overMs >= windowMs * overdueFraction;
  const needed = isOverdue ? minObservationsWhenOverdue : minObservations;
  return evidence.observedInStep >= needed;
}

/** Decides the next state of a move; undefined when nothing changes. */
export function decideNextMove(
  move: VersionMove,
  evidence: MoveEvidence,
): VersionMove | undefined {
  const {wallClockMs} = evidence;
  if (move.phase === 'observing') {
    if (wallClockMs < move.stepAtMs + evidence.observeMs) return undefined;
    return {...move, phase: 'done', stepAtMs: wallClockMs};
  }
  if (move.phase !== 'moving') return undefined;
  if (canEndStep(move, evidence)) {
    const step = move.step + 1;
    const {share} = moveSteps[step];
    const isLast = step === moveSteps.length - 1;
    const phase = isLast ? 'observing' : 'moving';
    const late = move.late || (isLast && wallClockMs > move.deadlineAtMs);
    return {...move, phase, step, share, late, stepAtMs: wallClockMs};
  }
  const isLate = wallClockMs > move.deadlineAtMs;
  return isLate && !move.late ? {...move, late: true} : undefined;
}
