import {ErrorKind} from '@ryeworks/types';
import {decideMaxWaitMs} from '../admission/maxWait.js';
import {refuseOrQueue} from '../admission/refuseOrQueue.js';
import {findQuarantine} from '../crashes/isQuarantined.js';
import {quarantineMs, recordSeen} from '../crashes/partRecords.js';
import {addRecentPrompt} from '../crashes/recentPrompts.js';
import {callKind, Customer, Route} from '../desired/desiredState.js';
import {findRoute, pickService} from '../desired/routeTable.js';
import {DispatchState, getRetryBudget, isReady} from '../dispatchState.js';
import {createCount, createLog, Effect, Log} from '../effect.js';
import {recordHedgeableRequest} from '../hedging/recordHedging.js';
import {RequestReceived} from '../input.js';
import {LimitShare, consumeUnits} from '../limits/customerUsage.js';
import {decideTrial} from '../moves/decideTrial.js';
import {countPeersWithRecentDigest} from '../peers/peerTable.js';
import {getReportDelayMs} from '../peers/relayDigests.js';
import {highestTier} from '../tier.js';
import {ActiveRequest} from './activeRequest.js';
import {canFinish, stoppingRetryAfterMs} from './canFinish.js';

/** Retry-after time if a VM is not ready or a route has no service, in ms. */
const notReadyRetryAfterMs = 500;
/** Maximum time that a request waits for the VM to become ready, in ms. */
const maxStartWaitMs = 250;
/** Minimum retry-after time when a customer's limit is used up, in ms. */
const minLimitRetryAfterMs = 200;
/**
 * Number of ranks within one customer tier; the route tier selects the rank.
 */
const ranksPerTier = 1000;

/** Refuses a request before it becomes an active request. */
function refuseRequest(
  state: DispatchState,
  input: RequestReceived,
  error: ErrorKind,
  retryAfterMs = 0,
  details: Log['fields'] = {},
): Effect[] {
  const desiredVersion = state.desiredState.current?.version ?? -1;
  return [
    {
      kind: 'answerError',
      requestId: input.requestId,
      error,
      reason: error,
      retryAfterMs,
    },
    createCount('requests_refused', {reason: error, tier: 'none'}),
    createLog('request_refused', {
      request: input.attemptId,
      reason: error,
      path: input.path,
      desiredVersion,
      retryAfterMs: Math.round(retryAfterMs),
      ...details,
    }),
  ];
}

/** Returns the units of the customer's limit that a request needs. */
function getRequestUnits(
  customer: Customer | undefined,
  input: RequestReceived,
): number {
  const limit = customer?.limit;
  if (limit === undefined) return 0;
  if (!limit.countsTokens) return 1;
  return input.totalTokens ?? limit.defaultTokens;
}

/** Returns the share of the customers' limits that this VM may grant now. */
function getLimitShare(state: DispatchState, nowMs: number): LimitShare {
  return {
    bounds: state.options.limitBounds,
    reportingPeers: countPeersWithRecentDigest(state.peers, nowMs),
    vmCount: state.peers.byVm.size + 1,
    reportDelayMs: getReportDelayMs(state),
  };
}

/**
 * Charges a request's units to the customer's limit. Returns 0, or the time
 * after which to retry if the limit is used up, in ms.
 */
function applyLimit(
  state: DispatchState,
  customer: Customer | undefined,
  units: number,
  nowMs: number,
): number {
  if (customer?.limit === undefined) return 0;
  const {limit, name} = customer;
  const share = getLimitShare(state, nowMs);
  const waitMs = consumeUnits(
    state.usageByCustomer,
    name,
    limit,
    units,
    share,
    nowMs,
  );
  return waitMs === 0 ? 0 : Math.max(minLimitRetryAfterMs, waitMs);
}

/**
 * Returns the rank of a request. Ranks are ordered by the customer's tier
 * first, then by the route's tier; a customer without a tier gets the
 * highest.
 */
function getRank(customer: Customer | undefined, route: Route): number {
  const customerTier = customer?.tier ?? highestTier;
  return customerTier * ranksPerTier + route.tier;
}

/** Returns the log fields that explain why a customer's limit is used up. */
function describeLimit(
  state: DispatchState,
  customer: Customer | undefined,
  units: number,
  nowMs: number,
): Log['fields'] {
  const {reportingPeers, vmCount} = getLimitShare(state, nowMs);
  return {
    customer: customer?.name ?? '',
    units,
    unitsPerSecond: customer?.limit?.unitsPerSecond ?? 0,
    ownUnits: state.usageByCustomer.get(customer?.name ?? '')?.consumed ?? 0,
    reportingPeers,
    vmCount,
    processAgeMs: Math.round(nowMs),
  };
}

/** Returns when a request times out, in ms. */
function getTimeoutAtMs(route: Route, input: RequestReceived): number {
  const timeoutMs = Math.min(
    route.timeoutMs,
    input.deadlineInMs ?? route.timeoutMs,
  );
  return input.receivedAtMs + timeoutMs;
}

/** Result of checking a request against the desired state. */
interface Admission {
  readonly route: Route;
  readonly service: string;
  /** Undefined on an anonymous route. */
  readonly customer: Customer | undefined;
  /** Units of the customer's limit that were charged. */
  readonly units: number;
}

/** Creates the state of a request that was accepted. */
function createRequest(
  state: DispatchState,
  input: RequestReceived,
  {customer, route, service, units}: Admission,
  nowMs: number,
): ActiveRequest {
  const isResumableStream = route.kind === callKind.stream && route.isResumable;
  const maxWaitMs = decideMaxWaitMs(
    state,
    service,
    route.latencyTargetMs,
    input.promptTokens,
  );
  return {
    requestId: input.requestId,
    attemptId: input.attemptId,
    route,
    service,
    customer: customer?.name ?? '',
    tier: route.tier,
    rank: getRank(customer, route),
    receivedAtMs: input.receivedAtMs,
    // What it waited before it came here is no wait for an endpoint.
    maxWaitMs: nowMs - input.receivedAtMs + maxWaitMs,
    timeoutAtMs: getTimeoutAtMs(route, input),
    promptTokens: input.promptTokens,
    cost: Math.max(1, input.totalTokens ?? 1),
    startTag: -1,
    sharedParts: input.sharedParts,
    units,
    isRetryable: route.kind === callKind.idempotent || isResumableStream,
    isTrial: decideTrial(state, service, nowMs),
    phase: 'waiting',
    callsStarted: 0,
    calls: [],
    possibleRuns: 0,
    sentCalls: 0,
    firstEventAtMs: 0,
    permitAsks: 0,
    nextPermitAskAtMs: 0,
    askedEndpointId: '',
    avoidedUntilMs: new Map(),
  };
}

/**
 * Checks a request against the desired state, and accepts or refuses it. A
 * request that arrives before the VM is ready waits for a short time.
 */
export function handleRequestReceived(
  state: DispatchState,
  input: RequestReceived,
  nowMs: number,
): Effect[] {
  if (!isReady(state)) {
    state.earlyRequests.set(input.requestId, input);
    const dueMs = input.receivedAtMs + maxStartWaitMs;
    state.timers.set('earlyRequest', input.requestId, dueMs);
    return [];
  }
  const route = findRoute(state.desiredState.routes, input.host, input.path);
  if (route === undefined) return refuseRequest(state, input, 'unknownService');
  if (!canFinish(state, getTimeoutAtMs(route, input), nowMs)) {
    return refuseRequest(state, input, 'notReady', stoppingRetryAfterMs);
  }
  if (getTimeoutAtMs(route, input) <= nowMs) {
    return refuseRequest(state, input, 'overloaded');
  }
  const customer = state.desiredState.customersByKey.get(input.apiKey ?? '');
  if (customer === undefined && !route.isAnonymous) {
    return refuseRequest(state, input, 'unauthenticated');
  }
  const service = pickService(route, state.random);
  if (service === undefined) {
    return refuseRequest(state, input, 'noEndpoint', notReadyRetryAfterMs);
  }
  const prompt = {service, sharedParts: input.sharedParts};
  addRecentPrompt(state.crashes, prompt);
  const quarantine = findQuarantine(state.crashes, prompt, nowMs);
  if (quarantine !== undefined) {
    recordSeen(state.crashes, quarantine, nowMs);
    const details = {parts: quarantine.join()};
    return refuseRequest(state, input, 'crashingPrompt', quarantineMs, details);
  }
  const units = getRequestUnits(customer, input);
  const limitWaitMs = applyLimit(state, customer, units, nowMs);
  if (limitWaitMs > 0) {
    const details = describeLimit(state, customer, units, nowMs);
    return refuseRequest(state, input, 'limitExceeded', limitWaitMs, details);
  }
  const admission = {customer, route, service, units};
  const request = createRequest(state, input, admission, nowMs);
  state.requests.set(request.requestId, request);
  const bounds = state.options.retryBounds;
  getRetryBudget(state, service).recordRequest(bounds, nowMs);
  recordHedgeableRequest(state, service, nowMs);
  const {requestId, timeoutAtMs} = request;
  state.timers.set('requestTimeout', requestId, timeoutAtMs);
  const tier = `${request.tier}`;
  return [
    createCount('requests_received', {tier}),
    ...refuseOrQueue(state, request, nowMs),
  ];
}

/** Handles the requests that arrived before the VM was ready. */
export function handleEarlyRequests(
  state: DispatchState,
  nowMs: number,
): Effect[] {
  if (!isReady(state)) return [];
  const effects: Effect[] = [];
  for (const [requestId, input] of state.earlyRequests) {
    state.earlyRequests.delete(requestId);
    state.timers.clear('earlyRequest', requestId);
    effects.push(...handleRequestReceived(state, input, nowMs));
  }
  return effects;
}

/** Refuses a request that has waited too long for the VM to become ready. */
export function expireEarlyRequest(
  state: DispatchState,
  requestId: string,
): Effect[] {
  const input = state.earlyRequests.get(requestId);
  if (input === undefined) return [];
  state.earlyRequests.delete(requestId);
  return refuseRequest(state, input, 'notReady', notReadyRetryAfterMs);
}
