import {createDispatchState, RequestReceived} from '@ryeworks/dispatch';
import {systemClock} from '@ryeworks/utils';
import t from 'tap';
import {DispatchLoop, EffectHandlers, Fault} from '../core/dispatchLoop.js';
import {testOptions} from './testOptions.js';

/** Creates a request that arrived before the VM was ready. */
function createEarlyRequest(requestId: string): RequestReceived {
  return {
    kind: 'requestReceived',
    requestId,
    attemptId: `attempt-${requestId}`,
    host: 'calls.example',
    path: '/urgent/1',
    apiKey: undefined,
    receivedAtMs: 0,
    deadlineInMs: undefined,
    promptTokens: 0,
    totalTokens: undefined,
    sharedParts: [],
  };
}

// Guards against an error in the handling of one request's timer that leaves
// other requests, whose timers are due at the same time, without their answer:
// the core has ended them, and its effects are lost.
t.test("an error in one request's timer ends this request only", t => {
  const state = createDispatchState(testOptions);
  const loop = new DispatchLoop(state, systemClock);
  t.teardown(() => loop.stop());
  const faults: Fault[] = [];
  const answered: string[] = [];
  const handlers = new Proxy({} as EffectHandlers, {
    get: (_target, kind) => (effect: {requestId: string}) => {
      if (kind === 'answerError') answered.push(effect.requestId);
    },
  });
  loop.start(handlers, fault => faults.push(fault));
  state.earlyRequests.set('sound', createEarlyRequest('sound'));
  state.timers.set('earlyRequest', 'sound', 0);
  // Its handling throws, as that of a fault in the product would.
  state.earlyRequests.set('faulty', null as unknown as RequestReceived);
  state.timers.set('earlyRequest', 'faulty', 1);
  loop.submit({kind: 'timerDue'});
  t.equal(faults.length, 1);
  t.match(faults[0], {requestId: 'faulty'}, 'the fault names its request');
  t.same(answered, ['sound']);
  t.end();
});
