import {Effect} from './effect.js';
import {probeMember} from './membership/probeMember.js';
import {NodeState} from './nodeState.js';
import {TimerPurpose} from './timerPurpose.js';

/** Timers that run for the life of a VM, with their first delay in ms. */
const periodicTimers: ReadonlyArray<[TimerPurpose, number]> = [
  ['renewGrants', 1000],
  ['reportLimits', 1000],
  ['reportEvidence', 200],
  ['updateMoves', 500],
  ['sweepClaims', 1000],
  ['reportStatus', 2000],
];

/** Starts the periodic work of a VM. */
export function startNode(state: NodeState, nowMs: number): Effect[] {
  for (const [purpose, delayMs] of periodicTimers) {
    state.timers.set(purpose, '', nowMs + delayMs);
  }
  return probeMember(state, '', nowMs);
}

/** Returns when the VM next needs a `timerDue` input, in ms. */
export function getNextDueMs(state: NodeState): number | undefined {
  return state.timers.getNextDueMs();
}
