import t from 'tap';
import {
  Digest,
  DispatchState,
  Endpoint,
  handleInput,
  openNotice,
  PermitAsk,
  StartCall,
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
  runDigestTimer,
  runInput,
  sendDigests,
} from './fixtures.js';

const coldPerSecond = 2;
const warmUps = [{service: names.ledger, coldPerSecond, coldStartMs: 20_000}];
const cold = {slots: 50, coldForMs: 20_000};

/** Creates an endpoint that is cold, unless it is changed. */
function createCold(changes: Partial<Endpoint> = {}): Endpoint {
  return createEndpoint('l1', names.ledger, {...cold, ...changes});
}

/** Creates a VM with one endpoint. */
function createState(
  endpoint = createCold(),
  services = warmUps,
): DispatchState {
  const desiredState = createDesiredState(1, {warmUps: services});
  return createReadyState([endpoint], desiredState);
}

/** Sends a request; returns its call, or undefined if none was started. */
function sendRequest(state: DispatchState, nowMs: number) {
  const request = createRequest('reading', nowMs);
  const [call] = listEffects(runInput(state, request, nowMs), 'startCall');
  return call as StartCall | undefined;
}

/** Counts the calls that start while requests arrive every 20 ms. */
function countCalls(
  state: DispatchState,
  fromMs: number,
  toMs: number,
  answer: (call: StartCall, nowMs: number) => void = () => {},
): number {
  let count = 0;
  for (let nowMs = fromMs; nowMs < toMs; nowMs += 20) {
    const request = createRequest('reading', nowMs);
    const effects = [
      ...runInput(state, {kind: 'timerDue'}, nowMs),
      ...runInput(state, request, nowMs),
    ];
    for (const call of listEffects(effects, 'startCall')) {
      count += 1;
      answer(call, nowMs);
      const {callNumber, requestId} = call;
      const done = {kind: 'callDone', requestId, callNumber} as const;
      runInput(state, {...done, status: 200}, nowMs);
    }
  }
  return count;
}

t.test('a cold endpoint gets the rate that it tolerates', async t => {
  const state = createState();
  t.equal(sendRequest(state, 10), undefined, 'nothing at once');
  const count = countCalls(state, 1000, 6000);
  t.ok(count >= 8 && count <= 11, `${count} calls in 5 s at 2 a second`);
});

// Guards against limits in deployments that have no warm-up.
t.test('an endpoint of a service without warm-up is called', async t => {
  t.ok(sendRequest(createState(createCold(), []), 10));
  const unused = [{...warmUps[0], coldPerSecond: 0}];
  t.ok(sendRequest(createState(createCold(), unused), 10));
  t.ok(sendRequest(createReadyState([createCold()]), 10));
  t.ok(sendRequest(createState(createCold({coldForMs: 0})), 10));
});

// Guards against two limits of which the higher one is kept to.
t.test('of the cold and the named limit, the lower one holds', async t => {
  for (const named of [0.5, 40]) {
    const state = createState();
    const limitStatement = {kind: 'limited', perSecond: named} as const;
    const notice = openNotice;
    const count = countCalls(state, 1000, 11_000, (call, nowMs) => {
      const {callNumber, requestId} = call;
      const ids = {requestId, callNumber};
      const answered = {kind: 'callAnswered', ...ids, limitStatement, notice};
      runInput(state, answered as never, nowMs);
    });
    const most = Math.min(named, coldPerSecond) * 10 + 2;
    t.ok(count >= most / 2 && count <= most, `${count} of ${most} calls`);
  }
});

// Guards against a warm-up that answers without a limit end.
t.test('an answer without a limit does not end a warm-up', async t => {
  const state = createState();
  const limitStatement = {kind: 'unlimited'} as const;
  const count = countCalls(state, 1000, 11_000, (call, nowMs) => {
    const {callNumber, requestId} = call;
    const ids = {requestId, callNumber};
    const notice = openNotice;
    const answered = {kind: 'callAnswered', ...ids, limitStatement, notice};
    runInput(state, answered as never, nowMs);
  });
  t.ok(count <= 21, `${count} calls in 10 s at 2 a second`);
});

// Guards against a VM that takes what it may not have while the owner is away.
t.test('a VM sends nothing unless the owner grants it', async t => {
  const state = createState();
  for (let nowMs = 0; nowMs < 3000; nowMs += 100) {
    for (let peer = 0; peer < 30; peer++) {
      const vm = `vm-${peer + 100}`;
      const message = createDigest({vm, sequence: nowMs + 1, limits: {}});
      deliver(state, message, nowMs);
    }
    runDigestTimer(state, nowMs);
  }
  const owner = state.endpoints.byId.get('l1')!.limit!.owner;
  t.not(owner, 'vm-1', 'another VM owns it');
  t.equal(sendRequest(state, 3000), undefined);
  const request = createRequest('reading', 3010);
  const effects = runInput(state, request, 3010);
  const [ask] = listEffects(effects, 'sendPeer');
  t.match(ask, {message: {kind: 'permitAsk', endpointId: 'l1'}});
});

// Guards against an owner that has not read yet that an endpoint is cold, and
// that grants whatever is asked.
t.test('an owner learns of a warm-up from the VM that asks', async t => {
  const state = createState(createCold({coldForMs: 0}));
  const ask: PermitAsk = {
    kind: 'permitAsk',
    vm: 'vm-2',
    address: 'vm-2:7600',
    endpointId: 'l1',
    requestId: 'r-2',
    rank: 0,
    maxWaitMs: 100,
    deadlineInMs: 8000,
    isLast: true,
    limit: {perSecond: coldPerSecond, isLifted: false, ageMs: 0},
    isNamed: false,
    coldForMs: 20_000,
  };
  const [answer] = listEffects(deliver(state, ask, 10), 'sendPeer');
  t.not((answer?.message as {outcome?: string})?.outcome, 'granted');
  t.equal(sendRequest(state, 20), undefined, 'it keeps to it as well');
  const [digest] = sendDigests(state, 50);
  t.same((digest?.message as Digest | undefined)?.limits ?? {}, {});
});

// Guards against an endpoint that is called without a limit after it has become
// cold again, or has started again during its warm-up.
t.test('an endpoint is cold again, or another process is', async t => {
  for (const startedAtMs of [1, 2]) {
    const state = createState(createCold({coldForMs: 0}));
    t.ok(sendRequest(state, 10));
    const endpoint = createCold({startedAtMs});
    runInput(state, {kind: 'endpointChanged', endpoint}, 100);
    t.equal(sendRequest(state, 110), undefined);
  }
});

// Guards against lists of the same entry, as after each loss of the store, that
// make a warm-up last for ever.
t.test('a list of the same entry does not extend a warm-up', async t => {
  const state = createState();
  for (let nowMs = 0; nowMs < 27_000; nowMs += 500) {
    const endpoints = [createCold()];
    runInput(state, {kind: 'endpointsListed', era: 1, endpoints}, nowMs);
    runDigestTimer(state, nowMs);
  }
  t.equal(state.endpoints.byId.get('l1')!.limit, undefined);
  t.ok(sendRequest(state, 27_000));
});

// Guards against warm-ups that are reported in deployments which have none, and
// against one that outlasts the desired state that asked for it.
t.test('a limit that is only named reports no warm-up', async t => {
  for (const services of [[], warmUps]) {
    const state = createState(createCold({coldForMs: 0}), services);
    const limits = {l1: {perSecond: 3, isLifted: false, ageMs: 0}};
    deliver(state, createDigest({limits}), 10);
    state.timers.set('digest', '', 20);
    const effects = handleInput(state, {kind: 'timerDue'}, 20);
    const counted = listEffects(effects, 'count').map(({name}) => name);
    t.notOk(counted.includes('warm_ups'));
    t.ok(state.endpoints.byId.get('l1')!.limit);
  }
  const state = createState();
  t.equal(sendRequest(state, 10), undefined);
  const desiredState = createDesiredState(2);
  runInput(state, {kind: 'desiredStateRead', desiredState}, 20);
  runDigestTimer(state, 30);
  t.ok(sendRequest(state, 40));
});

// Guards against a report of a peer that outweighs what the endpoint itself writes.
t.test('an entry that is written without a cold time ends it', async t => {
  const state = createState();
  const endpoint = createCold({coldForMs: 0});
  runInput(state, {kind: 'endpointChanged', endpoint}, 1000);
  const count = countCalls(state, 1000, 8000);
  t.ok(count > 100, `${count} calls, at a rate that rises`);
});
