import t from 'tap';
import {decideNextMove, moveSteps} from '../moves/moveSchedule.js';
import {
  addObservations,
  createRandomSource,
  estimateFailureRates,
  SequentialTest,
} from '@ryeworks/utils';

const rates = estimateFailureRates(1000, 5);

/**
 * Counts the calls until a version with a given failure rate is found bad.
 * Returns one more than the maximum if it is not found bad.
 */
function countUntilAlarm(
  failRate: number,
  seed: number,
  maxCalls: number,
): number {
  const random = createRandomSource(seed);
  const test: SequentialTest = {sum: 0};
  for (let calls = 1; calls <= maxCalls; calls++) {
    const bad = random.next() < failRate ? 1 : 0;
    if (addObservations(test, 1, bad, rates)) return calls;
  }
  return maxCalls + 1;
}

t.test('a version as reliable as the old one is not withdrawn', async t => {
  let alarms = 0;
  for (let seed = 1; seed <= 500; seed++) {
    if (countUntilAlarm(0.005, seed, 1600) <= 1600) alarms += 1;
  }
  t.ok(
    alarms <= 5,
    `${alarms} false alarms in 500 moves, expected at most 1 %`,
  );
});

t.test(
  'a version that fails half of its calls is detected within 40 calls',
  async t => {
    for (let seed = 1; seed <= 100; seed++) {
      const calls = countUntilAlarm(0.5, seed, 100);
      t.ok(calls <= 40, `seed ${seed}: ${calls} calls`);
    }
  },
);

t.test(
  'a step ends only after its time and with enough observations',
  async t => {
    const move = {
      move: 'm',
      service: 's',
      fromVersion: 'v1',
      toVersion: 'v2',
      startedAtMs: 0,
      deadlineAtMs: 100_000,
      phase: 'moving' as const,
      step: 0,
      share: moveSteps[0].share,
      stepAtMs: 0,
      late: false,
    };
    const decideAt = (wallClockMs: number, observedInStep: number) =>
      decideNextMove(move, {wallClockMs, observedInStep, observeMs: 1000});
    t.equal(decideAt(10_000, 500), undefined, 'the step has time left');
    t.equal(decideAt(30_000, 2), undefined, 'too few observations');
    t.equal(decideAt(30_000, 20)?.share, moveSteps[1].share);
    t.equal(decideAt(100_001, 0)?.late, true, 'marked late, step not ended');
  },
);
