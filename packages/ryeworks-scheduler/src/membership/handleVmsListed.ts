import {Effect} from '../effect.js';
import {VmsListed} from '../input.js';
import {SchedulerState} from '../schedulerState.js';
import {probeAddress} from './probeMember.js';

/**
 * Probes the VMs of the platform's list that are not in the member table. The
 * list may be out of date, so a VM becomes a member when it answers.
 */
export function handleVmsListed(
  state: SchedulerState,
  input: VmsListed,
  nowMs: number,
): Effect[] {
  const effects: Effect[] = [];
  for (const {vm, peerAddress} of input.vms) {
    if (state.membership.members.has(vm)) continue;
    effects.push(...probeAddress(state, peerAddress, nowMs));
  }
  return effects;
}
