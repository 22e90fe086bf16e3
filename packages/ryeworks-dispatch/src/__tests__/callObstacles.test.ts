import t from 'tap';
import {DispatchState, EndpointNotice, Input, openNotice} from '../index.js';
import {
  endpointObstacle,
  EndpointObstacle,
  requestObstacle,
  RequestObstacle,
} from '../endpoints/callObstacles.js';
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
  sendDigests,
} from './fixtures.js';

/** Time at which the obstacles are set, in ms. */
const setAtMs = 1000;
/** Length of the pauses and cool-downs, in ms. */
const closedMs = 60_000;

const obstructed = createEndpoint('m1', names.model, {slots: 4});
const other = createEndpoint('m2', names.model, {slots: 4});

/** Prompt of the requests whose ways to the endpoint are tested. */
const prompt = {sharedParts: ['c0', 'a1']};

/** Returns the entry of the obstructed endpoint. */
function getEntry(state: DispatchState) {
  return state.endpoints.byId.get(obstructed.id)!;
}

/** Sets an obstacle of the endpoint for all requests. */
const setObstacle: Record<
  EndpointObstacle | Exclude<RequestObstacle, 'avoided'>,
  (state: DispatchState) => void
> = {
  draining: state => {
    const endpoint = {...obstructed, isDraining: true};
    runInput(state, {kind: 'endpointChanged', endpoint}, setAtMs);
  },
  leaving: state => {
    getEntry(state).notices.leavingSinceMs = setAtMs;
  },
  pausing: state => {
    getEntry(state).notices.pausedUntilMs = setAtMs + closedMs;
  },
  evacuated: state => {
    const endpoint = {...obstructed, availabilityZone: 'zone-e'};
    runInput(state, {kind: 'endpointChanged', endpoint}, setAtMs);
    const zones = ['zone-e'];
    runInput(state, {kind: 'evacuationsRead', era: 1, zones}, setAtMs);
  },
  cooling_down: state => {
    getEntry(state).cooldownUntilMs = setAtMs + closedMs;
  },
  other_version: state => {
    const endpoint = {...obstructed, version: 'v2'};
    runInput(state, {kind: 'endpointChanged', endpoint}, setAtMs);
    const order = {
      service: names.model,
      toVersion: 'v2',
      durationMs: closedMs,
      position: {era: 1, revision: 1},
      orderedAt: {era: 1, revision: 1},
      provenVersions: [],
      phase: undefined,
    };
    runInput(state, {kind: 'movesRead', era: 1, orders: [order]}, setAtMs);
    state.moves.get(names.model)!.isBad = true;
  },
  other_region: state => {
    const endpoint = {...obstructed, availabilityZone: 'zone-e'};
    runInput(state, {kind: 'endpointChanged', endpoint}, setAtMs);
    const regionByZone = {'zone-a': 'north', 'zone-e': 'east'};
    state.options = {...state.options, regionByZone};
    const allowedRegions = ['north'];
    const desiredState = createDesiredState(2, {
      routes: [{...routes.urgent, allowedRegions}],
    });
    runInput(state, {kind: 'desiredStateRead', desiredState}, setAtMs);
  },
  quarantined: state => {
    const processes = ['m3@1', 'm4@1', 'm5@1', 'm6@1'];
    const report = {part: 'a1', seenAgoMs: 0, processes};
    const message = createDigest({sequence: 2, crashes: [report]});
    deliver(state, message, setAtMs - 500);
    runInput(state, {kind: 'timerDue'}, setAtMs - 100);
  },
  no_permit: state => {
    const limits = {m1: {perSecond: 0.01, isLifted: false, ageMs: 0}};
    const message = createDigest({sequence: 2, limits});
    deliver(state, message, setAtMs);
  },
  no_capacity: state => {
    const message = createDigest({sequence: 2, inFlight: {m1: 99}});
    deliver(state, message, setAtMs);
  },
};

/** Calls of a stream at the other endpoint, which has begun its answer. */
function startElsewhere(state: DispatchState) {
  getEntry(state).cooldownUntilMs = setAtMs;
  const request = createRequest('urgent', 0, prompt);
  const {requestId} = request;
  runInput(state, request, 0);
  const call = {requestId, callNumber: 1};
  runInput(state, {kind: 'callSent', ...call}, 1);
  runInput(state, {kind: 'callProgressed', ...call, events: 1}, 100);
  return call;
}

/** Creates the input of a call that its endpoint refused or cut. */
function createFailure(
  call: {requestId: string; callNumber: number},
  failure: 'refused' | 'cut',
): Input {
  const failed = {kind: 'callFailed', failure, detail: 'test'} as const;
  return {...failed, ...call, hasResponseStarted: failure === 'cut'};
}

/** One way in which a request reaches an endpoint. */
interface Way {
  /** Does what comes before the obstacle is set. */
  prepare(state: DispatchState): {requestId: string; callNumber: number};
  /** Returns the inputs that make the VM look for an endpoint. */
  createInputs(call: {requestId: string; callNumber: number}): Input[];
}

const slotOffer = {kind: 'slotOffer', vm: 'vm-2', endpointId: 'm1'} as const;

/** The ways in which a request reaches an endpoint. */
const ways: Record<string, Way> = {
  'first call': {
    prepare: startElsewhere,
    createInputs: () => [createRequest('urgent', setAtMs + 1, prompt)],
  },
  'retry after a refusal': {
    prepare: startElsewhere,
    createInputs: call => [createFailure(call, 'refused')],
  },
  'resumed stream': {
    prepare: startElsewhere,
    createInputs: call => [createFailure(call, 'cut')],
  },
  'standby call': {
    prepare: startElsewhere,
    createInputs: () => [{kind: 'timerDue'}],
  },
  'slot offer': {
    prepare: state => {
      const call = startElsewhere(state);
      const inFlight = {m1: 99, m2: 99};
      const message = createDigest({inFlight});
      deliver(state, message, 200);
      runInput(state, createRequest('urgent', 300, prompt), 300);
      return call;
    },
    createInputs: () => [{kind: 'peerMessageReceived', message: slotOffer}],
  },
};

/** Returns whether a way leads to the endpoint with an obstacle. */
function reachesEndpoint(
  way: Way,
  applyObstacle: (state: DispatchState) => void,
): boolean {
  const state = createReadyState([obstructed, other]);
  const call = way.prepare(state);
  applyObstacle(state);
  for (const input of way.createInputs(call)) {
    const effects = runInput(state, input, setAtMs + 1);
    const calls = listEffects(effects, 'startCall');
    if (calls.some(({endpoint}) => endpoint.id === obstructed.id)) return true;
  }
  return false;
}

// Guards against a way to an endpoint that forgets one of the obstacles.
for (const [name, way] of Object.entries(ways)) {
  for (const [obstacle, apply] of Object.entries(setObstacle)) {
    t.test(`no ${name} at an endpoint that is ${obstacle}`, async t => {
      t.notOk(reachesEndpoint(way, apply));
    });
  }
  if (name === 'slot offer') continue;
  t.test(`a ${name} reaches an endpoint without obstacles`, async t => {
    t.ok(reachesEndpoint(way, () => {}));
  });
}

t.test('the table names every obstacle', async t => {
  const all = {...endpointObstacle, ...requestObstacle};
  const tested = [...Object.keys(setObstacle), requestObstacle.avoided];
  t.same(Object.values(all).sort(), tested.sort());
});

const leaving: EndpointNotice = {isLeaving: true, pause: undefined};

/** Creates a notice that asks for a pause. */
function createPause(durationMs: number): EndpointNotice {
  return {isLeaving: false, pause: {kind: 'paused', durationMs}};
}

/** Starts a request; returns its call, or undefined if it has none. */
function sendRequest(state: DispatchState, nowMs: number) {
  const effects = runInput(state, createRequest('urgent', nowMs), nowMs);
  const [call] = listEffects(effects, 'startCall');
  return call;
}

/** Starts a request whose answer begins with a notice. */
function receiveNotice(
  state: DispatchState,
  notice: EndpointNotice,
  nowMs: number,
) {
  const {callNumber, requestId} = sendRequest(state, nowMs);
  const call = {requestId, callNumber};
  const limitStatement = undefined;
  const answered = {kind: 'callAnswered', limitStatement, notice} as const;
  const effects = runInput(state, {...answered, ...call}, nowMs);
  runInput(state, {kind: 'callDone', ...call, status: 200}, nowMs);
  return effects;
}

// Guards against callers that are refused although a leaving endpoint still
// serves, and against calls after its drain period (2 s in the fixtures).
t.test('the last endpoint is called while it drains', async t => {
  const state = createReadyState([obstructed]);
  receiveNotice(state, leaving, setAtMs);
  t.ok(sendRequest(state, setAtMs + 1000));
  t.notOk(sendRequest(state, setAtMs + 2001));
});

t.test('a restart ends a leaving, its return to the list does not', async t => {
  const state = createReadyState([obstructed]);
  receiveNotice(state, leaving, setAtMs);
  const nowMs = setAtMs + 5000;
  runInput(state, {kind: 'endpointRemoved', id: 'm1'}, nowMs);
  const listed = {kind: 'endpointsListed', era: 2} as const;
  runInput(state, {...listed, endpoints: [obstructed]}, nowMs);
  t.notOk(sendRequest(state, nowMs), 'the same process');
  const restarted = {...obstructed, startedAtMs: 2};
  runInput(state, {kind: 'endpointChanged', endpoint: restarted}, nowMs);
  t.ok(sendRequest(state, nowMs), 'another process');
});

/** Delivers the report of a peer that the endpoint is leaving. */
function sendLeavingReport(
  state: DispatchState,
  startedAtMs: number,
  nowMs: number,
): void {
  const message = createDigest({sequence: nowMs, leaving: {m1: startedAtMs}});
  deliver(state, message, nowMs);
}

// Guards against an entry that names no start time for a while, as a copy of the
// store may, and hides the restart that follows.
t.test('a restart is found after entries without a start time', async t => {
  const state = createReadyState([obstructed, other]);
  setObstacle.leaving(state);
  for (const startedAtMs of [5, 0, 0]) {
    const endpoint = {...obstructed, startedAtMs};
    getEntry(state).notices.leavingSinceMs = setAtMs;
    runInput(state, {kind: 'endpointChanged', endpoint}, 2000);
  }
  const {notices} = getEntry(state);
  t.equal(notices.leavingSinceMs, setAtMs, 'no restart is known');
  const endpoint = {...obstructed, startedAtMs: 7};
  runInput(state, {kind: 'endpointChanged', endpoint}, 3000);
  t.equal(getEntry(state).notices.leavingSinceMs, Number.POSITIVE_INFINITY);
});

// Guards against a fleet in which each VM has to learn of it by a call.
t.test('a peer tells of a leaving endpoint', async t => {
  const state = createReadyState([obstructed, other]);
  sendLeavingReport(state, 1, setAtMs);
  for (let index = 0; index < 4; index++) {
    t.equal(sendRequest(state, setAtMs)?.endpoint.id, 'm2');
  }
});

// Guards against endpoints that a wrong or late report takes away.
t.test('a wrong report takes no endpoint for good', async t => {
  const sole = createReadyState([obstructed]);
  sendLeavingReport(sole, 1, setAtMs);
  t.ok(sendRequest(sole, setAtMs), 'not the last one');
  t.ok(sendRequest(sole, setAtMs + 4900), 'not even later');
  const restarted = createReadyState([{...obstructed, startedAtMs: 7}]);
  sendLeavingReport(restarted, 1, setAtMs);
  t.notOk(
    getEntry(restarted).notices.leavingReportedAtMs > 0,
    'of another start',
  );
  const answered = createReadyState([obstructed]);
  receiveNotice(answered, openNotice, setAtMs);
  sendLeavingReport(answered, 1, setAtMs + 100);
  t.notOk(getEntry(answered).notices.leavingReportedAtMs > 0, 'contradicted');
  const once = createReadyState([obstructed, other]);
  sendLeavingReport(once, 1, setAtMs);
  const laterMs = setAtMs + 6000;
  const ids = [1, 2, 3, 4].map(() => sendRequest(once, laterMs)?.endpoint.id);
  t.ok(ids.includes('m1'), 'not confirmed for a while');
});

t.test('own observations are reported, those of peers are not', async t => {
  const state = createReadyState([obstructed, other]);
  sendLeavingReport(state, 1, setAtMs);
  t.same(readReports(state, setAtMs + 1), {});
  getEntry(state).notices.leavingSinceMs = setAtMs + 2;
  t.same(readReports(state, setAtMs + 200), {m1: 1});
});

/** Returns the leaving endpoints that the next digest names. */
function readReports(state: DispatchState, nowMs: number) {
  const [{message}] = sendDigests(state, nowMs);
  return message.kind === 'digest' ? message.leaving : undefined;
}

// Guards against a shorter pause, or an answer without one, that ends a pause.
t.test('the longest pause counts', async t => {
  const state = createReadyState([obstructed]);
  const {callNumber, requestId} = sendRequest(state, setAtMs);
  for (const notice of [createPause(3000), createPause(100), openNotice]) {
    const limitStatement = undefined;
    const answered = {kind: 'callAnswered', limitStatement, notice} as const;
    runInput(state, {...answered, requestId, callNumber}, setAtMs);
  }
  t.notOk(sendRequest(state, setAtMs + 2900));
  t.ok(sendRequest(state, setAtMs + 3000));
});

// Guards against a call whose connection opens after the pause was asked for.
t.test('calls that are not sent yet leave a pausing endpoint', async t => {
  const state = createReadyState([{...obstructed, slots: 2}]);
  const unsent = sendRequest(state, setAtMs);
  const effects = receiveNotice(state, createPause(500), setAtMs);
  const canceled = listEffects(effects, 'cancelCall');
  t.match(canceled, [{requestId: unsent.requestId, callNumber: 1}]);
  const resumed = runInput(state, {kind: 'timerDue'}, setAtMs + 520);
  t.match(listEffects(resumed, 'startCall'), [{requestId: unsent.requestId}]);
});

// Guards against a queue that is held for nothing.
t.test('waiting callers are told when the first pause ends', async t => {
  const state = createReadyState([{...obstructed, slots: 1}]);
  for (let index = 0; index < 3; index++) sendRequest(state, setAtMs);
  runInput(state, createRequest('relaxed', setAtMs), setAtMs);
  getEntry(state).notices.pausedUntilMs = setAtMs + 4000;
  const effects = runInput(state, {kind: 'timerDue'}, setAtMs + 20);
  const refusals = listEffects(effects, 'answerError');
  t.equal(refusals.length, 1);
  const [{reason, retryAfterMs}] = refusals;
  t.equal(reason, 'endpoints_closed');
  t.ok(retryAfterMs > 4000 && retryAfterMs < 5000, `${retryAfterMs} ms`);
});
