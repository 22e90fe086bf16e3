import t from 'tap';
import {FairQueue, maxFairEntries} from '../admission/fairQueue.js';
import {getRoomPerSecond, SharedFleet} from './sharedFleet.js';
import {checkShares, countRoom, endMs, load} from './unevenLoad.js';

// Guards against a customer far above its usual load that fills the queue of its
// tier, so that the others wait behind it and are refused.
t.test('a heavy customer does not displace others at one VM', async t => {
  checkShares(t, 1, 4);
});

// Guards against a share that is kept from a customer although no other one uses
// the rest.
t.test('a customer alone uses all the room', async t => {
  const perSecond = load * getRoomPerSecond(8);
  const vms = [0, 1, 2, 3, 4, 5, 6, 7];
  const fleet = new SharedFleet(8, 8, [{name: 'alone', perSecond, vms}], 29);
  fleet.runUntil(endMs);
  const room = countRoom(8);
  const {served} = fleet.results.get('alone')!;
  t.ok(served >= 0.95 * room, `${served} of ${room} served`);
});

// Guards against memory that grows with the number of customers ever seen.
t.test('the state is bounded, and dropped when idle', async t => {
  const fairQueue = new FairQueue();
  for (let number = 0; number < 3 * maxFairEntries; number++) {
    const rank = number % 3;
    fairQueue.addRequest({rank, customer: `customer-${number}`, cost: 1});
  }
  t.equal(fairQueue.size, maxFairEntries);
  fairQueue.recordDispatch(0, 1);
  fairQueue.dropIdle(() => true);
  t.ok(fairQueue.size < maxFairEntries, 'passed entries are dropped');
  fairQueue.dropIdle(() => false);
  t.equal(fairQueue.size, 0);
});

// Guards against a retried request that goes behind later ones because the state
// was dropped in the meantime.
t.test('the virtual time does not go back', async t => {
  const fairQueue = new FairQueue();
  const request = {rank: 0, customer: 'clinic', cost: 5};
  const first = fairQueue.addRequest(request);
  const second = fairQueue.addRequest(request);
  fairQueue.recordDispatch(0, second);
  fairQueue.dropIdle(() => false);
  t.ok(first < second);
  t.ok(fairQueue.addRequest(request) > second);
});
