import {Effect} from '../effect.js';
import {NodeState} from '../nodeState.js';
import {RoutingPolicy} from '../schedulerOptions.js';
import {askForGrant} from './askForGrant.js';
import {dispatchToLeastLoaded} from './dispatchToLeastLoaded.js';
import {expireRequest} from './handleRequestReceived.js';
import {ActiveRequest} from './requestsState.js';
import {decideVersion} from '../moves/decideVersion.js';

/** Finds an endpoint for a request. */
type AttemptStarter = (
  state: NodeState,
  request: ActiveRequest,
  nowMs: number,
) => Effect[];

const attemptStarters: Record<RoutingPolicy, AttemptStarter> = {
  grants: askForGrant,
  leastLoadedOfTwo: dispatchToLeastLoaded,
};

/** Starts the first or a further attempt of a request. */
export function startAttempt(
  state: NodeState,
  requestId: string,
  nowMs: number,
): Effect[] {
  const request = state.requests.active.get(requestId);
  if (request === undefined) return [];
  if (nowMs >= request.deadlineMs) {
    return expireRequest(state, requestId, nowMs);
  }
  request.phase = 'asking';
  request.attempts += 1;
  request.refusedCells.clear();
  request.cellWaitsMs.clear();
  request.version = decideVersion(state, request);
  return attemptStarters[state.options.routing](state, request, nowMs);
}
