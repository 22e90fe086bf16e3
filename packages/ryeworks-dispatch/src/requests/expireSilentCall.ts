import {DispatchState} from '../dispatchState.js';
import {createLog, Effect} from '../effect.js';
import {callFailure} from '../input.js';
import {recordMoveEvidence} from '../moves/recordMoveEvidence.js';
import {ActiveCall, ActiveRequest} from './activeRequest.js';
import {
  consumeRetry,
  findRetryObstacle,
  RetryObstacle,
  retryObstacle,
} from './findRetryObstacle.js';
import {getSilenceTimeoutMs} from './silenceTimeout.js';
import {getEndpointEntry} from './findCall.js';
import {canRetryLater} from './retryRequest.js';
import {pickStandbyEndpoint} from './standbyCall.js';
import {startStandbyCall} from './startCall.js';

/**
 * Time between two searches for an endpoint that can take over from a silent
 * call, in ms.
 */
const searchPeriodMs = 100;

/** Logs a silence once. */
function reportSilence(
  request: ActiveRequest,
  call: ActiveCall,
  timeoutMs: number,
  next: string,
  nowMs: number,
): Effect[] {
  if (call.isSilenceLogged) return [];
  call.isSilenceLogged = true;
  return [
    createLog('call_silent', {
      request: request.attemptId,
      endpoint: call.endpointId,
      silentMs: Math.round(nowMs - call.lastProgressAtMs),
      timeoutMs: Math.round(timeoutMs),
      hasFirstEvent: call.hasFirstEvent,
      next,
    }),
  ];
}

/**
 * Records what a silence shows about the version of its endpoint. A bad version
 * must be found while its calls are silent, not when they have ended.
 */
function recordSilence(state: DispatchState, call: ActiveCall): void {
  const entry = getEndpointEntry(state, call);
  if (entry === undefined) return;
  const {service, version} = entry.endpoint;
  const evidence = {service, version, isFailed: true, isSlow: false};
  recordMoveEvidence(state, call, evidence);
}

/**
 * Returns whether an obstacle only asks for a slower pace, which the silence
 * timeout of each call sets, and the answer has begun.
 */
function canRetryNow(request: ActiveRequest, obstacle: RetryObstacle): boolean {
  return request.firstEventAtMs > 0 && canRetryLater(obstacle);
}

/**
 * Starts a standby call if the last call has been silent for too long, or
 * searches again later if no endpoint can take the request now. The silent call
 * goes on meanwhile: a sound endpoint may be silent for a while.
 */
export function expireSilentCall(
  state: DispatchState,
  requestId: string,
  nowMs: number,
): Effect[] {
  const request = state.requests.get(requestId);
  const call = request?.calls.at(-1);
  if (request === undefined || call === undefined) return [];
  const timeoutMs = getSilenceTimeoutMs(state, request, call);
  const silentSinceMs = call.isPaused ? nowMs : call.lastProgressAtMs;
  const dueMs = silentSinceMs + timeoutMs;
  if (dueMs > nowMs) {
    state.timers.set('silence', requestId, dueMs);
    return [];
  }
  const obstacle = findRetryObstacle(state, request, callFailure.cut, nowMs);
  if (obstacle !== undefined && !canRetryNow(request, obstacle)) {
    return reportSilence(request, call, timeoutMs, obstacle, nowMs);
  }
  if (!call.isSilenceLogged) recordSilence(state, call);
  const standby = pickStandbyEndpoint(state, request, nowMs);
  if (standby === undefined || !consumeRetry(state, request, nowMs)) {
    state.timers.set('silence', requestId, nowMs + searchPeriodMs);
    const next =
      standby === undefined ? 'no_endpoint' : retryObstacle.budgetUsed;
    return reportSilence(request, call, timeoutMs, next, nowMs);
  }
  return [
    ...reportSilence(request, call, timeoutMs, 'standby', nowMs),
    ...startStandbyCall(state, request, standby, nowMs),
  ];
}
