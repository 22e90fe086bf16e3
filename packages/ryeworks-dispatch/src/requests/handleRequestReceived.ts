import {ErrorKind} from '@ryeworks/types';
import {refuseOrQueue} from '../admission/refuseOrQueue.js';
import {callKind, Customer, Route} from '../desired/desiredState.js';
import {findRoute, pickService} from '../desired/routeTable.js';
import {DispatchState, getRetryBudget, isReady} from '../dispatchState.js';
import {createCount, createLog, Effect, Log} from '../effect.js';
import {RequestReceived} from '../input.js';
import {LimitShare, consumeUnits} from '../limits/customerUsage.js';
import {decideTrial} from '../moves/decideTrial.js';
import {countPeersWithRecentDigest} from '../peers/peerTable.js';
import {highestTier} from '../tier.js';
import {ActiveRequest} from './activeRequest.js';
import {canFinish} from './canFinish.js';

/** Time to come back to a VM that does not know the desired state, in ms. */
const notReadyRetryAfterMs = 500;
/** Time that a request waits for a VM that is starting, in ms. */
const maxStartWaitMs = 250;
/** Time to come back, to another VM, from one that is stopping, in ms. */
const stoppingRetryAfterMs = 50;
/** Least time to come back to a customer whose limit is used up, in ms. */
const minLimitRetryAfterMs = 200;
/** Ranks of the routes within one tier of customers. */
const ranksPerTier = 1000;

/** Refuses a request that was not taken in. */
function refuseRequest(
  state: DispatchState,
  input: RequestReceived,
  error: ErrorKind,
  retryAfterMs = 0,
  inputs: Log['fields'] = {},
): Effect[] {
  const desiredVersion = state.desiredState.current?.version ?? -1;
  return [
    {
      kind: 'answerError',
      requestId: input.requestId,
      error,
      retryAfterMs,
    },
    createCount('requests_refused', {reason: error, tier: 'none'}),
    createLog('request_refused', {
      request: input.attemptId,
      reason: error,
      path: input.path,
      desiredVersion,
      retryAfterMs: Math.round(retryAfterMs),
      ...inputs,
    }),
  ];
}

/** Returns the units of its customer's limit that a request takes. */
function getRequestUnits(
  customer: Customer | undefined,
  input: RequestReceived,
): number {
  const limit = customer?.limit;
  if (limit === undefined) return 0;
  if (!limit.countsTokens) return 1;
  return input.totalTokens ?? limit.defaultTokens;
}

/** Returns how much of the customers' limits this VM may hand out now. */
function getLimitShare(state: DispatchState, nowMs: number): LimitShare {
  return {
    bounds: state.options.limitBounds,
    reportingPeers: countPeersWithRecentDigest(state.peers, nowMs),
    vmCount: state.peers.byVm.size + 1,
  };
}

/** Takes a request's units; returns when to come back if they are not there. */
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
 * Returns the place of a request among others: its customer's tier goes first,
 * then the tier of its route.
 */
function getRank(customer: Customer | undefined, route: Route): number {
  const customerTier = customer?.tier ?? highestTier;
  return customerTier * ranksPerTier + route.tier;
}

/** Lists what decided that a customer's limit is used up, for the log. */
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
    knownPeers: reportingPeers,
    vmCount,
    processAgeMs: Math.round(nowMs),
  };
}

/** Returns when a request is given up, in ms. */
function getTimeoutAtMs(route: Route, input: RequestReceived): number {
  const longestMs = Math.min(
    route.timeoutMs,
    input.deadlineInMs ?? route.timeoutMs,
  );
  return input.receivedAtMs + longestMs;
}

/** What the desired state makes of a request. */
interface Admission {
  readonly route: Route;
  readonly service: string;
  /** Undefined on an anonymous route. */
  readonly customer: Customer | undefined;
  /** Units of its customer's limit that it took. */
  readonly units: number;
}

/** Creates the request that this VM will see to its end. */
function createRequest(
  state: DispatchState,
  input: RequestReceived,
  {customer, route, service, units}: Admission,
  nowMs: number,
): ActiveRequest {
  const isResumableStream = route.kind === callKind.stream && route.isResumable;
  return {
    requestId: input.requestId,
    attemptId: input.attemptId,
    route,
    service,
    customer: customer?.name ?? '',
    tier: route.tier,
    rank: getRank(customer, route),
    receivedAtMs: input.receivedAtMs,
    timeoutAtMs: getTimeoutAtMs(route, input),
    promptTokens: input.promptTokens,
    units,
    isRetryable: route.kind === callKind.idempotent || isResumableStream,
    isTrial: decideTrial(state, service, nowMs),
    phase: 'waiting',
    callNumber: 0,
    endpointId: '',
    possibleRuns: 0,
    sentCalls: 0,
    callStartedAtMs: 0,
    hasFirstEvent: false,
    firstEventAtMs: 0,
    lastProgressAtMs: 0,
    events: 0,
    avoidedEndpoints: new Set(),
  };
}

/** Checks a request against the desired state and takes it in. */
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
  if (!canFinish(state, route, input, nowMs)) {
    return refuseRequest(state, input, 'notReady', stoppingRetryAfterMs);
  }
  const customer = state.desiredState.customersByKey.get(input.apiKey ?? '');
  if (customer === undefined && !route.isAnonymous) {
    return refuseRequest(state, input, 'unauthenticated');
  }
  const service = pickService(route, state.random);
  if (service === undefined) {
    return refuseRequest(state, input, 'noEndpoint', notReadyRetryAfterMs);
  }
  const units = getRequestUnits(customer, input);
  const limitWaitMs = applyLimit(state, customer, units, nowMs);
  if (limitWaitMs > 0) {
    const inputs = describeLimit(state, customer, units, nowMs);
    return refuseRequest(state, input, 'limitExceeded', limitWaitMs, inputs);
  }
  const admission = {customer, route, service, units};
  const request = createRequest(state, input, admission, nowMs);
  state.requests.set(request.requestId, request);
  const bounds = state.options.retryBounds;
  getRetryBudget(state, service).recordRequest(bounds, nowMs);
  const {requestId, timeoutAtMs} = request;
  state.timers.set('requestTimeout', requestId, timeoutAtMs);
  const tier = `${request.tier}`;
  return [
    createCount('requests_received', {tier}),
    ...refuseOrQueue(state, request, nowMs),
  ];
}

/** Takes in the requests that came before this VM knew enough. */
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

/** Refuses a request that came too early for this VM. */
export function expireEarlyRequest(
  state: DispatchState,
  requestId: string,
): Effect[] {
  const input = state.earlyRequests.get(requestId);
  if (input === undefined) return [];
  state.earlyRequests.delete(requestId);
  return refuseRequest(state, input, 'notReady', notReadyRetryAfterMs);
}
