import {DispatchState} from '../dispatchState.js';

/** Time between two updates while there are crashes that do not count yet, in ms. */
const updatePeriodMs = 100;

/** Lets the quarantines be updated until the crashes learned of now count. */
export function scheduleQuarantines(state: DispatchState, nowMs: number): void {
  if (state.crashes.isUpdateScheduled) return;
  state.crashes.isUpdateScheduled = true;
  state.timers.set('quarantines', '', nowMs + updatePeriodMs);
}
