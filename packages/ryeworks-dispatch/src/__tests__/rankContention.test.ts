import t from 'tap';
import {getRankContention} from '../dispatchState.js';
import {DispatchState} from '../index.js';
import {
  createDigest,
  createEndpoint,
  createReadyState,
  createRequest,
  deliver,
  listEffects,
  names,
  runInput,
} from './fixtures.js';

const slots = 5;
/** Slots of a large fleet that the lowest tier may use: 0.8, or 0.6 of them. */
const freeCalls = 4;
const contendedCalls = 3;
/** Number of other VMs, more than exchange digests directly. */
const peerCount = 27;
/** A request of the highest tier that has waited at a peer. */
const heads = {[names.model]: {rank: 0, waitedMs: 50, count: 1}};

/** Creates a VM of a large fleet with one engine. */
function createFleetVm(): DispatchState {
  const state = createReadyState([createEndpoint('m1', names.model, {slots})]);
  for (let index = 2; index <= peerCount + 1; index++) {
    const vm = `vm-${index}`;
    deliver(state, createDigest({vm, address: `${vm}:7600`}), 1);
  }
  getRankContention(state, names.model, 0);
  return state;
}

/** Returns how many of ten requests of the lowest tier are sent at once. */
function countRelaxedCalls(state: DispatchState, nowMs: number): number {
  let calls = 0;
  for (let index = 0; index < 10; index++) {
    const request = createRequest('relaxed', nowMs);
    const effects = runInput(state, request, nowMs);
    calls += listEffects(effects, 'startCall').length;
  }
  return calls;
}

// Load pattern: long answers of the lowest tier while the highest tier has room.
// Guards against engines that stay idle while requests are refused.
t.test('the lowest tier uses slots that no higher tier waits for', async t => {
  t.equal(countRelaxedCalls(createFleetVm(), 1001), freeCalls);
});

// Guards against a VM that has just started and fills engines that others keep free.
t.test('more slots are kept free until waits were observed', async t => {
  t.equal(countRelaxedCalls(createFleetVm(), 1000), contendedCalls);
});

// Guards against a higher tier that waits behind long answers of the lowest one,
// because each VM sees only its own queue.
t.test('more slots are kept free while a higher tier waits', async t => {
  for (const [availabilityZone, expected] of [
    ['zone-a', contendedCalls],
    ['zone-b', freeCalls],
  ] as const) {
    const state = createFleetVm();
    const digest = createDigest({sequence: 2, availabilityZone, heads});
    deliver(state, digest, 1100);
    t.equal(countRelaxedCalls(state, 1200), expected, availabilityZone);
  }
});

t.test('the slots are used again when no higher tier waits', async t => {
  const state = createFleetVm();
  deliver(state, createDigest({sequence: 2, heads}), 1100);
  t.equal(countRelaxedCalls(state, 2101), freeCalls);
});

// Guards against requests that keep slots free from each other.
t.test('a tier does not yield to itself or to a lower one', async t => {
  const state = createFleetVm();
  const ownHead = {[names.model]: {rank: 2, waitedMs: 50, count: 1}};
  deliver(state, createDigest({sequence: 2, heads: ownHead}), 1100);
  t.equal(countRelaxedCalls(state, 1200), freeCalls);
});
