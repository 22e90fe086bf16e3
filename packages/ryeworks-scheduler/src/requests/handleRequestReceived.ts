import {
  Allowance,
  errorAnswers,
  ErrorKind,
  routeClass,
  runStatus,
  ServiceDefinition,
  ServiceRoute,
  Tier,
} from '@ryeworks/types';
import {isConfigured} from '../documents/documentsState.js';
import {findAllowance} from '../documents/planLookups.js';
import {createCount, Effect} from '../effect.js';
import {RequestReceived} from '../input.js';
import {acquireLimit} from '../limits/acquireLimit.js';
import {SchedulerState} from '../schedulerState.js';
import {findRoute} from './findRoute.js';
import {ActiveRequest, maxRetryBudget} from './requestsState.js';
import {startAttempt} from './startAttempt.js';
import {startClaim} from './startClaim.js';

/** Time after which callers of a VM that accepts no requests retry, in ms. */
const notReadyRetryMs = 1000;

/**
 * Refuses a request that was not accepted. Unless a request with an idempotency
 * key is known to be a first attempt, its run status is unknown, because an
 * earlier attempt may have run elsewhere.
 */
function refuseRequest(
  input: RequestReceived,
  error: ErrorKind,
  retryAfterMs = 0,
  reason: string = error,
): Effect[] {
  const {requestId} = input;
  const mayHaveRun = input.idempotencyKey !== undefined && input.attempt !== 1;
  const ran = mayHaveRun ? runStatus.unknown : errorAnswers[error].ran;
  return [
    {kind: 'answerError', requestId, error, ran, retryAfterMs},
    createCount('request.refused', {reason}),
  ];
}

/** Creates the state of a request that this VM accepts. */
function createRequest(
  state: SchedulerState,
  input: RequestReceived,
  service: ServiceDefinition,
  tier: Tier,
  route: ServiceRoute,
  nowMs: number,
): ActiveRequest {
  const maxMs = state.options.claimWindowMs / 2;
  const requestedMs = input.deadlineInMs ?? service.defaultDeadlineMs;
  const needsClaim =
    input.idempotencyKey !== undefined && route.class !== routeClass.idempotent;
  return {
    requestId: input.requestId,
    customer: input.customer,
    service,
    route: `${route.method} ${route.path}`,
    routeClass: route.class,
    tier,
    promptTokens: input.promptTokens,
    maxTokens: input.maxTokens,
    prefixHash: input.prefixHash,
    fingerprint: input.fingerprint,
    claimKey: needsClaim ? input.idempotencyKey! : '',
    isFirstAttempt: input.attempt === 1,
    keyAgeMs: input.keyAgeMs ?? -1,
    receivedAtMs: nowMs,
    deadlineMs: nowMs + Math.min(maxMs, requestedMs),
    phase: 'claiming',
    pendingClaims: new Set(),
    claimDoubts: new Map(),
    claimRepeats: 0,
    claimOwnerRank: 0,
    attempts: 0,
    askId: '',
    cellKey: '',
    grantOwnerRank: 0,
    askedVm: '',
    isQueued: false,
    isEarlyGrantOnly: false,
    grantRequestCount: 0,
    refusedCells: new Set(),
    cellWaitsMs: new Map(),
    avoid: [],
    version: '',
    endpoint: '',
    streamId: input.requestId,
    dispatchedAtMs: 0,
    firstTokenAtMs: 0,
    lastProgressMs: 0,
    hasSilentCall: false,
    mayHaveRun: false,
    resumes: 0,
  };
}

/** Checks a request against plan and limits, and starts or refuses it. */
export function handleRequestReceived(
  state: SchedulerState,
  input: RequestReceived,
  nowMs: number,
): Effect[] {
  const {documents, options, requests, timers} = state;
  if (state.draining || !isConfigured(documents)) {
    return refuseRequest(input, 'notReady', notReadyRetryMs);
  }
  const service = options.services.find(
    definition => definition.service === input.service,
  );
  const route = service && findRoute(service, input.route);
  if (service === undefined || route === undefined) {
    return refuseRequest(input, 'unknownService');
  }
  const tier = input.tier ?? service.defaultTier;
  const allowance: Allowance | undefined = findAllowance(
    documents,
    input.customer,
    service.service,
    tier,
  );
  if (allowance === undefined) return refuseRequest(input, 'notAllowed');
  const tokens = input.promptTokens + input.maxTokens;
  const decision = acquireLimit(state, input.customer, tier, tokens, nowMs);
  if (!decision.isAllowed) {
    const reason = `limit_${decision.limit}`;
    const {retryAfterMs} = decision;
    return refuseRequest(input, 'limitExceeded', retryAfterMs, reason);
  }
  const request = createRequest(state, input, service, tier, route, nowMs);
  requests.active.set(request.requestId, request);
  requests.retryBudget = Math.min(
    maxRetryBudget,
    requests.retryBudget + options.retryBudgetRatio,
  );
  timers.set('requestDeadline', request.requestId, request.deadlineMs);
  const receivedCount = createCount('request.received', {
    service: service.service,
    tier: `${tier}`,
  });
  if (request.claimKey !== '') {
    return [receivedCount, ...startClaim(state, request, nowMs)];
  }
  return [receivedCount, ...startAttempt(state, request.requestId, nowMs)];
}
