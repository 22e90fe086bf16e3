import t from 'tap';
import {createStoreView, DispatchState, Effect} from '../index.js';
import {
  createDigest,
  createEndpoint,
  createReadyState,
  createRequest,
  listEffects,
  names,
  runInput,
} from './fixtures.js';

const modelEndpoint = createEndpoint('m1', names.model);
const vmsInZone = 15;

/** Lets all of two zones be heard; their names go before `vm-1` or after. */
function sendFleetDigests(state: DispatchState, prefix: string, nowMs: number) {
  for (const availabilityZone of ['zone-a', 'zone-b']) {
    for (let index = 0; index < vmsInZone; index++) {
      const vm = `${prefix}-${availabilityZone}-${index}`;
      const message = createDigest({vm, availabilityZone, sequence: nowMs});
      runInput(state, {kind: 'peerMessageReceived', message}, nowMs);
    }
  }
}

/** Lets the digest timer run. */
function runDigestTimer(state: DispatchState, nowMs: number): Effect[] {
  state.timers.set('digest', '', nowMs);
  return runInput(state, {kind: 'timerDue'}, nowMs);
}

/** Gives a digest that tells of a revision of the store. */
function sendRevision(
  state: DispatchState,
  storeRevision: number,
  availabilityZone: string,
  nowMs: number,
) {
  const message = createDigest({
    vm: `teller-${availabilityZone}`,
    availabilityZone,
    sequence: nowMs,
    storeRevision,
  });
  const effects = runInput(
    state,
    {kind: 'peerMessageReceived', message},
    nowMs,
  );
  return listEffects(effects, 'fetchStoreView').length;
}

t.test('a large fleet: few VMs of a zone watch the store', async t => {
  const first = createReadyState([modelEndpoint]);
  sendFleetDigests(first, 'z', 10);
  t.equal(listEffects(runDigestTimer(first, 20), 'setStoreWatch').length, 0);

  const later = createReadyState([modelEndpoint]);
  sendFleetDigests(later, 'a', 10);
  const [change] = listEffects(runDigestTimer(later, 20), 'setStoreWatch');
  t.equal(change?.isWatching, false);
});

t.test('a VM that hears nobody watches the store itself', async t => {
  const state = createReadyState([modelEndpoint]);
  sendFleetDigests(state, 'a', 10);
  runDigestTimer(state, 20);
  const [change] = listEffects(runDigestTimer(state, 2000), 'setStoreWatch');
  t.equal(change?.isWatching, true);
});

t.test('few VMs watch the store each', async t => {
  const state = createReadyState([modelEndpoint]);
  const message = createDigest({vm: 'a', storeRevision: 9});
  const heard = runInput(state, {kind: 'peerMessageReceived', message}, 1);
  t.equal(listEffects(heard, 'fetchStoreView').length, 0);
  t.equal(listEffects(runDigestTimer(state, 20), 'setStoreWatch').length, 0);
});

t.test('news of the store come from the own zone first', async t => {
  const state = createReadyState([modelEndpoint]);
  sendFleetDigests(state, 'a', 10);
  runDigestTimer(state, 20);
  t.equal(sendRevision(state, 5, 'zone-b', 30), 0);
  t.equal(sendRevision(state, 5, 'zone-a', 40), 1);
  t.equal(sendRevision(state, 5, 'zone-a', 50), 0, 'one fetch at a time');
  t.equal(sendRevision(state, 5, 'zone-b', 400), 1, 'after a while from any');
});

t.test("a peer's view takes the place of what was known", async t => {
  const state = createReadyState([modelEndpoint]);
  sendFleetDigests(state, 'a', 10);
  runDigestTimer(state, 20);
  const draining = {...modelEndpoint, isDraining: true};
  const other = createEndpoint('m2', names.model);
  const teller = createReadyState([draining, other]);
  runInput(teller, {kind: 'storeRevisionRead', revision: 7}, 10);
  runInput(state, createStoreView(teller), 30);
  const effects = runInput(state, createRequest('urgent', 40), 40);
  t.equal(listEffects(effects, 'startCall')[0]?.endpoint.id, 'm2');
  const older = {
    ...createStoreView(teller),
    revision: 6,
    endpoints: [modelEndpoint],
  };
  runInput(state, older, 50);
  t.ok(state.endpoints.byId.get('m1')!.endpoint.isDraining);
});

t.test('entries that may come back are not told of as gone', async t => {
  const state = createReadyState([modelEndpoint]);
  runInput(state, {kind: 'storeRevisionRead', revision: 7}, 10);
  t.equal(createStoreView(state).revision, 7);
  runInput(state, {kind: 'storeReachabilityChanged', isReachable: true}, 1000);
  runInput(state, {kind: 'endpointRemoved', id: 'm1'}, 1100);
  runInput(state, {kind: 'storeRevisionRead', revision: 9}, 1100);
  t.equal(createStoreView(state).revision, 0);
  runInput(state, {kind: 'timerDue'}, 3100);
  t.equal(createStoreView(state).revision, 9);
});

t.test('off duty a newer desired state is read in the store', async t => {
  const state = createReadyState([modelEndpoint]);
  sendFleetDigests(state, 'a', 10);
  runDigestTimer(state, 20);
  const message = createDigest({vm: 'b', sequence: 1, desiredVersion: 4});
  const effects = runInput(state, {kind: 'peerMessageReceived', message}, 30);
  t.match(listEffects(effects, 'readDesiredState'), [{version: 4}]);
  const again = {...message, sequence: 2};
  const later = runInput(
    state,
    {kind: 'peerMessageReceived', message: again},
    700,
  );
  t.equal(listEffects(later, 'readDesiredState').length, 0);
  t.equal(listEffects(later, 'fetchDesiredState').length, 1);
});
