import {ZoneStatus} from '@ryeworks/types';
import {Effect} from '../effect.js';
import {getWallClockMs, SchedulerState} from '../schedulerState.js';
import {rankOwners} from './membershipState.js';

/** Time between two status reports of a zone, in ms. */
const reportPeriodMs = 5000;

/** Creates the status of the VMs in this VM's zone. */
function createZoneStatus(state: SchedulerState, nowMs: number): ZoneStatus {
  const {documents, membership, options} = state;
  const {availabilityZone} = options;
  const vms: ZoneStatus['vms'][number][] = [];
  for (const member of membership.members.values()) {
    if (member.availabilityZone !== availabilityZone) continue;
    const isSelf = member.vm === options.vm;
    const versions = isSelf ? documents.versions : member.documents;
    const {vm, status} = member;
    vms.push({vm, status, documents: {...versions}});
  }
  const atMs = Math.round(getWallClockMs(state, nowMs));
  return {availabilityZone, atMs, vms};
}

/**
 * Reports the status of the zone to the platform. One VM of the zone writes it
 * for all its VMs.
 */
export function reportStatus(
  state: SchedulerState,
  _subject: string,
  nowMs: number,
): Effect[] {
  const {membership, options, timers} = state;
  timers.set('reportStatus', '', nowMs + reportPeriodMs);
  const [reporter] = rankOwners(membership, 'status', options.availabilityZone);
  if (reporter !== options.vm) return [];
  return [{kind: 'writeStatus', status: createZoneStatus(state, nowMs)}];
}
