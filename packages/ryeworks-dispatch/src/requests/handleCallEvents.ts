import {startWaiting} from '../admission/refuseOrWait.js';
import {callKind} from '../desired/desiredState.js';
import {DispatchState, getRetryBudget} from '../dispatchState.js';
import {createCount, createLog, Effect} from '../effect.js';
import {
  EndpointEntry,
  learnEventGap,
  learnNoAnswer,
  learnOutcome,
} from '../endpoints/endpointBook.js';
import {learnFirstEvent} from '../endpoints/pace.js';
import {recordZoneAnswer, restUnreachedZone} from '../endpoints/zoneReach.js';
import {
  CallDone,
  CallerGone,
  CallFailed,
  callFailure,
  CallFailure,
  CallProgressed,
  CallSent,
} from '../input.js';
import {recordAnswer} from '../moves/recordAnswer.js';
import {ActiveRequest} from './activeRequest.js';
import {
  breakRequest,
  failRequest,
  forgetRequest,
  releaseCall,
} from './endRequest.js';
import {getSilenceMs, scheduleSilence} from './silence.js';

/** Calls that reach an endpoint beyond a route's attempts, when refused. */
const extraArrivals = 2;
/** Connections that one request tries, whatever its route allows. */
const maxCalls = 6;
/** Time to come back after endpoints refused a request, in ms. */
const refusedRetryMs = 300;
/** Least time left for which a request is sent again, in ms. */
const leastTimeLeftMs = 30;
/** How long the address of another endpoint is left alone, in ms. */
const wrongEndpointRestMs = 1500;
/** Cut calls in a row that do not rest an endpoint. */
const toleratedCuts = 1;
/** How many times the usual time to an answer counts as slow. */
const slowFactor = 2.5;

/** Finds the request whose present call an event is about. */
function findCall(
  state: DispatchState,
  event: {requestId: string; callNumber: number},
): ActiveRequest | undefined {
  const request = state.requests.get(event.requestId);
  if (request?.phase !== 'calling') return undefined;
  return request.callNumber === event.callNumber ? request : undefined;
}

/** Returns what is known of the endpoint of a request's present call. */
function getEntry(
  state: DispatchState,
  request: ActiveRequest,
): EndpointEntry | undefined {
  return state.endpoints.byId.get(request.endpointId);
}

/** Notes that a request may have run. */
export function handleCallSent(
  state: DispatchState,
  input: CallSent,
): Effect[] {
  const request = findCall(state, input);
  if (request === undefined) return [];
  request.runs += 1;
  request.arrivals += 1;
  return [];
}

/** Notes that the answer goes on. */
export function handleCallProgressed(
  state: DispatchState,
  input: CallProgressed,
  nowMs: number,
): Effect[] {
  const request = findCall(state, input);
  if (request === undefined) return [];
  request.lastProgressMs = nowMs;
  request.events = input.events;
  const zone = getEntry(state, request)?.endpoint.availabilityZone;
  if (zone !== undefined) recordZoneAnswer(state.zoneReach, zone, nowMs);
  if (request.hasFirstEvent) return [];
  request.hasFirstEvent = true;
  if (request.firstEventAtMs === 0) request.firstEventAtMs = nowMs;
  const entry = getEntry(state, request);
  if (entry === undefined) return [];
  const elapsedMs = nowMs - request.callStartedAtMs;
  recordPace(state, request, entry, elapsedMs);
  learnFirstEvent(entry, elapsedMs, request.promptTokens);
  scheduleSilence(state, request, entry, nowMs);
  const labels = {tier: `${request.tier}`};
  return [
    {kind: 'observe', name: 'first_event_ms', labels, valueMs: elapsedMs},
  ];
}

/** Adds the first event of a call to the evidence on its version. */
function recordPace(
  state: DispatchState,
  request: ActiveRequest,
  entry: EndpointEntry,
  elapsedMs: number,
): void {
  const usualMs = entry.firstEventMs;
  const isSlow =
    elapsedMs > request.route.latencyTargetMs &&
    (usualMs === 0 || elapsedMs > usualMs * slowFactor);
  const {service, version} = entry.endpoint;
  if (isSlow) {
    recordAnswer(state, {service, version, isFailed: false, isSlow});
  }
}

/** Ends a request whose answer is whole. */
export function handleCallDone(
  state: DispatchState,
  input: CallDone,
  nowMs: number,
): Effect[] {
  const request = findCall(state, input);
  if (request === undefined) return [];
  const entry = getEntry(state, request);
  if (entry !== undefined) {
    learnOutcome(entry, true);
    const {service, version} = entry.endpoint;
    recordAnswer(state, {service, version, isFailed: false, isSlow: false});
    learnPause(request, entry);
  }
  const reason = `${input.status}`;
  return forgetRequest(state, request, {outcome: 'done', reason}, nowMs);
}

/** Learns the mean time between the events of a stream that has ended. */
function learnPause(request: ActiveRequest, entry: EndpointEntry): void {
  if (request.route.kind !== callKind.stream || request.events < 2) return;
  const spanMs = request.lastProgressMs - request.callStartedAtMs;
  learnEventGap(entry, spanMs / request.events);
}

/** Leaves another zone alone for a moment when none of it answers. */
function doubtZone(
  state: DispatchState,
  entry: EndpointEntry,
  nowMs: number,
): void {
  const {availabilityZone: zone} = entry.endpoint;
  if (zone === state.options.availabilityZone) return;
  restUnreachedZone(state.zoneReach, state.endpoints, zone, nowMs);
}

/** Learns from a failed call what it says of its endpoint. */
function learnFailure(
  state: DispatchState,
  entry: EndpointEntry,
  failure: CallFailure,
  nowMs: number,
): void {
  const {service, version} = entry.endpoint;
  const evidence = {service, version, isFailed: true, isSlow: false};
  const handlers: Record<CallFailure, () => void> = {
    notSent: () => {
      learnNoAnswer(entry, 0, nowMs);
      doubtZone(state, entry, nowMs);
    },
    refused: () => learnOutcome(entry, false),
    wrongEndpoint: () => {
      entry.restUntilMs = nowMs + wrongEndpointRestMs;
    },
    failed: () => {
      learnOutcome(entry, false);
      recordAnswer(state, evidence);
    },
    cut: () => {
      learnOutcome(entry, false);
      learnNoAnswer(entry, toleratedCuts, nowMs);
      recordAnswer(state, evidence);
    },
  };
  handlers[failure]();
}

/** Failures after which it is proved that the call did not run. */
const provesNotRun: Record<CallFailure, boolean> = {
  notSent: true,
  refused: true,
  wrongEndpoint: true,
  failed: false,
  cut: false,
};

/** Says why a failed call is not made again; undefined: it may be. */
function findRepeatObstacle(
  state: DispatchState,
  request: ActiveRequest,
  failure: CallFailure,
  nowMs: number,
): string | undefined {
  const {maxAttempts} = request.route;
  if (!provesNotRun[failure] && !request.isRepeatable) return 'may_have_run';
  if (request.runs >= maxAttempts) return 'attempts_used';
  if (request.arrivals >= maxAttempts + extraArrivals) return 'arrivals_used';
  if (request.callNumber >= maxCalls) return 'calls_used';
  if (request.timeoutAtMs - nowMs < leastTimeLeftMs) return 'no_time_left';
  if (request.arrivals === 0) return undefined;
  const budget = getRetryBudget(state, request.service);
  const bounds = state.options.retryBounds;
  const vmCount = state.peers.size + 1;
  return budget.takeRepeat(bounds, vmCount, nowMs) ? undefined : 'budget_used';
}

/** Ends a request whose call failed and is not made again. */
function endFailed(
  state: DispatchState,
  request: ActiveRequest,
  input: CallFailed,
  obstacle: string,
  nowMs: number,
): Effect[] {
  const {failure, requestId} = input;
  const reason = `${failure}_${obstacle}`;
  if (input.hasPassedAny) return breakRequest(state, request, reason, nowMs);
  if (failure === callFailure.failed) {
    return [
      {kind: 'passFailure', requestId},
      ...forgetRequest(
        state,
        request,
        {outcome: 'failed', reason: obstacle},
        nowMs,
      ),
    ];
  }
  if (request.runs === 0) {
    const retryAfterMs = refusedRetryMs;
    return failRequest(
      state,
      request,
      'noEndpoint',
      reason,
      retryAfterMs,
      nowMs,
    );
  }
  return failRequest(state, request, 'outcomeUnknown', reason, 0, nowMs);
}

/** Sends a request whose call failed again, or ends it. */
export function handleCallFailed(
  state: DispatchState,
  input: CallFailed,
  nowMs: number,
): Effect[] {
  const request = findCall(state, input);
  if (request === undefined) return [];
  const {failure} = input;
  const {endpointId} = request;
  const entry = getEntry(state, request);
  if (entry !== undefined) learnFailure(state, entry, failure, nowMs);
  const wasSent = failure !== callFailure.notSent;
  if (wasSent && provesNotRun[failure]) request.runs -= 1;
  const obstacle = findRepeatObstacle(state, request, failure, nowMs);
  const effects: Effect[] = [
    createCount('calls_failed', {failure}),
    createLog('call_failed', {
      request: request.attemptId,
      endpoint: endpointId,
      failure,
      detail: input.detail,
      call: request.callNumber,
      afterMs: Math.round(nowMs - request.callStartedAtMs),
      next: obstacle ?? 'repeat',
    }),
  ];
  if (obstacle !== undefined) {
    effects.push(createCount('calls_not_repeated', {reason: obstacle}));
    effects.push(...endFailed(state, request, input, obstacle, nowMs));
    return effects;
  }
  effects.push(
    createCount('calls_repeated', {reason: failure}),
    ...repeatRequest(state, request, nowMs),
  );
  return effects;
}

/** Lets a request wait for another endpoint. */
function repeatRequest(
  state: DispatchState,
  request: ActiveRequest,
  nowMs: number,
): Effect[] {
  request.avoided.add(request.endpointId);
  request.phase = 'waiting';
  return [
    ...releaseCall(state, request, nowMs),
    ...startWaiting(state, request, nowMs),
  ];
}

/** Gives a silent call up, if it may be made again elsewhere. */
export function expireSilence(
  state: DispatchState,
  requestId: string,
  nowMs: number,
): Effect[] {
  const request = state.requests.get(requestId);
  if (request?.phase !== 'calling') return [];
  const entry = getEntry(state, request);
  if (entry === undefined) return [];
  const silenceMs = getSilenceMs(state, request, entry);
  const dueMs = request.lastProgressMs + silenceMs;
  if (dueMs > nowMs) {
    state.timers.set('silence', requestId, dueMs);
    return [];
  }
  const failure = callFailure.cut;
  const obstacle = findRepeatObstacle(state, request, failure, nowMs);
  const effects: Effect[] = [
    createLog('call_silent', {
      request: request.attemptId,
      endpoint: request.endpointId,
      silentMs: Math.round(nowMs - request.lastProgressMs),
      hasFirstEvent: request.hasFirstEvent,
      next: obstacle ?? 'repeat',
    }),
  ];
  if (obstacle !== undefined) return effects;
  learnFailure(state, entry, failure, nowMs);
  effects.push(
    createCount('calls_repeated', {reason: 'silent'}),
    {kind: 'cancelCall', requestId},
    ...repeatRequest(state, request, nowMs),
  );
  return effects;
}

/** Ends a request whose caller has left. */
export function handleCallerGone(
  state: DispatchState,
  input: CallerGone,
  nowMs: number,
): Effect[] {
  state.earlyRequests.delete(input.requestId);
  const request = state.requests.get(input.requestId);
  if (request === undefined) return [];
  const {requestId} = input;
  const reason = request.phase;
  return [
    {kind: 'cancelCall', requestId},
    ...forgetRequest(state, request, {outcome: 'callerGone', reason}, nowMs),
  ];
}

/** Gives up a request whose time has run out. */
export function expireRequest(
  state: DispatchState,
  requestId: string,
  nowMs: number,
): Effect[] {
  const request = state.requests.get(requestId);
  if (request === undefined) return [];
  const entry = getEntry(state, request);
  if (entry !== undefined && !request.hasFirstEvent) {
    learnNoAnswer(entry, toleratedCuts, nowMs);
  }
  if (request.runs > 0) {
    return failRequest(state, request, 'endpointTimeout', 'timeout', 0, nowMs);
  }
  return failRequest(
    state,
    request,
    'overloaded',
    'timeout',
    refusedRetryMs,
    nowMs,
  );
}
