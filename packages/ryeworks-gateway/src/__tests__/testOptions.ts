import {DispatchOptions} from '@ryeworks/dispatch';

/** Options of the dispatch core of a VM without peers. */
export const testOptions: DispatchOptions = {
  vm: 'vm-1',
  peerAddress: '127.0.0.1:1',
  availabilityZone: 'a',
  incarnation: 1,
  seed: 1,
  relayCapacity: 1,
  retryBounds: {ratio: 0.2, windowMs: 10_000, allowance: 50},
  limitBounds: {windowMs: 8000, overrunRatio: 0.1, allowance: 1000},
  drainMs: 2000,
  trialRatio: 0.1,
  trialAllowance: 50,
  hedgeRatio: 0,
};
