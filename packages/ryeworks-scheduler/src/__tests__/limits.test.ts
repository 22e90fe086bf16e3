import t from 'tap';
import {handleDocumentRead} from '../documents/handleDocuments.js';
import {handleLimitReport, handleLimitShares} from '../limits/handleLimits.js';
import {getFallbackShare, acquireLimit} from '../limits/acquireLimit.js';
import {createSchedulerState, SchedulerState} from '../schedulerState.js';
import {createTestOptions} from './testOptions.js';

const limits = {
  requestsPerSecond: 100,
  tokensPerSecond: 10_000,
  concurrency: 50,
};

/** Creates the state of a VM with one customer. */
function createVm(): SchedulerState {
  const state = createSchedulerState(createTestOptions('vm-a'), 0);
  const plans = [{plan: 'p', limits}];
  const customers = [{customer: 'c', plan: 'p', keyHashes: []}];
  const contentJson = JSON.stringify({plans, customers});
  const read = {kind: 'documentRead', name: 'plans', version: 1} as const;
  handleDocumentRead(state, {...read, contentJson}, 0);
  return state;
}

t.test('requests are allowed up to the limit and refused above it', async t => {
  const state = createVm();
  let allowed = 0;
  for (let index = 0; index < 300; index++) {
    const nowMs = index * 10;
    if (acquireLimit(state, 'c', 1, 1, nowMs).isAllowed) allowed += 1;
    state.limits.usage.get('c')!.concurrency.clear();
  }
  t.ok(
    allowed <= 400,
    `${allowed} in 3 s at 100 per second with a burst of 1 s`,
  );
  t.ok(allowed >= 297, `${allowed} allowed`);
});

t.test('lower tiers of a customer leave allowance for its highest', async t => {
  const state = createVm();
  for (let index = 0; index < 200; index++) acquireLimit(state, 'c', 3, 1, 0);
  const lowerTier = acquireLimit(state, 'c', 3, 1, 0);
  t.equal(lowerTier.isAllowed, false);
  t.equal(acquireLimit(state, 'c', 1, 1, 0).isAllowed, true);
});

t.test('a refused request is allowed after the given retry time', async t => {
  const state = createVm();
  for (let index = 0; index < 200; index++) {
    acquireLimit(state, 'c', 1, 1, 0);
    state.limits.usage.get('c')!.concurrency.clear();
  }
  const refused = acquireLimit(state, 'c', 1, 1, 0);
  t.match(refused, {isAllowed: false, limit: 'requests'});
  if (refused.isAllowed) return;
  t.equal(acquireLimit(state, 'c', 1, 1, refused.retryAfterMs).isAllowed, true);
});

t.test('the shares of all VMs sum to 1 and follow the demand', async t => {
  const owner = createVm();
  const shares = new Map<string, number>();
  const demands = new Map([
    ['vm-a', 900],
    ['vm-b', 100],
    ['vm-c', 0],
  ]);
  for (const round of [1, 2]) {
    for (const [vm, tokensPerSecond] of demands) {
      const demand = {customer: 'c', requestsPerSecond: 1, concurrency: 0};
      const report = {
        kind: 'limitReport' as const,
        demands: [{...demand, tokensPerSecond}],
      };
      const [answer] = handleLimitReport(owner, vm, report, round * 1000);
      if (answer.kind !== 'sendPeer') continue;
      const {message} = answer;
      if (message.kind !== 'limitShares') continue;
      shares.set(vm, message.shares[0].share);
    }
  }
  const sum = [...shares.values()].reduce((total, share) => total + share, 0);
  t.ok(Math.abs(sum - 1) < 0.001, `sum ${sum}`);
  t.ok(shares.get('vm-a')! > 0.8);
  t.ok(shares.get('vm-c')! > 0.02);
});

t.test(
  'a customer below its limit is not refused after its share grows',
  async t => {
    const state = createVm();
    const applyShare = (share: number, nowMs: number) =>
      handleLimitShares(
        state,
        'h',
        {kind: 'limitShares', shares: [{customer: 'c', share}]},
        nowMs,
      );
    t.equal(acquireLimit(state, 'c', 2, 1, 0).isAllowed, true);
    applyShare(0.1, 10);
    t.equal(acquireLimit(state, 'c', 2, 1, 10).isAllowed, true);
    applyShare(0.9, 20);
    t.equal(acquireLimit(state, 'c', 2, 1, 20).isAllowed, true);
  },
);

t.test('a share that is not renewed falls back to an even share', async t => {
  const state = createVm();
  acquireLimit(state, 'c', 1, 1, 0);
  const given = {kind: 'limitShares' as const};
  handleLimitShares(
    state,
    'h',
    {...given, shares: [{customer: 'c', share: 0.9}]},
    0,
  );
  t.equal(state.limits.usage.get('c')!.share, 0.9);
  acquireLimit(state, 'c', 1, 1, 60_000);
  t.equal(state.limits.usage.get('c')!.share, getFallbackShare(state));
});
