import t from 'tap';
import {
  Digest,
  DispatchState,
  Effect,
  handleInput,
  MoveOrder,
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

const order: MoveOrder = {
  service: names.ledger,
  toVersion: 'v2',
  durationMs: 12_000,
  position: {era: 1, revision: 10},
  orderedAt: {era: 1, revision: 10},
  provenVersions: [],
  phase: undefined,
};

/** Result of a simulated move. */
interface MoveRun {
  /** Phases that were written, in order. */
  readonly writtenPhases: string[];
  /** Requests that went to the new version. */
  readonly toNewVersion: number;
  readonly total: number;
  /** Requests that went to the new version after it was reverted. */
  readonly afterVerdict: number;
}

/**
 * Runs a move of 12 s at 100 requests per second.
 *
 * @param isBadAt whether the new version fails calls at a time
 */
function runMove(isBadAt: (nowMs: number) => boolean): MoveRun {
  const state: DispatchState = createReadyState([
    createEndpoint('e1', names.ledger, {slots: 50}),
    createEndpoint('e2', names.ledger, {slots: 50, version: 'v2'}),
  ]);
  startDispatch(state, 0);
  runInput(state, {kind: 'movesRead', era: 1, orders: [order]}, 0);
  const writtenPhases: string[] = [];
  let toNewVersion = 0;
  let total = 0;
  let afterVerdict = 0;
  for (let nowMs = 10; nowMs < 12_000; nowMs += 10) {
    for (const {result} of listEffects(
      runInput(state, {kind: 'timerDue'}, nowMs),
      'writeMoveResult',
    )) {
      writtenPhases.push(result.phase);
      const phase = result.phase;
      const orders = [{...order, phase, position: {era: 1, revision: nowMs}}];
      runInput(state, {kind: 'movesRead', era: 1, orders}, nowMs);
    }
    const request = createRequest('booking', nowMs);
    const [call] = listEffects(runInput(state, request, nowMs), 'startCall');
    total += 1;
    const isNew = call.endpoint.version === 'v2';
    if (isNew) toNewVersion += 1;
    if (isNew && writtenPhases.includes('reverted')) afterVerdict += 1;
    const event = {requestId: request.requestId, callNumber: 1};
    handleInput(state, {kind: 'callSent', ...event}, nowMs);
    if (isNew && isBadAt(nowMs)) {
      const failed = {failure: 'failed', hasResponseStarted: false} as const;
      const detail = '500';
      handleInput(
        state,
        {kind: 'callFailed', ...event, ...failed, detail},
        nowMs,
      );
    } else {
      handleInput(state, {kind: 'callDone', ...event, status: 200}, nowMs);
    }
  }
  return {writtenPhases, toNewVersion, total, afterVerdict};
}

t.test('a move to a healthy version is completed in time', async t => {
  const run = runMove(() => false);
  t.strictSame(run.writtenPhases, ['moving', 'completed']);
});

t.test(
  'a version that fails from the start is reverted within the trial ratio',
  async t => {
    const run = runMove(() => true);
    t.equal(run.writtenPhases.at(-1), 'reverted');
    t.ok(
      run.toNewVersion <= 0.1 * run.total,
      `${run.toNewVersion} of ${run.total}`,
    );
    t.equal(run.afterVerdict, 0);
  },
);

t.test('a version that starts to fail during the move is reverted', async t => {
  const run = runMove(nowMs => nowMs > 5500);
  t.equal(run.writtenPhases.at(-1), 'reverted');
  t.equal(run.afterVerdict, 0);
});

// Guards against calls that start at endpoints which stop without draining.
t.test(
  'a request that waits for the old version is not called there once all go to the new one',
  async t => {
    const state = createReadyState([
      createEndpoint('e1', names.ledger, {slots: 1}),
      createEndpoint('e2', names.ledger, {slots: 50, version: 'v2'}),
    ]);
    const durationMs = 1000;
    const orders = [{...order, durationMs}];
    runInput(state, {kind: 'movesRead', era: 1, orders}, 0);
    let effects: Effect[] = [];
    do effects = runInput(state, createRequest('booking', 0), 0);
    while (listEffects(effects, 'startCall').length > 0);
    t.strictSame(runInput(state, {kind: 'timerDue'}, 500), [], 'waits');
    const sweep = runInput(state, {kind: 'timerDue'}, 0.75 * durationMs);
    const called = listEffects(sweep, 'startCall').map(call => call.endpoint);
    t.match(called, [{id: 'e2'}]);
  },
);

/** Creates a VM that reads the order at time 0. */
function createMovingState(): DispatchState {
  const state = createReadyState([
    createEndpoint('e1', names.ledger, {slots: 50}),
    createEndpoint('e2', names.ledger, {slots: 50, version: 'v2'}),
  ]);
  startDispatch(state, 0);
  runInput(state, {kind: 'storeReachabilityChanged', isReachable: true}, 0);
  runInput(state, {kind: 'movesRead', era: 1, orders: [order]}, 0);
  return state;
}

/** A peer that sends digests until it falls silent. */
interface MovingPeer {
  readonly moves: Digest['moves'];
  readonly inFlight: Digest['inFlight'];
  readonly silentFromMs: number;
}

/** Runs the timers beside a peer; returns when the move was completed, in ms. */
function runBesidePeer(peer: MovingPeer): number | undefined {
  const state = createMovingState();
  for (let nowMs = 100; nowMs < order.durationMs; nowMs += 100) {
    if (nowMs < peer.silentFromMs) {
      const message = createDigest({...peer, sequence: nowMs});
      deliver(state, message, nowMs);
    }
    const effects = runInput(state, {kind: 'timerDue'}, nowMs);
    for (const {result} of listEffects(effects, 'writeMoveResult')) {
      if (result.phase === 'completed') return nowMs;
    }
  }
  return undefined;
}

const moveKey = 'ledger|1.10';
/** Time from which calls at old endpoints no longer delay the result, in ms. */
const forcedAtMs = 0.9 * order.durationMs;

// Guards against calls of a peer that are cut when the old endpoints stop.
t.test(
  'a move is not completed while a peer may call the old version',
  async t => {
    const peer = {inFlight: {}, silentFromMs: Number.POSITIVE_INFINITY};
    const moved = {[moveKey]: {ageMs: 0, share: 1, isBad: false}};
    const moving = {[moveKey]: {ageMs: 0, share: 0.3, isBad: false}};
    const completedAtMs = runBesidePeer({...peer, moves: moved});
    t.ok(completedAtMs! < forcedAtMs, 'a peer that has moved delays nothing');
    t.equal(runBesidePeer({...peer, moves: {}}), forcedAtMs, 'order not read');
    t.equal(runBesidePeer({...peer, moves: moving}), forcedAtMs, 'not moved');
    const silent = {inFlight: {e1: 1}, silentFromMs: 5000};
    t.equal(runBesidePeer({...silent, moves: moving}), forcedAtMs, 'silent');
  },
);

// Guards against calls at old endpoints that are about to stop, and against a
// result that is written after the move's end.
t.test('a VM that starts during a move routes as its peers do', async t => {
  const state = createMovingState();
  const moves = {[moveKey]: {ageMs: 9000, share: 1, isBad: false}};
  const message = createDigest({moves});
  deliver(state, message, 10);
  runInput(state, {kind: 'timerDue'}, 250);
  for (let nowMs = 300; nowMs < 400; nowMs += 10) {
    const effects = runInput(state, createRequest('booking', nowMs), nowMs);
    t.match(listEffects(effects, 'startCall'), [{endpoint: {id: 'e2'}}]);
  }
});

// Guards against a move that one VM completes and that leaves another VM, which
// found the version bad, without any endpoint to call.
t.test('a version that a peer found bad is bad on every VM', async t => {
  const state = createMovingState();
  const moves = {[moveKey]: {ageMs: 10_000, share: 0, isBad: true}};
  const message = createDigest({moves});
  deliver(state, message, 240);
  const effects = runInput(state, {kind: 'timerDue'}, 250);
  t.match(listEffects(effects, 'writeMoveResult'), [
    {result: {phase: 'reverted'}},
  ]);
  const request = createRequest('booking', 300);
  const [call] = listEffects(runInput(state, request, 300), 'startCall');
  t.equal(call.endpoint.id, 'e1');
});

// Guards against a result that nobody writes: the first VM cannot, and the others
// leave it to the first.
t.test('a result is written by a VM that reaches the store', async t => {
  for (const [storeReachedForMs, writes] of [
    [0, 1],
    [1000, 0],
  ]) {
    const state = createMovingState();
    const message = createDigest({vm: 'vm-0', storeReachedForMs});
    deliver(state, message, 240);
    const effects = runInput(state, {kind: 'timerDue'}, 250);
    t.equal(listEffects(effects, 'writeMoveResult').length, writes);
  }
});

// Guards against a slow call that weighs as two answers, one of them not slow.
t.test('each call counts once as evidence', async t => {
  const ends = {
    done: {kind: 'callDone', status: 200},
    cut: {
      kind: 'callFailed',
      failure: 'cut',
      hasResponseStarted: true,
      detail: 'test',
    },
  } as const;
  for (const [name, end] of Object.entries(ends)) {
    const state = createReadyState([createEndpoint('e1', names.ledger)]);
    runInput(state, {kind: 'movesRead', era: 1, orders: [order]}, 0);
    const {requestId} = createRequest('booking', 0);
    runInput(state, {...createRequest('booking', 0), requestId}, 0);
    const call = {requestId, callNumber: 1};
    runInput(state, {kind: 'callSent', ...call}, 1);
    runInput(state, {kind: 'callProgressed', ...call, events: 1}, 2000);
    runInput(state, {...end, ...call}, 2100);
    const failed = name === 'cut' ? 1 : 0;
    const {own} = state.moves.get(names.ledger)!.oldEvidence;
    t.same(own, {answered: 1, failed, slow: 1}, name);
  }
});
