import {countCalls} from '../admission/pickEndpoint.js';
import {callKind} from '../desired/desiredState.js';
import {DispatchState} from '../dispatchState.js';
import {createCount, createLog, Effect} from '../effect.js';
import {EndpointEntry} from '../endpoints/endpointTable.js';
import {consumePermit} from '../rateLimits/permits.js';
import {ActiveRequest} from './activeRequest.js';
import {scheduleSilenceTimeout} from './silenceTimeout.js';

/** Starts a call of a request at an endpoint. */
export function startCall(
  state: DispatchState,
  request: ActiveRequest,
  entry: EndpointEntry,
  nowMs: number,
): Effect[] {
  const {requestId, attemptId, route} = request;
  const {endpoint} = entry;
  consumePermit(state, entry, nowMs);
  entry.inFlight += 1;
  request.phase = 'calling';
  request.callNumber += 1;
  request.endpointId = endpoint.id;
  request.callStartedAtMs = nowMs;
  request.lastProgressAtMs = nowMs;
  request.hasFirstEvent = false;
  request.events = 0;
  scheduleSilenceTimeout(state, request, entry, nowMs);
  const isStream = route.kind === callKind.stream;
  const waitedMs = Math.round(nowMs - request.receivedAtMs);
  const tier = `${request.tier}`;
  return [
    {
      kind: 'startCall',
      requestId,
      callNumber: request.callNumber,
      endpoint,
      customer: request.customer,
      timeLeftMs: request.timeoutAtMs - nowMs,
      isStream,
      isResumable: isStream && route.isResumable,
    },
    createCount('calls_started', {tier}),
    {kind: 'observe', name: 'waited_ms', labels: {tier}, valueMs: waitedMs},
    createLog('call_started', {
      request: attemptId,
      endpoint: endpoint.id,
      version: endpoint.version,
      desiredVersion: state.desiredState.current?.version ?? -1,
      tier: request.tier,
      waitedMs,
      call: request.callNumber,
      ownCalls: entry.inFlight,
      allCalls: countCalls(state, entry, nowMs),
      promptTokens: request.promptTokens,
      limitPerSecond: entry.limit?.perSecond ?? 'none',
    }),
  ];
}
