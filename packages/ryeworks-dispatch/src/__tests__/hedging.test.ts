import {createRandomSource} from '@ryeworks/utils';
import t from 'tap';
import {HedgeBudget} from '../hedging/hedgeBudget.js';
import {getLearnedDelay} from '../hedging/hedgingState.js';
import {
  DesiredState,
  DispatchState,
  Effect,
  handleInput,
  Input,
} from '../index.js';
import {
  createDesiredState,
  createDigest,
  createEndpoint,
  createReadyState,
  createRequest,
  deliver,
  listEffects,
  names,
  routes,
  runInput,
} from './fixtures.js';
import {
  answerMs,
  createLedgers,
  HedgingFleet,
  hedgeRatio,
  windowMs,
} from './hedgingFleet.js';

type RouteName = keyof typeof routes;

/** Sends a request whose answer takes `elapsedMs`. */
function serve(state: DispatchState, route: RouteName, atMs: number) {
  const {requestId} = startRequest(state, route, atMs);
  const call = {requestId, callNumber: 1};
  const endMs = atMs + answerMs;
  runInput(state, {kind: 'callProgressed', ...call, events: 1}, endMs);
  runInput(state, {kind: 'callDone', ...call, status: 200}, endMs);
}

/** Starts a request and sends its call. */
function startRequest(state: DispatchState, route: RouteName, atMs: number) {
  const request = createRequest(route, atMs);
  const {requestId} = request;
  const effects = runInput(state, request, atMs);
  runInput(state, {kind: 'callSent', requestId, callNumber: 1}, atMs);
  const [{endpoint}] = listEffects(effects, 'startCall');
  const calls = [1, 2].map(callNumber => ({requestId, callNumber}));
  return {requestId, endpoint, first: calls[0], second: calls[1]};
}

/** A time at which `createLearnedState` has learned the delay of a route. */
const learnedAtMs = 200 * answerMs;

/** Creates a VM that has served enough requests of a route to hedge. */
function createLearnedState(
  route: RouteName = 'reading',
  endpoints = createLedgers(4),
  desiredState: DesiredState = createDesiredState(),
) {
  const state = createReadyState(endpoints, desiredState);
  state.options = {...state.options, hedgeRatio};
  for (let atMs = 0; atMs < learnedAtMs; atMs += answerMs) {
    serve(state, route, atMs);
  }
  return state;
}

/** Runs the timers that are due, with all effects. */
function runTimers(state: DispatchState, nowMs: number): Effect[] {
  return handleInput(state, {kind: 'timerDue'}, nowMs);
}

/** Starts a request whose first call is late, so that it is hedged. */
function startHedged(state: DispatchState) {
  const request = startRequest(state, 'reading', learnedAtMs);
  const atMs = learnedAtMs + answerMs * 2;
  const effects = runTimers(state, atMs);
  runInput(state, {kind: 'callSent', ...request.second}, atMs);
  return {...request, atMs, effects};
}

/** Counts the calls in flight at all endpoints. */
function countInFlight(state: DispatchState): number {
  let count = 0;
  for (const entry of state.endpoints.byId.values()) count += entry.inFlight;
  return count;
}

/** Returns the reasons for which hedged requests were denied. */
function listDenials(effects: readonly Effect[]): string[] {
  return listEffects(effects, 'count')
    .filter(({name}) => name === 'hedges_denied')
    .map(({labels}) => labels.reason);
}

// Guards against extra calls beyond the operators' share, also while VMs do not
// hear of each other and after some of them have restarted.
for (const [vmCount, perSecond] of [
  [1, 100],
  [8, 200],
  [91, 600],
]) {
  t.test(`${vmCount} VMs keep to the budget`, async t => {
    const fleet = new HedgingFleet(vmCount);
    const excess = fleet.run(perSecond);
    t.ok(excess <= 0, `largest excess: ${excess}`);
    const {hedgeTimes, requestTimes} = fleet;
    const share = hedgeTimes.length / requestTimes.length;
    t.ok(share > hedgeRatio / 10, `${share} of the requests are hedged`);
  });
}

// Guards against hedged requests that the requests of an earlier, busier time allow.
t.test('the budget holds while the load falls', async t => {
  const bounds = {ratio: 0.2, windowMs, allowance: 0};
  for (const laterGapMs of [20, 40, 200]) {
    const budget = new HedgeBudget();
    const requestTimes: number[] = [];
    const hedgeTimes: number[] = [];
    const countRecent = (times: readonly number[], nowMs: number) =>
      times.filter(atMs => atMs > nowMs - windowMs).length;
    let excess = Number.NEGATIVE_INFINITY;
    for (let nowMs = 0; nowMs < 40_000; nowMs += 10) {
      const isBusy = nowMs < 15_000;
      if (nowMs % (isBusy ? 10 : laterGapMs) === 0) {
        budget.recordRequest(bounds, nowMs);
        requestTimes.push(nowMs);
        // From then on, each fifth call is late.
        const isLate = !isBusy && requestTimes.length % 5 === 0;
        if (isLate && budget.hasRoom(hedgeRatio, bounds, nowMs)) {
          budget.consumeHedge(bounds, nowMs);
          hedgeTimes.push(nowMs);
        }
      }
      const allowed = hedgeRatio * countRecent(requestTimes, nowMs);
      excess = Math.max(excess, countRecent(hedgeTimes, nowMs) - allowed);
    }
    t.ok(excess <= 0 && hedgeTimes.length > 0, `largest excess: ${excess}`);
  }
});

// Guards against hedged requests that exceed the retry budget.
t.test('hedged requests are charged to the retry budget', async t => {
  const state = createLearnedState();
  const retryBounds = {ratio: 0, windowMs, allowance: 50};
  state.options = {...state.options, retryBounds};
  t.same(listDenials(startHedged(state).effects), ['budget_used']);
  const noAllowance = {ratio: 0.2, windowMs, allowance: -1000};
  state.options = {...state.options, retryBounds: noAllowance};
  t.same(listDenials(startHedged(state).effects), ['retry_budget_used']);
});

// Guards against a second run of what may run at most once.
t.test('what runs at most once is never sent twice', async t => {
  const attempts = {maxAttempts: 3};
  const changes = {
    routes: [
      {...routes.booking, ...attempts},
      {...routes.relaxed, ...attempts},
    ],
  };
  const models = createLedgers(4).map(item => ({
    ...item,
    service: names.model,
  }));
  for (const route of ['booking', 'relaxed'] as const) {
    const endpoints = route === 'booking' ? createLedgers(4) : models;
    const desired = createDesiredState(1, changes);
    const state = createLearnedState(route, endpoints, desired);
    // Even if a delay is known.
    const learned = getLearnedDelay(state.hedging, route, 100, learnedAtMs);
    for (let count = 0; count < 100; count++) {
      learned.recordSample(answerMs, learnedAtMs);
    }
    startRequest(state, route, learnedAtMs);
    const effects: Effect[] = [];
    for (let ms = 0; ms < 7900; ms += 10) {
      effects.push(...runTimers(state, learnedAtMs + ms));
    }
    t.same(listEffects(effects, 'startCall'), [], route);
  }
});

// Guards against slots and units of a customer's limit that a call keeps after it
// was canceled, and against an endpoint that is blamed for a lost race.
t.test('the first progress wins and the other call is canceled', async t => {
  for (const winner of ['first', 'second'] as const) {
    const limit = {unitsPerSecond: 100, burstUnits: 100, countsTokens: false};
    const customers = createDesiredState().customers.map(customer => ({
      ...customer,
      limit: {...limit, defaultTokens: 1},
    }));
    const desired = createDesiredState(1, {customers});
    const state = createLearnedState('reading', createLedgers(4), desired);
    const usage = () => state.usageByCustomer.get(names.customer)!.consumed;
    const before = usage();
    const hedged = startHedged(state);
    const {atMs, effects, endpoint} = hedged;
    const [started] = listEffects(effects, 'startCall');
    t.not(started.endpoint.id, endpoint.id, 'at another endpoint');
    t.equal(countInFlight(state), 2);
    const loser = winner === 'first' ? hedged.second : hedged.first;
    const progress = {kind: 'callProgressed', events: 1} as const;
    const won = runInput(state, {...progress, ...hedged[winner]}, atMs + 9);
    t.match(listEffects(won, 'cancelCall'), [loser]);
    t.equal(countInFlight(state), 1);
    t.same(runInput(state, {...progress, ...loser}, atMs + 9), []);
    const done = {kind: 'callDone', ...hedged[winner], status: 200} as const;
    runInput(state, done, atMs + 20);
    t.equal(countInFlight(state), 0);
    t.equal(usage() - before, 1, 'one unit for both calls');
    for (const entry of state.endpoints.byId.values()) {
      t.match(entry, {failureRate: 0, cooldownUntilMs: 0});
    }
  }
});

// Guards against calls that go on after their caller left.
t.test('both calls are canceled when the caller disconnects', async t => {
  const state = createLearnedState();
  const {atMs, first, requestId, second} = startHedged(state);
  const effects = runInput(state, {kind: 'callerGone', requestId}, atMs + 5);
  t.match(listEffects(effects, 'cancelCall'), [first, second]);
  t.equal(countInFlight(state), 0);
  t.same(runInput(state, {kind: 'timerDue'}, atMs + 9000), []);
});

// Guards against an answer that is made of the events of two calls.
t.test('an answer is never mixed from two calls', async t => {
  for (let seed = 1; seed <= 50; seed++) {
    const random = createRandomSource(seed);
    const state = createLearnedState();
    const {atMs, requestId} = startHedged(state);
    const open = new Set([1, 2]);
    const forwarded = new Set<number>();
    for (let ms = 1; ms < 500 && open.size > 0; ms += 5) {
      const callNumber = [...open][random.nextInt(open.size)];
      const kinds = ['callProgressed', 'callDone', 'callFailed'] as const;
      const input = {
        kind: kinds[random.nextInt(3)],
        requestId,
        callNumber,
        events: 1,
        status: 200,
        failure: 'cut',
        hasResponseStarted: forwarded.size > 0,
        detail: '',
      } as Input;
      const effects = runInput(state, input, atMs + ms);
      if (input.kind !== 'callProgressed') open.delete(callNumber);
      if (input.kind !== 'callFailed') forwarded.add(callNumber);
      for (const canceled of listEffects(effects, 'cancelCall')) {
        open.delete(canceled.callNumber);
      }
      t.same(listEffects(effects, 'startCall'), [], 'two endpoints at most');
    }
    t.ok(forwarded.size <= 1, `seed ${seed}`);
    t.notOk(state.requests.has(requestId), 'the request has ended');
  }
});

/** Sends the digest of a peer with calls at all endpoints but the first one's. */
function deliverLoad(state: DispatchState, calls: number) {
  const ids = [...state.endpoints.byId.keys()];
  const inFlight = Object.fromEntries(ids.map(id => [id, calls]));
  deliver(state, createDigest({inFlight}), learnedAtMs);
}

/** What keeps a VM from hedging, by the reason that is counted. */
const exclusions: Record<string, (state: DispatchState) => void> = {
  queued: state =>
    deliver(
      state,
      createDigest({
        heads: {[names.ledger]: {rank: 2, waitedMs: 1, count: 1}},
      }),
      learnedAtMs,
    ),
  no_endpoint: state => deliverLoad(state, 2),
  slow_service: state => {
    // Other endpoints are late, too.
    for (let count = 0; count < 8; count++) {
      startRequest(state, 'reading', learnedAtMs - 10);
    }
  },
  few_samples: state => {
    state.options = {...state.options, hedgeRatio: 0};
    startRequest(state, 'reading', learnedAtMs);
    state.options = {...state.options, hedgeRatio};
  },
  attempts_used: state => {
    const route = {...routes.reading, maxAttempts: 1};
    const desiredState = createDesiredState(2, {routes: [route]});
    runInput(state, {kind: 'desiredStateRead', desiredState}, learnedAtMs);
  },
};

// Guards against hedged requests that take capacity others need, or that answer a
// slowdown of all endpoints with more load.
for (const [reason, prepare] of Object.entries(exclusions)) {
  t.test(`no hedged request: ${reason}`, async t => {
    const state = createLearnedState();
    prepare(state);
    const request = createRequest('reading', learnedAtMs);
    const {requestId} = request;
    const denied = listDenials(handleInput(state, request, learnedAtMs));
    runInput(state, {kind: 'callSent', requestId, callNumber: 1}, learnedAtMs);
    const effects = runTimers(state, learnedAtMs + answerMs * 2);
    denied.push(...listDenials(effects));
    t.ok(denied.includes(reason), `${denied}`);
    const started = listEffects(effects, 'startCall');
    t.notOk(started.some(call => call.requestId === requestId));
  });
}

// Guards against a second answer to a stream that has begun.
t.test('a stream is hedged before its first event only', async t => {
  for (const hasBegun of [false, true]) {
    const models = [1, 2, 3].map(number =>
      createEndpoint(`m${number}`, names.model),
    );
    const state = createLearnedState('urgent', models);
    const {first} = startRequest(state, 'urgent', learnedAtMs);
    const progress = {kind: 'callProgressed', ...first, events: 1} as const;
    if (hasBegun) runInput(state, progress, learnedAtMs + 1);
    const effects = runTimers(state, learnedAtMs + answerMs * 2);
    const count = listEffects(effects, 'startCall').length;
    t.equal(count, hasBegun ? 0 : 1);
  }
});

// Guards against deployments that are changed by what they did not ask for.
t.test('without a ratio nothing is learned and no timer is set', async t => {
  const state = createReadyState(createLedgers(4));
  for (let atMs = 0; atMs < 9000; atMs += 50) serve(state, 'reading', atMs);
  t.equal(state.hedging.delays.size + state.hedging.services.size, 0);
  startRequest(state, 'reading', 9000);
  t.same(runInput(state, {kind: 'timerDue'}, 10_000), []);
});

// Guards against two calls into the same zone although another one has room.
t.test('the hedged request goes to another zone if it can', async t => {
  const endpoints = createLedgers(4, ['zone-a', 'zone-b']);
  const state = createLearnedState('reading', endpoints);
  const {effects, endpoint} = startHedged(state);
  const [hedge] = listEffects(effects, 'startCall');
  t.not(hedge.endpoint.availabilityZone, endpoint.availabilityZone);
});
