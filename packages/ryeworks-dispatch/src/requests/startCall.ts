import {countCalls} from '../admission/capacity.js';
import {callKind} from '../desired/desiredState.js';
import {DispatchState} from '../dispatchState.js';
import {createCount, createLog, Effect} from '../effect.js';
import {EndpointEntry} from '../endpoints/endpointTable.js';
import {scheduleHedge} from '../hedging/scheduleHedge.js';
import {noCounts} from '../moves/moveTable.js';
import {consumePermit} from '../rateLimits/permits.js';
import {getAllowedPerSecond} from '../rateLimits/rateLimit.js';
import {ActiveRequest} from './activeRequest.js';
import {scheduleSilenceTimeout} from './silenceTimeout.js';

/** Takes a slot of an endpoint for a new call of a request. */
function addCall(
  state: DispatchState,
  request: ActiveRequest,
  entry: EndpointEntry,
  isHedge: boolean,
  nowMs: number,
): void {
  consumePermit(state, entry, nowMs);
  entry.inFlight += 1;
  request.callsStarted += 1;
  request.calls.push({
    callNumber: request.callsStarted,
    endpointId: entry.endpoint.id,
    processStartedAtMs: entry.notices.startedAtMs,
    startedAtMs: nowMs,
    isHedge,
    lateAtMs: undefined,
    isLate: false,
    isSent: false,
    hasFirstEvent: false,
    lastProgressAtMs: nowMs,
    events: 0,
    isPaused: false,
    isSilenceLogged: false,
    evidence: noCounts,
  });
  scheduleSilenceTimeout(state, request, nowMs);
}

/**
 * Starts a call of a request beside its silent ones. Those go on until one call
 * makes progress, so that nothing is lost if the new one is refused, is silent as
 * well, or the silence ends. An engine begins to run a request with its first
 * token; the others are canceled then.
 */
export function startStandbyCall(
  state: DispatchState,
  request: ActiveRequest,
  entry: EndpointEntry,
  nowMs: number,
): Effect[] {
  addCall(state, request, entry, false, nowMs);
  return [
    createCount('calls_repeated', {reason: 'silent'}),
    ...createCallEffects(state, request, entry, nowMs),
  ];
}

/**
 * Starts a hedged request beside a late call. As with a standby call, the first
 * progress decides which of them goes on.
 */
export function startHedgedCall(
  state: DispatchState,
  request: ActiveRequest,
  entry: EndpointEntry,
  nowMs: number,
): Effect[] {
  addCall(state, request, entry, true, nowMs);
  return createCallEffects(state, request, entry, nowMs);
}

/** Starts the first call of a request, or its next one after a failure. */
export function startCall(
  state: DispatchState,
  request: ActiveRequest,
  entry: EndpointEntry,
  nowMs: number,
): Effect[] {
  request.phase = 'calling';
  addCall(state, request, entry, false, nowMs);
  const labels = {tier: `${request.tier}`};
  const valueMs = Math.round(nowMs - request.receivedAtMs);
  return [
    ...createCallEffects(state, request, entry, nowMs),
    {kind: 'observe', name: 'waited_ms', labels, valueMs},
    ...scheduleHedge(state, request, nowMs),
  ];
}

/**
 * Returns whether the last call of a request, once an endpoint has accepted it, is
 * followed by no other. An earlier call that goes on may still prove not to run.
 */
function isLastRun({
  calls,
  isRetryable,
  possibleRuns,
  route,
}: ActiveRequest): boolean {
  if (!isRetryable) return true;
  return calls.length === 1 && possibleRuns + 1 >= route.maxAttempts;
}

/** Returns the effects that send the last call of a request and report it. */
function createCallEffects(
  state: DispatchState,
  request: ActiveRequest,
  entry: EndpointEntry,
  nowMs: number,
): Effect[] {
  const {requestId, attemptId, route} = request;
  const {endpoint} = entry;
  const isStream = route.kind === callKind.stream;
  const waitedMs = Math.round(nowMs - request.receivedAtMs);
  return [
    {
      kind: 'startCall',
      requestId,
      callNumber: request.callsStarted,
      endpoint,
      customer: request.customer,
      timeLeftMs: request.timeoutAtMs - nowMs,
      isStream,
      isResumable: isStream && route.isResumable,
      isLastRun: isLastRun(request),
    },
    createCount('calls_started', {tier: `${request.tier}`}),
    createLog('call_started', {
      request: attemptId,
      endpoint: endpoint.id,
      version: endpoint.version,
      desiredVersion: state.desiredState.current?.version ?? -1,
      tier: request.tier,
      waitedMs,
      call: request.callsStarted,
      ownCalls: entry.inFlight,
      allCalls: countCalls(state, entry, nowMs),
      promptTokens: request.promptTokens,
      limitPerSecond:
        entry.limit === undefined
          ? 'none'
          : getAllowedPerSecond(entry.limit, nowMs),
    }),
  ];
}
