import {Effect} from './effect.js';
import {probeMember} from './membership/probeMember.js';
import {SchedulerState} from './schedulerState.js';
import {TimerPurpose} from './timerPurpose.js';

/** Timers that run as long as the process, with their initial delay in ms. */
const periodicTimers: ReadonlyArray<[TimerPurpose, number]> = [
  ['renewGrants', 1000],
  ['reportLimits', 1000],
  ['reportEvidence', 200],
  ['updateMoves', 500],
  ['sweepClaims', 1000],
  ['reportStatus', 2000],
];

/** Starts the periodic timers and sends the first probe. */
export function startScheduler(state: SchedulerState, nowMs: number): Effect[] {
  for (const [purpose, delayMs] of periodicTimers) {
    state.timers.set(purpose, '', nowMs + delayMs);
  }
  return probeMember(state, '', nowMs);
}

/** Returns when the next `timerDue` input is needed, in ms. */
export function getNextDueMs(state: SchedulerState): number | undefined {
  return state.timers.getNextDueMs();
}
