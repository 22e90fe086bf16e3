import t, {Test} from 'tap';
import {DispatchState} from '../dispatchState.js';
import {findCrashingParts} from '../crashes/findCrashingParts.js';
import {PartRecord} from '../crashes/crashTable.js';
import {Endpoint} from '../endpoints/endpoint.js';
import {CallFailure} from '../input.js';
import {
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

/** When crashes are known in these tests, in ms. */
const atMs = 1000;
/** Time in which crashes count and quarantines start, in ms. */
const settleMs = 500;
const service = names.model;
const endpoints = ['m1', 'm2', 'm3', 'm4', 'm5'].map(id =>
  createEndpoint(id, service, {slots: 4}),
);

/** Creates the record of a part under which processes have crashed. */
function createRecord(...processes: string[]): PartRecord {
  const crashes = new Map(processes.map(process => [process, atMs]));
  const times = {lastSeenAtMs: atMs, reportedAtMs: atMs, observedAtMs: atMs};
  return {crashes, ...times};
}

t.test('the part with most crashes explains those of the others', async t => {
  const records = new Map([
    ['topic', createRecord('p1', 'p2', 'p3', 'p4')],
    ['bad', createRecord('p1', 'p2', 'p3', 'p4', 'p5')],
    ['worse', createRecord('q1', 'q2', 'q3', 'q4')],
    ['rare', createRecord('r1', 'r2', 'r3')],
  ]);
  t.strictSame(findCrashingParts(records, atMs), [['bad'], ['worse']]);
  t.strictSame(findCrashingParts(records, atMs - 1), [], 'not settled yet');
});

t.test('parts that were always together are found together', async t => {
  const crashes = ['p1', 'p2', 'p3', 'p4'];
  const records = new Map([
    ['topic', createRecord(...crashes)],
    ['bad', createRecord(...crashes)],
  ]);
  t.strictSame(findCrashingParts(records, atMs), [['bad', 'topic']]);
});

/** Sends a request with a prompt; returns its id and calls. */
function send(
  state: DispatchState,
  sharedParts: string[],
  nowMs: number,
  routeName: keyof typeof routes = 'urgent',
) {
  const request = createRequest(routeName, nowMs, {sharedParts});
  const effects = runInput(state, request, nowMs);
  const [call] = listEffects(effects, 'startCall');
  return {requestId: request.requestId, call, effects};
}

/** Answers a request completely. */
function answer(
  state: DispatchState,
  sharedParts: string[],
  nowMs: number,
  routeName: keyof typeof routes = 'urgent',
) {
  const {call, requestId} = send(state, sharedParts, nowMs, routeName);
  const {callNumber} = call;
  const done = {kind: 'callDone', requestId, callNumber, status: 200} as const;
  runInput(state, done, nowMs + 1);
}

/** Lets a peer report crashes under parts, and waits until they count. */
function reportCrashes(state: DispatchState, parts: string[], nowMs = atMs) {
  const processes = ['x1@1', 'x2@1', 'x3@1', 'x4@1'];
  const crashes = parts.map(part => ({part, seenAgoMs: 0, processes}));
  deliver(state, createDigest({sequence: nowMs, crashes}), nowMs);
  return runInput(state, {kind: 'timerDue'}, nowMs + settleMs);
}

/** Returns the error with which a request was answered. */
function getError(effects: Parameters<typeof listEffects>[0]) {
  return listEffects(effects, 'answerError')[0]?.error;
}

t.test('requests end when their prompts are quarantined', async t => {
  const state = createReadyState(endpoints.slice(0, 2));
  const begun = send(state, ['bad'], 0);
  const sent = {requestId: begun.requestId, callNumber: 1};
  runInput(state, {kind: 'callSent', ...sent}, 1);
  const unsent = send(state, ['bad'], 2);
  const effects = reportCrashes(state, ['bad']);
  t.equal(getError(effects), 'crashingPrompt', 'not sent yet');
  const canceled = listEffects(effects, 'cancelCall');
  t.ok(canceled.some(({requestId}) => requestId === unsent.requestId));
  t.notOk(
    canceled.some(
      ({requestId, callNumber}) =>
        requestId === begun.requestId && callNumber === 1,
    ),
  );
  t.ok(state.requests.has(begun.requestId), 'the endpoint has it already');
  const nowMs = atMs + settleMs + 1;
  t.equal(
    getError(send(state, ['c0', 'bad'], nowMs).effects),
    'crashingPrompt',
  );
  t.ok(send(state, ['c0'], nowMs).call, 'a prompt without the part');
  const failed = {kind: 'callFailed', failure: 'cut', detail: ''} as const;
  const cut = {...failed, ...sent, hasResponseStarted: false};
  const ended = runInput(state, cut, nowMs);
  t.equal(getError(ended), 'outcomeUnknown', 'it is not sent again');
});

t.test('an answer to one of several parts leaves the others', async t => {
  const state = createReadyState(endpoints);
  reportCrashes(state, ['topic', 'bad']);
  const nowMs = atMs + settleMs + 1;
  t.ok(send(state, ['bad'], nowMs).call, 'one of them may be the cause');
  t.notOk(send(state, ['topic', 'bad'], nowMs).call);
  answer(state, ['topic'], nowMs);
  t.ok(send(state, ['topic'], nowMs + 2).call);
  t.notOk(send(state, ['bad'], nowMs + 2).call);
});

t.test('a quarantine ends ten minutes after the last request', async t => {
  const state = createReadyState(endpoints);
  reportCrashes(state, ['bad']);
  for (const minutes of [9, 18, 27]) {
    t.notOk(send(state, ['bad'], minutes * 60_000).call);
  }
  t.ok(send(state, ['bad'], 38 * 60_000).call);
});

t.test('a report of a peer clears a part and is not passed on', async t => {
  const state = createReadyState(endpoints);
  reportCrashes(state, ['bad']);
  const nowMs = atMs + settleMs + 1;
  deliver(state, createDigest({sequence: nowMs, soundParts: ['bad']}), nowMs);
  t.ok(send(state, ['bad'], nowMs).call);
  reportCrashes(state, ['bad'], nowMs + 1);
  t.ok(send(state, ['bad'], nowMs + 600).call, 'still sound');
  const [{message}] = sendDigests(state, nowMs + 700);
  t.match(message, {soundParts: [], crashes: []});
  answer(state, ['bad'], nowMs + 800);
  reportCrashes(state, ['bad'], nowMs + 900);
  const [{message: own}] = sendDigests(state, nowMs + 1500);
  t.match(own, {soundParts: ['bad']}, 'own answers are reported');
});

/** Loses the connection of a call before its answer; returns the effects. */
function loseConnection(
  state: DispatchState,
  call: {readonly requestId: string; readonly callNumber: number},
  nowMs: number,
) {
  const failed = {kind: 'callFailed', failure: 'cut', detail: ''} as const;
  const flags = {hasResponseStarted: false, isConnectionLost: true};
  return runInput(state, {...failed, ...call, ...flags}, nowMs);
}

/** How the connection of a call is lost, and what a probe then finds. */
interface Loss {
  readonly events: number;
  readonly isListening: boolean;
  /** Time between the losses of the five endpoints, in ms. */
  readonly gapMs: number;
}

const crashes: Loss = {events: 1, isListening: false, gapMs: 100};

/** Returns the processes that a digest reports after some lost connections. */
function listReported(
  t: Test,
  {events, gapMs, isListening}: Loss,
): readonly string[] {
  const state = createReadyState(endpoints);
  deliver(state, createDigest(), 0);
  const lost = endpoints.map(() => send(state, ['bad'], 0).call);
  for (const [index, {callNumber, endpoint, requestId}] of lost.entries()) {
    const nowMs = atMs + index * gapMs;
    const call = {requestId, callNumber};
    runInput(state, {kind: 'callSent', ...call}, nowMs);
    runInput(state, {kind: 'callProgressed', ...call, events}, nowMs);
    const effects = loseConnection(state, call, nowMs);
    const probes = listEffects(effects, 'probeEndpoint').length;
    t.equal(probes, events > 3 ? 0 : 1, 'one probe');
    const probed = {kind: 'endpointProbed', endpoint, isListening} as const;
    if (gapMs > 0) runInput(state, probed, nowMs + 50);
  }
  for (const {endpoint} of gapMs > 0 ? [] : lost) {
    const probed = {kind: 'endpointProbed', endpoint, isListening} as const;
    runInput(state, probed, atMs + 50);
  }
  const [{message}] = sendDigests(state, atMs + 1000);
  if (message.kind !== 'digest') return [];
  return message.crashes?.[0]?.processes ?? [];
}

t.test('only crashes at the beginning of an answer count', async t => {
  const all = ['m1@1', 'm2@1', 'm3@1', 'm4@1', 'm5@1'];
  t.strictSame([...listReported(t, crashes)].sort(), all);
  t.strictSame(listReported(t, {...crashes, isListening: true}), []);
  t.strictSame(listReported(t, {...crashes, events: 4}), []);
  t.strictSame(listReported(t, {...crashes, gapMs: 0}), [], 'an outage');
});

// Guards against crashes that are taken for a failed network path because they
// happen at once, though another endpoint of the zone can be reached.
for (const isListening of [true, false]) {
  t.test(
    `losses at once, another endpoint listens: ${isListening}`,
    async t => {
      const state = createReadyState([
        ...endpoints,
        createEndpoint('m6', service),
      ]);
      const lost = endpoints.map(() => send(state, ['bad'], 0).call);
      const used = new Set(lost.map(({endpoint}) => endpoint.id));
      for (const {callNumber, requestId} of lost) {
        const call = {requestId, callNumber};
        runInput(state, {kind: 'callSent', ...call}, atMs);
        loseConnection(state, call, atMs);
      }
      const probes = lost.flatMap(({endpoint}) => {
        const probed = {kind: 'endpointProbed', endpoint} as const;
        const effects = runInput(state, {...probed, isListening: false}, atMs);
        return listEffects(effects, 'probeEndpoint');
      });
      t.equal(probes.length, 1, 'one reference');
      t.notOk(used.has(probes[0].endpoint.id), 'that has lost no connection');
      const {endpoint} = probes[0];
      runInput(
        state,
        {kind: 'endpointProbed', endpoint, isListening},
        atMs + 99,
      );
      const crashed = state.crashes.records.get('bad')?.crashes.size ?? 0;
      t.equal(crashed, isListening ? used.size : 0);
    },
  );
}

/** How far the answer to a call has come. */
const stages = ['before the head', 'after the head', 'after an event'] as const;

/** Starts a call on a route, lets its answer come to a stage, and ends it. */
function failCall(
  routeName: keyof typeof routes,
  stage: (typeof stages)[number],
  failure: CallFailure,
  isConnectionLost: boolean,
) {
  const ledger = createEndpoint('l1', names.ledger);
  const state = createReadyState([...endpoints, ledger]);
  const sharedParts = ['bad'];
  const request = createRequest(routeName, 0, {sharedParts});
  const [{callNumber}] = listEffects(runInput(state, request, 0), 'startCall');
  const call = {requestId: request.requestId, callNumber};
  runInput(state, {kind: 'callSent', ...call}, 1);
  const answered = {kind: 'callAnswered', limitStatement: undefined} as const;
  const notice = {isLeaving: false, pause: undefined};
  if (stage !== 'before the head') {
    runInput(state, {...answered, notice, ...call}, 2);
  }
  const hasResponseStarted = stage === 'after an event';
  if (hasResponseStarted) {
    runInput(state, {kind: 'callProgressed', events: 1, ...call}, 3);
  }
  const failed = {kind: 'callFailed', failure, detail: '', ...call} as const;
  const flags = {hasResponseStarted, isConnectionLost};
  return listEffects(
    runInput(state, {...failed, ...flags}, 4),
    'probeEndpoint',
  );
}

for (const routeName of Object.keys(routes) as Array<keyof typeof routes>) {
  for (const stage of stages) {
    // Guards against a kind of route, or a moment, that counts no crashes.
    t.test(`a crash ${stage} counts: ${routeName}`, async t => {
      t.equal(failCall(routeName, stage, 'cut', true).length, 1);
    });
  }

  // Guards against answers of a bad version, and other failures of one call, that
  // are taken for crashes.
  t.test(`failures that are no crashes: ${routeName}`, async t => {
    const others = ['refused', 'wrongEndpoint', 'failed', 'cut'] as const;
    for (const failure of others) {
      const probes = failCall(routeName, 'after the head', failure, false);
      t.strictSame(probes, [], failure);
    }
  });
}

const ledgers = ['l1', 'l2', 'l3', 'l4', 'l5'].map(id =>
  createEndpoint(id, names.ledger, {slots: 4}),
);

/** Starts a call, and loses its connection if wanted; returns its endpoint. */
function loseCall(state: DispatchState, nowMs: number, isLost = true) {
  // Not repeated elsewhere after the loss.
  const {call, requestId} = send(state, ['bad'], nowMs, 'booking');
  const {callNumber, endpoint} = call;
  const event = {requestId, callNumber};
  runInput(state, {kind: 'callSent', ...event}, nowMs);
  if (isLost) loseConnection(state, event, nowMs + 1);
  return endpoint;
}

/** Delivers a probe; returns the next one. */
function probe(
  state: DispatchState,
  endpoint: Endpoint,
  isListening: boolean,
  nowMs: number,
) {
  const probed = {kind: 'endpointProbed', endpoint, isListening} as const;
  return listEffects(runInput(state, probed, nowMs), 'probeEndpoint')[0];
}

/** Lists another process in place of an endpoint's. */
function replaceProcess(state: DispatchState, listed: Endpoint, nowMs: number) {
  const endpoint = {...listed, startedAtMs: listed.startedAtMs + 2000};
  runInput(state, {kind: 'endpointChanged', endpoint}, nowMs);
}

/** Returns the processes that are known to have crashed under the part. */
function listCrashed(state: DispatchState): string[] {
  return [...(state.crashes.records.get('bad')?.crashes.keys() ?? [])];
}

// Guards against crashes that don't count because the listener of the process
// outlasts its connections.
t.test('an endpoint is probed until it accepts no connections', async t => {
  const state = createReadyState(ledgers);
  const endpoint = loseCall(state, atMs);
  const second = probe(state, endpoint, true, atMs + 50);
  t.match(second, {endpoint: {id: endpoint.id}});
  const third = probe(state, endpoint, true, atMs + 50 + second.delayMs);
  t.strictSame(listCrashed(state), []);
  t.equal(probe(state, third.endpoint, false, atMs + 1000), undefined);
  t.strictSame(listCrashed(state), [`${endpoint.id}@1`]);
});

// Guards against crashes that don't count because something else accepts connections
// at the address of the process.
t.test('a process that is replaced after a loss has crashed', async t => {
  for (const answersLater of [false, true]) {
    const state = createReadyState([ledgers[0]]);
    const endpoint = loseCall(state, atMs);
    let next: ReturnType<typeof probe> | undefined;
    let nowMs = atMs;
    do {
      nowMs += next?.delayMs ?? 50;
      next = probe(state, endpoint, true, nowMs);
    } while (next !== undefined);
    if (answersLater) answer(state, ['other'], nowMs + 100, 'booking');
    replaceProcess(state, endpoint, nowMs + 2000);
    const crashed = answersLater ? [] : [`${endpoint.id}@1`];
    t.strictSame(listCrashed(state), crashed, `answers: ${answersLater}`);
  }
});

// Guards against a crash that is held against the process that came after it.
t.test('a loss that is noticed late counts for its process', async t => {
  const state = createReadyState([endpoints[0]]);
  const {call, requestId} = send(state, ['bad'], 0);
  const event = {requestId, callNumber: call.callNumber};
  runInput(state, {kind: 'callSent', ...event}, 1);
  t.strictSame(listCrashed(state), []);
  replaceProcess(state, endpoints[0], atMs);
  t.strictSame(listCrashed(state), ['m1@1']);
  loseConnection(state, event, atMs + 10);
  probe(state, endpoints[0], true, atMs + 60);
  t.strictSame(listCrashed(state), ['m1@1'], 'not for the new one');
});

// Guards against prompts that are blamed when many endpoints are started again.
t.test('processes that are replaced together blame no prompt', async t => {
  const state = createReadyState(ledgers);
  const called = ledgers.map((_, index) =>
    loseCall(state, atMs + index, false),
  );
  for (const endpoint of called) replaceProcess(state, endpoint, atMs + 900);
  t.ok(new Set(listCrashed(state)).size < 3);
});

// Guards against a part that passes for sound because the end of a crashed process
// looks like the end of its answer.
t.test('an answer without a length shows nothing by itself', async t => {
  const end = (state: DispatchState, nowMs: number) => {
    const {call, requestId} = send(state, ['bad'], nowMs);
    const event = {requestId, callNumber: call.callNumber};
    runInput(state, {kind: 'callSent', ...event}, nowMs);
    runInput(state, {kind: 'callProgressed', ...event, events: 1}, nowMs);
    const done = {kind: 'callDone', status: 200, isUnframed: true} as const;
    runInput(state, {...done, ...event}, nowMs + 1);
  };
  const isSound = ({crashes: {soundParts}}: DispatchState) =>
    soundParts.has('bad');
  const [endpoint] = endpoints;
  const replaced = createReadyState([endpoint]);
  end(replaced, 0);
  t.notOk(isSound(replaced));
  replaceProcess(replaced, endpoint, atMs);
  t.strictSame(listCrashed(replaced), ['m1@1']);
  const lost = createReadyState([endpoint]);
  const {call, requestId} = send(lost, ['other'], 0);
  runInput(lost, {kind: 'callSent', requestId, callNumber: 1}, 0);
  end(lost, atMs);
  loseConnection(lost, {requestId, callNumber: call.callNumber}, atMs + 2);
  probe(lost, endpoint, false, atMs + 52);
  t.strictSame(listCrashed(lost), ['m1@1'], 'beside a lost connection');
  const living = createReadyState([endpoint]);
  end(living, 0);
  answer(living, ['other'], atMs);
  t.ok(isSound(living), 'once a later call is answered');
});
