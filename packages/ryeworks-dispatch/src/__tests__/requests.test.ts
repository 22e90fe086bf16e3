import t from 'tap';
import {
  CallFailure,
  DispatchState,
  handleInput,
  RequestReceived,
} from '../index.js';
import {
  createDesiredState,
  createDigest,
  createEndpoint,
  createReadyState,
  createRequest,
  createState,
  deliver,
  listEffects,
  names,
  routes,
  runInput,
} from './fixtures.js';

const ledger = [
  createEndpoint('e1', names.ledger),
  createEndpoint('e2', names.ledger),
];
const models = [
  createEndpoint('m1', names.model),
  createEndpoint('m2', names.model),
];

/**
 * Fails a request's call and returns the effects. The call is sent first unless
 * the failure is `notSent`.
 */
function failCall(
  state: DispatchState,
  {requestId}: RequestReceived,
  callNumber: number,
  failure: CallFailure,
  nowMs: number,
  hasResponseStarted = false,
) {
  const call = {requestId, callNumber};
  if (failure !== 'notSent')
    runInput(state, {kind: 'callSent', ...call}, nowMs);
  return runInput(
    state,
    {kind: 'callFailed', ...call, failure, hasResponseStarted, detail: 'test'},
    nowMs,
  );
}

t.test('a request is sent to an endpoint of its service', async t => {
  const state = createReadyState([...ledger, ...models]);
  const effects = runInput(state, createRequest('booking', 10), 10);
  const [call] = listEffects(effects, 'startCall');
  t.equal(call.endpoint.service, names.ledger);
  t.equal(call.customer, names.customer);
  t.equal(call.timeLeftMs, 8000);
});

const retryCases: Array<[keyof typeof routes, CallFailure, boolean]> = [
  ['booking', 'notSent', true],
  ['booking', 'refused', true],
  ['booking', 'wrongEndpoint', true],
  ['booking', 'failed', false],
  ['booking', 'cut', false],
  ['relaxed', 'cut', false],
  ['relaxed', 'refused', true],
  ['reading', 'failed', true],
  ['reading', 'cut', true],
  ['urgent', 'cut', true],
];

for (const [route, failure, isRetried] of retryCases) {
  const outcome = isRetried ? 'is retried' : 'is not retried';
  t.test(`${route} after ${failure} ${outcome}`, async t => {
    const state = createReadyState([...ledger, ...models]);
    const request = createRequest(route, 0);
    const [first] = listEffects(runInput(state, request, 0), 'startCall');
    const effects = failCall(state, request, 1, failure, 5);
    const calls = listEffects(effects, 'startCall');
    t.equal(calls.length, isRetried ? 1 : 0);
    if (isRetried) t.not(calls[0].endpoint.id, first.endpoint.id);
    else t.equal(state.requests.size, 0, 'the request has ended');
  });
}

t.test('only a request that never ran is reported as not run', async t => {
  const state = createReadyState(ledger);
  const request = createRequest('booking', 0);
  runInput(state, request, 0);
  const effects = failCall(state, request, 1, 'cut', 5);
  t.equal(listEffects(effects, 'answerError')[0].error, 'outcomeUnknown');

  const other = createReadyState([ledger[0]]);
  const refused = createRequest('booking', 0);
  runInput(other, refused, 0);
  failCall(other, refused, 1, 'refused', 5);
  // No other endpoint is left: the request waits and is then refused.
  const late = runInput(other, {kind: 'timerDue'}, 2000);
  const [answer] = listEffects(late, 'answerError');
  t.equal(answer.error, 'overloaded');
  t.ok(answer.retryAfterMs > 0);
});

t.test('a refusal after a cut call is not reported as not run', async t => {
  const state = createReadyState(ledger);
  const request = createRequest('reading', 0);
  runInput(state, request, 0);
  failCall(state, request, 1, 'cut', 5);
  const effects = failCall(state, request, 2, 'refused', 10);
  const answers = listEffects(effects, 'answerError');
  for (const {error} of answers) t.equal(error, 'outcomeUnknown');
  const late = runInput(state, {kind: 'timerDue'}, 9000);
  for (const {error} of listEffects(late, 'answerError')) {
    t.not(error, 'overloaded');
  }
});

t.test(
  'a partly delivered stream is aborted, not answered with an error',
  async t => {
    const state = createReadyState(models);
    const request = createRequest('relaxed', 0);
    runInput(state, request, 0);
    const effects = failCall(state, request, 1, 'cut', 5, true);
    t.equal(listEffects(effects, 'abortResponse').length, 1);
    t.equal(listEffects(effects, 'answerError').length, 0);
  },
);

t.test('the route limits the number of attempts', async t => {
  const state = createReadyState([
    ...ledger,
    createEndpoint('e3', names.ledger),
  ]);
  const request = createRequest('reading', 0);
  runInput(state, request, 0);
  failCall(state, request, 1, 'failed', 5);
  const effects = failCall(state, request, 2, 'failed', 10);
  t.equal(listEffects(effects, 'startCall').length, 0);
  t.equal(listEffects(effects, 'forwardFailure').length, 1);
});

t.test('the retry budget limits the retries of all requests', async t => {
  const state = createReadyState(ledger);
  let retries = 0;
  for (let index = 0; index < 300; index++) {
    const request = createRequest('reading', index);
    runInput(state, request, index);
    const effects = failCall(state, request, 1, 'failed', index);
    const retried = listEffects(effects, 'startCall');
    retries += retried.length;
    if (retried.length === 0) continue;
    const call = {requestId: request.requestId, callNumber: 2};
    runInput(state, {kind: 'callSent', ...call}, index);
    runInput(state, {kind: 'callDone', ...call, status: 200}, index);
  }
  t.ok(retries > 0);
  t.ok(retries <= 0.2 * 300 + 50, `${retries} retries`);
});

t.test('a stream that has begun may use more of the retry budget', async t => {
  const state = createReadyState(models);
  // Engines fail many calls at once, and each failed call would be retried.
  for (let index = 0; index < 300; index++) {
    const request = createRequest('urgent', index);
    runInput(state, request, index);
    failCall(state, request, 1, 'failed', index);
    runInput(state, {kind: 'callerGone', requestId: request.requestId}, index);
  }
  const notStarted = createRequest('urgent', 3000);
  runInput(state, notStarted, 3000);
  const refused = failCall(state, notStarted, 1, 'failed', 3001);
  t.equal(listEffects(refused, 'startCall').length, 0, 'budget is used up');

  const started = createRequest('urgent', 3010);
  runInput(state, started, 3010);
  const call = {requestId: started.requestId, callNumber: 1};
  runInput(state, {kind: 'callSent', ...call}, 3010);
  runInput(state, {kind: 'callProgressed', ...call, events: 1}, 3050);
  const failure = {
    failure: 'cut',
    hasResponseStarted: true,
    detail: 'test',
  } as const;
  const effects = runInput(
    state,
    {kind: 'callFailed', ...call, ...failure},
    3060,
  );
  t.equal(listEffects(effects, 'startCall').length, 1);
});

t.test("a call that hangs ends at the route's timeout", async t => {
  const state = createReadyState(ledger);
  const request = createRequest('booking', 0);
  runInput(state, request, 0);
  const call = {requestId: request.requestId, callNumber: 1};
  runInput(state, {kind: 'callSent', ...call}, 1);
  t.same(runInput(state, {kind: 'timerDue'}, 7999), []);
  const effects = runInput(state, {kind: 'timerDue'}, 8001);
  t.equal(listEffects(effects, 'answerError')[0].error, 'endpointTimeout');
  t.equal(listEffects(effects, 'cancelCall').length, 1);
});

t.test('a silent resumable stream is resumed at another endpoint', async t => {
  const state = createReadyState(models);
  const request = createRequest('urgent', 0);
  const [first] = listEffects(runInput(state, request, 0), 'startCall');
  const call = {requestId: request.requestId, callNumber: 1};
  runInput(state, {kind: 'callSent', ...call}, 1);
  runInput(state, {kind: 'callProgressed', ...call, events: 1}, 50);
  const effects = runInput(state, {kind: 'timerDue'}, 700);
  t.equal(listEffects(effects, 'cancelCall').length, 0);
  const [next] = listEffects(effects, 'startCall');
  t.not(next.endpoint.id, first.endpoint.id);
  const second = {requestId: request.requestId, callNumber: 2};
  runInput(state, {kind: 'callSent', ...second}, 701);
  const progress = {kind: 'callProgressed', ...second, events: 1} as const;
  const [canceled, ...others] = listEffects(
    runInput(state, progress, 800),
    'cancelCall',
  );
  t.equal(canceled.callNumber, 1);
  t.same(others, []);
});

t.test('a call is cancelled at once when its caller disconnects', async t => {
  const state = createReadyState(ledger);
  const request = createRequest('booking', 0);
  runInput(state, request, 0);
  const {requestId} = request;
  const effects = runInput(state, {kind: 'callerGone', requestId}, 5);
  t.equal(listEffects(effects, 'cancelCall').length, 1);
  t.equal(state.endpoints.byId.get('e1')!.inFlight, 0);
  t.equal(state.endpoints.byId.get('e2')!.inFlight, 0);
});

// Guards against a request that is refused as overload, although endpoints are free,
// or that is sent after its time limit, because it waited on its connection.
for (const [waitedMs, started, errors] of [
  [1500, 1, []],
  [8000, 0, ['overloaded']],
] as ReadonlyArray<[number, number, string[]]>) {
  t.test(`a request that waited ${waitedMs} ms on its connection`, async t => {
    const state = createReadyState(ledger);
    const request = createRequest('booking', 0);
    const effects = runInput(state, request, waitedMs);
    t.equal(listEffects(effects, 'startCall').length, started);
    t.same(
      listEffects(effects, 'answerError').map(({error}) => error),
      errors,
    );
  });
}

// Guards against a request lost by this VM that looks like a caller that left.
t.test('a connection that this VM closed is no caller that left', async t => {
  const state = createReadyState(ledger);
  const request = createRequest('booking', 0);
  runInput(state, request, 0);
  const {requestId} = request;
  const gone = {kind: 'callerGone', requestId, isClosedHere: true} as const;
  const effects = handleInput(state, gone, 5);
  const labels = {cause: 'connection_closed'};
  t.match(listEffects(effects, 'count'), [{labels}]);
  t.match(listEffects(effects, 'log'), [
    {fields: {outcome: 'connectionClosed'}},
  ]);
});

t.test('a starting VM lets requests wait, then answers notReady', async t => {
  const state = createState();
  const early = createRequest('booking', 0);
  t.same(runInput(state, early, 0), []);
  const late = runInput(state, {kind: 'timerDue'}, 300);
  t.equal(listEffects(late, 'answerError')[0].error, 'notReady');

  const second = createRequest('booking', 400);
  runInput(state, second, 400);
  const desiredState = createDesiredState();
  runInput(state, {kind: 'desiredStateRead', desiredState}, 450);
  runInput(state, {kind: 'endpointsListed', era: 1, endpoints: ledger}, 460);
  const {version: desiredVersion} = desiredState;
  const message = createDigest({vm: 'vm-2', sequence: 1, desiredVersion});
  const effects = deliver(state, message, 500);
  t.equal(listEffects(effects, 'startCall').length, 1);
});

t.test('unknown routes and keys are refused', async t => {
  const state = createReadyState(ledger);
  const unrouted = createRequest('booking', 0, {path: '/nowhere/1'});
  const [noRoute] = listEffects(runInput(state, unrouted, 0), 'answerError');
  t.equal(noRoute.error, 'unknownService');
  const otherKey = createRequest('booking', 0, {apiKey: 'other'});
  const [noKey] = listEffects(runInput(state, otherKey, 0), 'answerError');
  t.equal(noKey.error, 'unauthenticated');
});
