import {DispatchState} from '../dispatchState.js';
import {EndpointEntry} from '../endpoints/endpointTable.js';
import {movePhase} from './moveOrder.js';
import {isCompleted, MoveState} from './moveTable.js';
import {listProvenEntries} from './provenVersions.js';

/** One step of a move. */
interface MoveStep {
  /** Share of the requests that are routed to the new version. */
  readonly share: number;
  /** Fraction of the move's duration after which the step begins. */
  readonly fromFraction: number;
}

/**
 * Small shares last for most of a move, so that a bad version gets few requests
 * before it is detected.
 */
const moveSteps: readonly MoveStep[] = [
  {share: 0.04, fromFraction: 0},
  {share: 0.3, fromFraction: 0.4},
  {share: 1, fromFraction: 0.55},
];
/** Number of answers of the new version required to leave the first step. */
const minAnswers = 20;
/**
 * Fraction of a move's duration after which it leaves the first step even
 * without these answers.
 */
const evidenceWaitFraction = 0.7;
/**
 * Fraction of the exposure bounds, `trialRatio` and `trialAllowance`, that is
 * used. The rest covers restarts of VMs, which reset their counts.
 */
const exposureFraction = 0.5;

/** Returns the fraction of a move's duration that has passed. */
export function getElapsedFraction(move: MoveState, nowMs: number): number {
  return (nowMs - move.startedAtMs) / Math.max(1, move.order.durationMs);
}

/** Returns the share of requests that is now routed to a move's new version. */
export function getNewVersionShare(move: MoveState, nowMs: number): number {
  if (move.isBad) return 0;
  if (isCompleted(move)) return 1;
  const fraction = getElapsedFraction(move, nowMs);
  const hasEvidence = move.newEvidence.total.answered >= minAnswers;
  const [firstStep] = moveSteps;
  if (!hasEvidence && fraction < evidenceWaitFraction) return firstStep.share;
  let {share} = firstStep;
  for (const step of moveSteps) {
    if (fraction >= step.fromFraction) share = step.share;
  }
  return share;
}

/**
 * Returns whether this VM's part of the exposure bounds allows another request
 * to the new version.
 */
function isTrialAllowed(state: DispatchState, move: MoveState): boolean {
  const {trialAllowance, trialRatio} = state.options;
  const ownAllowance = trialAllowance / (state.peers.byVm.size + 1);
  const maxTrials =
    exposureFraction * (trialRatio * move.requests + ownAllowance);
  return move.trials + 1 <= maxTrials;
}

/**
 * Decides whether a request is a trial, that is, routed to the new version of a
 * move. Counts the request, and a trial unless all requests are routed to the
 * new version.
 */
export function decideTrial(
  state: DispatchState,
  service: string,
  nowMs: number,
): boolean {
  const move = state.moves.get(service);
  if (move === undefined) return false;
  move.requests += 1;
  const share = getNewVersionShare(move, nowMs);
  if (share >= 1) return true;
  const isFirstStep = share <= moveSteps[0].share;
  if (isFirstStep && !isTrialAllowed(state, move)) return false;
  if (state.random.next() >= share) return false;
  move.trials += 1;
  return true;
}

/**
 * Returns the endpoints of a service without a move that may serve requests: those
 * of unproven versions only if no others stay.
 */
function listRemaining(
  state: DispatchState,
  service: string,
  entries: readonly EndpointEntry[],
): readonly EndpointEntry[] {
  const proven = listProvenEntries(state, service, entries);
  const isAnyStaying = proven.some(({endpoint}) => !endpoint.isDraining);
  return isAnyStaying ? proven : entries;
}

/**
 * Returns the endpoints that may serve a request. While its service is being
 * moved, these are the endpoints of the new version for a trial and those of
 * the old versions otherwise, or the others if there are none. Once all requests
 * are routed to the new version, this includes those that arrived earlier: the
 * endpoints of the old versions stop without draining when the move completes.
 * A version that was detected as bad serves no requests, unless its move was
 * completed: the old endpoints have stopped, and it can no longer be withdrawn.
 * Versions of earlier orders that were not completed serve no requests while
 * there are others. If a service is moved back to the version that it had, that
 * version serves all requests at once.
 */
export function listAllowedEndpoints(
  state: DispatchState,
  service: string,
  entries: readonly EndpointEntry[],
  isTrial: boolean,
  nowMs: number,
): readonly EndpointEntry[] {
  const move = state.moves.get(service);
  if (move === undefined) return listRemaining(state, service, entries);
  const {toVersion} = move.order;
  const isNew = (entry: EndpointEntry) => entry.endpoint.version === toVersion;
  const newEntries = entries.filter(isNew);
  const allOld = entries.filter(entry => !isNew(entry));
  const isOnlyVersion =
    allOld.length === 0 && move.order.phase === movePhase.completed;
  if (isOnlyVersion) return entries;
  const provenOld = listProvenEntries(state, service, allOld);
  if (move.isBad) return provenOld.length > 0 ? provenOld : allOld;
  const oldEntries =
    provenOld.length + newEntries.length > 0 ? provenOld : allOld;
  const isNewPreferred = isTrial || getNewVersionShare(move, nowMs) >= 1;
  const [preferred, others] = isNewPreferred
    ? [newEntries, oldEntries]
    : [oldEntries, newEntries];
  return preferred.length > 0 ? preferred : others;
}
