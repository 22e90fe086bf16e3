import {Endpoint} from '@ryeworks/types';
import {createCount, Effect} from '../effect.js';
import {SchedulerState} from '../schedulerState.js';
import {updateClaims} from './updateClaims.js';
import {ActiveRequest} from './requestsState.js';

/** Marks a request as sent to an endpoint and starts its progress timeout. */
function markDispatched(
  state: SchedulerState,
  request: ActiveRequest,
  endpoint: Endpoint,
  nowMs: number,
): void {
  request.phase = 'dispatched';
  request.endpoint = endpoint.endpoint;
  request.dispatchedAtMs = nowMs;
  request.firstTokenAtMs = 0;
  request.lastProgressMs = nowMs;
  const {timers, options} = state;
  timers.clear('grantRequestTimeout', request.requestId);
  const dueMs = nowMs + options.progressTimeoutMs;
  timers.set('progressTimeout', request.requestId, dueMs);
}

/** Dispatches a request to an endpoint. */
export function dispatchRequest(
  state: SchedulerState,
  request: ActiveRequest,
  endpoint: Endpoint,
  nowMs: number,
): Effect[] {
  const {hasSilentCall, requestId} = request;
  markDispatched(state, request, endpoint, nowMs);
  request.streamId = requestId;
  request.hasSilentCall = false;
  return [
    ...(hasSilentCall ? [{kind: 'cancelDispatch', requestId} as const] : []),
    {
      kind: 'dispatch',
      requestId,
      endpoint,
      deadlineInMs: Math.round(request.deadlineMs - nowMs),
    },
    createCount('request.dispatched', {
      service: request.service.service,
      version: endpoint.version,
    }),
    ...updateClaims(state, request, 'dispatched'),
  ];
}

/** Resumes the stream of an earlier request on the endpoint that runs it. */
export function dispatchResume(
  state: SchedulerState,
  request: ActiveRequest,
  endpoint: Endpoint,
  streamId: string,
  nowMs: number,
): Effect[] {
  markDispatched(state, request, endpoint, nowMs);
  request.streamId = streamId;
  request.resumes += 1;
  const {requestId} = request;
  return [
    {kind: 'resume', requestId, endpoint, streamId},
    createCount('request.resumed', {reason: 'holder_unreachable'}),
  ];
}
