import {VersionMove} from '@ryeworks/types';

/** One step of a move. */
interface MoveStep {
  /** Share of the traffic that the new version receives, 0 to 1. */
  readonly share: number;
  /**
   * Fraction of the move's time window, from its start to its deadline, that has
   * passed when the step ends.
   */
  readonly endFraction: number;
}

/**
 * Steps of every move. Small shares take up most of the time window, so that a
 * bad version receives little traffic.
 */
export const moveSteps: readonly MoveStep[] = [
  {share: 0.01, endFraction: 0.3},
  {share: 0.02, endFraction: 0.5},
  {share: 0.05, endFraction: 0.65},
  {share: 0.2, endFraction: 0.75},
  {share: 0.5, endFraction: 0.85},
  {share: 1, endFraction: 1},
];

/** Observations of the new version that are required to end a step. */
const minObservations = 20;
/** Observations that are required to end a step that is overdue. */
const minObservationsWhenOverdue = 3;
/**
 * A step is overdue when it exceeds its planned end by this fraction of the
 * time window.
 */
const overdueFraction = 0.05;

/** Data on which the leader bases its decision on a move. */
export interface MoveEvidence {
  /** Observations of the new version in the current step. */
  readonly observedInStep: number;
  /** Wall-clock time, in ms since 1970. */
  readonly wallClockMs: number;
  /** Time for which the new version is observed with all traffic, in ms. */
  readonly observeMs: number;
}

/** Returns the planned end of a step as wall-clock time, in ms since 1970. */
export function getStepEndMs(move: VersionMove, step: number): number {
  const windowMs = move.deadlineAtMs - move.startedAtMs;
  return move.startedAtMs + windowMs * moveSteps[step].endFraction;
}

/** Returns whether the current step can end. */
function canEndStep(move: VersionMove, evidence: MoveEvidence): boolean {
  const windowMs = move.deadlineAtMs - move.startedAtMs;
  const overdueMs = evidence.wallClockMs - getStepEndMs(move, move.step);
  if (overdueMs < 0) return false;
  const isOverdue = overdueMs >= windowMs * overdueFraction;
  const required = isOverdue ? minObservationsWhenOverdue : minObservations;
  return evidence.observedInStep >= required;
}

/** Decides the next state of a move; undefined if it does not change. */
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
