import {errorAnswers, ErrorKind, runStatus, RunStatus} from '@ryeworks/types';
import {estimateRetryAfterMs} from '../admission/estimateWait.js';
import {createCount, createLog, Effect} from '../effect.js';
import {releaseLimit} from '../limits/acquireLimit.js';
import {createSendPeer} from '../membership/createSendPeer.js';
import {rankOwners} from '../membership/membershipState.js';
import {parseCellKey} from '../admission/cellKeys.js';
import {recordObservation} from '../moves/recordObservation.js';
import {NodeState} from '../nodeState.js';
import {GrantEnd} from '../peerMessage.js';
import {updateClaims} from './updateClaims.js';
import {ActiveRequest, requestPhase} from './requestsState.js';

/** How a request ended. */
export type EndOutcome =
  | {readonly done: true; readonly outputTokens: number}
  | {readonly attached: true}
  | {
      readonly error: ErrorKind;
      readonly reason: string;
      readonly retryAfterMs?: number;
      /** Set when more is known than the error kind says. */
      readonly ran?: RunStatus;
      /** True when the endpoint is to blame. */
      readonly isEndpointFault?: boolean;
    };

/** Measures a call that got as far as its first token. */
function measureCall(
  request: ActiveRequest,
  outputTokens: number,
  nowMs: number,
): {firstTokenMs: number; interTokenMs: number} {
  if (request.firstTokenAtMs === 0) return {firstTokenMs: 0, interTokenMs: 0};
  const firstTokenMs = request.firstTokenAtMs - request.dispatchedAtMs;
  const spanMs = nowMs - request.firstTokenAtMs;
  const interTokenMs = outputTokens > 1 ? spanMs / (outputTokens - 1) : 0;
  return {firstTokenMs, interTokenMs};
}

/** Returns a grant, or withdraws a waiting ask. */
export function returnGrant(
  state: NodeState,
  request: ActiveRequest,
  outcome: GrantEnd['outcome'],
  outputTokens: number,
  nowMs: number,
): Effect[] {
  if (request.cellKey === '') return [];
  const {cellKey, askId} = request;
  const {availabilityZone} = parseCellKey(cellKey);
  const owners = rankOwners(state.membership, cellKey, availabilityZone);
  const last = Math.min(request.grantOwnerRank, owners.length - 1);
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
    .slice(0, last + 1)
    .map(owner => createSendPeer(state, owner, end));
}

/** Counts the prompt that an endpoint read for nothing. */
function countWastedPrefill(request: ActiveRequest): Effect[] {
  if (request.phase !== 'dispatched') return [];
  return [
    createCount(
      'prefill.wasted_tokens',
      {tier: `${request.tier}`},
      request.promptTokens,
    ),
  ];
}

/** Clears what waits for a request and forgets it. */
function removeRequest(state: NodeState, request: ActiveRequest): void {
  const {requests, timers} = state;
  const {requestId} = request;
  requests.active.delete(requestId);
  timers.clear('requestDeadline', requestId);
  timers.clear('grantAskTimeout', requestId);
  timers.clear('retryBackoff', requestId);
  timers.clear('progressTimeout', requestId);
  timers.clear('claimTimeout', requestId);
  releaseLimit(state, request.customer, request.tier);
}

/** Ends a request that the endpoint answered in full. */
function endWithAnswer(
  state: NodeState,
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
 * Returns what is proved of a request that ends with an error. Until every zone
 * has answered its claim, an earlier attempt with the same key may have run.
 */
function getProvenRunStatus(
  request: ActiveRequest,
  error: ErrorKind,
): RunStatus {
  const isUnsettled =
    request.claimKey !== '' &&
    !request.isFirstAttempt &&
    request.phase === requestPhase.claiming &&
    error !== 'keyReused';
  return isUnsettled ? runStatus.unknown : errorAnswers[error].ran;
}

/** Ends a request with an error; says `unknown` once it was dispatched. */
function endWithError(
  state: NodeState,
  request: ActiveRequest,
  outcome: Extract<EndOutcome, {error: ErrorKind}>,
  nowMs: number,
): Effect[] {
  const {requestId} = request;
  const isDispatched = request.phase === 'dispatched';
  const listed = errorAnswers[outcome.error];
  const ran = outcome.ran ?? getProvenRunStatus(request, outcome.error);
  const retryAfterMs = listed.retryAfter
    ? (outcome.retryAfterMs ?? estimateRetryAfterMs(state, undefined))
    : 0;
  const isFault = outcome.isEndpointFault === true;
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
  if (isFault) {
    effects.push(...recordObservation(state, request, false, 0, nowMs));
  }
  const grantOutcome = !isDispatched ? 'unused' : isFault ? 'failed' : 'unused';
  effects.push(
    ...countWastedPrefill(request),
    ...returnGrant(state, request, grantOutcome, 0, nowMs),
  );
  if (!isDispatched || ran === runStatus.notRun) {
    effects.push(...updateClaims(state, request, 'released'));
  }
  return effects;
}

/** Ends a request: answers the caller and returns all that it held. */
export function endRequest(
  state: NodeState,
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
