import {admitWaiting} from '../admission/admitWaiting.js';
import {DispatchState} from '../dispatchState.js';
import {createLog, Effect} from '../effect.js';
import {EndpointEntry} from '../endpoints/endpointTable.js';
import {applyLift} from './applyLimit.js';
import {createLimitOwners, findLimitOwner, hasSameVms} from './limitOwners.js';
import {isLimitOwner} from './permits.js';
import {isCold, isColdOver, isNamedOver, RateLimit} from './rateLimit.js';
import {getTakeoverEndMs, reportWarmUpEnd, updateWarmUp} from './warmUp.js';

/**
 * Time after which a limit that nobody confirms is taken as lifted, in ms. Its
 * owner confirms it with each digest.
 */
const unconfirmedMs = 15_000;

/** Passes the ownership of a limit on to another VM. */
function setLimitOwner(
  state: DispatchState,
  {endpoint}: EndpointEntry,
  limit: RateLimit,
  owner: string,
  nowMs: number,
): Effect[] {
  if (limit.owner === owner) return [];
  const previousOwner = limit.owner;
  limit.owner = owner;
  limit.changedAtMs = nowMs;
  limit.ownerReport = undefined;
  limit.pendingAsks = [];
  const fromMs = isCold(limit, nowMs) ? getTakeoverEndMs(state, nowMs) : nowMs;
  limit.bucket.clear(fromMs);
  const {knownRatio} = state.limitOwners;
  const fields = {endpoint: endpoint.id, owner, previousOwner, knownRatio};
  return [createLog('rate_limit_owner_changed', fields)];
}

/** Ends the cold period of an endpoint, and the rise of its rate after that. */
function endWarmUp(
  entry: EndpointEntry,
  limit: RateLimit,
  nowMs: number,
): Effect[] {
  const hasWarmUp = Number.isFinite(limit.coldUntilMs);
  if (!hasWarmUp || !isColdOver(limit, nowMs)) return [];
  limit.coldUntilMs = Number.NEGATIVE_INFINITY;
  limit.bucket.endCold();
  return reportWarmUpEnd(entry, limit);
}

/** Updates one limit. */
function updateRateLimit(
  state: DispatchState,
  entry: EndpointEntry,
  limit: RateLimit,
  areOwnersChanged: boolean,
  nowMs: number,
): Effect[] {
  const effects = updateWarmUp(state, entry, nowMs);
  effects.push(...endWarmUp(entry, limit, nowMs));
  if (isNamedOver(limit, nowMs)) {
    limit.perSecond = Number.POSITIVE_INFINITY;
    limit.liftedAtMs = undefined;
    if (isColdOver(limit, nowMs)) {
      entry.limit = undefined;
      state.limitedEndpoints.delete(entry.endpoint.id);
      effects.push(...admitWaiting(state, entry.endpoint.service, nowMs));
      return effects;
    }
  }
  if (areOwnersChanged) {
    const owner = findLimitOwner(state.limitOwners, entry.endpoint);
    effects.push(...setLimitOwner(state, entry, limit, owner, nowMs));
  }
  const isUnconfirmed = nowMs - limit.confirmedAtMs > unconfirmedMs;
  if (isUnconfirmed && !isLimitOwner(state, limit)) {
    const {observedAtMs} = limit;
    const observation = {observedAtMs, source: 'unconfirmed'};
    effects.push(...applyLift(entry, observation, nowMs));
  }
  return effects;
}

/**
 * Updates the owners of all limits, and ends limits that were lifted or that
 * nobody confirms.
 */
export function updateRateLimits(
  state: DispatchState,
  nowMs: number,
): Effect[] {
  if (state.limitedEndpoints.size === 0) return [];
  const owners = createLimitOwners(state, nowMs);
  const areOwnersChanged = !hasSameVms(owners, state.limitOwners);
  state.limitOwners = owners;
  const effects: Effect[] = [];
  for (const id of [...state.limitedEndpoints]) {
    const entry = state.endpoints.byId.get(id);
    // The endpoint was removed, or it was restarted and names no limit now.
    if (entry?.limit === undefined) {
      state.limitedEndpoints.delete(id);
      continue;
    }
    const {limit} = entry;
    effects.push(
      ...updateRateLimit(state, entry, limit, areOwnersChanged, nowMs),
    );
  }
  return effects;
}
