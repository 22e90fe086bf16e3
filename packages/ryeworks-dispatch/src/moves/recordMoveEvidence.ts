import {DispatchState} from '../dispatchState.js';
import {VersionCounts} from '../peers/peerMessage.js';
import {ActiveCall} from '../requests/activeRequest.js';
import {isProven} from './provenVersions.js';

/** Outcome of one call, counted for the version of its endpoint. */
export interface CallOutcome {
  readonly service: string;
  readonly version: string;
  readonly isFailed: boolean;
  readonly isSlow: boolean;
}

/** Returns what a call counts for after an outcome: each count is 0 or 1. */
function addOutcome(
  {failed, slow}: VersionCounts,
  outcome: CallOutcome,
): VersionCounts {
  return {
    answered: 1,
    failed: outcome.isFailed ? 1 : failed,
    slow: outcome.isSlow ? 1 : slow,
  };
}

/**
 * Records an outcome of a call if its service is being moved. A call that has
 * several, such as a late first event and an end, counts once.
 */
export function recordMoveEvidence(
  state: DispatchState,
  call: ActiveCall,
  outcome: CallOutcome,
): void {
  const move = state.moves.get(outcome.service);
  if (move === undefined) return;
  const isNew = outcome.version === move.order.toVersion;
  if (!isNew && !isProven(state, outcome.service, outcome.version)) return;
  const counts = isNew ? move.newEvidence : move.oldEvidence;
  const {own} = counts;
  const before = call.evidence;
  call.evidence = addOutcome(before, outcome);
  const {answered, failed, slow} = call.evidence;
  counts.own = {
    answered: own.answered + answered - before.answered,
    failed: own.failed + failed - before.failed,
    slow: own.slow + slow - before.slow,
  };
}
