import t from 'tap';
import {
  createEndpoint,
  createReadyState,
  createRequest,
  listEffects,
  names,
  routes,
  runInput,
} from './fixtures.js';

/** End of the stops in these tests, which begin at 0, in ms. */
const endAtMs = 3700;
const slots = 4;

/** Creates the state of a VM that stops, with one endpoint of each service. */
function createStoppingState(stopEndAtMs = endAtMs) {
  const state = createReadyState([
    createEndpoint('l1', names.ledger, {slots}),
    createEndpoint('m1', names.model, {slots}),
  ]);
  runInput(state, {kind: 'stopRequested', endAtMs: stopEndAtMs}, 0);
  return state;
}

// Guards against a request that waits for an endpoint while a process stops, is
// passed on just before its end and cut there.
t.test('a request that waits at the end of a stop is refused', async t => {
  const state = createStoppingState();
  let request = createRequest('booking', 2100);
  while (listEffects(runInput(state, request, 2100), 'startCall').length > 0) {
    request = createRequest('booking', 2100);
  }
  const effects = runInput(state, {kind: 'timerDue'}, 2250);
  const [answer] = listEffects(effects, 'answerError');
  t.match(answer, {requestId: request.requestId, error: 'notReady'});
  t.ok(answer?.retryAfterMs > 0);
});

// Guards against the same for a request that an endpoint has turned away.
t.test('a request turned away at the end of a stop is refused', async t => {
  const state = createStoppingState();
  const request = createRequest('booking', 2000);
  runInput(state, request, 2000);
  const call = {requestId: request.requestId, callNumber: 1};
  runInput(state, {kind: 'callSent', ...call}, 2001);
  const failure = {failure: 'refused', hasResponseStarted: false} as const;
  const failed = {kind: 'callFailed', ...call, ...failure, detail: ''} as const;
  const effects = runInput(state, failed, 2300);
  t.strictSame(listEffects(effects, 'startCall'), []);
  t.match(listEffects(effects, 'answerError'), [{error: 'notReady'}]);
});

// Guards against guesses of how long a request takes: one that is taken late must
// end by its own time limit before the process does.
for (const name of Object.keys(routes) as Array<keyof typeof routes>) {
  t.test(
    `a stop takes a late request only if it must end: ${name}`,
    async t => {
      const state = createStoppingState(7700);
      state.endpoints.byId.get('m1')!.eventGapMs = 5;
      const send = (nowMs: number, deadlineInMs: number) => {
        const request = createRequest(name, nowMs, {deadlineInMs});
        return runInput(state, request, nowMs);
      };
      const early = send(2400, 8000);
      t.equal(listEffects(early, 'startCall').length, 1, 'any early');
      const brief = send(4000, 3500);
      t.equal(listEffects(brief, 'startCall').length, 1, 'a brief one late');
      const [answer] = listEffects(send(4000, 3700), 'answerError');
      t.equal(answer?.error, 'notReady', 'no longer one');
      t.ok(answer?.retryAfterMs > 0, 'with a time to come back');
    },
  );
}
