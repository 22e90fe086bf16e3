import {rankByKey} from '@ryeworks/utils';
import {
  MemberStatus,
  memberStatus,
  MemberUpdate,
  Verdict,
} from '../peerMessage.js';
import {SchedulerOptions} from '../schedulerOptions.js';

/** Entry of the member table. */
export interface Member {
  vm: string;
  availabilityZone: string;
  address: string;
  incarnation: number;
  status: MemberStatus;
  /** When the status last changed, in ms. */
  changedAtMs: number;
  /** Document versions that the member has applied, as last reported by it. */
  documents: Readonly<Record<string, number>>;
}

/** An update or verdict that is still being spread by gossip. */
export interface Rumor<T> {
  readonly content: T;
  /** Number of messages that are still to carry it. */
  remaining: number;
}

/** The member table and the state of probes and gossip. */
export interface MembershipState {
  readonly members: Map<string, Member>;
  /** Member updates that are still being spread, by VM. */
  readonly updates: Map<string, Rumor<MemberUpdate>>;
  /** Verdicts that are still being spread, by move. */
  readonly verdicts: Map<string, Rumor<Verdict>>;
  /**
   * Probes without an answer, by sequence number. `isIndirect` is true once
   * other members have been asked to probe the VM.
   */
  readonly probes: Map<number, {vm: string; isIndirect: boolean}>;
  /**
   * Probes sent on behalf of other members, by this VM's sequence number, with
   * the requester and its sequence number.
   */
  readonly indirectProbes: Map<number, {requester: string; sequence: number}>;
  /** Sequence number of the last ping that was sent. */
  sequence: number;
  /** Current incarnation of this VM. */
  incarnation: number;
  /**
   * When this VM last started a periodic probe or detected a pause, in ms; 0
   * before the first probe.
   */
  lastProbeAtMs: number;
  /** Whether this VM watches the platform on behalf of its zone. */
  isWatching: boolean;
}

/** Creates the state of a VM that has no other members yet. */
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

/** Statuses of members that can own cells and keys. */
const ownerStatuses: ReadonlySet<MemberStatus> = new Set([
  memberStatus.alive,
  memberStatus.suspect,
]);

/** Returns the VMs that can own cells and keys, in one zone or in all zones. */
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

/** Ranks the VMs of one zone or of all zones for a key; the first owns it. */
export function rankOwners(
  membership: MembershipState,
  key: string,
  availabilityZone?: string,
): string[] {
  return rankByKey(key, getOwnerCandidates(membership, availabilityZone));
}

/** Returns the zones in which at least one VM is reachable. */
export function getReachableZones(membership: MembershipState): Set<string> {
  const zones = new Set<string>();
  for (const member of membership.members.values()) {
    if (ownerStatuses.has(member.status)) zones.add(member.availabilityZone);
  }
  return zones;
}

/** Creates an update with the status of a member. */
export function createMemberUpdate(member: Member): MemberUpdate {
  const {vm, availabilityZone, address, incarnation, status} = member;
  return {vm, availabilityZone, address, incarnation, status};
}
