import {rankByKey} from '@ryeworks/utils';
import {DispatchState} from '../dispatchState.js';
import {Endpoint} from '../endpoints/endpoint.js';
import {getDigestPeriodMs} from '../peers/relayDigests.js';
import {LimitOwners} from './limitOwnersState.js';

/**
 * Age of a VM's last digest above which it owns no limits: a number of digest
 * periods, and at least this time in ms.
 */
const maxAgePeriods = 3;
const minMaxAgeMs = 1000;

/**
 * Determines the VMs that can own limits: those that this VM hears from and that
 * run a build with limits.
 */
export function createLimitOwners(
  state: DispatchState,
  nowMs: number,
): LimitOwners {
  const {availabilityZone, vm} = state.options;
  const maxAgeMs = Math.max(
    minMaxAgeMs,
    maxAgePeriods * getDigestPeriodMs(state),
  );
  const all = [vm];
  const byZone = new Map([[availabilityZone, [vm]]]);
  for (const peer of state.peers.byVm.values()) {
    if (nowMs - peer.digestReceivedAtMs > maxAgeMs) continue;
    if (!peer.knowsLimits) continue;
    all.push(peer.vm);
    const inZone = byZone.get(peer.availabilityZone) ?? [];
    inZone.push(peer.vm);
    byZone.set(peer.availabilityZone, inZone);
  }
  const knownRatio = all.length / (state.peers.byVm.size + 1);
  return {all, byZone, knownRatio};
}

/**
 * Finds the owner of an endpoint's limit by rendezvous hashing over the VMs of
 * the endpoint's zone, because a VM there reaches the endpoint whenever any VM
 * does; over all VMs if none of its zone is known.
 */
export function findLimitOwner(
  {all, byZone}: LimitOwners,
  {availabilityZone, id}: Endpoint,
): string {
  const [owner] = rankByKey(id, byZone.get(availabilityZone) ?? all);
  return owner;
}

/** Returns whether the same VMs can own limits as before. */
export function hasSameVms(a: LimitOwners, b: LimitOwners): boolean {
  if (a.all.length !== b.all.length) return false;
  return a.all.every((vm, index) => vm === b.all[index]);
}
