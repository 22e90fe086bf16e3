import t from 'tap';
import {Customer, DesiredState, DispatchState} from '../index.js';
import {
  createDesiredState,
  createDigest,
  createEndpoint,
  createRequest,
  createState as createVmState,
  deliver,
  listEffects,
  names,
  routes,
  runInput,
} from './fixtures.js';

const regionByZone = {'zone-a': 'north', 'zone-b': 'south'};
const zones = ['zone-a', 'zone-b', 'zone-c'];
const endpoints = zones.map((availabilityZone, index) =>
  createEndpoint(`l${index}`, names.ledger, {slots: 50, availabilityZone}),
);

/** Lists of a route and of a customer. */
interface Lists {
  readonly route?: readonly string[];
  readonly customer?: readonly string[];
}

/** Creates a desired state with lists of allowed regions. */
function createLists(version: number, {customer, route}: Lists): DesiredState {
  const state = createDesiredState(version);
  const [clinic] = state.customers;
  const restricted: Customer = {...clinic, allowedRegions: customer};
  return {
    ...state,
    routes: [{...routes.reading, allowedRegions: route}],
    customers: [restricted],
  };
}

/** Creates a VM that serves callers. */
function createState(lists: Lists): DispatchState {
  const state = createVmState();
  state.options = {...state.options, regionByZone};
  state.hasCheckedVersion = true;
  const desiredState = createLists(1, lists);
  runInput(state, {kind: 'desiredStateRead', desiredState}, 0);
  runInput(state, {kind: 'endpointsListed', era: 1, endpoints}, 0);
  return state;
}

/** Sends requests; returns the zones that were called, without repetitions. */
function listCalled(state: DispatchState, nowMs: number): string[] {
  const called = new Set<string>();
  for (let count = 0; count < 30; count++) {
    const effects = runInput(state, createRequest('reading', nowMs), nowMs);
    for (const {endpoint} of listEffects(effects, 'startCall')) {
      called.add(endpoint.availabilityZone);
    }
  }
  return [...called].sort();
}

const cases: Array<[string, Lists, readonly string[]]> = [
  ['no list allows all zones', {}, zones],
  ['a route', {route: ['south']}, ['zone-b']],
  ['a customer', {customer: ['north']}, ['zone-a']],
  ['two regions', {customer: ['north', 'south']}, ['zone-a', 'zone-b']],
  ['both', {route: ['north', 'south'], customer: ['south']}, ['zone-b']],
  ['both without a common region', {route: ['north'], customer: ['south']}, []],
  ['an unknown region', {route: ['west']}, []],
  ['an unknown region among others', {route: ['west', 'south']}, ['zone-b']],
  ['an empty list of a route', {route: []}, []],
  ['an empty list of a customer', {route: ['north'], customer: []}, []],
];

for (const [name, lists, expected] of cases) {
  // Guards against requests that leave the regions where they may be served.
  t.test(`HOME: ${name}`, async t => {
    t.same(listCalled(createState(lists), 10), expected);
  });
}

// Guards against callers that wait in vain, or are not told when to come back.
t.test('HOME: without an endpoint in the region, 503', async t => {
  const state = createState({route: ['west']});
  const effects = runInput(state, createRequest('reading', 10), 10);
  const [answer] = listEffects(effects, 'answerError');
  t.equal(answer?.error, 'overloaded');
  t.ok((answer?.retryAfterMs ?? 0) > 0);
});

// Guards against a queue that is dispatched by the list of its arrival.
t.test('HOME: a list that changes binds queued requests', async t => {
  const state = createState({route: ['north', 'south']});
  const inFlight = {l0: 99, l1: 99, l2: 99};
  deliver(state, createDigest({inFlight}), 10);
  runInput(state, createRequest('reading', 20), 20);
  const desiredState = createLists(2, {route: ['south']});
  runInput(state, {kind: 'desiredStateRead', desiredState}, 30);
  const free = {sequence: 2, inFlight: {l1: 99}};
  const early = deliver(state, createDigest(free), 40);
  t.equal(listEffects(early, 'startCall').length, 0);
  const later = deliver(state, createDigest({sequence: 3}), 50);
  const [call] = listEffects(later, 'startCall');
  t.equal(call.endpoint.availabilityZone, 'zone-b');
});

// Guards against a retry that goes to another region when its own has no other
// endpoint.
t.test('HOME: a retry stays in the region', async t => {
  const state = createState({route: ['south']});
  const request = createRequest('reading', 10);
  const started = runInput(state, request, 10);
  const [{callNumber, requestId}] = listEffects(started, 'startCall');
  const failed = {kind: 'callFailed', failure: 'refused'} as const;
  const details = {hasResponseStarted: false, detail: 'test'};
  const ids = {requestId, callNumber};
  runInput(state, {kind: 'callSent', ...ids}, 11);
  const effects = runInput(state, {...failed, ...ids, ...details}, 20);
  for (const {endpoint} of listEffects(effects, 'startCall')) {
    t.equal(endpoint.availabilityZone, 'zone-b');
  }
});
