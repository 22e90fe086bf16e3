import t from 'tap';
import {
  DispatchState,
  handleInput,
  MoveOrder,
  startDispatch,
} from '../index.js';
import {
  createEndpoint,
  createReadyState,
  createRequest,
  listEffects,
  names,
  runInput,
} from './fixtures.js';

const order: MoveOrder = {
  service: names.ledger,
  toVersion: 'v2',
  durationMs: 12_000,
  revision: 10,
  createdRevision: 10,
  phase: undefined,
};

/** What came of a move that was played. */
interface MoveRun {
  readonly results: string[];
  readonly onNew: number;
  readonly total: number;
  /** Requests that went to the new version after it was found bad. */
  readonly afterVerdict: number;
}

/** Plays a move at a hundred requests a second. */
function playMove(isBadAt: (nowMs: number) => boolean): MoveRun {
  const state: DispatchState = createReadyState([
    createEndpoint('e1', names.ledger, {slots: 50}),
    createEndpoint('e2', names.ledger, {slots: 50, version: 'v2'}),
  ]);
  startDispatch(state, 0);
  runInput(state, {kind: 'movesRead', orders: [order]}, 0);
  const results: string[] = [];
  let onNew = 0;
  let total = 0;
  let afterVerdict = 0;
  for (let nowMs = 10; nowMs < 12_000; nowMs += 10) {
    for (const {result} of listEffects(
      runInput(state, {kind: 'timerDue'}, nowMs),
      'writeMoveResult',
    )) {
      results.push(result.phase);
      const phase = result.phase;
      const orders = [{...order, phase, revision: nowMs}];
      runInput(state, {kind: 'movesRead', orders}, nowMs);
    }
    const request = createRequest('booking', nowMs);
    const [call] = listEffects(runInput(state, request, nowMs), 'startCall');
    total += 1;
    const isNew = call.endpoint.version === 'v2';
    if (isNew) onNew += 1;
    if (isNew && results.includes('reverted')) afterVerdict += 1;
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
  return {results, onNew, total, afterVerdict};
}

t.test('a good version gets all traffic in time', async t => {
  const run = playMove(() => false);
  t.strictSame(run.results, ['moving', 'completed']);
});

t.test('a version that fails at once is reverted within its part', async t => {
  const run = playMove(() => true);
  t.equal(run.results.at(-1), 'reverted');
  t.ok(run.onNew <= 0.1 * run.total, `${run.onNew} of ${run.total}`);
  t.equal(run.afterVerdict, 0);
});

t.test('a version that fails later is reverted, too', async t => {
  const run = playMove(nowMs => nowMs > 5500);
  t.equal(run.results.at(-1), 'reverted');
  t.equal(run.afterVerdict, 0);
});
