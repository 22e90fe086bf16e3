import {Effect} from '../effect.js';
import {SchedulerState} from '../schedulerState.js';
import {RoutingPolicy} from '../schedulerOptions.js';
import {askForGrant} from './askForGrant.js';
import {dispatchToLeastLoaded} from './dispatchToLeastLoaded.js';
import {expireRequest} from './expireRequest.js';
import {ActiveRequest} from './requestsState.js';
import {decideVersion} from '../moves/decideVersion.js';

/** Starts an attempt of a request under one routing policy. */
type AttemptStarter = (
  state: SchedulerState,
  request: ActiveRequest,
  nowMs: number,
) => Effect[];

const attemptStarters: Record<RoutingPolicy, AttemptStarter> = {
  grants: askForGrant,
  leastLoadedOfTwo: dispatchToLeastLoaded,
};

/** Starts the first or another attempt of a request. */
export function startAttempt(
  state: SchedulerState,
  requestId: string,
  nowMs: number,
): Effect[] {
  const request = state.requests.active.get(requestId);
  if (request === undefined) return [];
  if (nowMs >= request.deadlineMs) {
    return expireRequest(state, requestId, nowMs);
  }
  request.phase = 'awaitingGrant';
  request.attempts += 1;
  request.refusedCells.clear();
  request.cellWaitsMs.clear();
  request.version = decideVersion(state, request);
  return attemptStarters[state.options.routing](state, request, nowMs);
}
