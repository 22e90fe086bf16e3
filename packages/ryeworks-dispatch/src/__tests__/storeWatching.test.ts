import t from 'tap';
import {
  createStoreView,
  Digest,
  DispatchState,
  Effect,
  MoveOrder,
  startDispatch,
} from '../index.js';
import {
  createDigest,
  createEndpoint,
  createPositionRead,
  createReadyState,
  createRequest,
  deliver,
  listEffects,
  names,
  runDigestTimer,
  runInput,
  sendDigests,
} from './fixtures.js';

const modelEndpoint = createEndpoint('m1', names.model);
const vmsInZone = 15;
const order: MoveOrder = {
  service: names.model,
  toVersion: 'v2',
  durationMs: 8000,
  position: {era: 1, revision: 99},
  orderedAt: {era: 1, revision: 99},
  provenVersions: [],
  phase: undefined,
};

/**
 * Delivers digests of all VMs of two zones. With the prefix `a` their names
 * sort before `vm-1`, with `z` after it.
 */
function sendFleetDigests(state: DispatchState, prefix: string, nowMs: number) {
  for (const availabilityZone of ['zone-a', 'zone-b']) {
    for (let index = 0; index < vmsInZone; index++) {
      const vm = `${prefix}-${availabilityZone}-${index}`;
      const message = createDigest({vm, availabilityZone, sequence: nowMs});
      deliver(state, message, nowMs);
    }
  }
}

/**
 * Delivers a digest with a store revision; returns the number of fetches that
 * it causes.
 */
function sendRevision(
  state: DispatchState,
  storeRevision: number,
  availabilityZone: string,
  nowMs: number,
) {
  const message = createDigest({
    vm: `sender-${availabilityZone}`,
    availabilityZone,
    sequence: nowMs,
    storeRevision,
  });
  const effects = deliver(state, message, nowMs);
  return listEffects(effects, 'fetchStoreView').length;
}

/** Delivers a digest with a VM's position; returns the number of fetches. */
function sendPositionOf(
  state: DispatchState,
  sender: DispatchState,
  nowMs: number,
): number {
  runInput(sender, {kind: 'seedListed', address: 'a-0:1'}, nowMs);
  const [{message}] = sendDigests(sender, nowMs);
  const digest = message as Digest;
  const changes = {vm: 'a-sender', sequence: nowMs};
  const received = {...digest, ...changes, availabilityZone: 'zone-a'};
  const input = {kind: 'peerMessageReceived', message: received} as const;
  return listEffects(runInput(state, input, nowMs), 'fetchStoreView').length;
}

t.test('in a large fleet, a few VMs per zone watch the store', async t => {
  const first = createReadyState([modelEndpoint]);
  sendFleetDigests(first, 'z', 10);
  t.equal(listEffects(runDigestTimer(first, 20), 'setStoreWatch').length, 0);

  const later = createReadyState([modelEndpoint]);
  sendFleetDigests(later, 'a', 10);
  const [change] = listEffects(runDigestTimer(later, 20), 'setStoreWatch');
  t.equal(change?.isWatching, false);
});

/** Lists VMs whose names sort before `vm-1`; returns the last effects. */
function listFleetVms(state: DispatchState, nowMs: number): Effect[] {
  for (const availabilityZone of ['zone-a', 'zone-b']) {
    for (let index = 0; index < vmsInZone; index++) {
      const vm = `a-${availabilityZone}-${index}`;
      const listed = {vm, address: `${vm}:7600`, availabilityZone};
      runInput(state, {kind: 'vmListed', ...listed}, nowMs);
    }
  }
  return runInput(state, {kind: 'timerDue'}, nowMs);
}

// Guards against a start of hundreds of VMs that each watch the store until they
// have heard of each other.
t.test('VMs that are listed at the start are expected to watch', async t => {
  const state = createReadyState([modelEndpoint]);
  const [change] = listEffects(listFleetVms(state, 30), 'setStoreWatch');
  t.equal(change?.isWatching, false);
  t.equal(listEffects(runDigestTimer(state, 1400), 'setStoreWatch').length, 0);
  const [later] = listEffects(runDigestTimer(state, 1600), 'setStoreWatch');
  t.equal(later?.isWatching, true, 'none of them was heard of');
});

t.test('VMs that are listed later are not expected to watch', async t => {
  const state = createReadyState([modelEndpoint]);
  const effects = listFleetVms(state, 3000);
  t.equal(listEffects(effects, 'setStoreWatch').length, 0);
});

t.test('a VM without recent digests from peers watches the store', async t => {
  const state = createReadyState([modelEndpoint]);
  sendFleetDigests(state, 'a', 10);
  runDigestTimer(state, 20);
  const [change] = listEffects(runDigestTimer(state, 2000), 'setStoreWatch');
  t.equal(change?.isWatching, true);
});

t.test('in a small fleet, every VM watches the store', async t => {
  const state = createReadyState([modelEndpoint]);
  const message = createDigest({vm: 'a', storeRevision: 9});
  const effects = deliver(state, message, 1);
  t.equal(listEffects(effects, 'fetchStoreView').length, 0);
  t.equal(listEffects(runDigestTimer(state, 20), 'setStoreWatch').length, 0);
});

// Guards against calls to endpoints that are gone, and orders that are not known,
// on a VM that only cannot reach the store.
t.test('a watching VM that lost the store asks its peers', async t => {
  const state = createReadyState([modelEndpoint]);
  for (const isReachable of [true, false]) {
    runInput(state, {kind: 'storeReachabilityChanged', isReachable}, 10);
  }
  t.equal(sendRevision(state, 5, 'zone-a', 20), 1);
  const other = createEndpoint('m2', names.model);
  const peer = createReadyState([other]);
  runInput(peer, {kind: 'storeEraRead', era: 1}, 5);
  runInput(peer, createPositionRead(1, 7), 10);
  runInput(state, createStoreView(peer), 30);
  t.ok(state.endpoints.byId.has('m2'));
  runInput(state, {kind: 'storeReachabilityChanged', isReachable: true}, 500);
  t.equal(sendRevision(state, 9, 'zone-a', 1000), 0, 'it reads the store');
});

t.test('store views are fetched from the local zone first', async t => {
  const state = createReadyState([modelEndpoint]);
  sendFleetDigests(state, 'a', 10);
  runDigestTimer(state, 20);
  t.equal(sendRevision(state, 5, 'zone-b', 30), 0);
  t.equal(sendRevision(state, 5, 'zone-a', 40), 1);
  t.equal(sendRevision(state, 5, 'zone-a', 50), 0, 'no second fetch yet');
  runInput(state, {kind: 'storeViewFetchEnded'}, 300);
  t.equal(sendRevision(state, 5, 'zone-b', 400), 1, 'after the delay');
});

// Guards against fetches that pile up on a slow link until none ends in time.
t.test('only one store view is fetched at a time', async t => {
  const state = createReadyState([modelEndpoint]);
  sendFleetDigests(state, 'a', 10);
  runDigestTimer(state, 20);
  t.equal(sendRevision(state, 5, 'zone-a', 40), 1);
  for (let nowMs = 50; nowMs < 5000; nowMs += 50) {
    t.equal(sendRevision(state, 5, 'zone-a', nowMs), 0, `none at ${nowMs} ms`);
  }
  runInput(state, {kind: 'storeViewFetchEnded'}, 5000);
  t.equal(sendRevision(state, 5, 'zone-a', 5050), 1);
});

t.test('a newer store view from a peer replaces the endpoints', async t => {
  const state = createReadyState([modelEndpoint]);
  sendFleetDigests(state, 'a', 10);
  runDigestTimer(state, 20);
  const draining = {...modelEndpoint, isDraining: true};
  const other = createEndpoint('m2', names.model);
  const peer = createReadyState([draining, other]);
  runInput(peer, {kind: 'storeEraRead', era: 1}, 5);
  runInput(peer, createPositionRead(1, 7), 10);
  runInput(state, createStoreView(peer), 30);
  const effects = runInput(state, createRequest('urgent', 40), 40);
  t.equal(listEffects(effects, 'startCall')[0]?.endpoint.id, 'm2');
  const older = {
    ...createStoreView(peer),
    position: {era: 1, revision: 6},
    endpoints: [modelEndpoint],
  };
  runInput(state, older, 50);
  t.ok(state.endpoints.byId.get('m1')!.endpoint.isDraining);
});

t.test('no store revision is reported while endpoints are missing', async t => {
  const state = createReadyState([modelEndpoint]);
  runInput(state, {kind: 'storeEraRead', era: 1}, 5);
  runInput(state, createPositionRead(1, 7), 10);
  t.equal(createStoreView(state).position.revision, 7);
  runInput(state, {kind: 'storeReachabilityChanged', isReachable: true}, 1000);
  runInput(state, {kind: 'endpointRemoved', id: 'm1'}, 1100);
  runInput(state, createPositionRead(1, 9), 1100);
  t.equal(createStoreView(state).position.revision, 0);
  runInput(state, {kind: 'timerDue'}, 3100);
  t.equal(createStoreView(state).position.revision, 9);
});

t.test('a non-watching VM reads the store and asks peers in turn', async t => {
  const state = createReadyState([modelEndpoint]);
  sendFleetDigests(state, 'a', 10);
  runDigestTimer(state, 20);
  const message = createDigest({vm: 'b', sequence: 1, desiredVersion: 4});
  const effects = deliver(state, message, 30);
  t.match(listEffects(effects, 'readDesiredState'), [{version: 4}]);
  runInput(state, {kind: 'desiredStateFetchEnded'}, 500);
  const again = {...message, sequence: 2};
  const later = runInput(
    state,
    {kind: 'peerMessageReceived', message: again},
    700,
  );
  t.equal(listEffects(later, 'readDesiredState').length, 0);
  t.equal(listEffects(later, 'fetchDesiredState').length, 1);
  runInput(state, {kind: 'desiredStateFetchEnded'}, 1200);
  const last = {...message, sequence: 3};
  const effectsAfter = runInput(
    state,
    {kind: 'peerMessageReceived', message: last},
    1400,
  );
  t.match(listEffects(effectsAfter, 'readDesiredState'), [{version: 4}]);
});

// Guards against watchers that count as dead between two digests, so that more
// VMs watch the store.
t.test('watchers stay the same at the period of a zone of 50 VMs', async t => {
  const state = createReadyState([modelEndpoint]);
  startDispatch(state, 0);
  const periodMs = 820;
  let changes = 0;
  for (let nowMs = 10; nowMs < 9000; nowMs += 10) {
    for (let index = 0; index < 50; index++) {
      if ((nowMs + index * 16) % periodMs >= 10) continue;
      const vm = index < 2 ? `a-${index}` : `z-${index}`;
      const message = createDigest({vm, sequence: nowMs});
      deliver(state, message, nowMs);
    }
    const effects = runInput(state, {kind: 'timerDue'}, nowMs);
    if (nowMs > 2000) changes += listEffects(effects, 'setStoreWatch').length;
  }
  t.equal(changes, 0, 'this VM does not begin to watch');
});

// Guards against an order that VMs miss because an endpoint that changed after it
// was read before it.
t.test('a late change of the orders is fetched', async t => {
  const state = createReadyState([modelEndpoint]);
  sendFleetDigests(state, 'a', 10);
  runDigestTimer(state, 20);
  const peer = createReadyState([modelEndpoint]);
  runInput(peer, {kind: 'storeEraRead', era: 1}, 5);
  runInput(peer, createPositionRead(1, 100, 50), 10);
  runInput(state, createStoreView(peer), 30);
  t.equal(state.storePosition.revision, 100);
  runInput(peer, {kind: 'movesRead', era: 1, orders: [order]}, 40);
  runInput(peer, createPositionRead(1, 99, 99), 40);
  t.equal(sendPositionOf(state, peer, 50), 1, 'fetched');
  runInput(state, createStoreView(peer), 60);
  t.same([...state.moves.keys()], [names.model]);
  runInput(state, {kind: 'storeViewFetchEnded'}, 60);
  t.equal(sendPositionOf(state, peer, 500), 0, 'not fetched again');
});

t.test('a view with older orders does not revert them', async t => {
  const state = createReadyState([modelEndpoint]);
  sendFleetDigests(state, 'a', 10);
  runDigestTimer(state, 20);
  const peer = createReadyState([modelEndpoint]);
  runInput(peer, {kind: 'storeEraRead', era: 1}, 5);
  runInput(peer, {kind: 'movesRead', era: 1, orders: [order]}, 10);
  runInput(peer, createPositionRead(1, 99, 99), 10);
  runInput(state, createStoreView(peer), 30);
  const other = createReadyState([{...modelEndpoint, isDraining: true}]);
  runInput(other, {kind: 'storeEraRead', era: 1}, 5);
  runInput(other, createPositionRead(1, 105, 50), 10);
  runInput(state, createStoreView(other), 40);
  t.ok(state.endpoints.byId.get('m1')?.endpoint.isDraining);
  t.same([...state.moves.keys()], [names.model]);
});
