import {Effect} from '../effect.js';
import {SchedulerState} from '../schedulerState.js';
import {endRequest} from './endRequest.js';
import {hasCall} from './requestsState.js';

/** Ends a request whose deadline has passed. */
export function expireRequest(
  state: SchedulerState,
  requestId: string,
  nowMs: number,
): Effect[] {
  const request = state.requests.active.get(requestId);
  if (request === undefined) return [];
  const isDispatched = hasCall(request);
  const error = isDispatched ? 'outcomeUnknown' : 'deadlineExceeded';
  const silentMs = nowMs - request.lastProgressMs;
  const isEndpointFault =
    isDispatched && silentMs >= state.options.progressTimeoutMs;
  const outcome = {error, reason: 'deadline', isEndpointFault} as const;
  return endRequest(state, request, outcome, nowMs);
}
