import t from 'tap';
import {createStoreView, DispatchState, isReady} from '../index.js';
import {
  createDesiredState,
  createDigest,
  createEndpoint,
  createRequest,
  createState as createVmState,
  deliver,
  listEffects,
  names,
  runDigestTimer,
  runInput,
  sendDigests,
} from './fixtures.js';

const zoneA = createEndpoint('l1', names.ledger, {slots: 50});
const zoneB = createEndpoint('l2', names.ledger, {
  slots: 50,
  availabilityZone: 'zone-b',
});
const endpoints = [zoneA, zoneB];

/** Creates a VM that has read everything but the evacuations. */
function createUnready(evacuationMs: number | undefined): DispatchState {
  const state = createVmState();
  state.options = {...state.options, evacuationMs};
  state.hasCheckedVersion = true;
  runInput(state, {kind: 'storeEraRead', era: 1}, 0);
  const desiredState = createDesiredState();
  runInput(state, {kind: 'desiredStateRead', desiredState}, 0);
  runInput(state, {kind: 'endpointsListed', era: 1, endpoints}, 0);
  return state;
}

/** Passes the evacuations to a VM. */
function readZones(
  state: DispatchState,
  zones: readonly string[],
  nowMs: number,
  era = 1,
) {
  return runInput(state, {kind: 'evacuationsRead', era, zones}, nowMs);
}

/** Creates a VM that serves callers. */
function createState(zones: readonly string[] = []): DispatchState {
  const state = createUnready(5000);
  readZones(state, zones, 0);
  return state;
}

/** Sends requests; returns the endpoints that were called, without repetitions. */
function listCalled(state: DispatchState, nowMs: number): string[] {
  const called = new Set<string>();
  for (let count = 0; count < 10; count++) {
    const effects = runInput(state, createRequest('reading', nowMs), nowMs);
    for (const {endpoint} of listEffects(effects, 'startCall')) {
      called.add(endpoint.id);
    }
  }
  return [...called].sort();
}

t.test('EVAC: an evacuated zone gets no calls until its end', async t => {
  const state = createState(['zone-a']);
  t.same(listCalled(state, 10), ['l2']);
  readZones(state, [], 20);
  t.ok(listCalled(state, 30).includes('l1'));
  readZones(state, ['zone-a'], 40);
  t.same(listCalled(state, 50), ['l2'], 'and again within a second');
  readZones(state, ['zone-a', 'zone-b'], 60);
  t.same(listCalled(state, 70), [], 'two zones at once');
});

// Guards against callers that wait in vain, or are not told when to come back.
t.test('EVAC: with all zones evacuated requests are refused', async t => {
  const state = createState(['zone-a', 'zone-b']);
  const effects = runInput(state, createRequest('reading', 10), 10);
  const [answer] = listEffects(effects, 'answerError');
  t.equal(answer?.error, 'overloaded');
  t.ok((answer?.retryAfterMs ?? 0) > 0);
});

// Guards against a queue that is served in the zone, or waits for it.
t.test('EVAC: queued requests are refused, and go on at the end', async t => {
  const full = createState();
  const inFlight = {l1: 99, l2: 99};
  deliver(full, createDigest({inFlight}), 10);
  runInput(full, createRequest('reading', 20), 20);
  readZones(full, ['zone-a', 'zone-b'], 30);
  const effects = runInput(full, {kind: 'timerDue'}, 50);
  t.equal(listEffects(effects, 'answerError').length, 1);
  t.equal(listEffects(effects, 'startCall').length, 0);
});

// Guards against a call that reaches the zone because its connection was being
// opened, and against calls that are cut although they run.
t.test('EVAC: only calls that were not sent are withdrawn', async t => {
  for (const isSent of [true, false]) {
    const state = createState(['zone-b']);
    const started = runInput(state, createRequest('reading', 10), 10);
    const [call] = listEffects(started, 'startCall');
    const {callNumber, requestId} = call;
    if (isSent) runInput(state, {kind: 'callSent', requestId, callNumber}, 11);
    readZones(state, ['zone-a'], 20);
    const effects = readZones(state, ['zone-a', 'zone-b'], 30);
    const canceled = isSent ? 0 : 1;
    const earlier = state.requests.get(requestId)?.calls ?? [];
    t.equal(
      earlier.some(({endpointId}) => endpointId === 'l1'),
      isSent,
    );
    t.ok(listEffects(effects, 'cancelCall').length <= canceled);
  }
});

// Guards against a VM that serves before it knows which zones are evacuated, and
// against one that waits for evacuations which the deployment has not.
t.test('EVAC: a VM that starts reads the evacuations first', async t => {
  const state = createUnready(5000);
  t.notOk(isReady(state));
  const early = runInput(state, createRequest('reading', 10), 10);
  t.equal(listEffects(early, 'startCall').length, 0);
  const effects = readZones(state, ['zone-a'], 20);
  const calls = listEffects(effects, 'startCall');
  t.same(
    calls.map(({endpoint}) => endpoint.id),
    ['l2'],
  );
  t.ok(isReady(createUnready(undefined)));
});

// Guards against an older copy of the store, or a late answer of it, that ends an
// evacuation.
t.test('EVAC: an older store does not end an evacuation', async t => {
  const state = createState(['zone-a']);
  runInput(state, {kind: 'storeEraRead', era: 2}, 100);
  readZones(state, [], 110, 1);
  t.same(
    listCalled(state, 120),
    ['l2'],
    'a list of the earlier era is ignored',
  );
  readZones(state, [], 130, 2);
  runInput(state, {kind: 'endpointsListed', era: 2, endpoints}, 140);
  runDigestTimer(state, 150);
  t.same(listCalled(state, 160), ['l2'], 'it may only be lost');
  readZones(state, ['zone-a'], 1000, 2);
  runDigestTimer(state, 5000);
  t.same(listCalled(state, 5010), ['l2'], 'it was written again');
  readZones(state, [], 6000, 2);
  t.ok(listCalled(state, 6010).includes('l1'), 'it was removed');
});

t.test('EVAC: one that is not written again ends later', async t => {
  const state = createState(['zone-a']);
  runInput(state, {kind: 'storeEraRead', era: 2}, 100);
  runInput(state, {kind: 'endpointsListed', era: 2, endpoints}, 110);
  readZones(state, [], 120, 2);
  runDigestTimer(state, 1900);
  t.same(listCalled(state, 1900), ['l2']);
  runDigestTimer(state, 2500);
  t.ok(listCalled(state, 2510).includes('l1'));
});

// Guards against VMs that do not reach the store and never hear of an evacuation.
t.test('EVAC: a VM without the store learns it from a peer', async t => {
  const informed = createState();
  readZones(informed, ['zone-a'], 10);
  const position = {era: 0, revision: 0};
  const evacuationsPosition = {era: 1, revision: 9};
  runInput(
    informed,
    {
      kind: 'storePositionRead',
      position,
      ordersPosition: position,
      evacuationsPosition,
    },
    10,
  );
  const peer = createDigest({vm: 'vm-3', address: 'vm-3:7600'});
  deliver(informed, peer, 15);
  const [digest] = sendDigests(informed, 20);
  t.match(digest.message, {evacuationsRevision: 9});

  const cut = createState();
  const change = {kind: 'storeReachabilityChanged'} as const;
  runInput(cut, {...change, isReachable: true}, 0);
  runInput(cut, {...change, isReachable: false}, 5);
  const message = {...digest.message, vm: 'vm-9', address: 'vm-9:7600'};
  const fetches = deliver(cut, message as never, 30);
  t.equal(listEffects(fetches, 'fetchStoreView').length, 1);
  runInput(cut, createStoreView(informed), 40);
  t.same(listCalled(cut, 50), ['l2']);
});
