import {ServiceWarmUp} from '../desired/desiredState.js';
import {ColdBounds, defaultColdBounds} from '../dispatchOptions.js';
import {DispatchState} from '../dispatchState.js';
import {createCount, createLog, Effect} from '../effect.js';
import {EndpointEntry} from '../endpoints/endpointTable.js';
import {withdrawUnsentCalls} from '../requests/withdrawUnsentCalls.js';
import {addLimit} from './applyLimit.js';
import {isCold, RateLimit, rampMs} from './rateLimit.js';

/**
 * Time for which a VM that becomes the owner of a cold endpoint grants nothing, in
 * ms: until then, others may still take its predecessor for the owner.
 */
const takeoverMs = 1000;
/** The same time where digests pass relays, as a number of digest periods. */
const takeoverPeriods = 3;
/** Lowest rate of permits: a bound of 0 would end the service. */
const minColdPerSecond = 0.01;

/** Returns how the endpoints of a service warm up; undefined if they do not. */
function findWarmUp(
  {desiredState}: DispatchState,
  service: string,
): ServiceWarmUp | undefined {
  return desiredState.current?.warmUps?.find(
    warmUp => warmUp.service === service && warmUp.coldPerSecond > 0,
  );
}

/**
 * Returns the rate of the permits of a cold endpoint: what it tolerates, or less
 * where the bound leaves no room for the permit that may have accumulated.
 */
export function getColdPerSecond(
  coldPerSecond: number,
  {allowance, overrun}: ColdBounds = defaultColdBounds,
): number {
  const maxInSecond = coldPerSecond * overrun + allowance;
  const withRoom = Math.max(maxInSecond - 1, maxInSecond / 2);
  return Math.max(minColdPerSecond, Math.min(coldPerSecond, withRoom));
}

/** Returns when a new owner of a cold endpoint may grant the first permit, in ms. */
export function getTakeoverEndMs(state: DispatchState, nowMs: number): number {
  const {digestPeriodMs} = state.peers;
  return nowMs + Math.max(takeoverMs, takeoverPeriods * digestPeriodMs);
}

/** Starts, changes or ends the warm-up of an endpoint as its entry tells. */
export function updateWarmUp(
  state: DispatchState,
  entry: EndpointEntry,
  nowMs: number,
): Effect[] {
  const {endpoint, coldUntilMs} = entry;
  if (entry.limit === undefined && coldUntilMs <= nowMs) return [];
  const warmUp = findWarmUp(state, endpoint.service);
  if (warmUp === undefined) {
    const {limit} = entry;
    // The service has no warm-up any more: its rate need not rise step by step.
    const hadWarmUp = limit !== undefined && Number.isFinite(limit.coldUntilMs);
    if (hadWarmUp) limit.coldUntilMs = nowMs - rampMs;
    return [];
  }
  const wasCold = entry.limit !== undefined && isCold(entry.limit, nowMs);
  if (!wasCold && coldUntilMs <= nowMs) return [];
  if (entry.limit === undefined) {
    addLimit(state, entry, Number.POSITIVE_INFINITY, nowMs, nowMs);
  }
  const limit = entry.limit!;
  const {coldBounds} = state.options;
  limit.coldPerSecond = getColdPerSecond(warmUp.coldPerSecond, coldBounds);
  // An end that was told earlier than expected is followed by the usual rise.
  limit.coldUntilMs = Math.max(coldUntilMs, Math.min(limit.coldUntilMs, nowMs));
  if (wasCold) return [];
  limit.bucket.startCold(getTakeoverEndMs(state, nowMs));
  return [
    createCount('warm_ups', {change: 'started'}),
    createLog('warm_up_started', {
      endpoint: endpoint.id,
      service: endpoint.service,
      coldForMs: Math.round(coldUntilMs - nowMs),
      perSecond: limit.coldPerSecond,
      owner: limit.owner,
      knownRatio: state.limitOwners.knownRatio,
    }),
    ...withdrawUnsentCalls(state, entry, nowMs),
  ];
}

/**
 * Records for how long an endpoint is still cold.
 *
 * @param isRead whether it was read anew, not only listed once more
 */
export function recordColdTime(
  entry: EndpointEntry,
  isRead: boolean,
  nowMs: number,
): void {
  const {coldForMs} = entry.endpoint;
  const isKnown = coldForMs === entry.listedColdForMs;
  const isWarm = coldForMs === 0 || entry.coldUntilMs <= nowMs;
  // A list of the same entry tells nothing new of a time that passes.
  if (isKnown && !(isRead && isWarm)) return;
  entry.listedColdForMs = coldForMs;
  entry.coldUntilMs = coldForMs > 0 ? nowMs + coldForMs : nowMs;
}

/** Updates the warm-ups of all endpoints, as after a new desired state. */
export function updateWarmUps(state: DispatchState, nowMs: number): Effect[] {
  const effects: Effect[] = [];
  for (const entry of state.endpoints.byId.values()) {
    effects.push(...updateWarmUp(state, entry, nowMs));
  }
  return effects;
}

/**
 * Applies that a VM that asks for a permit knows an endpoint to be cold. What this
 * VM knows itself to be cold is not extended: each message is delayed a little.
 */
export function applyColdReport(
  state: DispatchState,
  entry: EndpointEntry,
  coldForMs: number | undefined,
  nowMs: number,
): Effect[] {
  if (coldForMs === undefined || coldForMs <= 0) return [];
  if (entry.coldUntilMs > nowMs) return [];
  entry.coldUntilMs = nowMs + coldForMs;
  return updateWarmUp(state, entry, nowMs);
}

/** Counts the endpoints whose rate a warm-up limits. */
export function countColdEndpoints(state: DispatchState): number {
  let count = 0;
  for (const id of state.limitedEndpoints) {
    const limit = state.endpoints.byId.get(id)?.limit;
    if (limit !== undefined && Number.isFinite(limit.coldUntilMs)) count += 1;
  }
  return count;
}

/** Reports the end of a warm-up. */
export function reportWarmUpEnd(
  {endpoint}: EndpointEntry,
  limit: RateLimit,
): Effect[] {
  const {coldPerSecond: perSecond} = limit;
  return [
    createCount('warm_ups', {change: 'ended'}),
    createLog('warm_up_ended', {endpoint: endpoint.id, perSecond}),
  ];
}
