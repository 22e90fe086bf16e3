import t from 'tap';
import {
  createStoreView,
  DispatchState,
  Effect,
  MoveOrder,
  MovePhase,
  startDispatch,
  StorePosition,
} from '../index.js';
import {
  createDesiredState,
  createDigest,
  createEndpoint,
  createPositionRead,
  createReadyState,
  createRequest,
  createState,
  deliver,
  listEffects,
  names,
  runInput,
} from './fixtures.js';

const first = createEndpoint('e1', names.ledger);
const second = createEndpoint('e2', names.ledger);
const newVersion = createEndpoint('e3', names.ledger, {version: 'v2'});

/** Creates a ready VM that has applied a position of era 1. */
function createWatcher(revision = 500): DispatchState {
  const state = createReadyState([first, second, newVersion]);
  startDispatch(state, 0);
  runInput(state, {kind: 'storeEraRead', era: 1}, 0);
  runInput(
    state,
    {kind: 'endpointsListed', era: 1, endpoints: [first, second, newVersion]},
    0,
  );
  runInput(state, createPositionRead(1, revision), 0);
  return state;
}

/** Creates a VM of a large fleet that does not watch the store. */
function createNonWatcher(): DispatchState {
  const state = createWatcher();
  for (let index = 0; index < 25; index++) {
    const message = createDigest({vm: `a-${index}`, storeEra: 1});
    deliver(state, message, 10);
  }
  runInput(state, {kind: 'timerDue'}, 20);
  return state;
}

/** Delivers a digest with a position; returns the fetches that it causes. */
function sendPosition(
  state: DispatchState,
  position: Partial<StorePosition>,
  nowMs: number,
): number {
  const {era: storeEra, revision: storeRevision = 0} = position;
  const message = createDigest({
    vm: 'a-0',
    sequence: nowMs,
    storeEra,
    storeRevision,
  });
  const input = {kind: 'peerMessageReceived', message} as const;
  return listEffects(runInput(state, input, nowMs), 'fetchStoreView').length;
}

/** Delivers the list of endpoints of an era. */
function listEndpoints(
  state: DispatchState,
  era: number,
  endpoints = [first],
  nowMs = 1000,
): void {
  runInput(state, {kind: 'storeEraRead', era}, nowMs);
  runInput(state, {kind: 'endpointsListed', era, endpoints}, nowMs);
}

/** Returns the IDs of the endpoints in use. */
function listIds(state: DispatchState): string[] {
  return [...state.endpoints.byId.keys()].sort();
}

t.test('a VM that does not watch follows into a later era', async t => {
  const state = createNonWatcher();
  t.equal(sendPosition(state, {era: 1, revision: 499}, 400), 0, 'older');
  t.equal(sendPosition(state, {era: 2}, 500), 0, 'nothing applied there yet');
  t.equal(sendPosition(state, {era: 2, revision: 90}, 600), 1, 'later era');
  const peer = createWatcher();
  listEndpoints(peer, 2, [first, second, newVersion]);
  runInput(peer, createPositionRead(2, 90), 1000);
  runInput(state, createStoreView(peer), 1100);
  t.same(state.storePosition, {era: 2, revision: 90});
  runInput(state, {kind: 'storeViewFetchEnded'}, 1100);
  t.equal(sendPosition(state, {era: 1, revision: 900}, 1500), 0, 'earlier era');
  t.equal(sendPosition(state, {revision: 91}, 1600), 1, 'a build without eras');
});

t.test('a view of an earlier era is not applied', async t => {
  const state = createNonWatcher();
  const peer = createWatcher(800);
  const draining = {...first, isDraining: true};
  listEndpoints(peer, 1, [draining, second, newVersion]);
  const view = createStoreView(peer);
  sendPosition(state, {era: 2}, 500);
  runInput(state, view, 600);
  t.notOk(state.endpoints.byId.get('e1')?.endpoint.isDraining);
});

t.test('no position of an earlier era is reported', async t => {
  const state = createWatcher(500);
  t.same(createStoreView(state).position, {era: 1, revision: 500});
  runInput(state, {kind: 'storeEraRead', era: 2}, 1000);
  t.equal(createStoreView(state).position.revision, 0);
});

t.test('a VM announces itself once in each later era', async t => {
  const state = createWatcher();
  const countAnnounced = (nowMs: number) => {
    const effects = runInput(state, {kind: 'timerDue'}, nowMs);
    return listEffects(effects, 'announceVm').length;
  };
  t.equal(countAnnounced(900), 0, 'not in the first');
  runInput(state, {kind: 'storeEraRead', era: 2}, 1000);
  t.equal(countAnnounced(1100), 1);
  runInput(state, {kind: 'storeEraRead', era: 2}, 1200);
  runInput(state, {kind: 'storeEraRead', era: 1}, 1300);
  t.equal(countAnnounced(1400), 0);
  sendPosition(state, {era: 3}, 1500);
  t.equal(countAnnounced(1600), 1, 'learned from a peer');
});

t.test('a large fleet does not announce itself all at once', async t => {
  let atOnce = 0;
  for (let seed = 1; seed <= 50; seed++) {
    const state = createReadyState([first], createDesiredState(), seed);
    for (let index = 0; index < 349; index++) {
      const message = createDigest({vm: `a-${index}`, storeEra: 1});
      deliver(state, message, 10);
    }
    runInput(state, {kind: 'storeEraRead', era: 2}, 100);
    const effects = runInput(state, {kind: 'timerDue'}, 1100);
    atOnce += listEffects(effects, 'announceVm').length;
  }
  t.ok(atOnce <= 10, `${atOnce} of 50 within a second`);
});

t.test('endpoints that are missing after a return', async t => {
  const state = createWatcher();
  listEndpoints(state, 2, [first]);
  t.same(listIds(state), ['e1', 'e2', 'e3'], 'kept');
  t.equal(createStoreView(state).position.revision, 0, 'not reported');
  runInput(state, {kind: 'endpointChanged', endpoint: second}, 1500);
  runInput(state, {kind: 'timerDue'}, 3200);
  t.same(listIds(state), ['e1', 'e2'], 'the one that did not return is gone');
});

t.test('a list of an earlier era removes nothing', async t => {
  const state = createWatcher();
  sendPosition(state, {era: 2}, 900);
  runInput(state, {kind: 'endpointsListed', era: 1, endpoints: [first]}, 950);
  t.same(listIds(state), ['e1', 'e2', 'e3']);
});

t.test('a VM that was cut off gives entries the same time', async t => {
  const state = createWatcher();
  const notice = {kind: 'storeReachabilityChanged'} as const;
  runInput(state, {...notice, isReachable: false}, 1000);
  sendPosition(state, {era: 2, revision: 10}, 1500);
  runInput(state, {...notice, isReachable: true}, 9000);
  listEndpoints(state, 2, [first], 9000);
  t.same(listIds(state), ['e1', 'e2', 'e3']);
  runInput(state, {kind: 'timerDue'}, 11_200);
  t.same(listIds(state), ['e1']);
});

t.test('a key that was withdrawn stays so', async t => {
  const state = createWatcher();
  const withdrawn = createDesiredState(5, {customers: []});
  runInput(state, {kind: 'desiredStateRead', desiredState: withdrawn}, 10);
  runInput(state, {kind: 'storeEraRead', era: 2}, 1000);
  const older = createDesiredState(4);
  runInput(state, {kind: 'desiredStateRead', desiredState: older}, 1000);
  const effects = runInput(state, createRequest('booking', 1100), 1100);
  t.equal(listEffects(effects, 'answerError')[0]?.error, 'unauthenticated');
});

t.test('a limit that was used up stays so', async t => {
  const state = createWatcher();
  const limitBounds = {windowMs: 8000, overrunRatio: 0.1, allowance: 0};
  state.options = {...state.options, limitBounds};
  const limit = {
    countsTokens: false,
    unitsPerSecond: 1,
    burstUnits: 1,
    defaultTokens: 1,
  };
  const [customer] = createDesiredState().customers;
  const customers = [{...customer, limit}];
  const desiredState = createDesiredState(5, {customers});
  runInput(state, {kind: 'desiredStateRead', desiredState}, 10);
  const sendUntilRefused = (nowMs: number): number => {
    for (let count = 0; count < 20; count++) {
      const effects = runInput(state, createRequest('booking', nowMs), nowMs);
      const [answer] = listEffects(effects, 'answerError');
      if (answer?.error === 'limitExceeded') return count;
    }
    return Number.POSITIVE_INFINITY;
  };
  t.ok(sendUntilRefused(9000) < 20);
  runInput(state, {kind: 'storeEraRead', era: 2}, 9100);
  t.equal(sendUntilRefused(9200), 0);
});

t.test('a VM that starts does not answer by an older copy', async t => {
  for (const isNewerRead of [true, false]) {
    const state = createState();
    const message = createDigest({vm: 'vm-2', desiredVersion: 5});
    const older = createDesiredState(4);
    runInput(state, {kind: 'desiredStateRead', desiredState: older}, 0);
    listEndpoints(state, 2, [first], 0);
    const request = createRequest('booking', 150);
    t.same(runInput(state, request, 150), [], 'waits');
    const effects = runInput(
      state,
      {kind: 'peerMessageReceived', message},
      160,
    );
    t.equal(listEffects(effects, 'fetchDesiredState').length, 1);
    t.same(runInput(state, {kind: 'timerDue'}, 300), []);
    if (!isNewerRead) {
      const late = runInput(state, {kind: 'timerDue'}, 460);
      t.equal(listEffects(late, 'answerError')[0]?.error, 'notReady');
      continue;
    }
    const newer = createDesiredState(5, {customers: []});
    const input = {kind: 'desiredStateRead', desiredState: newer} as const;
    const answers = listEffects(runInput(state, input, 400), 'answerError');
    t.equal(answers[0]?.error, 'unauthenticated');
  }
});

t.test('a VM that starts alone serves after a short wait', async t => {
  const state = createState();
  const desiredState = createDesiredState(4);
  runInput(state, {kind: 'desiredStateRead', desiredState}, 0);
  listEndpoints(state, 2, [first], 0);
  t.same(runInput(state, createRequest('booking', 100), 100), []);
  const effects = runInput(state, {kind: 'timerDue'}, 200);
  t.equal(listEffects(effects, 'startCall').length, 1);
});

/** Creates an order as read at a position, which it was also created at. */
function createOrder(
  position: StorePosition,
  phase: MovePhase | undefined,
  toVersion = 'v2',
): MoveOrder {
  const orderedAt = position;
  const fields = {service: names.ledger, toVersion, durationMs: 8000};
  return {...fields, phase, orderedAt, position, provenVersions: []};
}

/** Delivers the orders of an era. */
function readOrders(
  state: DispatchState,
  era: number,
  orders: readonly MoveOrder[],
  nowMs: number,
): void {
  runInput(state, {kind: 'storeEraRead', era}, nowMs);
  const endpoints = [first, second, newVersion];
  runInput(state, {kind: 'endpointsListed', era, endpoints}, nowMs);
  runInput(state, {kind: 'movesRead', era, orders}, nowMs);
}

/** Returns the results that are written at a time. */
function listResults(effects: readonly Effect[]) {
  return listEffects(effects, 'writeMoveResult').map(({result}) => result);
}

for (const phase of ['completed', 'reverted'] as const) {
  t.test(`a move that was ${phase} stays so`, async t => {
    const state = createWatcher();
    readOrders(state, 1, [createOrder({era: 1, revision: 9}, phase)], 100);
    readOrders(state, 2, [], 1000);
    t.same(listResults(runInput(state, {kind: 'timerDue'}, 1300)), []);
    const position = {era: 2, revision: 9};
    const movesRead = {kind: 'movesRead', era: 2} as const;
    const orders = [createOrder(position, undefined)];
    runInput(state, {...movesRead, orders}, 1500);
    const request = createRequest('booking', 1600);
    const [call] = listEffects(runInput(state, request, 1600), 'startCall');
    t.equal(call.endpoint.version === 'v2', phase === 'completed');
    const results = listResults(runInput(state, {kind: 'timerDue'}, 1800));
    t.match(results, [{phase, position, toVersion: 'v2'}], 'written again');
  });
}

// Guards against the loss of all endpoints: those of the old version have stopped.
t.test('a completed move is not reverted by a later verdict', async t => {
  const state = createWatcher();
  readOrders(state, 1, [createOrder({era: 1, revision: 9}, 'completed')], 100);
  state.moves.get(names.ledger)!.isBad = true;
  const orders = [createOrder({era: 2, revision: 9}, undefined)];
  readOrders(state, 2, orders, 1000);
  const results = listResults(runInput(state, {kind: 'timerDue'}, 1300));
  t.match(results, [{phase: 'completed'}]);
});

t.test('an older order does not replace one that returns', async t => {
  const state = createWatcher();
  readOrders(state, 1, [createOrder({era: 1, revision: 9}, 'reverted')], 100);
  const older = createOrder({era: 2, revision: 5}, 'completed', 'v1');
  readOrders(state, 2, [older], 1000);
  t.ok(state.moves.get(names.ledger)?.isBad, 'kept');
  const returned = createOrder({era: 2, revision: 12}, undefined);
  const movesRead = {kind: 'movesRead', era: 2} as const;
  runInput(state, {...movesRead, orders: [returned]}, 1500);
  runInput(state, {kind: 'timerDue'}, 4000);
  t.match(state.moves.get(names.ledger), {isBad: true, order: returned});
});

t.test('an order that does not return is replaced or removed', async t => {
  for (const orders of [
    [createOrder({era: 2, revision: 5}, undefined, 'v3')],
    [],
  ]) {
    const state = createWatcher();
    readOrders(state, 1, [createOrder({era: 1, revision: 9}, undefined)], 100);
    readOrders(state, 2, orders, 1000);
    t.equal(state.moves.get(names.ledger)?.order.toVersion, 'v2', 'kept');
    runInput(state, {kind: 'timerDue'}, 3200);
    const {toVersion} = state.moves.get(names.ledger)?.order ?? {};
    t.equal(toVersion, orders[0]?.toVersion);
  }
});

t.test('an order created again in the same era starts again', async t => {
  const state = createWatcher();
  readOrders(state, 1, [createOrder({era: 1, revision: 9}, 'reverted')], 100);
  readOrders(state, 1, [createOrder({era: 1, revision: 20}, undefined)], 200);
  t.notOk(state.moves.get(names.ledger)?.isBad);
});
