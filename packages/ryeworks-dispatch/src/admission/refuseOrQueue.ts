import {
  DispatchState,
  getDispatchRate,
  getFairQueue,
  getQueue,
  getStarvedRanks,
} from '../dispatchState.js';
import {createCount, createLog, Effect, Log} from '../effect.js';
import {findReopeningMs} from '../endpoints/callObstacles.js';
import {EndpointEntry, listEndpoints} from '../endpoints/endpointTable.js';
import {countPeersWithRecentDigest} from '../peers/peerTable.js';
import {ActiveRequest} from '../requests/activeRequest.js';
import {refuseBeforeStop} from '../requests/canFinish.js';
import {failRequest} from '../requests/endRequest.js';
import {askForPermits, isServiceLimited} from '../rateLimits/requestPermits.js';
import {admitWaiting} from './admitWaiting.js';
import {getTierDistance} from './capacity.js';
import {
  assignOwnTags,
  countAhead,
  countCustomers,
  hasOwnWaiting,
  hasWaitingBetween,
  insertWaiting,
  isBehindOthers,
  Urgency,
} from './waitingQueue.js';

/** Time between two checks of the waiting requests, in ms. */
const sweepPeriodMs = 20;
/** Minimum number of requests ahead for the waiting time to be estimated. */
const minAheadForEstimate = 4;
/** Limits of the time after which a refused caller should retry, in ms. */
const minRetryAfterMs = 150;
const maxRetryAfterMs = 5000;
/** Minimum retry-after time while a rank is starved, in ms. */
const minStarvedRetryAfterMs = 500;
/**
 * Time over which the callers of one tier return once an endpoint can be called
 * again, in ms; those of lower tiers return after them.
 */
const returnSpreadMs = 300;
/** Retry-after time if it is not known when that will be, in ms. */
const unknownReopeningMs = 1000;

/** Returns the place of a new request like this one in the queue. */
function getNewUrgency(state: DispatchState, request: ActiveRequest): Urgency {
  const startTag = getFairQueue(state, request.service).getStartTag(request);
  return {rank: request.rank, startTag};
}

/** Estimates how long a new request like this one will wait, in ms. */
function estimateWaitMs(
  state: DispatchState,
  request: ActiveRequest,
  nowMs: number,
): number {
  const {service} = request;
  const urgency = getNewUrgency(state, request);
  const ahead = countAhead(getQueue(state, service), urgency);
  if (ahead < minAheadForEstimate) return 0;
  const perSecond = getDispatchRate(state, service).getPerSecond(nowMs);
  return perSecond === 0 ? maxRetryAfterMs : (ahead / perSecond) * 1000;
}

/** Randomizes a retry-after time, so that not all callers retry at once. */
function sampleRetryAfterMs(state: DispatchState, wantedMs: number): number {
  const spread = 0.75 + state.random.next() / 2;
  return Math.min(maxRetryAfterMs, wantedMs * spread);
}

/**
 * Returns the time after which a refused caller should retry, in ms: about the
 * time to dispatch the requests ahead of it.
 */
function getRetryAfterMs(
  state: DispatchState,
  request: ActiveRequest,
  nowMs: number,
): number {
  const waitMs = estimateWaitMs(state, request, nowMs);
  return sampleRetryAfterMs(state, Math.max(minRetryAfterMs, waitMs));
}

/**
 * Returns the time until a request can be sent if all endpoints that may serve it
 * are closed for longer than it can wait, in ms; undefined otherwise.
 *
 * @param entries the endpoints of the request's service
 */
function findClosedMs(
  state: DispatchState,
  request: ActiveRequest,
  entries: readonly EndpointEntry[],
  nowMs: number,
): number | undefined {
  const reopeningMs = findReopeningMs(state, request, entries, nowMs);
  const waitUntilMs = request.receivedAtMs + request.maxWaitMs;
  if (reopeningMs === undefined || reopeningMs <= waitUntilMs) return undefined;
  return Number.isFinite(reopeningMs)
    ? reopeningMs - nowMs
    : unknownReopeningMs;
}

/** Refuses a request without letting it wait, and logs why. */
function refuseAtOnce(
  state: DispatchState,
  request: ActiveRequest,
  reason: string,
  retryAfterMs: number,
  details: Log['fields'],
  nowMs: number,
): Effect[] {
  const {attemptId, rank, service} = request;
  return [
    createLog('request_refused', {
      request: attemptId,
      reason,
      rank,
      queued: getQueue(state, service).length,
      retryAfterMs: Math.round(retryAfterMs),
      ...details,
    }),
    ...failRequest(state, request, 'overloaded', reason, retryAfterMs, nowMs),
  ];
}

/** Refuses a request that no endpoint will take while it can wait. */
function refuseClosed(
  state: DispatchState,
  request: ActiveRequest,
  closedMs: number,
  nowMs: number,
): Effect[] {
  const tierDistance = getTierDistance(state, request);
  const spreadMs = (tierDistance + state.random.next()) * returnSpreadMs;
  const retryAfterMs = closedMs + spreadMs;
  const reason = 'endpoints_closed';
  const details = {closedMs: Math.round(closedMs)};
  return refuseAtOnce(state, request, reason, retryAfterMs, details, nowMs);
}

/**
 * Returns for how long requests of a rank have been starved, in ms, if a new one
 * would wait in vain; undefined otherwise. One of each customer always waits,
 * so that the end of the starvation is noticed at once: those that waited in vain
 * may be the requests of another customer.
 */
function findStarvedMs(
  state: DispatchState,
  request: ActiveRequest,
  nowMs: number,
): number | undefined {
  const {rank, service} = request;
  const starved = getStarvedRanks(state, service).findStarvedRank(rank, nowMs);
  if (starved === undefined) return undefined;
  const queue = getQueue(state, service);
  const isOneWaiting = hasOwnWaiting(queue, starved.rank, request);
  return isOneWaiting ? starved.starvedMs : undefined;
}

/**
 * Refuses a request of a starved rank. The longer the starvation has lasted, the
 * later its caller returns.
 */
function refuseStarved(
  state: DispatchState,
  request: ActiveRequest,
  starvedMs: number,
  nowMs: number,
): Effect[] {
  const wantedMs = Math.max(minStarvedRetryAfterMs, starvedMs);
  const retryAfterMs = sampleRetryAfterMs(state, wantedMs);
  const details = {starvedMs: Math.round(starvedMs)};
  return refuseAtOnce(state, request, 'starved', retryAfterMs, details, nowMs);
}

/**
 * Queues a request, or refuses it if the wait would be too long. If it can run
 * on a permit only, the owners of the limits tell how long it would wait.
 */
export function refuseOrQueue(
  state: DispatchState,
  request: ActiveRequest,
  nowMs: number,
): Effect[] {
  const {service} = request;
  const entries = [...listEndpoints(state.endpoints, service)];
  const closedMs = findClosedMs(state, request, entries, nowMs);
  if (closedMs !== undefined) {
    return refuseClosed(state, request, closedMs, nowMs);
  }
  if (isServiceLimited(state, service, nowMs)) {
    return startWaiting(state, request, nowMs);
  }
  const starvedMs = findStarvedMs(state, request, nowMs);
  if (starvedMs !== undefined) {
    return refuseStarved(state, request, starvedMs, nowMs);
  }
  const waitMs = estimateWaitMs(state, request, nowMs);
  const waitedMs = nowMs - request.receivedAtMs;
  if (waitedMs + waitMs > request.maxWaitMs) {
    const retryAfterMs = getRetryAfterMs(state, request, nowMs);
    const reason = 'long_queue';
    return failRequest(
      state,
      request,
      'overloaded',
      reason,
      retryAfterMs,
      nowMs,
    );
  }
  return startWaiting(state, request, nowMs);
}

/** Adds a request to its queue, in fair order among the customers of its rank. */
function scheduleRequest(
  state: DispatchState,
  request: ActiveRequest,
): Effect[] {
  const queue = getQueue(state, request.service);
  const fairQueue = getFairQueue(state, request.service);
  if (request.startTag < 0) {
    fairQueue.dropIdle(rank => hasWaitingBetween(queue, rank, rank));
    request.startTag = fairQueue.addRequest(request);
  }
  const isReordered = insertWaiting(queue, request);
  assignOwnTags(queue, request);
  if (!isReordered || countCustomers(queue) < 2) return [];
  return [createCount('fair_queue_reordered', {tier: `${request.tier}`})];
}

/** Queues a request and dispatches the requests that endpoints can take. */
export function startWaiting(
  state: DispatchState,
  request: ActiveRequest,
  nowMs: number,
): Effect[] {
  request.phase = 'waiting';
  const refused = refuseBeforeStop(state, request, nowMs);
  if (refused !== undefined) return refused;
  request.permitAsks = 0;
  request.nextPermitAskAtMs = nowMs;
  const queue = getQueue(state, request.service);
  const effects = scheduleRequest(state, request);
  effects.push(...admitWaiting(state, request.service, nowMs));
  effects.push(...askForPermits(state, request.service, nowMs));
  if (queue.length > 0) {
    state.timers.set('sweepWaiting', '', nowMs + sweepPeriodMs);
  }
  return effects;
}

/** Refuses a request that has waited in vain, and logs the state of its queue. */
function refuseWaited(
  state: DispatchState,
  request: ActiveRequest,
  nowMs: number,
): Effect[] {
  const {attemptId, rank, receivedAtMs, service} = request;
  // A request that waits behind those of other customers says nothing of its rank.
  if (!isBehindOthers(getQueue(state, service), request)) {
    getStarvedRanks(state, service).recordWaitedInVain(rank, nowMs);
  }
  const retryAfterMs = getRetryAfterMs(state, request, nowMs);
  const dispatchRate = getDispatchRate(state, service);
  return [
    createLog('wait_limit_exceeded', {
      request: attemptId,
      waitedMs: Math.round(nowMs - receivedAtMs),
      queued: getQueue(state, service).length,
      customer: request.customer,
      waitingCustomers: countCustomers(getQueue(state, service)),
      dispatchedPerSecond: dispatchRate.getPerSecond(nowMs),
      reportingPeers: countPeersWithRecentDigest(state.peers, nowMs),
    }),
    ...failRequest(state, request, 'overloaded', 'waited', retryAfterMs, nowMs),
  ];
}

/**
 * Refuses a waiting request if no endpoint will take it in time. One that may
 * have run goes on waiting.
 *
 * @param entries the endpoints of the request's service
 */
function refuseIfHopeless(
  state: DispatchState,
  request: ActiveRequest,
  entries: readonly EndpointEntry[],
  nowMs: number,
): Effect[] {
  if (request.possibleRuns > 0) return [];
  const refused = refuseBeforeStop(state, request, nowMs);
  if (refused !== undefined) return refused;
  const closedMs = findClosedMs(state, request, entries, nowMs);
  if (closedMs !== undefined) {
    return refuseClosed(state, request, closedMs, nowMs);
  }
  if (nowMs - request.receivedAtMs <= request.maxWaitMs) return [];
  return refuseWaited(state, request, nowMs);
}

/** Refuses requests that wait in vain, and tries to dispatch the others. */
export function sweepWaiting(
  state: DispatchState,
  _subject: string,
  nowMs: number,
): Effect[] {
  const effects: Effect[] = [];
  let queued = 0;
  for (const [service, queue] of state.queues) {
    const entries = [...listEndpoints(state.endpoints, service)];
    for (const request of [...queue]) {
      effects.push(...refuseIfHopeless(state, request, entries, nowMs));
    }
    effects.push(
      ...admitWaiting(state, service, nowMs),
      ...askForPermits(state, service, nowMs),
    );
    queued += queue.length;
  }
  if (queued > 0) state.timers.set('sweepWaiting', '', nowMs + sweepPeriodMs);
  return effects;
}
