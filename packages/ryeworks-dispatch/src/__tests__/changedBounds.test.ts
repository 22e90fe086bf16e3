import t from 'tap';
import {DispatchBounds, getBounds} from '../index.js';
import {createState, runInput} from './fixtures.js';

/** Bounds of which each differs from those of the test deployment. */
const changed: DispatchBounds = {
  retryBounds: {ratio: 0.4, windowMs: 5000, allowance: 7},
  limitBounds: {windowMs: 4000, overrunRatio: 0.2, allowance: 9},
  drainMs: 700,
  trialRatio: 0.3,
  trialAllowance: 11,
  coldBounds: {overrun: 2, allowance: 6},
  hedgeRatio: 0.05,
};

// Guards against a bound that keeps its value of the start when settings change.
t.test('decisions use the changed bounds', async t => {
  const state = createState();
  const before = getBounds(state.options);
  runInput(state, {kind: 'boundsChanged', bounds: changed}, 10);
  const after = getBounds(state.options);
  t.strictSame(after, changed);
  for (const name of Object.keys(before) as Array<keyof DispatchBounds>) {
    t.notSame(after[name], before[name], name);
  }
});
