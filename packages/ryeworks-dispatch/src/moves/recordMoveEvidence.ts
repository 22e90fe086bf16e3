import {DispatchState} from '../dispatchState.js';
import {VersionCounts} from '../peers/peerMessage.js';

/** Outcome of one call, counted for the version of its endpoint. */
export interface CallOutcome {
  readonly service: string;
  readonly version: string;
  readonly isFailed: boolean;
  readonly isSlow: boolean;
}

/** Returns the counts with one answer added. */
function addAnswer(counts: VersionCounts, outcome: CallOutcome): VersionCounts {
  return {
    answered: counts.answered + 1,
    failed: counts.failed + (outcome.isFailed ? 1 : 0),
    slow: counts.slow + (outcome.isSlow ? 1 : 0),
  };
}

/** Records the outcome of a call if its service is being moved. */
export function recordMoveEvidence(
  state: DispatchState,
  outcome: CallOutcome,
): void {
  const move = state.moves.get(outcome.service);
  if (move === undefined) return;
  const isNew = outcome.version === move.order.toVersion;
  const counts = isNew ? move.newEvidence : move.oldEvidence;
  counts.own = addAnswer(counts.own, outcome);
}
