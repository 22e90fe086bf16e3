import {DispatchState} from '../dispatchState.js';
import {EndpointEntry} from '../endpoints/endpointTable.js';
import {getAllowedPerSecond, RateLimit} from './rateLimit.js';

/** Returns whether this VM grants the permits of a limit. */
export function isLimitOwner(state: DispatchState, limit: RateLimit): boolean {
  return limit.owner === state.options.vm;
}

/** Returns the rate at which this VM may grant permits, per second. */
export function getPermitRate(
  state: DispatchState,
  limit: RateLimit,
  nowMs: number,
): number {
  return getAllowedPerSecond(limit, nowMs) * state.limitOwners.knownRatio;
}

/**
 * Returns whether a request of a rank may be sent to an endpoint now: the
 * endpoint has no limit, or there is a permit that no request that goes before
 * this one waits for.
 */
export function hasPermit(
  state: DispatchState,
  {limit}: EndpointEntry,
  rank: number,
  nowMs: number,
): boolean {
  if (limit === undefined || limit.heldPermits > 0) return true;
  if (!isLimitOwner(state, limit)) return false;
  const [first] = limit.pendingAsks;
  if (first !== undefined && first.rank <= rank) return false;
  const rate = getPermitRate(state, limit, nowMs);
  return limit.bucket.getAvailable(rate, nowMs) >= 1;
}

/** Uses up a permit for a call to an endpoint. */
export function consumePermit(
  state: DispatchState,
  {limit}: EndpointEntry,
  nowMs: number,
): void {
  if (limit === undefined) return;
  if (limit.heldPermits > 0) limit.heldPermits -= 1;
  else limit.bucket.acquire(getPermitRate(state, limit, nowMs), nowMs);
}
