import {DispatchState} from '../dispatchState.js';
import {Effect} from '../effect.js';
import {RequestFaulted} from '../input.js';
import {failRequest} from './endRequest.js';
import {notRunRetryAfterMs} from './handleCallFailed.js';

/**
 * Ends a request whose handling was interrupted by a fault of this VM. Its call is
 * not repeated, since the fault may lie in the request itself.
 */
export function handleRequestFaulted(
  state: DispatchState,
  {isCallStarted, requestId}: RequestFaulted,
  nowMs: number,
): Effect[] {
  const request = state.requests.get(requestId);
  if (request === undefined) return [];
  const isInCall = request.phase === 'calling' && isCallStarted;
  const mayHaveRun = request.possibleRuns > 0 || isInCall;
  const error = mayHaveRun ? 'outcomeUnknown' : 'noEndpoint';
  const retryAfterMs = mayHaveRun ? 0 : notRunRetryAfterMs;
  return failRequest(
    state,
    request,
    error,
    'internal_error',
    retryAfterMs,
    nowMs,
  );
}
