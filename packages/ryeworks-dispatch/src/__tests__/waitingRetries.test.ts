import t from 'tap';
import {CallFailure, DispatchState} from '../index.js';
import {
  createDesiredState,
  createEndpoint,
  createReadyState,
  createRequest,
  listEffects,
  names,
  routes,
  runInput,
} from './fixtures.js';

/** Time between two steps of a test, in ms; a multiple of no timer. */
const stepMs = 20;
/** Time limit of the route, in ms. */
const timeLimitMs = 8000;

/** Creates the state of a VM with a number of endpoints. */
function createStateWith(count: number, maxAttempts = 2): DispatchState {
  const endpoints = [];
  for (let number = 1; number <= count; number++) {
    endpoints.push(createEndpoint(`m${number}`, names.model));
  }
  const route = {...routes.urgent, maxAttempts};
  return createReadyState(endpoints, createDesiredState(1, {routes: [route]}));
}

/** Starts a stream whose call at the first endpoint delivers one event. */
function startStream(state: DispatchState): string {
  const request = createRequest('urgent', 0);
  const {requestId} = request;
  runInput(state, request, 0);
  runInput(state, {kind: 'callSent', requestId, callNumber: 1}, 1);
  const progress = {kind: 'callProgressed', events: 1} as const;
  runInput(state, {...progress, requestId, callNumber: 1}, 100);
  return requestId;
}

/** Fails a call of a request whose answer has begun. */
function failCall(
  state: DispatchState,
  call: {requestId: string; callNumber: number},
  failure: CallFailure,
  nowMs: number,
) {
  const input = {kind: 'callFailed', detail: 'test', failure} as const;
  return runInput(state, {...input, ...call, hasResponseStarted: true}, nowMs);
}

/**
 * Runs the timers from `fromMs` to `untilMs`. Sends each call that is started and
 * lets its endpoint refuse it, or be silent if `isRefused` is false. Returns when
 * the calls were started.
 */
function runCalls(
  state: DispatchState,
  requestId: string,
  {fromMs, untilMs}: {fromMs: number; untilMs: number},
  isRefused: boolean,
): number[] {
  const startedAtMs: number[] = [];
  for (let nowMs = fromMs; nowMs < untilMs; nowMs += stepMs) {
    const effects = runInput(state, {kind: 'timerDue'}, nowMs);
    for (const {callNumber} of listEffects(effects, 'startCall')) {
      startedAtMs.push(nowMs);
      runInput(state, {kind: 'callSent', requestId, callNumber}, nowMs);
      if (isRefused)
        failCall(state, {requestId, callNumber}, 'refused', nowMs + 1);
    }
  }
  return startedAtMs;
}

// Guards against a begun answer that waits for its time limit because each of a
// few endpoints has refused it or broken it off once.
t.test('a begun answer is sent again to an endpoint that refused it', t => {
  const state = createStateWith(2);
  const requestId = startStream(state);
  failCall(state, {requestId, callNumber: 1}, 'cut', 110);
  runInput(state, {kind: 'callSent', requestId, callNumber: 2}, 120);
  failCall(state, {requestId, callNumber: 2}, 'refused', 130);
  const span = {fromMs: 140, untilMs: 3000};
  t.ok(runCalls(state, requestId, span, false).length > 0);
  t.end();
});

// Guards against a silent call that gets no other standby call because the only
// other endpoint refused one.
t.test('an endpoint that refused a standby call is asked again', t => {
  const state = createStateWith(2);
  const requestId = startStream(state);
  const span = {fromMs: 120, untilMs: 3000};
  t.ok(runCalls(state, requestId, span, true).length > 1);
  t.end();
});

// Guards against a search for standby calls that ends with the first obstacle,
// although a call that is cut is retried after the same one.
t.test('the search for a standby call outlasts refusals', t => {
  const state = createStateWith(8);
  const requestId = startStream(state);
  const span = {fromMs: 120, untilMs: timeLimitMs - 500};
  const starts = runCalls(state, requestId, span, true);
  t.ok(starts.some(atMs => atMs > 3000));
  t.end();
});

// Guards against a request that waits for its time limit because its standby call
// is silent, too, although its route allows another attempt.
t.test('two silent calls do not keep a third endpoint from the request', t => {
  const state = createStateWith(4, 3);
  const requestId = startStream(state);
  const span = {fromMs: 120, untilMs: timeLimitMs - 500};
  t.equal(runCalls(state, requestId, span, false).length, 2);
  t.end();
});
