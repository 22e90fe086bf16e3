import {DispatchState, getQueue} from '../dispatchState.js';
import {callFailure} from '../input.js';
import {movePhase} from '../moves/moveOrder.js';
import {hasRecentDigest} from '../peers/peerTable.js';
import {ActiveCall, ActiveRequest} from '../requests/activeRequest.js';
import {
  findRetryObstacle,
  RetryObstacle,
} from '../requests/findRetryObstacle.js';
import {getServiceHedging} from './hedgingState.js';

/**
 * The reasons why a late call gets no hedged request, in addition to those against
 * a retry.
 */
export const hedgeObstacle = {
  /** The delay of the route and the prompt is not known yet. */
  fewSamples: 'few_samples',
  /** The late call was not sent; its connection has a timeout of its own. */
  notSent: 'not_sent',
  attemptsUsed: 'attempts_used',
  /** A request waits for the service, here or on a peer. */
  queued: 'queued',
  /** Its calls are the evidence of a move: canceled ones would be missing. */
  move: 'move',
  /** Calls to other endpoints are late as well. */
  slowService: 'slow_service',
  budgetUsed: 'budget_used',
  retryBudgetUsed: 'retry_budget_used',
  /** No other endpoint can take the request, or all that can are loaded. */
  noEndpoint: 'no_endpoint',
} as const;

/** One of the reasons why a late call gets no hedged request. */
export type HedgeObstacle =
  (typeof hedgeObstacle)[keyof typeof hedgeObstacle] | RetryObstacle;

/** Returns whether a request for a service waits on this VM or on a peer. */
function hasWaiting(
  state: DispatchState,
  service: string,
  nowMs: number,
): boolean {
  if (getQueue(state, service).length > 0) return true;
  for (const peer of state.peers.byVm.values()) {
    const count = peer.heads.get(service)?.count ?? 0;
    if (count > 0 && hasRecentDigest(peer, nowMs)) return true;
  }
  return false;
}

/**
 * Returns the reason why a late call gets no hedged request; undefined if it may
 * get one, as far as an endpoint and the retry budget allow it.
 */
export function findHedgeObstacle(
  state: DispatchState,
  request: ActiveRequest,
  call: ActiveCall,
  nowMs: number,
): HedgeObstacle | undefined {
  const {callsStarted, isTrial, route, service} = request;
  if (!call.isSent) return hedgeObstacle.notSent;
  if (callsStarted >= route.maxAttempts) return hedgeObstacle.attemptsUsed;
  const retryObstacle = findRetryObstacle(
    state,
    request,
    callFailure.cut,
    nowMs,
  );
  if (retryObstacle !== undefined) return retryObstacle;
  const phase = state.moves.get(service)?.order.phase;
  if (isTrial || phase === movePhase.moving) return hedgeObstacle.move;
  if (hasWaiting(state, service, nowMs)) return hedgeObstacle.queued;
  const {budget, slowness} = getServiceHedging(state.hedging, service);
  if (slowness.isSlowBeyond(call.endpointId, nowMs)) {
    return hedgeObstacle.slowService;
  }
  const {hedgeRatio, retryBounds} = state.options;
  return budget.hasRoom(hedgeRatio, retryBounds, nowMs)
    ? undefined
    : hedgeObstacle.budgetUsed;
}
