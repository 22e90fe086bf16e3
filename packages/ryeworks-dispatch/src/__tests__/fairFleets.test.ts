import t from 'tap';
import {checkShares} from './unevenLoad.js';

const fleets = [
  {vms: 8, endpoints: 8},
  {vms: 28, endpoints: 20},
  {vms: 91, endpoints: 63},
] as const;

for (const {endpoints, vms} of fleets) {
  // Guards against a customer far above its usual load whose requests at some VMs
  // take the slots from customers at others.
  t.test(`a heavy customer does not displace others: ${vms} VMs`, async t => {
    checkShares(t, vms, endpoints);
  });
}
