import {Effect} from '../effect.js';
import {VmsListed} from '../input.js';
import {NodeState} from '../nodeState.js';
import {sendProbe} from './probeMember.js';

/**
 * Probes the VMs of the platform's list that are not known yet. The list lags,
 * so it only seeds: a VM becomes a member when it answers.
 */
export function handleVmsListed(
  state: NodeState,
  input: VmsListed,
  nowMs: number,
): Effect[] {
  const effects: Effect[] = [];
  for (const record of input.vms) {
    if (state.membership.members.has(record.vm)) continue;
    const target = {
      vm: record.vm,
      availabilityZone: record.availabilityZone,
      address: record.peerAddress,
      incarnation: 0,
      status: 'alive' as const,
      changedAtMs: nowMs,
    };
    const [probe] = sendProbe(state, target, nowMs, true);
    if (probe.kind !== 'sendPeer') continue;
    effects.push({...probe, address: record.peerAddress});
  }
  return effects;
}
