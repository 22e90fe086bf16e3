import {errorAnswers, ErrorKind, runStatus, RunStatus} from '@ryeworks/types';
import {estimateRetryAfterMs} from '../admission/estimateWait.js';
import {createCount, createLog, Effect} from '../effect.js';
import {releaseLimit} from '../limits/acquireLimit.js';
import {createSendPeer} from '../membership/createSendPeer.js';
import {rankOwners} from '../membership/membershipState.js';
import {parseCellKey} from '../admission/cellKeys.js';
import {recordObservation} from '../moves/recordObservation.js';
import {SchedulerState} from '../schedulerState.js';
import {GrantEnd} from '../peerMessage.js';
import {updateClaims} from './updateClaims.js';
import {ActiveRequest, hasCall, requestPhase} from './requestsState.js';

/** How a request ended. */
export type EndOutcome =
  | {readonly done: true; readonly outputTokens: number}
  /** The caller was attached to the answer of another request. */
  | {readonly attached: true}
  | {
      readonly error: ErrorKind;
      readonly reason: string;
      readonly retryAfterMs?: number;
      /** Set when more is known of the run than the error kind implies. */
      readonly ran?: RunStatus;
      /** True when the endpoint caused the error. */
      readonly isEndpointFault?: boolean;
    };

/** Computes the latencies of a call; all 0 before its first token. */
function measureCall(
  request: ActiveRequest,
  outputTokens: number,
  nowMs: number,
): {firstTokenMs: number; interTokenMs: number} {
  if (request.firstTokenAtMs === 0) return {firstTokenMs: 0, interTokenMs: 0};
  const firstTokenMs = request.firstTokenAtMs - request.dispatchedAtMs;
  const outputMs = nowMs - request.firstTokenAtMs;
  const interTokenMs = outputTokens > 1 ? outputMs / (outputTokens - 1) : 0;
  return {firstTokenMs, interTokenMs};
}

/**
 * Returns a grant, or withdraws a waiting grant request. The message goes to the
 * owners of the cell up to the rank that was last asked.
 */
export function returnGrant(
  state: SchedulerState,
  request: ActiveRequest,
  outcome: GrantEnd['outcome'],
  outputTokens: number,
  nowMs: number,
): Effect[] {
  if (request.cellKey === '') return [];
  const {cellKey, askId} = request;
  const {availabilityZone} = parseCellKey(cellKey);
  const owners = rankOwners(state.membership, cellKey, availabilityZone);
  const lastRank = Math.min(request.grantOwnerRank, owners.length - 1);
  const end: GrantEnd = {
    kind: 'grantEnd',
    askId,
    cellKey,
    outcome,
    outputTokens,
    ...measureCall(request, outputTokens, nowMs),
  };
  request.cellKey = '';
  return owners
    .slice(0, lastRank + 1)
    .map(owner => createSendPeer(state, owner, end));
}

/** Counts the prompt tokens of a dispatched request as wasted prefill. */
function countWastedPrefill(request: ActiveRequest): Effect[] {
  if (!hasCall(request)) return [];
  return [
    createCount(
      'prefill.wasted_tokens',
      {tier: `${request.tier}`},
      request.promptTokens,
    ),
  ];
}

/** Removes a request, clears its timers and releases its limit. */
function removeRequest(state: SchedulerState, request: ActiveRequest): void {
  const {requests, timers} = state;
  const {requestId} = request;
  requests.active.delete(requestId);
  timers.clear('requestDeadline', requestId);
  timers.clear('grantRequestTimeout', requestId);
  timers.clear('retryBackoff', requestId);
  timers.clear('progressTimeout', requestId);
  timers.clear('resumeBackoff', requestId);
  timers.clear('claimTimeout', requestId);
  releaseLimit(state, request.customer, request.tier);
}

/** Ends a request that the endpoint answered completely. */
function endWithAnswer(
  state: SchedulerState,
  request: ActiveRequest,
  outputTokens: number,
  nowMs: number,
): Effect[] {
  const tags = {service: request.service.service, tier: `${request.tier}`};
  return [
    {kind: 'completeAnswer', requestId: request.requestId},
    createCount('request.done', tags),
    ...recordObservation(state, request, true, outputTokens, nowMs),
    ...returnGrant(state, request, 'done', outputTokens, nowMs),
  ];
}

/**
 * Returns the proven run status of a request that ends with an error. Until
 * every zone has answered its claim, an earlier attempt with the same key may
 * have run, and so may an earlier call.
 */
function getProvenRunStatus(
  request: ActiveRequest,
  error: ErrorKind,
): RunStatus {
  const isClaimPending =
    request.claimKey !== '' &&
    !request.isFirstAttempt &&
    request.phase === requestPhase.claiming &&
    error !== 'keyReused';
  const {ran} = errorAnswers[error];
  const isDoubtful = request.mayHaveRun && ran === runStatus.notRun;
  return isClaimPending || isDoubtful ? runStatus.unknown : ran;
}

/**
 * Ends a request with an error and the run status that is proven. Releases its
 * claim when the request was not dispatched or is proven not to have run.
 */
function endWithError(
  state: SchedulerState,
  request: ActiveRequest,
  outcome: Extract<EndOutcome, {error: ErrorKind}>,
  nowMs: number,
): Effect[] {
  const {requestId} = request;
  const isDispatched = hasCall(request);
  const errorAnswer = errorAnswers[outcome.error];
  const ran = outcome.ran ?? getProvenRunStatus(request, outcome.error);
  const retryAfterMs = errorAnswer.retryAfter
    ? (outcome.retryAfterMs ?? estimateRetryAfterMs(state, undefined))
    : 0;
  const isEndpointFault = outcome.isEndpointFault === true;
  const effects: Effect[] = [
    {kind: 'answerError', requestId, error: outcome.error, ran, retryAfterMs},
    createCount('request.refused', {reason: outcome.reason}),
    createLog('request_failed', {
      requestId,
      error: outcome.error,
      reason: outcome.reason,
      ran,
      tier: request.tier,
    }),
  ];
  if (isDispatched) effects.push({kind: 'cancelDispatch', requestId});
  if (isEndpointFault) {
    effects.push(...recordObservation(state, request, false, 0, nowMs));
  }
  const grantOutcome = !isDispatched
    ? 'unused'
    : isEndpointFault
      ? 'failed'
      : 'unused';
  effects.push(
    ...countWastedPrefill(request),
    ...returnGrant(state, request, grantOutcome, 0, nowMs),
  );
  if (!isDispatched || ran === runStatus.notRun) {
    effects.push(...updateClaims(state, request, 'released'));
  }
  return effects;
}

/**
 * Ends a request: answers the caller, unless it was attached to the answer of
 * another request, and releases the grant, limit and timers of the request.
 */
export function endRequest(
  state: SchedulerState,
  request: ActiveRequest,
  outcome: EndOutcome,
  nowMs: number,
): Effect[] {
  const effects: Effect[] = [];
  if ('done' in outcome) {
    effects.push(...endWithAnswer(state, request, outcome.outputTokens, nowMs));
  }
  if ('error' in outcome) {
    effects.push(...endWithError(state, request, outcome, nowMs));
  }
  removeRequest(state, request);
  return effects;
}

/** Ends a request of which an earlier attempt may have run. */
export function endWithUnknownOutcome(
  state: SchedulerState,
  request: ActiveRequest,
  reason: string,
  nowMs: number,
): Effect[] {
  const outcome: EndOutcome = {error: 'outcomeUnknown', reason};
  return [
    createCount('claim.unknown', {reason}),
    ...endRequest(state, request, outcome, nowMs),
  ];
}
