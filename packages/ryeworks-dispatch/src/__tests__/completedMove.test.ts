import t from 'tap';
import {handleInput, MoveOrder, startDispatch} from '../index.js';
import {
  createEndpoint,
  createReadyState,
  createRequest,
  listEffects,
  names,
  runInput,
} from './fixtures.js';

const position = {era: 1, revision: 10};
const order: MoveOrder = {
  service: names.ledger,
  toVersion: 'v2',
  durationMs: 12_000,
  position,
  orderedAt: position,
  provenVersions: [],
  phase: 'completed',
};
/** Calls that one crash of an endpoint cuts. */
const cutCalls = 8;

// Guards against a service that is refused on every VM after one crash.
t.test(
  'calls that are cut do not end the use of a completed version',
  async t => {
    const endpoints = [
      createEndpoint('e1', names.ledger, {slots: 50, version: 'v2'}),
      createEndpoint('e2', names.ledger, {slots: 50, version: 'v2'}),
    ];
    const state = createReadyState(endpoints);
    startDispatch(state, 0);
    runInput(state, {kind: 'movesRead', era: 1, orders: [order]}, 0);
    const calls: string[] = [];
    for (let index = 0; index < cutCalls; index++) {
      const request = createRequest('booking', 10);
      t.equal(listEffects(runInput(state, request, 10), 'startCall').length, 1);
      const {requestId} = request;
      const event = {requestId, callNumber: 1};
      handleInput(state, {kind: 'callSent', ...event}, 20);
      calls.push(requestId);
    }
    for (const requestId of calls) {
      const event = {requestId, callNumber: 1, hasResponseStarted: false};
      const failed = {kind: 'callFailed', failure: 'cut', detail: ''} as const;
      handleInput(state, {...failed, ...event}, 100);
    }
    runInput(state, {kind: 'timerDue'}, 500);
    const later = createRequest('booking', 5000);
    t.equal(listEffects(runInput(state, later, 5000), 'startCall').length, 1);
  },
);
