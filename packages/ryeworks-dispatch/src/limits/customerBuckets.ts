import {CustomerLimit} from '../desired/desiredState.js';

/** Longest time between two refills that counts, in ms. */
const longestRefillMs = 60_000;

/** What is left of one customer's limit, as this VM knows it. */
export interface CustomerBucket {
  /** Units that may be used now; below 0 after uses of other VMs. */
  level: number;
  refilledAtMs: number;
  /** Units that this VM has taken since it started. */
  taken: number;
}

/** Buckets by customer. */
export type CustomerBuckets = Map<string, CustomerBucket>;

/**
 * Returns the bucket of a customer. A new one is empty: what other VMs, or this
 * one before a restart, let through lately is not known here.
 */
function getBucket(
  buckets: CustomerBuckets,
  customer: string,
  nowMs: number,
): CustomerBucket {
  const known = buckets.get(customer);
  if (known !== undefined) return known;
  const bucket = {level: 0, refilledAtMs: nowMs, taken: 0};
  buckets.set(customer, bucket);
  return bucket;
}

/**
 * Adds what the passed time has brought. VMs whose use is not known are taken
 * to use their even share, so that the VMs on both sides of a partition
 * together stay within the limit.
 *
 * @param knownShare part of all VMs whose use is known here, 0 to 1
 */
export function refillBucket(
  buckets: CustomerBuckets,
  customer: string,
  limit: CustomerLimit,
  knownShare: number,
  nowMs: number,
): CustomerBucket {
  const bucket = getBucket(buckets, customer, nowMs);
  const elapsedMs = Math.min(longestRefillMs, nowMs - bucket.refilledAtMs);
  bucket.refilledAtMs = nowMs;
  const gained = (elapsedMs / 1000) * limit.unitsPerSecond * knownShare;
  bucket.level = Math.min(limit.burstUnits, bucket.level + gained);
  return bucket;
}

/**
 * Takes units out of a bucket; returns false when it is used up. The last
 * request may take it below zero, so that large requests are not left behind
 * small ones.
 */
export function takeUnits(bucket: CustomerBucket, units: number): boolean {
  if (bucket.level <= 0) return false;
  bucket.level -= units;
  bucket.taken += units;
  return true;
}

/** Gives back the units of a request that did not run. */
export function returnUnits(bucket: CustomerBucket, units: number): void {
  bucket.level += units;
  bucket.taken -= units;
}

/** Takes the use of another VM out of a customer's bucket. */
export function applyPeerUse(
  buckets: CustomerBuckets,
  customer: string,
  units: number,
  nowMs: number,
): void {
  getBucket(buckets, customer, nowMs).level -= units;
}
