import {startWaiting} from '../admission/refuseOrQueue.js';
import {DispatchState, getRetryBudget} from '../dispatchState.js';
import {createCount, createLog, Effect} from '../effect.js';
import {
  EndpointEntry,
  recordUnanswered,
  recordOutcome,
  toleratedCuts,
} from '../endpoints/endpointTable.js';
import {startZoneCooldown} from '../endpoints/zoneCooldown.js';
import {CallFailed, callFailure, CallFailure} from '../input.js';
import {recordAnswer} from '../moves/recordAnswer.js';
import {ActiveRequest} from './activeRequest.js';
import {
  breakRequest,
  failRequest,
  forgetRequest,
  releaseCall,
} from './endRequest.js';
import {findCall, getEntry} from './findCall.js';
import {getSilenceMs} from './silence.js';

/** Calls that reach an endpoint beyond a route's attempts, when refused. */
const extraArrivals = 2;
/** Connections that one request tries, whatever its route allows. */
const maxCalls = 6;
/** Time to come back after endpoints refused a request, in ms. */
export const refusedRetryMs = 300;
/** Least time left for which a request is sent again, in ms. */
const leastTimeLeftMs = 30;
/** How long the address of another endpoint is left alone, in ms. */
const wrongEndpointRestMs = 1500;

/** Leaves another zone alone for a moment when none of it answers. */
function doubtZone(
  state: DispatchState,
  entry: EndpointEntry,
  nowMs: number,
): void {
  const {availabilityZone: zone} = entry.endpoint;
  if (zone === state.options.availabilityZone) return;
  startZoneCooldown(state.lastZoneAnswers, state.endpoints, zone, nowMs);
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
      recordUnanswered(entry, 0, nowMs);
      doubtZone(state, entry, nowMs);
    },
    refused: () => recordOutcome(entry, false),
    wrongEndpoint: () => {
      entry.cooldownUntilMs = nowMs + wrongEndpointRestMs;
    },
    failed: () => {
      recordOutcome(entry, false);
      recordAnswer(state, evidence);
    },
    cut: () => {
      recordOutcome(entry, false);
      recordUnanswered(entry, toleratedCuts, nowMs);
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
  const vmCount = state.peers.byVm.size + 1;
  const hasBegun = request.firstEventAtMs > 0;
  return budget.consumeRetry(bounds, vmCount, hasBegun, nowMs)
    ? undefined
    : 'budget_used';
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
  if (input.hasResponseStarted)
    return breakRequest(state, request, reason, nowMs);
  if (failure === callFailure.failed) {
    return [
      {kind: 'forwardFailure', requestId},
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
