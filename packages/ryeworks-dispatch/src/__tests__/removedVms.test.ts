import t from 'tap';
import {DispatchState} from '../index.js';
import {
  createDesiredState,
  createDigest,
  createEndpoint,
  createReadyState,
  createRequest,
  deliver,
  listEffects,
  names,
  runDigestTimer,
  runInput,
} from './fixtures.js';

/** Time at which the requests begin, in ms: the third VM is long gone. */
const startMs = 3_600_000;
const durationMs = 30_000;
const periodMs = 10;
/** Units of a request and of the limit per second; each VM asks for twice that. */
const requestUnits = 20;
const unitsPerSecond = 1000;

const endpoint = createEndpoint('e1', names.ledger, {slots: 1000});
const limit = {
  unitsPerSecond,
  burstUnits: 0,
  countsTokens: true,
  defaultTokens: 1,
};
const desiredState = createDesiredState(1, {
  customers: [
    {name: names.customer, apiKeys: [names.key], tier: undefined, limit},
  ],
});

/** Creates a VM that has heard of others. */
function createVm(peers = ['vm-2', 'vm-3']): DispatchState {
  const state = createReadyState([endpoint], desiredState);
  for (const vm of peers) deliver(state, createDigest({vm}), 0);
  return state;
}

/** Returns the units per second that a VM grants, with or without one peer. */
function measureGranted(state: DispatchState, hearsPeer: boolean): number {
  let granted = 0;
  for (let passedMs = 0; passedMs < durationMs; passedMs += periodMs) {
    const nowMs = startMs + passedMs;
    const sequence = 2 + passedMs;
    if (hearsPeer && passedMs % 100 === 0) {
      deliver(state, createDigest({vm: 'vm-2', sequence}), nowMs);
      runDigestTimer(state, nowMs);
    }
    const request = createRequest('reading', nowMs, {
      totalTokens: requestUnits,
    });
    const [call] = listEffects(runInput(state, request, nowMs), 'startCall');
    if (call === undefined) continue;
    granted += requestUnits;
    const {callNumber, requestId} = call;
    const done = {
      kind: 'callDone',
      requestId,
      callNumber,
      status: 200,
    } as const;
    runInput(state, {kind: 'callSent', requestId, callNumber}, nowMs);
    runInput(state, done, nowMs);
  }
  return (granted * 1000) / durationMs;
}

// Guards against VMs that were removed and keep their share of a limit for good.
t.test('the share of a VM that is gone for an hour is used', async t => {
  const withoutGone = measureGranted(createVm(['vm-2']), true);
  t.ok(withoutGone >= 0.95 * unitsPerSecond, `${Math.round(withoutGone)}`);
  const perSecond = measureGranted(createVm(), true);
  t.ok(perSecond >= 0.95 * unitsPerSecond, `${Math.round(perSecond)} a second`);
});

// Guards against a VM that is only cut off and takes the others' share, too.
t.test('a VM that is cut off for an hour keeps to its share', async t => {
  const perSecond = measureGranted(createVm(), false);
  t.ok(perSecond <= unitsPerSecond / 3, `${Math.round(perSecond)} a second`);
});
