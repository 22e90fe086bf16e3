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

/** Starts a stream that is silent until its standby call is sent, at 390. */
function startSilentStream() {
  const state = createReadyState(models);
  const calls = startStream(state);
  runTimers(state, 101 + silenceMs);
  runInput(state, {kind: 'callSent', ...calls.second}, 390);
  return {state, ...calls};
}

/** Lists the numbers of the calls that effects cancel. */
function listCanceled(effects: ReturnType<typeof runInput>): number[] {
  return listEffects(effects, 'cancelCall').map(({callNumber}) => callNumber);
}

/** Counts the calls in flight at all endpoints. */
function countInFlight(state: DispatchState): number {
  let count = 0;
  for (const entry of state.endpoints.byId.values()) count += entry.inFlight;
  return count;
}

// Guards against two calls of one request that both go on, and against slots
// that stay in use by the canceled one.
t.test('the call that makes progress first goes on alone', async t => {
  for (const winner of ['first', 'second'] as const) {
    const {state, requestId, ...calls} = startSilentStream();
    t.equal(countInFlight(state), 2);
    const progress = {kind: 'callProgressed', events: 2} as const;
    const effects = runInput(state, {...progress, ...calls[winner]}, 500);
    const loser = winner === 'first' ? calls.second : calls.first;
    t.same(listCanceled(effects), [loser.callNumber]);
    t.equal(countInFlight(state), 1);
    const late = runInput(state, {...progress, ...loser}, 510);
    t.same(late, [], 'the other call is ignored');
    const done = {kind: 'callDone', ...calls[winner], status: 200} as const;
    runInput(state, done, 600);
    t.notOk(state.requests.has(requestId));
    t.equal(countInFlight(state), 0);
  }
});

// Guards against a silent call that is canceled before its standby call has
// begun to run: the standby call may be silent or be refused as well.
t.test('both calls go on until one of them makes progress', async t => {
  const {first, requestId, second, state} = startSilentStream();
  for (let nowMs = 400; nowMs < 1500; nowMs += 20) {
    t.same(runTimers(state, nowMs), []);
  }
  t.same(runInput(state, createRefusal(second), 1500), []);
  runInput(state, {kind: 'callProgressed', ...first, events: 2}, 1600);
  runInput(state, {kind: 'callDone', ...first, status: 200}, 1700);
  t.notOk(state.requests.has(requestId), 'the request has ended');
});

// Guards against an answer that is ended although its other call goes on.
t.test('if one of two calls fails, the other one goes on', async t => {
  const detail = 'test';
  const failure = 'cut';
  const {first, requestId, second, state} = startSilentStream();
  const input = {kind: 'callFailed', failure, detail} as const;
  const hasResponseStarted = true;
  const effects = runInput(
    state,
    {...input, ...first, hasResponseStarted},
    400,
  );
  t.same(effects, []);
  t.equal(countInFlight(state), 1);
  runInput(state, {kind: 'callProgressed', ...second, events: 1}, 500);
  runInput(state, {kind: 'callDone', ...second, status: 200}, 600);
  t.notOk(state.requests.has(requestId));
});

// Guards against calls that go on after their caller left.
t.test('both calls are canceled when the caller disconnects', async t => {
  const {requestId, state} = startSilentStream();
  const effects = runInput(state, {kind: 'callerGone', requestId}, 400);
  t.same(listCanceled(effects), [1, 2]);
  t.equal(countInFlight(state), 0);
  t.same(runTimers(state, 2000), []);
});

// Guards against standby calls that take slots from more urgent requests.
t.test('a more urgent waiting request goes before a standby call', async t => {
  const state = createReadyState(models);
  const {requestId} = startStream(state);
  const {queues, requests} = state;
  const urgent = {
    ...requests.get(requestId)!,
    requestId: 'u',
    receivedAtMs: -1,
  };
  queues.set(names.model, [{...urgent, phase: 'waiting'}]);
  const effects = runTimers(state, 101 + silenceMs);
  const started = listEffects(effects, 'startCall');
  t.same(
    started.filter(call => call.requestId === requestId),
    [],
  );
});

/** Starts a stream whose first event arrives, and fails its first call. */
function startCutStream(state: DispatchState) {
  const {first, requestId, second} = startStream(state);
  const failure = 'cut';
  const detail = 'test';
  const hasResponseStarted = true;
  const input = {kind: 'callFailed', ...first, failure, detail} as const;
  runInput(state, {...input, hasResponseStarted}, 110);
  return {requestId, second};
}

// Guards against a begun answer that is ended, long before its time limit,
// because the endpoints that could go on with it refuse it for now.
t.test('a begun answer outlasts the refusals of other endpoints', async t => {
  const numbers = [1, 2, 3, 4, 5, 6, 7, 8];
  const state = createReadyState(
    numbers.map(number => createEndpoint(`m${number}`, names.model)),
  );
  const {requestId} = startCutStream(state);
  let refusals = 0;
  for (let nowMs = 120; nowMs < 3000; nowMs += 20) {
    const call = state.requests.get(requestId)?.calls[0];
    if (call === undefined) {
      runTimers(state, nowMs);
      continue;
    }
    const {callNumber} = call;
    runInput(state, {kind: 'callSent', requestId, callNumber}, nowMs);
    runInput(state, createRefusal({requestId, callNumber}), nowMs);
    refusals += 1;
  }
  t.ok(state.requests.has(requestId), 'it still waits for an endpoint');
  t.ok(refusals > 4 && refusals < 20, `${refusals} calls were refused`);
  const late = runTimers(state, 8001);
  t.equal(listEffects(late, 'answerError')[0].error, 'endpointTimeout');
});

// Guards against a begun answer that is ended because other requests have used
// up the retry budget for the moment.
t.test('a begun answer outlasts a retry budget that is used up', async t => {
  const state = createReadyState(models);
  const {options, retryBudgets} = state;
  runInput(state, createRequest('urgent', 0), 0);
  const budget = retryBudgets.get(names.model)!;
  while (budget.consumeRetry(options.retryBounds, 1, true, 0));
  const {requestId} = startCutStream(state);
  t.ok(state.requests.has(requestId));
  t.same(state.requests.get(requestId)?.calls, []);
  const retryBounds = {...options.retryBounds, allowance: 500};
  state.options = {...options, retryBounds};
  const effects = runTimers(state, 1000);
  const calls = listEffects(effects, 'startCall');
  t.match(calls, [{requestId}], 'it goes on once the budget allows it');
});

// Guards against a request that waits until its time limit for an endpoint that
// the store no longer lists.
t.test('a silent call at a removed endpoint gets a standby call', async t => {
  for (const progressAtMs of [undefined, 400]) {
    const state = createReadyState(models);
    const {first, requestId} = startStream(state);
    const id = state.requests.get(requestId)!.calls[0].endpointId;
    runInput(state, {kind: 'endpointRemoved', id}, 200);
    if (progressAtMs !== undefined) {
      const progress = {kind: 'callProgressed', ...first, events: 2} as const;
      runInput(state, progress, progressAtMs);
    }
    const silentSinceMs = progressAtMs ?? 100;
    const effects = runTimers(state, silentSinceMs + silenceMs + 1);
    t.match(listEffects(effects, 'startCall'), [{requestId}]);
  }
});

// Guards against a bad version that gets a second call for each silent one, and
// is found only once the silent calls have ended.
t.test('a silence counts against a new version at once', async t => {
  const state = createReadyState([
    createEndpoint('m1', names.model, {slots: 50}),
    createEndpoint('m2', names.model, {slots: 50, version: 'v2'}),
    createEndpoint('m3', names.model, {slots: 50, version: 'v2'}),
  ]);
  const position = {era: 1, revision: 10};
  const order = {service: names.model, toVersion: 'v2', durationMs: 12_000};
  const placed = {position, orderedAt: position, phase: undefined};
  const orders = [{...order, ...placed, provenVersions: []}];
  runInput(state, {kind: 'movesRead', era: 1, orders}, 0);
  const requestId = startTrial(state);
  const move = state.moves.get(names.model)!;
  t.equal(move.newEvidence.own.failed, 0);
  const calls = listEffects(runTimers(state, 1000), 'startCall');
  const standby = calls.find(call => call.requestId === requestId);
  t.equal(standby?.endpoint.version, 'v1');
  t.equal(move.newEvidence.own.failed, 1);
});

/** Sends requests until one is called at the new version; ends the others. */
function startTrial(state: DispatchState): string {
  for (;;) {
    const request = createRequest('urgent', 0);
    const {requestId} = request;
    const [call] = listEffects(runInput(state, request, 0), 'startCall');
    if (call.endpoint.version === 'v2') return requestId;
    runInput(state, {kind: 'callerGone', requestId}, 0);
  }
}
