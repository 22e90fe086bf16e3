import {getHash} from '@ryeworks/utils';
import t from 'tap';
import {DispatchState, RequestReceived} from '../index.js';
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

const slots = 4;
const engine = createEndpoint('m1', names.model, {slots});

/**
 * Handles a request; returns its endpoint, undefined if it was not dispatched.
 */
function dispatchRequest(
  state: DispatchState,
  request: RequestReceived,
  nowMs: number,
): string | undefined {
  const [call] = listEffects(runInput(state, request, nowMs), 'startCall');
  return call?.endpoint.id;
}

/** Completes the first call of a request successfully. */
function finishFirstCall(
  state: DispatchState,
  {requestId}: RequestReceived,
  nowMs: number,
) {
  const call = {requestId, callNumber: 1};
  runInput(state, {kind: 'callSent', ...call}, nowMs);
  return runInput(state, {kind: 'callDone', ...call, status: 200}, nowMs);
}

t.test('a flood of the lowest tier leaves a slot for the highest', async t => {
  const state = createReadyState([engine]);
  let dispatched = 0;
  for (let index = 0; index < 12; index++) {
    const request = createRequest('relaxed', index);
    if (dispatchRequest(state, request, index) !== undefined) dispatched += 1;
  }
  t.equal(dispatched, slots - 1, 'one slot stays free');
  const urgent = createRequest('urgent', 20);
  t.equal(dispatchRequest(state, urgent, 20), 'm1');
});

t.test('waiting requests are served by tier, then by age', async t => {
  const state = createReadyState([{...engine, slots: 1}]);
  const first = createRequest('relaxed', 0);
  dispatchRequest(state, first, 0);
  const relaxed = createRequest('relaxed', 1);
  dispatchRequest(state, relaxed, 1);
  const urgentLater = [0, 1, 2].map(() => createRequest('urgent', 5));
  const started = urgentLater.map(request =>
    dispatchRequest(state, request, 5),
  );
  // Two may queue at the engine; the third waits on this VM, ahead of others.
  t.strictSame(started, ['m1', 'm1', undefined]);
  const calls = listEffects(
    finishFirstCall(state, urgentLater[0], 10),
    'startCall',
  );
  t.strictSame(
    calls.map(call => call.requestId),
    [urgentLater[2].requestId],
  );
});

// Guards against a rank that compares the route's tier first, or only the time: the
// customer of the higher tier asks later and on the route of the lower tier.
t.test("a customer's tier is compared before the route's tier", async t => {
  const customers = [
    {name: 'gold', apiKeys: ['gold'], tier: 0, limit: undefined},
    {name: 'plain', apiKeys: ['plain'], tier: 1, limit: undefined},
  ];
  // Requests of both routes get the only slot; those of the highest tier get more.
  const highest = {
    ...routes.booking,
    name: 'top',
    pathPrefix: '/top/',
    tier: 0,
  };
  const state = createReadyState(
    [createEndpoint('e1', names.ledger, {slots: 1})],
    createDesiredState(1, {
      customers,
      routes: [highest, routes.booking, {...routes.reading, tier: 2}],
    }),
  );
  const running = createRequest('booking', 0, {apiKey: 'plain'});
  dispatchRequest(state, running, 0);
  const plain = createRequest('booking', 1, {apiKey: 'plain'});
  dispatchRequest(state, plain, 1);
  const gold = createRequest('reading', 2, {apiKey: 'gold'});
  dispatchRequest(state, gold, 2);
  const calls = listEffects(finishFirstCall(state, running, 3), 'startCall');
  t.equal(calls[0]?.requestId, gold.requestId);
});

t.test('the highest tier goes to the faster engine', async t => {
  const fast = createEndpoint('m1', names.model, {slots: 8});
  const slow = createEndpoint('m2', names.model, {slots: 8});
  const state = createReadyState([fast, slow]);
  // Pairs of calls: one engine responds after 80 ms, the other after 240 ms.
  let nowMs = 0;
  for (let index = 0; index < 20; index++) {
    const pair = [0, 1].map(() => createRequest('relaxed', nowMs));
    const ids = pair.map(request => dispatchRequest(state, request, nowMs));
    for (const [pairIndex, {requestId}] of pair.entries()) {
      const call = {requestId, callNumber: 1};
      const firstMs = nowMs + (ids[pairIndex] === 'm1' ? 80 : 240);
      runInput(state, {kind: 'callSent', ...call}, nowMs);
      runInput(state, {kind: 'callProgressed', ...call, events: 1}, firstMs);
      runInput(state, {kind: 'callDone', ...call, status: 200}, firstMs);
    }
    nowMs += 300;
  }
  const relaxed = [];
  for (let index = 0; index < 8; index++) {
    relaxed.push(
      dispatchRequest(state, createRequest('relaxed', nowMs), nowMs),
    );
  }
  const onSlow = relaxed.filter(id => id === 'm2').length;
  t.ok(onSlow >= 1, `${onSlow} of 8 of the lowest tier go to the slow engine`);
  for (let index = 0; index < 3; index++) {
    const urgent = createRequest('urgent', nowMs);
    t.equal(dispatchRequest(state, urgent, nowMs), 'm1');
  }
});

t.test(
  'a request that cannot be served on time is refused on arrival',
  async t => {
    const state = createReadyState([engine]);
    let refusedAtMs = -1;
    let retryAfterMs = 0;
    // The engine completes ten requests per second; a hundred arrive.
    for (let nowMs = 0; nowMs < 4000; nowMs += 10) {
      runInput(state, {kind: 'timerDue'}, nowMs);
      const request = createRequest('relaxed', nowMs);
      const effects = runInput(state, request, nowMs);
      const [answer] = listEffects(effects, 'answerError');
      if (answer?.requestId === request.requestId) {
        refusedAtMs = nowMs;
        retryAfterMs = answer.retryAfterMs;
      }
      const oldest = [...state.requests.values()].find(
        ({calls}) => calls.length > 0 && nowMs - calls[0].startedAtMs >= 400,
      );
      if (oldest === undefined) continue;
      const [{callNumber}] = oldest.calls;
      const call = {requestId: oldest.requestId, callNumber};
      runInput(state, {kind: 'callDone', ...call, status: 200}, nowMs);
    }
    t.ok(refusedAtMs >= 0, 'some requests are refused on arrival');
    t.ok(retryAfterMs >= 100, `callers retry after ${retryAfterMs} ms`);
    const longest = Math.max(
      ...[...state.requests.values()]
        .filter(request => request.phase === 'waiting')
        .map(request => 4000 - request.receivedAtMs),
    );
    t.ok(
      longest <= 1000,
      `no request waits longer than the latency target: ${longest} ms`,
    );
  },
);

t.test('a freed slot goes to a peer whose request is more urgent', async t => {
  const state = createReadyState([{...engine, slots: 1}]);
  const running = createRequest('relaxed', 0);
  dispatchRequest(state, running, 0);
  dispatchRequest(state, createRequest('relaxed', 1), 1);
  const digest = createDigest({
    heads: {[names.model]: {rank: 0, waitedMs: 5, count: 1}},
  });
  runInput(state, {kind: 'peerMessageReceived', message: digest}, 2);
  const effects = finishFirstCall(state, running, 10);
  const [offer] = listEffects(effects, 'sendPeer');
  t.match(offer, {
    address: 'vm-2:7600',
    message: {kind: 'slotOffer', endpointId: 'm1'},
  });
  t.equal(listEffects(effects, 'startCall').length, 0);

  // The peer uses the offered slot for its own waiting request.
  const peer = createReadyState([{...engine, slots: 1}]);
  const ownDigest = {...digest, inFlight: {m1: 1}, heads: {}};
  runInput(peer, {kind: 'peerMessageReceived', message: ownDigest}, 0);
  const waiting = createRequest('relaxed', 1);
  t.equal(dispatchRequest(peer, waiting, 1), undefined);
  const message = {kind: 'slotOffer', vm: 'vm-2', endpointId: 'm1'} as const;
  const offerEffects = runInput(
    peer,
    {kind: 'peerMessageReceived', message},
    5,
  );
  t.equal(
    listEffects(offerEffects, 'startCall')[0]?.requestId,
    waiting.requestId,
  );
});

t.test('calls of a VM that stopped reporting expire after a while', async t => {
  const state = createReadyState([{...engine, slots: 1}]);
  const message = createDigest({inFlight: {m1: 1}});
  deliver(state, message, 0);
  const early = createRequest('relaxed', 100);
  t.equal(dispatchRequest(state, early, 100), undefined);
  const later = createRequest('relaxed', 2500);
  t.equal(dispatchRequest(state, later, 2500), 'm1');
});

t.test('many VMs with the same load data spread over the engines', async t => {
  const engines = Array.from({length: 12}, (_, index) =>
    createEndpoint(`m${index}`, names.model, {
      slots,
      availabilityZone: index < 6 ? 'zone-a' : 'zone-b',
    }),
  );
  const counts = new Map<string, number>();
  for (let vm = 0; vm < 60; vm++) {
    const seed = getHash(`vm-${vm}`);
    const state = createReadyState(engines, createDesiredState(), seed);
    // All VMs see the same load: one engine in the local zone is the least
    // busy.
    for (let peer = 0; peer < 30; peer++) {
      const inFlight = peer > 0 && peer < 6 ? {[`m${peer}`]: 1} : {};
      const message = createDigest({vm: `peer-${peer}`, inFlight});
      deliver(state, message, 0);
    }
    const id = dispatchRequest(state, createRequest('relaxed', 10), 10)!;
    counts.set(id, (counts.get(id) ?? 0) + 1);
  }
  const maxCount = Math.max(...counts.values());
  t.ok(maxCount <= 40, `${maxCount} of 60 go to one engine`);
  t.ok(
    [...counts.keys()].every(id => Number(id.slice(1)) < 6),
    'all stay in the local zone while it has capacity',
  );
});

// Load pattern: 30 VMs in front of one application server in each zone. Guards
// against a zone whose callers all get its only server, while others are idle.
t.test('few endpoints of a service are shared by all zones', async t => {
  const servers = ['a', 'b', 'c', 'd'].map((zone, index) =>
    createEndpoint(`e${index}`, names.ledger, {
      slots: 6,
      availabilityZone: `zone-${zone}`,
    }),
  );
  let localCalls = 0;
  for (let vm = 0; vm < 60; vm++) {
    const seed = getHash(`vm-${vm}`);
    const state = createReadyState(servers, createDesiredState(), seed);
    for (let peer = 0; peer < 30; peer++) {
      const inFlight: Record<string, number> = peer < 4 ? {e0: 1} : {};
      deliver(state, createDigest({vm: `peer-${peer}`, inFlight}), 0);
    }
    const id = dispatchRequest(state, createRequest('reading', 10), 10);
    if (id === 'e0') localCalls += 1;
  }
  t.ok(localCalls <= 20, `${localCalls} of 60 go to the busy local server`);
});

// Guards against a VM that hardly ever calls the endpoints of its own zone, because
// they are few among many.
t.test('few local endpoints of a large service are preferred', async t => {
  const engines = Array.from({length: 20}, (_, index) =>
    createEndpoint(`m${index}`, names.model, {
      slots,
      availabilityZone: index < 2 ? 'zone-a' : 'zone-b',
    }),
  );
  for (let vm = 0; vm < 20; vm++) {
    const seed = getHash(`vm-${vm}`);
    const state = createReadyState(engines, createDesiredState(), seed);
    for (let peer = 0; peer < 30; peer++) {
      deliver(state, createDigest({vm: `peer-${peer}`}), 0);
    }
    const id = dispatchRequest(state, createRequest('relaxed', 10), 10)!;
    t.ok(id === 'm0' || id === 'm1', id);
  }
});

t.test('a large fleet keeps more slots free for the highest tier', async t => {
  const state = createReadyState([{...engine, slots: 7}]);
  for (let peer = 0; peer < 30; peer++) {
    const message = createDigest({vm: `peer-${peer}`});
    deliver(state, message, 0);
  }
  // Requests of the lowest tier arrive faster than their long responses end.
  let dispatched = 0;
  for (let index = 0; index < 12; index++) {
    const request = createRequest('relaxed', index);
    if (dispatchRequest(state, request, index) !== undefined) dispatched += 1;
  }
  t.equal(dispatched, 4);
  const urgent = [0, 1, 2].map(() => createRequest('urgent', 20));
  const started = urgent.map(request => dispatchRequest(state, request, 20));
  t.strictSame(
    started,
    ['m1', 'm1', 'm1'],
    'none waits behind the lowest tier',
  );
});
