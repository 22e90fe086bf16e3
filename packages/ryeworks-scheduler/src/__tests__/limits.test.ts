import t from 'tap';
import {handleDocumentRead} from '../documents/handleDocuments.js';
import {handleLimitReport, handleLimitShares} from '../limits/handleLimits.js';
import {getFallbackShare, acquireLimit} from '../limits/acquireLimit.js';
import {createNodeState, NodeState} from '../nodeState.js';
import {createTestOptions} from './testOptions.js';

const limits = {
  requestsPerSecond: 100,
  tokensPerSecond: 10_000,
  concurrency: 50,
};

/** Creates a VM that knows one customer. */
function createVm(): NodeState {
  const state = createNodeState(createTestOptions('vm-a'), 0);
  const plans = [{plan: 'p', limits}];
  const customers = [{customer: 'c', plan: 'p', keyHashes: []}];
  const contentJson = JSON.stringify({plans, customers});
  const read = {kind: 'documentRead', name: 'plans', version: 1} as const;
  handleDocumentRead(state, {...read, contentJson}, 0);
  return state;
}

t.test('requests within the limit are taken, more are refused', async t => {
  const state = createVm();
  let taken = 0;
  for (let index = 0; index < 300; index++) {
    const nowMs = index * 10;
    if (acquireLimit(state, 'c', 1, 1, nowMs).isAllowed) taken += 1;
    state.limits.usage.get('c')!.concurrency.clear();
  }
  t.ok(taken <= 400, `${taken} in 3 s at 100 a second and a burst of 1 s`);
  t.ok(taken >= 297, `${taken} taken`);
});

t.test('lower tiers of a customer do not use up its highest', async t => {
  const state = createVm();
  for (let index = 0; index < 200; index++) acquireLimit(state, 'c', 3, 1, 0);
  const lower = acquireLimit(state, 'c', 3, 1, 0);
  t.equal(lower.isAllowed, false);
  t.equal(acquireLimit(state, 'c', 1, 1, 0).isAllowed, true);
});

t.test('a refusal says when to come back', async t => {
  const state = createVm();
  for (let index = 0; index < 200; index++) {
    acquireLimit(state, 'c', 1, 1, 0);
    state.limits.usage.get('c')!.concurrency.clear();
  }
  const refused = acquireLimit(state, 'c', 1, 1, 0);
  t.match(refused, {isTaken: false, limit: 'requests'});
  if (refused.isAllowed) return;
  t.equal(acquireLimit(state, 'c', 1, 1, refused.retryAfterMs).isAllowed, true);
});

t.test('shares of all VMs sum to the limit and follow the demand', async t => {
  const home = createVm();
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
      const [answer] = handleLimitReport(home, vm, report, round * 1000);
      if (answer.kind !== 'sendPeer') continue;
      const {message} = answer;
      if (message.kind !== 'limitShares') continue;
      shares.set(vm, message.shares[0].share);
    }
  }
  const sum = [...shares.values()].reduce((total, one) => total + one, 0);
  t.ok(Math.abs(sum - 1) < 0.001, `sum ${sum}`);
  t.ok(shares.get('vm-a')! > 0.8);
  t.ok(shares.get('vm-c')! > 0.02);
});

t.test(
  'a share that grows does not refuse a customer below its limit',
  async t => {
    const state = createVm();
    const give = (share: number, nowMs: number) =>
      handleLimitShares(
        state,
        'h',
        {kind: 'limitShares', shares: [{customer: 'c', share}]},
        nowMs,
      );
    t.equal(acquireLimit(state, 'c', 2, 1, 0).isAllowed, true);
    give(0.1, 10);
    t.equal(acquireLimit(state, 'c', 2, 1, 10).isAllowed, true);
    give(0.9, 20);
    t.equal(acquireLimit(state, 'c', 2, 1, 20).isAllowed, true);
  },
);

t.test('a share lapses to an even one when its home is silent', async t => {
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
