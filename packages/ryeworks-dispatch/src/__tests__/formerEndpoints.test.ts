import t from 'tap';
import {
  DispatchState,
  Effect,
  Endpoint,
  EndpointNotice,
  LimitStatement,
  openNotice,
} from '../index.js';
import {
  createEndpoint,
  createReadyState,
  createRequest,
  listEffects,
  names,
  runInput,
} from './fixtures.js';

/** Time at which the entry is removed, in ms; the answer comes 100 ms later. */
const removedAtMs = 10_000;
/** Time at which the store comes back from an older copy, in ms. */
const returnedAtMs = 13_000;

const stated = createEndpoint('m1', names.model, {slots: 4});
const other = createEndpoint('m2', names.model, {slots: 4, isDraining: true});

/** What an answer states that keeps calls away for a minute. */
const statements: Record<
  string,
  {notice: EndpointNotice; limitStatement: LimitStatement | undefined}
> = {
  leaving: {
    notice: {isLeaving: true, pause: undefined},
    limitStatement: undefined,
  },
  pause: {
    notice: {isLeaving: false, pause: {kind: 'paused', durationMs: 60_000}},
    limitStatement: undefined,
  },
  limit: {
    notice: openNotice,
    limitStatement: {kind: 'limited', perSecond: 0.001},
  },
};

/** Starts a call; returns undefined if no endpoint gets it. */
function startCall(state: DispatchState, nowMs: number) {
  const effects = runInput(state, createRequest('urgent', nowMs), nowMs);
  const [call] = listEffects(effects, 'startCall');
  if (call === undefined) return undefined;
  const {callNumber, requestId} = call;
  return {callNumber, requestId};
}

/** Delivers a list of endpoints, by default of a later era. */
function list(
  state: DispatchState,
  endpoint: Endpoint,
  nowMs: number,
  era = 2,
): void {
  const endpoints = [endpoint, other];
  runInput(state, {kind: 'storeEraRead', era}, nowMs);
  runInput(state, {kind: 'endpointsListed', era, endpoints}, nowMs);
}

/** Creates a VM with a call whose answer states something after the change. */
function receiveLate(
  name: keyof typeof statements,
  change: (state: DispatchState) => void,
): DispatchState {
  const state = createReadyState([stated, other]);
  const call = startCall(state, removedAtMs - 100)!;
  runInput(state, {kind: 'callSent', ...call}, removedAtMs - 99);
  change(state);
  const answered = {kind: 'callAnswered', ...call} as const;
  const {limitStatement, notice} = statements[name];
  const input = {...answered, limitStatement, notice};
  runInput(state, input, removedAtMs + 100);
  runInput(state, {kind: 'callDone', ...call, status: 200}, removedAtMs + 200);
  return state;
}

/** Removes the endpoint's entry. */
function remove(state: DispatchState): void {
  runInput(state, {kind: 'endpointRemoved', id: 'm1'}, removedAtMs);
}

/** Returns whether one of two requests reaches an endpoint. */
function isCalled(state: DispatchState, nowMs: number): boolean {
  startCall(state, nowMs);
  return startCall(state, nowMs) !== undefined;
}

// Guards against statements that are lost with the entry of their endpoint.
for (const name of Object.keys(statements)) {
  t.test(`a ${name} that was stated after the removal`, async t => {
    const state = receiveLate(name, remove);
    t.notOk(state.endpoints.byId.has('m1'));
    list(state, stated, returnedAtMs);
    t.notOk(isCalled(state, returnedAtMs), 'back from an older copy');
    const moved = {...stated, address: '10.0.0.1:9999'};
    list(state, moved, returnedAtMs + 100);
    t.notOk(isCalled(state, returnedAtMs + 100), 'at another address');
    list(state, {...stated, startedAtMs: 2}, returnedAtMs + 200);
    t.ok(isCalled(state, returnedAtMs + 200), 'another process');
    list(state, stated, returnedAtMs + 300);
    t.notOk(isCalled(state, returnedAtMs + 300), 'an older copy once more');
  });

  // Guards against a new process that bears what its predecessor stated.
  t.test(`a ${name} of the process before a restart`, async t => {
    const state = receiveLate(name, current => {
      list(current, {...stated, startedAtMs: 2}, removedAtMs, 1);
    });
    t.ok(isCalled(state, returnedAtMs), 'does not bind the new one');
    list(state, stated, returnedAtMs + 100);
    t.notOk(isCalled(state, returnedAtMs + 100), 'binds the one before');
  });

  // Guards against a limit or notice that was known and goes with the entry.
  t.test(`a ${name} that was stated before the removal`, async t => {
    const state = receiveLate(name, () => {});
    remove(state);
    list(state, stated, returnedAtMs);
    t.notOk(isCalled(state, returnedAtMs));
  });
}

// Guards against slots of a returning endpoint that are taken twice.
t.test('calls that run through a removal count after the return', async t => {
  const state = createReadyState([stated, other]);
  const calls = [1, 2].map(() => startCall(state, removedAtMs - 100)!);
  remove(state);
  const ended = {kind: 'callDone', ...calls[0], status: 200} as const;
  runInput(state, ended, removedAtMs + 50);
  list(state, stated, returnedAtMs);
  t.equal(state.endpoints.byId.get('m1')!.inFlight, 1);
});

// Guards against statements that are kept without end or in any number.
t.test('what is kept is bounded', async t => {
  const state = receiveLate('leaving', remove);
  const laterMs = removedAtMs + 700_000;
  list(state, stated, laterMs);
  t.ok(isCalled(state, laterMs), 'after ten minutes');
  for (let index = 0; index < 3000; index++) {
    const endpoint = createEndpoint(`x${index}`, names.model);
    runInput(state, {kind: 'endpointChanged', endpoint}, laterMs);
    const {id} = endpoint;
    runInput(state, {kind: 'endpointRemoved', id}, laterMs);
  }
  t.equal(state.endpoints.formerEntries.size, 2000);
});

// Guards against a copy of the store that takes back what it said of a process.
t.test('a process that the store listed as draining', async t => {
  for (const isRemoved of [false, true]) {
    const state = createReadyState([stated, other]);
    list(state, {...stated, isDraining: true}, removedAtMs, 1);
    if (isRemoved) remove(state);
    list(state, stated, returnedAtMs);
    t.notOk(isCalled(state, returnedAtMs), `removed: ${isRemoved}`);
    list(state, {...stated, startedAtMs: 2}, returnedAtMs + 100);
    t.ok(isCalled(state, returnedAtMs + 100), 'another process');
  }
});

// Guards against calls to a process that left without a word, and against a
// process that is taken away for good, or though it is the last one.
t.test('a removed process that a copy of the store lists', async t => {
  const second = createEndpoint('m3', names.model, {slots: 99});
  const both = [stated, second];
  const listCalled = (endpoints: Endpoint[], era: number, nowMs: number) => {
    const state = createReadyState([stated, second]);
    runInput(state, {kind: 'storeEraRead', era: 1}, 0);
    const listed = {kind: 'endpointsListed', era: 1, endpoints: both} as const;
    runInput(state, listed, 0);
    remove(state);
    runInput(state, {kind: 'storeEraRead', era}, returnedAtMs);
    runInput(state, {kind: 'endpointsListed', era, endpoints}, returnedAtMs);
    const effects: Effect[] = [];
    for (let index = 0; index < 4; index++) {
      effects.push(...runInput(state, createRequest('urgent', nowMs), nowMs));
    }
    const calls = listEffects(effects, 'startCall');
    return new Set(calls.map(({endpoint}) => endpoint.id));
  };
  t.notOk(listCalled(both, 2, returnedAtMs).has('m1'), 'from the copy');
  t.ok(listCalled(both, 1, returnedAtMs).has('m1'), 'written again');
  t.ok(listCalled(both, 2, returnedAtMs + 6000).has('m1'), 'still there');
  const last = [stated, {...second, isDraining: true}];
  t.ok(listCalled(last, 2, returnedAtMs).has('m1'), 'the last one');
});
