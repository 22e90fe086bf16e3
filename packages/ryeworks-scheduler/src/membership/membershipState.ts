import {rankByKey} from '@ryeworks/utils';
import {
  MemberStatus,
  memberStatus,
  MemberUpdate,
  Verdict,
} from '../peerMessage.js';
import {SchedulerOptions} from '../schedulerOptions.js';

/** One VM as this VM knows it. */
export interface Member {
  vm: string;
  availabilityZone: string;
  address: string;
  incarnation: number;
  status: MemberStatus;
  /** When the status last changed, in ms. */
  changedAtMs: number;
  /** Versions in force there, as it last said. */
  documents: Readonly<Record<string, number>>;
}

/** An update or verdict that is still to be passed on. */
export interface Rumor<T> {
  readonly content: T;
  /** Messages that will still carry it. */
  remaining: number;
}

/** What a VM knows of the other VMs. */
export interface MembershipState {
  readonly members: Map<string, Member>;
  readonly updates: Map<string, Rumor<MemberUpdate>>;
  readonly verdicts: Map<string, Rumor<Verdict>>;
  /** Probes without an answer, by sequence number. */
  readonly probes: Map<number, {vm: string; isIndirect: boolean}>;
  /** Probes made for others: own sequence to asker and its sequence. */
  readonly indirectProbes: Map<number, {requester: string; sequence: number}>;
  sequence: number;
  incarnation: number;
  lastProbeAtMs: number;
  isWatching: boolean;
}

/** Creates a membership table that holds this VM alone. */
export function createMembershipState(
  options: SchedulerOptions,
): MembershipState {
  const self: Member = {
    vm: options.vm,
    availabilityZone: options.availabilityZone,
    address: options.peerAddress,
    incarnation: options.initialIncarnation,
    status: memberStatus.alive,
    changedAtMs: 0,
    documents: {},
  };
  return {
    members: new Map([[self.vm, self]]),
    updates: new Map(),
    verdicts: new Map(),
    probes: new Map(),
    indirectProbes: new Map(),
    sequence: 0,
    incarnation: options.initialIncarnation,
    lastProbeAtMs: 0,
    isWatching: false,
  };
}

/** Statuses of members that take part in ownership. */
const ownerStatuses: ReadonlySet<MemberStatus> = new Set([
  memberStatus.alive,
  memberStatus.suspect,
]);

/** Lists the VMs of a zone that can own cells and keys. */
export function getOwnerCandidates(
  membership: MembershipState,
  availabilityZone?: string,
): string[] {
  const vms: string[] = [];
  for (const member of membership.members.values()) {
    if (!ownerStatuses.has(member.status)) continue;
    if (
      availabilityZone !== undefined &&
      member.availabilityZone !== availabilityZone
    ) {
      continue;
    }
    vms.push(member.vm);
  }
  return vms;
}

/** Ranks the VMs of a zone for a key; the first owns it. */
export function rankOwners(
  membership: MembershipState,
  key: string,
  availabilityZone?: string,
): string[] {
  return rankByKey(key, getOwnerCandidates(membership, availabilityZone));
}

/** Lists the zones in which some VM can be reached. */
export function getReachableZones(membership: MembershipState): Set<string> {
  const zones = new Set<string>();
  for (const member of membership.members.values()) {
    if (ownerStatuses.has(member.status)) zones.add(member.availabilityZone);
  }
  return zones;
}

/** Describes a member as an update. */
export function createMemberUpdate(member: Member): MemberUpdate {
  const {vm, availabilityZone, address, incarnation, status} = member;
  return {vm, availabilityZone, address, incarnation, status};
}
