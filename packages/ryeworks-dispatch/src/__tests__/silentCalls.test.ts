import t from 'tap';
import {DispatchState, Input} from '../index.js';
import {
  createEndpoint,
  createReadyState,
  createRequest,
  listEffects,
  names,
  runInput,
} from './fixtures.js';

const models = [
  createEndpoint('m1', names.model),
  createEndpoint('m2', names.model),
];
/** The silence timeout of the route between two events, in ms. */
const silenceMs = 280;

/** Starts a stream at 0 whose first event arrives at 100 ms. */
function startStream(state: DispatchState) {
  const {requestId} = createRequest('urgent', 0);
  const request = {...createRequest('urgent', 0), requestId};
  runInput(state, request, 0);
  const first = {requestId, callNumber: 1};
  runInput(state, {kind: 'callSent', ...first}, 1);
  runInput(state, {kind: 'callProgressed', ...first, events: 1}, 100);
  return {requestId, first, second: {requestId, callNumber: 2}};
}

/** Runs the timers that are due. */
function runTimers(state: DispatchState, nowMs: number) {
  return runInput(state, {kind: 'timerDue'}, nowMs);
}

/** Creates the input of a call that its endpoint refused. */
function createRefusal(call: {requestId: string; callNumber: number}): Input {
  const failure = 'refused';
  const detail = 'test';
  return {
    kind: 'callFailed',
    ...call,
    failure,
    hasResponseStarted: true,
    detail,
  };
}

// Guards against a call that is canceled for its silence although no other
// endpoint can take the request.
t.test('a silent call goes on while no endpoint has room', async t => {
  const state = createReadyState([models[0]]);
  const {first, requestId} = startStream(state);
  const effects = runTimers(state, 101 + silenceMs);
  t.equal(listEffects(effects, 'cancelCall').length, 0);
  runInput(state, {kind: 'callProgressed', ...first, events: 2}, 1200);
  runInput(state, {kind: 'callDone', ...first, status: 200}, 1300);
  t.notOk(state.requests.has(requestId), 'the request has ended');
});

// Guards against a begun answer that is ended because another endpoint refused
// to go on with it while its own endpoint was only silent.
t.test('a refusal elsewhere does not end a silent call', async t => {
  const state = createReadyState(models);
  const {first, requestId, second} = startStream(state);
  const effects = runTimers(state, 101 + silenceMs);
  t.equal(listEffects(effects, 'cancelCall').length, 0);
  t.equal(listEffects(effects, 'startCall').length, 1);
  runInput(state, {kind: 'callSent', ...second}, 390);
  const refused = runInput(state, createRefusal(second), 400);
  t.equal(listEffects(refused, 'abortResponse').length, 0);
  runInput(state, {kind: 'callProgressed', ...first, events: 2}, 1200);
  runInput(state, {kind: 'callDone', ...first, status: 200}, 1300);
  t.notOk(state.requests.has(requestId), 'the request has ended');
});
