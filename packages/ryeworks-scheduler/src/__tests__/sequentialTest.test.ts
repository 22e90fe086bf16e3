import t from 'tap';
import {decideNextMove, moveSteps} from '../moves/moveSchedule.js';
import {
  addObservations,
  createRandomSource,
  estimateFailureRates,
  SequentialTest,
} from '@ryeworks/utils';

const rates = estimateFailureRates(1000, 5);

/** Counts the calls until a version that fails at a rate is found bad. */
function countUntilAlarm(failRate: number, seed: number, most: number): number {
  const random = createRandomSource(seed);
  const test: SequentialTest = {sum: 0};
  for (let calls = 1; calls <= most; calls++) {
    const bad = random.next() < failRate ? 1 : 0;
    if (addObservations(test, 1, bad, rates)) return calls;
  }
  return most + 1;
}

t.test('a version like the old one is not withdrawn', async t => {
  let alarms = 0;
  for (let seed = 1; seed <= 500; seed++) {
    if (countUntilAlarm(0.005, seed, 1600) <= 1600) alarms += 1;
  }
  t.ok(alarms <= 5, `${alarms} false alarms in 500 moves, at most 1 %`);
});

t.test(
  'a version that fails half of the time is found in few calls',
  async t => {
    for (let seed = 1; seed <= 100; seed++) {
      const calls = countUntilAlarm(0.5, seed, 100);
      t.ok(calls <= 40, `seed ${seed}: ${calls} calls`);
    }
  },
);

t.test('a move advances only with time and evidence', async t => {
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
  const at = (wallClockMs: number, observedInStep: number) =>
    decideNextMove(move, {wallClockMs, observedInStep, observeMs: 1000});
  t.equal(at(10_000, 500), undefined, 'too early');
  t.equal(at(30_000, 2), undefined, 'too little evidence');
  t.equal(at(30_000, 20)?.share, moveSteps[1].share);
  t.equal(at(100_001, 0)?.late, true, 'late is said, not forced');
});
