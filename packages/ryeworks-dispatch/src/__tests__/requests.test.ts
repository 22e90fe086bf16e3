import t from 'tap';
import {CallFailure, DispatchState, RequestReceived} from '../index.js';
import {
  createDesiredState,
  createEndpoint,
  createReadyState,
  createRequest,
  createState,
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

/** Sends a request's call and lets it fail; returns what is decided. */
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

t.test('a request goes to an endpoint of its service', async t => {
  const state = createReadyState([...ledger, ...models]);
  const effects = runInput(state, createRequest('booking', 10), 10);
  const [call] = listEffects(effects, 'startCall');
  t.equal(call.endpoint.service, names.ledger);
  t.equal(call.customer, names.customer);
  t.equal(call.timeLeftMs, 8000);
});

const repeatable: Array<[keyof typeof routes, CallFailure, boolean]> = [
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

for (const [route, failure, isRepeated] of repeatable) {
  const does = isRepeated ? 'is made again' : 'is not made again';
  t.test(`${route} after ${failure} ${does}`, async t => {
    const state = createReadyState([...ledger, ...models]);
    const request = createRequest(route, 0);
    const [first] = listEffects(runInput(state, request, 0), 'startCall');
    const effects = failCall(state, request, 1, failure, 5);
    const calls = listEffects(effects, 'startCall');
    t.equal(calls.length, isRepeated ? 1 : 0);
    if (isRepeated) t.not(calls[0].endpoint.id, first.endpoint.id);
    else t.equal(state.requests.size, 0, 'the request has ended');
  });
}

t.test('only what never ran is said to be not run', async t => {
  const state = createReadyState(ledger);
  const request = createRequest('booking', 0);
  runInput(state, request, 0);
  const effects = failCall(state, request, 1, 'cut', 5);
  t.equal(listEffects(effects, 'answerError')[0].error, 'outcomeUnknown');

  const other = createReadyState([ledger[0]]);
  const refused = createRequest('booking', 0);
  runInput(other, refused, 0);
  failCall(other, refused, 1, 'refused', 5);
  // No other endpoint is left: it waits, and is then refused in time.
  const late = runInput(other, {kind: 'timerDue'}, 2000);
  const [answer] = listEffects(late, 'answerError');
  t.equal(answer.error, 'overloaded');
  t.ok(answer.retryAfterMs > 0);
});

t.test('an earlier cut keeps a later refusal from saying not run', async t => {
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

t.test('a stream that was partly passed on is broken, not ended', async t => {
  const state = createReadyState(models);
  const request = createRequest('relaxed', 0);
  runInput(state, request, 0);
  const effects = failCall(state, request, 1, 'cut', 5, true);
  t.equal(listEffects(effects, 'abortResponse').length, 1);
  t.equal(listEffects(effects, 'answerError').length, 0);
});

t.test('attempts are bounded by the route', async t => {
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

t.test('the budget of repeats is shared and bounded', async t => {
  const state = createReadyState(ledger);
  let repeats = 0;
  for (let index = 0; index < 300; index++) {
    const request = createRequest('reading', index);
    runInput(state, request, index);
    const effects = failCall(state, request, 1, 'failed', index);
    const again = listEffects(effects, 'startCall');
    repeats += again.length;
    if (again.length === 0) continue;
    const call = {requestId: request.requestId, callNumber: 2};
    runInput(state, {kind: 'callSent', ...call}, index);
    runInput(state, {kind: 'callDone', ...call, status: 200}, index);
  }
  t.ok(repeats > 0);
  t.ok(repeats <= 0.2 * 300 + 50, `${repeats} repeats`);
});

t.test('a begun answer goes on when others have used the budget', async t => {
  const state = createReadyState(models);
  // Pattern: engines fail many calls at once; each failure wants a repeat.
  for (let index = 0; index < 300; index++) {
    const request = createRequest('urgent', index);
    runInput(state, request, index);
    failCall(state, request, 1, 'failed', index);
    runInput(state, {kind: 'callerGone', requestId: request.requestId}, index);
  }
  const unbegun = createRequest('urgent', 3000);
  runInput(state, unbegun, 3000);
  const refused = failCall(state, unbegun, 1, 'failed', 3001);
  t.equal(listEffects(refused, 'startCall').length, 0, 'the budget is used');

  const begun = createRequest('urgent', 3010);
  runInput(state, begun, 3010);
  const call = {requestId: begun.requestId, callNumber: 1};
  runInput(state, {kind: 'callSent', ...call}, 3010);
  runInput(state, {kind: 'callProgressed', ...call, events: 1}, 3050);
  const failure = {failure: 'cut', hasPassedAny: true, detail: 'test'} as const;
  const effects = runInput(
    state,
    {kind: 'callFailed', ...call, ...failure},
    3060,
  );
  t.equal(listEffects(effects, 'startCall').length, 1);
});

t.test("a call that hangs is given up at the route's timeout", async t => {
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

t.test('a silent stream that may be resumed goes on elsewhere', async t => {
  const state = createReadyState(models);
  const request = createRequest('urgent', 0);
  const [first] = listEffects(runInput(state, request, 0), 'startCall');
  const call = {requestId: request.requestId, callNumber: 1};
  runInput(state, {kind: 'callSent', ...call}, 1);
  runInput(state, {kind: 'callProgressed', ...call, events: 1}, 50);
  const effects = runInput(state, {kind: 'timerDue'}, 700);
  t.equal(listEffects(effects, 'cancelCall').length, 1);
  const [next] = listEffects(effects, 'startCall');
  t.not(next.endpoint.id, first.endpoint.id);
});

t.test('the call of a caller that left is broken off at once', async t => {
  const state = createReadyState(ledger);
  const request = createRequest('booking', 0);
  runInput(state, request, 0);
  const {requestId} = request;
  const effects = runInput(state, {kind: 'callerGone', requestId}, 5);
  t.equal(listEffects(effects, 'cancelCall').length, 1);
  t.equal(state.endpoints.byId.get('e1')!.inFlight, 0);
  t.equal(state.endpoints.byId.get('e2')!.inFlight, 0);
});

t.test('a VM that starts lets requests wait, then answers 503', async t => {
  const state = createState();
  const early = createRequest('booking', 0);
  t.same(runInput(state, early, 0), []);
  const late = runInput(state, {kind: 'timerDue'}, 300);
  t.equal(listEffects(late, 'answerError')[0].error, 'notReady');

  const second = createRequest('booking', 400);
  runInput(state, second, 400);
  const desiredState = createDesiredState();
  runInput(state, {kind: 'desiredStateRead', desiredState}, 450);
  const effects = runInput(
    state,
    {kind: 'endpointsListed', endpoints: ledger},
    460,
  );
  t.equal(listEffects(effects, 'startCall').length, 1);
});

t.test('unknown routes and keys are refused', async t => {
  const state = createReadyState(ledger);
  const lost = createRequest('booking', 0, {path: '/nowhere/1'});
  const [noRoute] = listEffects(runInput(state, lost, 0), 'answerError');
  t.equal(noRoute.error, 'unknownService');
  const stranger = createRequest('booking', 0, {apiKey: 'other'});
  const [noKey] = listEffects(runInput(state, stranger, 0), 'answerError');
  t.equal(noKey.error, 'unauthenticated');
});

t.test('a stopping VM takes only what it can finish', async t => {
  const state = createReadyState([...ledger, ...models]);
  runInput(state, {kind: 'stopRequested', endAtMs: 8000}, 0);
  const taken = runInput(state, createRequest('urgent', 1000), 1000);
  t.equal(listEffects(taken, 'startCall').length, 1);
  const refused = runInput(state, createRequest('urgent', 4100), 4100);
  t.equal(listEffects(refused, 'answerError')[0].error, 'notReady');
  // A short stream can be finished once the engines' pace is known.
  state.endpoints.byId.get('m1')!.eventGapMs = 25;
  const brief = createRequest('urgent', 4200, {totalTokens: 150});
  const short = runInput(state, brief, 4200);
  const long = createRequest('urgent', 4200, {totalTokens: 900});
  t.equal(listEffects(short, 'startCall').length, 1);
  const refusedLong = runInput(state, long, 4200);
  t.equal(listEffects(refusedLong, 'answerError')[0].error, 'notReady');
  const plain = runInput(state, createRequest('booking', 4100), 4100);
  t.equal(listEffects(plain, 'startCall').length, 1);
  const last = runInput(state, createRequest('booking', 7500), 7500);
  t.equal(listEffects(last, 'answerError')[0].error, 'notReady');
});
