import t from 'tap';
import {
  Digest,
  DispatchState,
  handleInput,
  MoveOrder,
  MovePhase,
  startDispatch,
} from '../index.js';
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

const durationMs = 12_000;
/** When the order is replaced, in ms. */
const replacedAtMs = 9500;
/** Time after an order before which it cannot be completed, in ms. */
const earliestEndMs = 0.6 * durationMs;
/** Most requests of 100 that a version may get in the first step of its move. */
const maxFirstShare = 12;

const endpoints = ['v1', 'v2', 'v3'].map((version, index) =>
  createEndpoint(`e${index + 1}`, names.ledger, {slots: 200, version}),
);

/** Creates an order whose entry was last written at a revision. */
function createOrder(
  toVersion: string,
  orderedRevision: number,
  phase?: MovePhase,
  revision = orderedRevision,
): MoveOrder {
  return {
    service: names.ledger,
    toVersion,
    durationMs,
    phase,
    position: {era: 1, revision},
    orderedAt: {era: 1, revision: orderedRevision},
    provenVersions: [],
  };
}

/** Delivers the orders as read at a time. */
function readOrders(
  state: DispatchState,
  orders: readonly MoveOrder[],
  nowMs: number,
): void {
  runInput(state, {kind: 'movesRead', era: 1, orders}, nowMs);
}

/** Creates a VM that has read an order of v2 before the endpoints of v3 started. */
function createMovingState(): DispatchState {
  const state = createReadyState(endpoints.slice(0, 2));
  startDispatch(state, 0);
  runInput(state, {kind: 'storeReachabilityChanged', isReachable: true}, 0);
  readOrders(state, [createOrder('v2', 10)], 0);
  runInput(state, {kind: 'endpointsListed', era: 1, endpoints}, 100);
  return state;
}

/**
 * Sends 100 requests, which are answered after the last one; counts them by
 * version.
 */
function countByVersion(state: DispatchState, fromMs: number) {
  const counts: Record<string, number> = {v1: 0, v2: 0, v3: 0};
  const calls: Array<{requestId: string; callNumber: number}> = [];
  for (let nowMs = fromMs; nowMs < fromMs + 100; nowMs++) {
    const request = createRequest('booking', nowMs);
    const {requestId} = request;
    const [call] = listEffects(runInput(state, request, nowMs), 'startCall');
    counts[call.endpoint.version] += 1;
    const event = {requestId, callNumber: call.callNumber};
    handleInput(state, {kind: 'callSent', ...event}, nowMs);
    calls.push(event);
  }
  for (const event of calls) {
    const done = {kind: 'callDone', ...event, status: 200} as const;
    handleInput(state, done, fromMs + 100);
  }
  return counts;
}

/** Runs the timers; returns the phases that are written, with their times. */
function runTimers(state: DispatchState, fromMs: number, untilMs: number) {
  const results: Array<{phase: MovePhase; nowMs: number}> = [];
  for (let nowMs = fromMs; nowMs < untilMs; nowMs += 50) {
    const effects = runInput(state, {kind: 'timerDue'}, nowMs);
    for (const {result} of listEffects(effects, 'writeMoveResult')) {
      results.push({phase: result.phase, nowMs});
    }
  }
  return results;
}

/** What a peer reports that has not read the second order yet. */
const outdatedReports: Record<string, Pick<Digest, 'moves' | 'evidence'>> = {
  'its age': {
    moves: {'ledger|1.10': {ageMs: replacedAtMs, share: 1, isBad: false}},
    evidence: {'ledger|1.10|new': {answered: 500, failed: 0, slow: 0}},
  },
  'its verdict': {
    moves: {'ledger|1.10': {ageMs: replacedAtMs, share: 0, isBad: true}},
    evidence: {'ledger|1.10|new': {answered: 500, failed: 400, slow: 0}},
  },
};

// Guards against a move that is completed or reverted at once, since the reports of
// peers on the order that it replaces pass for its own.
for (const [name, reports] of Object.entries(outdatedReports)) {
  t.test(`an order does not take over ${name} from another`, async t => {
    const state = createMovingState();
    readOrders(state, [createOrder('v3', 30)], replacedAtMs);
    deliver(state, createDigest(reports), replacedAtMs + 10);
    const fromMs = replacedAtMs + 20;
    const results = runTimers(state, fromMs, fromMs + 500);
    t.ok(countByVersion(state, fromMs + 500).v3 <= maxFirstShare);
    const untilMs = replacedAtMs + earliestEndMs;
    results.push(...runTimers(state, fromMs + 600, untilMs));
    t.ok(
      results.every(({phase}) => phase === 'moving'),
      JSON.stringify(results),
    );
    const move = state.moves.get(names.ledger)!;
    t.equal(move.startedAtMs, replacedAtMs);
    t.notOk(move.isBad);
  });
}

// Guards against an order that passes for an earlier one of the same version, whose
// replacement was not read in between.
t.test('the same version ordered again starts anew', async t => {
  const state = createMovingState();
  readOrders(state, [createOrder('v2', 10, 'moving', 20)], 300);
  const again = createOrder('v2', 10, 'moving', 40);
  readOrders(state, [again], replacedAtMs);
  const move = state.moves.get(names.ledger)!;
  t.equal(move.startedAtMs, replacedAtMs);
  readOrders(state, [again], replacedAtMs + 100);
  t.equal(state.moves.get(names.ledger), move, 'read twice');
  const effects = runInput(state, {kind: 'timerDue'}, replacedAtMs + 300);
  const [{result}] = listEffects(effects, 'writeMoveResult');
  t.match(result, {
    phase: 'moving',
    position: {revision: 40},
    orderedAt: {revision: 40},
  });
  readOrders(state, [createOrder('v2', 40, 'moving', 50)], replacedAtMs + 400);
  t.equal(state.moves.get(names.ledger), move, 'its own phase');
});

// Guards against a version on trial that passes for the old version of the order
// that replaces its own, and gets most of the requests untested.
t.test('the version of a replaced order serves no requests', async t => {
  const state = createMovingState();
  readOrders(state, [createOrder('v3', 30)], 1000);
  const replaced = countByVersion(state, 1000);
  t.equal(replaced.v2, 0);
  t.ok(replaced.v3 <= maxFirstShare);
  readOrders(state, [createOrder('v1', 40)], 2000);
  t.same(countByVersion(state, 2000), {v1: 100, v2: 0, v3: 0}, 'back to v1');
  readOrders(state, [createOrder('v2', 50)], 3000);
  const last = countByVersion(state, 3000);
  t.equal(last.v3, 0);
  t.ok(last.v2 <= maxFirstShare && last.v1 >= 100 - maxFirstShare);
});

t.test('the version of a removed order serves no requests', async t => {
  const state = createMovingState();
  readOrders(state, [], 1000);
  runTimers(state, 1000, 1500);
  t.same(countByVersion(state, 1500), {v1: 100, v2: 0, v3: 0});
  const renewed = [endpoints[1]];
  runInput(state, {kind: 'endpointsListed', era: 1, endpoints: renewed}, 2000);
  t.equal(countByVersion(state, 2100).v2, 100, 'once there is no other');
});

// Guards against a completed version that is mistaken for one on trial.
t.test('the version of a completed order is the next old version', async t => {
  const state = createMovingState();
  readOrders(state, [createOrder('v2', 10, 'completed', 20)], 1000);
  readOrders(state, [createOrder('v3', 30)], 2000);
  const counts = countByVersion(state, 2000);
  t.equal(counts.v1, 0);
  t.ok(counts.v3 <= maxFirstShare);
});

// Guards against a VM that starts between two orders and knows no first one.
t.test('the store tells the versions in use before the orders', async t => {
  const state = createReadyState(endpoints);
  startDispatch(state, 0);
  const order = {
    ...createOrder('v3', 30, 'moving', 35),
    provenVersions: ['v1'],
  };
  readOrders(state, [order], 0);
  t.equal(countByVersion(state, 100).v2, 0);
});

// Guards against a replaced order that a copy of the store brings back, and against a
// second order that starts anew when its operator writes it again.
t.test('an order goes on while the store lists the one before', async t => {
  const state = createMovingState();
  const readEra = (era: number, order: MoveOrder, nowMs: number) => {
    runInput(state, {kind: 'storeEraRead', era}, nowMs);
    runInput(state, {kind: 'endpointsListed', era, endpoints}, nowMs);
    runInput(state, {kind: 'movesRead', era, orders: [order]}, nowMs);
  };
  readEra(1, createOrder('v2', 10, 'moving', 12), 300);
  const second = createOrder('v3', 30, 'moving', 32);
  readOrders(state, [second], 1000);
  const move = state.moves.get(names.ledger);
  const restored = {era: 2, revision: 12};
  const first = createOrder('v2', 10, 'moving');
  readEra(2, {...first, position: restored}, 2000);
  t.equal(countByVersion(state, 2100).v2, 0);
  const written = {era: 2, revision: 15};
  const again = {position: written, orderedAt: written, phase: undefined};
  readEra(2, {...second, ...again}, 2500);
  t.equal(state.moves.get(names.ledger), move, 'the same move');
  t.equal(move?.startedAtMs, 1000);
  const effects = runInput(state, {kind: 'timerDue'}, 4000);
  const [{result}] = listEffects(effects, 'writeMoveResult');
  t.match(result, {toVersion: 'v3', phase: 'moving', position: written});
});
