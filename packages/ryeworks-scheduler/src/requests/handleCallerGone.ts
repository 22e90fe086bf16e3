import {Effect} from '../effect.js';
import {CallerGone} from '../input.js';
import {SchedulerState} from '../schedulerState.js';
import {endRequest} from './endRequest.js';
import {hasCall} from './requestsState.js';

/**
 * Ends a request whose caller closed the connection. A dispatched request with
 * a claimed idempotency key continues, so that a retry of the caller gets its
 * answer.
 */
export function handleCallerGone(
  state: SchedulerState,
  input: CallerGone,
  nowMs: number,
): Effect[] {
  const request = state.requests.active.get(input.requestId);
  if (request === undefined) return [];
  if (hasCall(request) && request.claimKey !== '') return [];
  const outcome = {error: 'callerGone' as const, reason: 'caller_gone'};
  return endRequest(state, request, outcome, nowMs);
}
