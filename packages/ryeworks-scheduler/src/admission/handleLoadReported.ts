import {Effect} from '../effect.js';
import {LoadReported} from '../input.js';
import {NodeState} from '../nodeState.js';

/** Stores the latest load report of an endpoint. */
export function handleLoadReported(
  state: NodeState,
  input: LoadReported,
  nowMs: number,
): Effect[] {
  const {endpoint, running, queued} = input;
  const report = {running, queued, atMs: nowMs};
  state.admission.loadReports.set(endpoint, report);
  return [];
}
