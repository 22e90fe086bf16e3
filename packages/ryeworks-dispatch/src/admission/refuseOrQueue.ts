import {DispatchState, getDispatchRate, getQueue} from '../dispatchState.js';
import {createLog, Effect} from '../effect.js';
import {countPeersWithRecentDigest} from '../peers/peerTable.js';
import {ActiveRequest} from '../requests/activeRequest.js';
import {failRequest} from '../requests/endRequest.js';
import {admitWaiting} from './admitWaiting.js';
import {countAhead, insertWaiting} from './waitingQueue.js';

/** Time between two looks at waiting requests, in ms. */
const sweepPeriodMs = 20;
/** Part of the latency target that a request waits for an endpoint. */
const maxWaitFraction = 0.8;
/** Waiting requests ahead below which no wait is estimated. */
const minAheadForEstimate = 4;
/** Bounds of the time to come back, in ms. */
const minRetryAfterMs = 150;
const maxRetryAfterMs = 5000;

/** Returns how long a request may wait from its arrival, in ms. */
function getMaxWaitMs(request: ActiveRequest): number {
  return request.route.latencyTargetMs * maxWaitFraction;
}

/** Estimates how long a new request of a rank waits, in ms. */
function estimateWaitMs(
  state: DispatchState,
  service: string,
  rank: number,
  nowMs: number,
): number {
  const ahead = countAhead(getQueue(state, service), rank);
  if (ahead < minAheadForEstimate) return 0;
  const perSecond = getDispatchRate(state, service).getPerSecond(nowMs);
  return perSecond === 0 ? maxRetryAfterMs : (ahead / perSecond) * 1000;
}

/**
 * Returns when a refused caller should come back, in ms: when those ahead of it
 * will have been served, spread so that not all come at once.
 */
function getRetryAfterMs(
  state: DispatchState,
  request: ActiveRequest,
  nowMs: number,
): number {
  const {rank, service} = request;
  const waitMs = estimateWaitMs(state, service, rank, nowMs);
  const spread = 0.75 + state.random.next() / 2;
  const wantedMs = Math.max(minRetryAfterMs, waitMs) * spread;
  return Math.min(maxRetryAfterMs, wantedMs);
}

/** Lets a request wait, or refuses it when the wait would be too long. */
export function refuseOrQueue(
  state: DispatchState,
  request: ActiveRequest,
  nowMs: number,
): Effect[] {
  const {rank, service} = request;
  const waitMs = estimateWaitMs(state, service, rank, nowMs);
  const waitedMs = nowMs - request.receivedAtMs;
  if (waitedMs + waitMs > getMaxWaitMs(request)) {
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

/** Puts a request into its queue and dispatches what there is room for. */
export function startWaiting(
  state: DispatchState,
  request: ActiveRequest,
  nowMs: number,
): Effect[] {
  request.phase = 'waiting';
  const queue = getQueue(state, request.service);
  insertWaiting(queue, request);
  const effects = admitWaiting(state, request.service, nowMs);
  if (queue.length > 0) {
    state.timers.set('sweepWaiting', '', nowMs + sweepPeriodMs);
  }
  return effects;
}

/** Refuses requests that have waited too long, and tries the others again. */
export function sweepWaiting(
  state: DispatchState,
  _subject: string,
  nowMs: number,
): Effect[] {
  const effects: Effect[] = [];
  let queued = 0;
  for (const [service, queue] of state.queues) {
    for (const request of [...queue]) {
      const waitedMs = nowMs - request.receivedAtMs;
      if (request.possibleRuns > 0 || waitedMs <= getMaxWaitMs(request))
        continue;
      const retryAfterMs = getRetryAfterMs(state, request, nowMs);
      effects.push(
        createLog('wait_ended', {
          request: request.attemptId,
          waitedMs: Math.round(waitedMs),
          queued: queue.length,
          dispatchedPerSecond: getDispatchRate(state, service).getPerSecond(
            nowMs,
          ),
          freshPeers: countPeersWithRecentDigest(state.peers, nowMs),
        }),
        ...failRequest(
          state,
          request,
          'overloaded',
          'waited',
          retryAfterMs,
          nowMs,
        ),
      );
    }
    effects.push(...admitWaiting(state, service, nowMs));
    queued += queue.length;
  }
  if (queued > 0) state.timers.set('sweepWaiting', '', nowMs + sweepPeriodMs);
  return effects;
}
