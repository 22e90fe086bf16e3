import {createCount, createLog, Effect} from '../effect.js';
import {SchedulerState} from '../schedulerState.js';
import {EndOutcome, endRequest, returnGrant} from './endRequest.js';
import {ActiveRequest, requestPhase} from './requestsState.js';

/**
 * Goes on waiting for a call that makes no progress. Its endpoint may go on at
 * any time, and to give the call up gains nothing.
 */
export function waitForCall(
  state: SchedulerState,
  request: ActiveRequest,
  nowMs: number,
): Effect[] {
  const {endpoint, lastProgressMs, requestId} = request;
  const dueMs = nowMs + state.options.progressTimeoutMs;
  state.timers.set('progressTimeout', requestId, dueMs);
  const silentMs = Math.round(nowMs - lastProgressMs);
  return [
    createLog('call_silent', {requestId, endpoint, silentMs}),
    createCount('request.silent'),
  ];
}

/** Makes the silent call of a request its current call again. */
function resumeSilentCall(state: SchedulerState, request: ActiveRequest): void {
  const {admission, timers} = state;
  timers.clear('grantRequestTimeout', request.requestId);
  request.hasSilentCall = false;
  request.phase = requestPhase.dispatched;
  const endpoint = admission.endpoints.get(request.endpoint);
  request.version = endpoint?.version ?? request.version;
}

/**
 * Ends the wait for another endpoint, if there is one, since the silent call of
 * a request goes on.
 */
export function endSilence(
  state: SchedulerState,
  request: ActiveRequest,
  nowMs: number,
): Effect[] {
  if (!request.hasSilentCall) return [];
  resumeSilentCall(state, request);
  return returnGrant(state, request, 'unused', 0, nowMs);
}

/**
 * Ends a request that no endpoint can take, unless it has a silent call, which is
 * then waited for.
 */
export function endRefusedRequest(
  state: SchedulerState,
  request: ActiveRequest,
  outcome: EndOutcome,
  nowMs: number,
): Effect[] {
  if (!request.hasSilentCall) return endRequest(state, request, outcome, nowMs);
  resumeSilentCall(state, request);
  request.cellKey = '';
  return waitForCall(state, request, nowMs);
}
