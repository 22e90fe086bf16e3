import {DispatchState} from '../dispatchState.js';
import {VersionCounts} from '../peers/peerMessage.js';

/** How one call went, as evidence on its version. */
export interface CallOutcome {
  readonly service: string;
  readonly version: string;
  readonly isFailed: boolean;
  readonly isSlow: boolean;
}

/** Adds one answer to counts. */
function addAnswer(counts: VersionCounts, one: CallOutcome): VersionCounts {
  return {
    answered: counts.answered + 1,
    failed: counts.failed + (one.isFailed ? 1 : 0),
    slow: counts.slow + (one.isSlow ? 1 : 0),
  };
}

/** Notes how a call went, if its service is being moved. */
export function recordAnswer(state: DispatchState, one: CallOutcome): void {
  const view = state.moves.get(one.service);
  if (view === undefined) return;
  const isNew = one.version === view.order.toVersion;
  const side = isNew ? view.newEvidence : view.oldEvidence;
  side.own = addAnswer(side.own, one);
}
