import {Effect} from '../effect.js';
import {LoadReported} from '../input.js';
import {SchedulerState} from '../schedulerState.js';

/** Stores the latest load report of an endpoint. */
export function handleLoadReported(
  state: SchedulerState,
  input: LoadReported,
  nowMs: number,
): Effect[] {
  const {endpoint, running, queued} = input;
  const report = {running, queued, atMs: nowMs};
  state.admission.loadReports.set(endpoint, report);
  return [];
}
