import t from 'tap';
import {StartCall} from '../index.js';
import {
  createEndpoint,
  createReadyState,
  createRequest,
  listEffects,
  names,
  routes,
  runInput,
} from './fixtures.js';

const endpoints = ['1', '2', '3', '4'].flatMap(number => [
  createEndpoint(`e${number}`, names.ledger),
  createEndpoint(`m${number}`, names.model),
]);

// Guards against a body that is let go, as no other call follows, although one does.
for (const route of ['booking', 'relaxed', 'reading', 'urgent'] as const) {
  t.test(`${route}: no call follows the last run`, async t => {
    const state = createReadyState(endpoints);
    const request = createRequest(route, 0);
    const {requestId} = request;
    const runs: boolean[] = [];
    let calls: StartCall[] = listEffects(
      runInput(state, request, 0),
      'startCall',
    );
    while (calls.length > 0) {
      const [{callNumber, isLastRun}] = calls;
      runs.push(isLastRun);
      runInput(state, {kind: 'callSent', requestId, callNumber}, 5);
      const lost = {failure: 'cut', detail: 'test'} as const;
      const hasResponseStarted = false;
      const failed = {requestId, callNumber, hasResponseStarted, ...lost};
      calls = listEffects(
        runInput(state, {kind: 'callFailed', ...failed}, 5),
        'startCall',
      );
    }
    t.equal(runs.indexOf(true), runs.length - 1, 'only the last one is');
    t.ok(runs.length <= Math.max(1, routes[route].maxAttempts));
  });
}
