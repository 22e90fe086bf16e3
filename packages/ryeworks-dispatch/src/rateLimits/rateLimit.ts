import {LimitReport} from '../peers/peerMessage.js';
import {PermitBucket} from './permitBucket.js';
import {ReturnSchedule} from './returnSchedule.js';

/** Lowest rate that is assumed: its calls find out when a limit is lifted. */
const minPerSecond = 0.1;
/** Time in which the rate doubles after a limit was lifted, in ms. */
const rampDoublingMs = 1000;
/** Time from the end of a limit until the endpoint is called without one, in ms. */
export const rampMs = 5000;

/** A request that waits for a permit of this VM. */
export interface PendingAsk {
  readonly vm: string;
  /** `host:port` of that VM. */
  readonly address: string;
  readonly requestId: string;
  readonly rank: number;
  /** When the request no longer waits, in ms. */
  readonly expiresAtMs: number;
}

/** The rate limit that an endpoint has named, or that it has while it is cold. */
export interface RateLimit {
  /**
   * Requests per second from all VMs together, as last named; Infinity if it has
   * named none and is only cold.
   */
  perSecond: number;
  /** When an answer to any VM last stated it, in ms. */
  observedAtMs: number;
  /** When an answer to this VM last stated it, in ms; -Infinity if none did. */
  ownObservedAtMs: number;
  /** When an answer or a peer last confirmed it, in ms. */
  confirmedAtMs: number;
  /** When it or its owner last changed, in ms. */
  changedAtMs: number;
  /** When this VM last reported it to its peers, in ms. */
  reportedAtMs: number;
  /** What its owner has last reported; undefined if nothing yet. */
  ownerReport: LimitReport | undefined;
  /** When it was lifted, in ms; undefined while it applies. */
  liftedAtMs: number | undefined;
  /** Requests per second from all VMs together while it is cold. */
  coldPerSecond: number;
  /** End of its cold period, in ms; -Infinity if it has none. */
  coldUntilMs: number;
  /** Name of the VM that grants the permits. */
  owner: string;
  /** Permits that this VM can grant while it is the owner. */
  readonly bucket: PermitBucket;
  /** Requests that wait for a permit of this VM, most urgent first. */
  pendingAsks: PendingAsk[];
  /** Callers that this VM has told when to come back. */
  readonly returns: ReturnSchedule;
  /** Permits granted to this VM by the owner that it has yet to use. */
  heldPermits: number;
}

/** Creates the state of a limit that was just learned of. */
export function createRateLimit(
  perSecond: number,
  observedAtMs: number,
  owner: string,
  nowMs: number,
): RateLimit {
  return {
    perSecond,
    observedAtMs,
    ownObservedAtMs: Number.NEGATIVE_INFINITY,
    confirmedAtMs: nowMs,
    changedAtMs: nowMs,
    reportedAtMs: Number.NEGATIVE_INFINITY,
    ownerReport: undefined,
    liftedAtMs: undefined,
    coldPerSecond: Number.POSITIVE_INFINITY,
    coldUntilMs: Number.NEGATIVE_INFINITY,
    owner,
    bucket: new PermitBucket(nowMs),
    pendingAsks: [],
    returns: new ReturnSchedule(),
    heldPermits: 0,
  };
}

/** Returns whether the endpoint has named the limit. */
export function isNamed({perSecond}: RateLimit): boolean {
  return Number.isFinite(perSecond);
}

/** Returns whether the endpoint is cold. */
export function isCold({coldUntilMs}: RateLimit, nowMs: number): boolean {
  return nowMs < coldUntilMs;
}

/** Returns a rate that has risen since a limit ended. */
function getRisenRate(
  perSecond: number,
  endedAtMs: number,
  nowMs: number,
): number {
  const elapsedMs = Math.max(0, nowMs - endedAtMs);
  return perSecond * 2 ** (elapsedMs / rampDoublingMs);
}

/**
 * Returns the requests per second that all VMs together may send now: the lower of
 * the named limit and that of a cold endpoint. After the end of either, its rate
 * rises step by step, so that the VMs do not all rush to an endpoint that has just
 * recovered.
 */
export function getAllowedPerSecond(limit: RateLimit, nowMs: number): number {
  const {coldPerSecond, coldUntilMs, liftedAtMs} = limit;
  const named = Math.max(minPerSecond, limit.perSecond);
  const risenNamed =
    liftedAtMs === undefined ? named : getRisenRate(named, liftedAtMs, nowMs);
  if (isColdOver(limit, nowMs)) return risenNamed;
  return Math.min(risenNamed, getRisenRate(coldPerSecond, coldUntilMs, nowMs));
}

/** Returns whether no cold period limits the endpoint any more. */
export function isColdOver({coldUntilMs}: RateLimit, nowMs: number): boolean {
  return nowMs - coldUntilMs >= rampMs;
}

/** Returns whether the named limit, if any, no longer applies at all. */
export function isNamedOver(limit: RateLimit, nowMs: number): boolean {
  const {liftedAtMs} = limit;
  if (!isNamed(limit)) return true;
  return liftedAtMs !== undefined && nowMs - liftedAtMs >= rampMs;
}
