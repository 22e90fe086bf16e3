import {DispatchState} from '../dispatchState.js';
import {Effect} from '../effect.js';
import {RequestInterrupted} from '../input.js';
import {failRequest} from './endRequest.js';
import {notRunRetryAfterMs} from './handleCallFailed.js';

/**
 * Ends a request that this VM cannot go on with. Its call is not repeated: a fault
 * may lie in the request itself, and a process that ends has no time for it.
 */
export function handleRequestInterrupted(
  state: DispatchState,
  {isCallStarted, reason, requestId}: RequestInterrupted,
  nowMs: number,
): Effect[] {
  const request = state.requests.get(requestId);
  if (request === undefined) return [];
  const isInCall = request.phase === 'calling' && isCallStarted;
  const mayHaveRun = request.possibleRuns > 0 || isInCall;
  const error = mayHaveRun ? 'outcomeUnknown' : 'noEndpoint';
  const retryAfterMs = mayHaveRun ? 0 : notRunRetryAfterMs;
  return failRequest(state, request, error, reason, retryAfterMs, nowMs);
}
