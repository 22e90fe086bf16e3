import {DispatchState} from '../dispatchState.js';
import {createLog, Effect} from '../effect.js';
import {EndpointEntry} from '../endpoints/endpointTable.js';
import {createLimitOwners, findLimitOwner} from './limitOwners.js';
import {createRateLimit, isNamed} from './rateLimit.js';

/** When and how a limit was observed. */
export interface LimitObservation {
  /** When the endpoint's answer arrived, in ms. */
  readonly observedAtMs: number;
  /** Attempt id of the answered request, or the VM that reported it. */
  readonly source: string;
}

/**
 * Adds the limit of an endpoint that had none.
 *
 * @param perSecond Infinity if the endpoint has named none and is only cold
 */
export function addLimit(
  state: DispatchState,
  entry: EndpointEntry,
  perSecond: number,
  observedAtMs: number,
  nowMs: number,
): void {
  if (state.limitedEndpoints.size === 0) {
    state.limitOwners = createLimitOwners(state, nowMs);
  }
  const owner = findLimitOwner(state.limitOwners, entry.endpoint);
  entry.limit = createRateLimit(perSecond, observedAtMs, owner, nowMs);
  state.limitedEndpoints.add(entry.endpoint.id);
}

/**
 * Keeps to the limit of an endpoint whose entry has come back, as to one that was
 * just learned of.
 */
export function resumeLimit(
  state: DispatchState,
  entry: EndpointEntry,
  nowMs: number,
): void {
  const {limit} = entry;
  if (limit === undefined) return;
  const {liftedAtMs, observedAtMs, ownObservedAtMs, perSecond} = limit;
  if (!isNamed(limit)) {
    // Whether it is cold, its entry tells.
    entry.limit = undefined;
    return;
  }
  addLimit(state, entry, perSecond, observedAtMs, nowMs);
  Object.assign(entry.limit!, {liftedAtMs, ownObservedAtMs});
}

/** Records that an endpoint names a limit. */
export function applyNamedLimit(
  state: DispatchState,
  entry: EndpointEntry,
  perSecond: number,
  {observedAtMs, source}: LimitObservation,
  nowMs: number,
): Effect[] {
  const {limit} = entry;
  const wasNamed = limit !== undefined && isNamed(limit);
  const previousPerSecond = wasNamed ? limit.perSecond : 0;
  const wasLifted = limit?.liftedAtMs !== undefined;
  if (limit === undefined) {
    addLimit(state, entry, perSecond, observedAtMs, nowMs);
  } else {
    limit.perSecond = perSecond;
    limit.observedAtMs = observedAtMs;
    limit.confirmedAtMs = nowMs;
    limit.liftedAtMs = undefined;
  }
  if (previousPerSecond === perSecond && !wasLifted) return [];
  entry.limit!.changedAtMs = nowMs;
  return [
    createLog('rate_limit_named', {
      endpoint: entry.endpoint.id,
      perSecond,
      previousPerSecond,
      source,
      ageMs: Math.round(nowMs - observedAtMs),
      owner: entry.limit?.owner ?? '',
      knownRatio: state.limitOwners.knownRatio,
    }),
  ];
}

/** Records that an endpoint no longer names a limit. */
export function applyLift(
  {endpoint, limit}: EndpointEntry,
  {observedAtMs, source}: LimitObservation,
  nowMs: number,
): Effect[] {
  if (limit === undefined || !isNamed(limit)) return [];
  limit.observedAtMs = observedAtMs;
  if (limit.liftedAtMs !== undefined) return [];
  limit.liftedAtMs = nowMs;
  limit.changedAtMs = nowMs;
  return [
    createLog('rate_limit_lifted', {
      endpoint: endpoint.id,
      perSecond: limit.perSecond,
      source,
      ageMs: Math.round(nowMs - observedAtMs),
    }),
  ];
}
