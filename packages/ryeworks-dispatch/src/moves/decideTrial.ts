import {DispatchState} from '../dispatchState.js';
import {EndpointEntry} from '../endpoints/endpointTable.js';
import {MoveState} from './moveTable.js';

/** One step of a move. */
interface MoveStep {
  /** Share of the requests that go to the new version. */
  readonly share: number;
  /** Part of the move's time after which the step begins. */
  readonly fromFraction: number;
}

/** Small shares take most of the time, so that a bad version gets little. */
const moveSteps: readonly MoveStep[] = [
  {share: 0.04, fromFraction: 0},
  {share: 0.3, fromFraction: 0.4},
  {share: 1, fromFraction: 0.55},
];
/** Answers of the new version without which a move stays in its first step. */
const minAnswers = 20;
/** Part of a move's time after which it goes on without that evidence. */
const evidenceWaitFraction = 0.7;
/** Part of the exposure bounds that is used; the rest covers restarts. */
const exposureFraction = 0.5;

/** Returns the part of a move's time that has passed. */
export function getElapsedFraction(view: MoveState, nowMs: number): number {
  return (nowMs - view.startedAtMs) / Math.max(1, view.order.durationMs);
}

/** Returns the share of the requests that a move's version gets now. */
export function getNewVersionShare(view: MoveState, nowMs: number): number {
  if (view.isBad) return 0;
  if (view.order.phase === 'completed') return 1;
  const fraction = getElapsedFraction(view, nowMs);
  const hasEvidence = view.newEvidence.total.answered >= minAnswers;
  const [firstStep] = moveSteps;
  if (!hasEvidence && fraction < evidenceWaitFraction) return firstStep.share;
  let {share} = firstStep;
  for (const step of moveSteps) {
    if (fraction >= step.fromFraction) share = step.share;
  }
  return share;
}

/** Tells whether this VM's part of the exposure bounds allows one more. */
function isTrialAllowed(state: DispatchState, view: MoveState): boolean {
  const {trialAllowance, trialRatio} = state.options;
  const own = trialAllowance / (state.peers.byVm.size + 1);
  const most = exposureFraction * (trialRatio * view.requests + own);
  return view.trials + 1 <= most;
}

/** Decides whether a request goes to the version that a move is trying. */
export function decideTrial(
  state: DispatchState,
  service: string,
  nowMs: number,
): boolean {
  const view = state.moves.get(service);
  if (view === undefined) return false;
  view.requests += 1;
  const share = getNewVersionShare(view, nowMs);
  if (share >= 1) return true;
  const isFirstStep = share <= moveSteps[0].share;
  if (isFirstStep && !isTrialAllowed(state, view)) return false;
  if (state.random.next() >= share) return false;
  view.trials += 1;
  return true;
}

/**
 * Returns the endpoints that may serve a request while its service is moved:
 * those of its side of the move, or the others when its side has none. A
 * version that was found bad serves nothing.
 */
export function listAllowedEndpoints(
  state: DispatchState,
  service: string,
  entries: readonly EndpointEntry[],
  isTrial: boolean,
): readonly EndpointEntry[] {
  const view = state.moves.get(service);
  if (view === undefined) return entries;
  const {toVersion} = view.order;
  const isNew = (entry: EndpointEntry) => entry.endpoint.version === toVersion;
  const onOld = entries.filter(entry => !isNew(entry));
  if (view.isBad) return onOld;
  const onNew = entries.filter(isNew);
  const [preferred, others] = isTrial ? [onNew, onOld] : [onOld, onNew];
  return preferred.length > 0 ? preferred : others;
}
