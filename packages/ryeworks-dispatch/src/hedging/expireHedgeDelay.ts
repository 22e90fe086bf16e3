import {DispatchState, getRetryBudget} from '../dispatchState.js';
import {createCount, createLog, Effect} from '../effect.js';
import {EndpointEntry} from '../endpoints/endpointTable.js';
import {ActiveCall, ActiveRequest} from '../requests/activeRequest.js';
import {startHedgedCall} from '../requests/startCall.js';
import {
  findHedgeObstacle,
  HedgeObstacle,
  hedgeObstacle,
} from './hedgeObstacle.js';
import {getServiceHedging} from './hedgingState.js';
import {pickHedgeEndpoint} from './pickHedgeEndpoint.js';

/**
 * Time until the decision on a late call is made again, relative to its delay, and
 * its minimum in ms. A call to an endpoint that hangs waits for others to be idle.
 */
const repeatFraction = 0.5;
const minRepeatMs = 20;

/** Obstacles that may pass while a call is late. */
const passingObstacles: ReadonlySet<HedgeObstacle> = new Set([
  hedgeObstacle.notSent,
  hedgeObstacle.queued,
  hedgeObstacle.slowService,
  hedgeObstacle.budgetUsed,
  hedgeObstacle.retryBudgetUsed,
  hedgeObstacle.noEndpoint,
]);

/**
 * Returns the endpoint of a hedged request, charged to both budgets, or the reason
 * why there is none.
 */
function acquireHedgeEndpoint(
  state: DispatchState,
  request: ActiveRequest,
  call: ActiveCall,
  nowMs: number,
): EndpointEntry | HedgeObstacle {
  const obstacle = findHedgeObstacle(state, request, call, nowMs);
  if (obstacle !== undefined) return obstacle;
  const entry = pickHedgeEndpoint(state, request, call, nowMs);
  if (entry === undefined) return hedgeObstacle.noEndpoint;
  const {service} = request;
  const {retryBounds} = state.options;
  const vmCount = state.peers.byVm.size + 1;
  const retryBudget = getRetryBudget(state, service);
  if (!retryBudget.consumeRetry(retryBounds, vmCount, false, nowMs)) {
    return hedgeObstacle.retryBudgetUsed;
  }
  const {budget} = getServiceHedging(state.hedging, service);
  budget.consumeHedge(retryBounds, nowMs);
  return entry;
}

/**
 * Starts a hedged request if the only call of a request is late. If it is denied
 * for a reason that may pass, the decision is made again; the first one counts.
 */
export function expireHedgeDelay(
  state: DispatchState,
  requestId: string,
  nowMs: number,
): Effect[] {
  const request = state.requests.get(requestId);
  if (request === undefined || request.calls.length !== 1) return [];
  const [call] = request.calls;
  const {endpointId, lateAtMs, startedAtMs} = call;
  // The timer may be that of an earlier call.
  if (lateAtMs === undefined || lateAtMs > nowMs) return [];
  if (state.options.hedgeRatio === 0 || request.firstEventAtMs > 0) return [];
  const isFirstDecision = !call.isLate;
  call.isLate = true;
  if (isFirstDecision) {
    const {slowness} = getServiceHedging(state.hedging, request.service);
    slowness.recordCall(endpointId, true, nowMs);
  }
  const delayMs = lateAtMs - startedAtMs;
  const found = acquireHedgeEndpoint(state, request, call, nowMs);
  if (typeof found === 'string') {
    if (passingObstacles.has(found)) {
      const waitMs = Math.max(minRepeatMs, delayMs * repeatFraction);
      state.timers.set('hedge', requestId, nowMs + waitMs);
    }
    if (!isFirstDecision) return [];
    return [createCount('hedges_denied', {reason: found})];
  }
  return [
    createCount('hedges_sent'),
    createLog('call_hedged', {
      request: request.attemptId,
      endpoint: endpointId,
      hedgeEndpoint: found.endpoint.id,
      delayMs: Math.round(delayMs),
      afterMs: Math.round(nowMs - startedAtMs),
    }),
    ...startHedgedCall(state, request, found, nowMs),
  ];
}
