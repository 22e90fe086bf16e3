import {VersionMove} from '@ryeworks/types';
import t from 'tap';
import {createSchedulerState, handleInput, startScheduler} from '../index.js';
import {createTestOptions} from './testOptions.js';

const move: VersionMove = {
  move: 'x',
  service: 'm',
  fromVersion: 'v1',
  toVersion: 'v2',
  deadlineAtMs: 1,
  startedAtMs: 0,
  phase: 'observing',
  step: 5,
  share: 1,
  stepAtMs: 0,
  late: false,
};

// Guards against a move that stands still because the result of a write got lost.
t.test('a leader does not wait for ever for a write', async t => {
  const state = createSchedulerState(createTestOptions('vm-a'), 0);
  startScheduler(state, 0);
  const contentJson = JSON.stringify({moves: [move]});
  const name = 'moves';
  const read = {kind: 'documentRead', name, version: 1, contentJson} as const;
  handleInput(state, read, 0);
  const writes: number[] = [];
  for (let nowMs = 100; nowMs <= 120_000; nowMs += 100) {
    for (const {kind} of handleInput(state, {kind: 'timerDue'}, nowMs)) {
      if (kind === 'writeDocument') writes.push(nowMs);
    }
  }
  t.ok(writes.length >= 2, `writes at ${writes.join()}`);
  const gaps = writes.slice(1).map((atMs, index) => atMs - writes[index]);
  t.ok(Math.min(...gaps) >= 20_000, 'not while its result may come');
});
