import {CustomerLimit} from '../desired/desiredState.js';

/** Part of the tolerated overrun that is handed out; the rest covers lags. */
const usedTolerance = 0.5;
/** Part of the tolerated overrun that VMs may hand out at their start. */
const startTolerance = 0.25;

/** How the limits of customers are held against their use. */
export interface LimitBounds {
  /** Length of the window over which use is judged, in ms. */
  readonly windowMs: number;
  /** Use beyond a limit that is tolerated, as a part of the limit. */
  readonly overrunRatio: number;
  /** Units beyond a limit that are tolerated in each window. */
  readonly allowance: number;
}

/** How much of a customer's limit this VM may hand out now. */
export interface LimitShare {
  readonly bounds: LimitBounds;
  /** Other VMs whose use is known here. */
  readonly knownPeers: number;
  /** All VMs, this one included. */
  readonly vmCount: number;
}

/**
 * What is left of one customer's limit, for this VM and those whose use it
 * knows. Other VMs are left an even part of the rate and of the burst, so that
 * all sides of a partition together stay within the limit.
 */
export interface CustomerBucket {
  /** Units that may be used now; below 0 after uses of other VMs. */
  level: number;
  refilledAtMs: number;
  /** Part of all VMs whose use is known here, 0 to 1. */
  knownPart: number;
  /** Units that this VM has taken since it started. */
  taken: number;
  /** Of these, units that the other VMs have been told of. */
  reported: number;
}

/** Buckets by customer. */
export type CustomerBuckets = Map<string, CustomerBucket>;

/** Returns the overrun of a limit that is tolerated in one window. */
function getTolerated(limit: CustomerLimit, bounds: LimitBounds): number {
  const steady = (limit.unitsPerSecond * bounds.windowMs) / 1000;
  return (steady + limit.burstUnits) * bounds.overrunRatio + bounds.allowance;
}

/**
 * Returns the rate at which a limit is handed out, in units a ms: a little over
 * the stated one, as far as is tolerated, since no two VMs know all at once.
 */
function getRatePerMs(limit: CustomerLimit, bounds: LimitBounds): number {
  const extra = getTolerated(limit, bounds) * usedTolerance;
  return limit.unitsPerSecond / 1000 + extra / bounds.windowMs;
}

/** Returns the part of all VMs whose use is known here. */
function getKnownPart(share: LimitShare): number {
  return (share.knownPeers + 1) / share.vmCount;
}

/**
 * Returns the bucket of a customer. A new one has no burst: what this VM let
 * through before a restart is not known.
 */
export function getBucket(
  buckets: CustomerBuckets,
  customer: string,
  limit: CustomerLimit,
  share: LimitShare,
  nowMs: number,
): CustomerBucket {
  const known = buckets.get(customer);
  if (known !== undefined) return known;
  const knownPart = getKnownPart(share);
  const tolerated = getTolerated(limit, share.bounds);
  const bucket = {
    level: tolerated * startTolerance * knownPart,
    refilledAtMs: nowMs,
    knownPart,
    taken: 0,
    reported: 0,
  };
  buckets.set(customer, bucket);
  return bucket;
}

/** Adds what the passed time has brought. */
function refillBucket(
  bucket: CustomerBucket,
  limit: CustomerLimit,
  share: LimitShare,
  nowMs: number,
): void {
  const knownPart = getKnownPart(share);
  // A VM that falls silent takes its part along; one that returns is not
  // taken to have left any.
  if (knownPart < bucket.knownPart) {
    bucket.level *= knownPart / bucket.knownPart;
  }
  bucket.knownPart = knownPart;
  const elapsedMs = nowMs - bucket.refilledAtMs;
  bucket.refilledAtMs = nowMs;
  const gained = elapsedMs * getRatePerMs(limit, share.bounds) * knownPart;
  const most = limit.burstUnits * knownPart;
  // A smaller part does not take back what was there.
  bucket.level = Math.min(Math.max(most, bucket.level), bucket.level + gained);
}

/**
 * Takes units of a customer's limit. Returns 0, or the time after which there
 * will be room, in ms. The last request may pass the limit, so that large ones
 * are not left behind small ones.
 */
export function takeUnits(
  buckets: CustomerBuckets,
  customer: string,
  limit: CustomerLimit,
  units: number,
  share: LimitShare,
  nowMs: number,
): number {
  const bucket = getBucket(buckets, customer, limit, share, nowMs);
  refillBucket(bucket, limit, share, nowMs);
  // Each peer is taken to have used as much as this VM since their last news.
  const unheard = (bucket.taken - bucket.reported) * share.knownPeers;
  const left = bucket.level - unheard;
  if (left <= 0) {
    const perMs = getRatePerMs(limit, share.bounds) * bucket.knownPart;
    return Math.max(1, (units - left) / perMs);
  }
  bucket.level -= units;
  bucket.taken += units;
  return 0;
}

/** Gives back the units of a request that did not run. */
export function returnUnits(
  buckets: CustomerBuckets,
  customer: string,
  units: number,
): void {
  const bucket = buckets.get(customer);
  if (bucket === undefined) return;
  bucket.level += units;
  bucket.taken -= units;
}

/** Counts the use of another VM. */
export function applyPeerUse(
  buckets: CustomerBuckets,
  customer: string,
  units: number,
): void {
  const bucket = buckets.get(customer);
  if (bucket !== undefined) bucket.level -= units;
}
