import {hasFreeCapacity} from '../admission/capacity.js';
import {isQuarantined} from '../crashes/isQuarantined.js';
import {DispatchState} from '../dispatchState.js';
import {listAllowedEndpoints} from '../moves/decideTrial.js';
import {hasPermit} from '../rateLimits/permits.js';
import {ActiveRequest} from '../requests/activeRequest.js';
import {isAvoided} from '../requests/avoidedEndpoints.js';
import {listInAllowedRegions} from './allowedRegions.js';
import {hasStatedLeaving, isReportedLeaving} from './noticeRecord.js';
import {EndpointEntry} from './endpointTable.js';

/** The reasons that keep this VM from calling an endpoint at all. */
export const endpointObstacle = {
  /** The store lists it as draining. */
  draining: 'draining',
  /** Its answers, or those to a peer, state that it is leaving. */
  leaving: 'leaving',
  /** It asked this VM for a pause. */
  pausing: 'pausing',
  /** Its zone is being evacuated. */
  evacuated: 'evacuated',
  /** It did not respond, or its zone did not. */
  coolingDown: 'cooling_down',
} as const;

/** One of the reasons that keep this VM from calling an endpoint. */
export type EndpointObstacle =
  (typeof endpointObstacle)[keyof typeof endpointObstacle];

/** The reasons that keep a single request from being sent to an endpoint. */
export const requestObstacle = {
  /** A move routes the request to another version. */
  otherVersion: 'other_version',
  /** The route or the customer does not allow the endpoint's region. */
  otherRegion: 'other_region',
  /** The request has a call there, or a recent one failed. */
  avoided: 'avoided',
  /** Endpoints crash under the prompt. */
  quarantined: 'quarantined',
  /** The endpoint has a rate limit and this VM holds no permit. */
  noPermit: 'no_permit',
  /** Its slots, as far as the request's tier may use them, are taken. */
  noCapacity: 'no_capacity',
} as const;

/** One of the reasons that keep a request from being sent to an endpoint. */
export type RequestObstacle =
  (typeof requestObstacle)[keyof typeof requestObstacle];

/**
 * Fraction of the drain period for which a leaving endpoint may still be called
 * if no other can be. The rest of the period is for the work of those calls.
 */
const lastResortFraction = 0.8;

/** How an obstacle of an endpoint works. */
interface EndpointObstacleRule {
  isInForce(state: DispatchState, entry: EndpointEntry, nowMs: number): boolean;
  /** Whether the endpoint may be called if no other one can be. */
  isLastResort(
    state: DispatchState,
    entry: EndpointEntry,
    nowMs: number,
  ): boolean;
  /**
   * When it ends, in ms: `nowMs` if it may end at any moment, Infinity if no
   * end is known: only a restart of the endpoint or an operator ends it.
   */
  getEndMs(entry: EndpointEntry, nowMs: number): number;
}

const endpointObstacleRules: Record<EndpointObstacle, EndpointObstacleRule> = {
  draining: {
    isInForce: (_state, {endpoint}) => endpoint.isDraining,
    isLastResort: () => false,
    getEndMs: () => Number.POSITIVE_INFINITY,
  },
  leaving: {
    isInForce: (_state, {notices}, nowMs) =>
      hasStatedLeaving(notices) || isReportedLeaving(notices, nowMs),
    // What only a peer reports may be wrong, so it never takes the last endpoint.
    isLastResort: ({options}, {notices}, nowMs) =>
      nowMs <= notices.leavingSinceMs + lastResortFraction * options.drainMs,
    getEndMs: () => Number.POSITIVE_INFINITY,
  },
  pausing: {
    isInForce: (_state, {notices}, nowMs) => notices.pausedUntilMs > nowMs,
    isLastResort: () => false,
    getEndMs: ({notices}) => notices.pausedUntilMs,
  },
  evacuated: {
    isInForce: ({evacuations}, {endpoint}) =>
      evacuations.has(endpoint.availabilityZone),
    isLastResort: () => false,
    getEndMs: () => Number.POSITIVE_INFINITY,
  },
  cooling_down: {
    isInForce: (_state, {cooldownUntilMs}, nowMs) => cooldownUntilMs > nowMs,
    isLastResort: () => false,
    // An answer to a call in flight ends it.
    getEndMs: (_entry, nowMs) => nowMs,
  },
};

/** Returns whether a request must not be sent to an endpoint now. */
type RequestObstacleCheck = (
  state: DispatchState,
  entry: EndpointEntry,
  request: ActiveRequest,
  nowMs: number,
) => boolean;

/**
 * Checks of single endpoints; the version and the region are checked in
 * `listServingEndpoints`.
 */
const requestObstacleChecks: Record<
  Exclude<
    RequestObstacle,
    typeof requestObstacle.otherVersion | typeof requestObstacle.otherRegion
  >,
  RequestObstacleCheck
> = {
  avoided: (_state, {endpoint}, request, nowMs) =>
    isAvoided(request, endpoint.id, nowMs),
  quarantined: ({crashes}, _entry, request, nowMs) =>
    isQuarantined(crashes, request, nowMs),
  no_permit: (state, entry, {rank}, nowMs) =>
    !hasPermit(state, entry, rank, nowMs),
  no_capacity: (state, entry, request, nowMs) =>
    !hasFreeCapacity(state, entry, request, nowMs),
};

const endpointRules = Object.values(endpointObstacleRules);
const requestChecks = Object.entries(requestObstacleChecks);

/** Returns whether nothing keeps this VM from calling an endpoint. */
export function isOpen(
  state: DispatchState,
  entry: EndpointEntry,
  nowMs: number,
): boolean {
  return !endpointRules.some(rule => rule.isInForce(state, entry, nowMs));
}

/** Returns whether an endpoint may be called if no other one is open. */
function isLastResort(
  state: DispatchState,
  entry: EndpointEntry,
  nowMs: number,
): boolean {
  return endpointRules.every(
    rule =>
      !rule.isInForce(state, entry, nowMs) ||
      rule.isLastResort(state, entry, nowMs),
  );
}

/** Lists the endpoints that are open, or the last resorts if none is. */
function listOpenEndpoints(
  state: DispatchState,
  entries: readonly EndpointEntry[],
  nowMs: number,
): readonly EndpointEntry[] {
  const open = entries.filter(entry => isOpen(state, entry, nowMs));
  if (open.length > 0) return open;
  return entries.filter(entry => isLastResort(state, entry, nowMs));
}

/**
 * Lists the endpoints that may serve a request, whether or not they are open: of the
 * version that a move routes it to, in the regions that it may be served in. The
 * version is chosen first, so that a region without it exposes no request to another.
 */
function listServingEndpoints(
  state: DispatchState,
  request: ActiveRequest,
  entries: readonly EndpointEntry[],
  nowMs: number,
): readonly EndpointEntry[] {
  const {isTrial, service} = request;
  const allowed = listAllowedEndpoints(state, service, entries, isTrial, nowMs);
  return listInAllowedRegions(state, allowed, request);
}

/**
 * Lists the endpoints of a service to which a request may be sent now. Every way
 * to an endpoint asks here.
 *
 * @param ignored an obstacle that the caller deals with itself
 */
export function listCallableEndpoints(
  state: DispatchState,
  request: ActiveRequest,
  entries: readonly EndpointEntry[],
  nowMs: number,
  ignored?: RequestObstacle,
): EndpointEntry[] {
  const allowed = listServingEndpoints(state, request, entries, nowMs);
  return listOpenEndpoints(state, allowed, nowMs).filter(
    entry =>
      !requestChecks.some(
        ([obstacle, check]) =>
          obstacle !== ignored && check(state, entry, request, nowMs),
      ),
  );
}

/**
 * Returns when a request may be served if no endpoint may serve it: at any moment
 * (undefined), or not before an endpoint is listed in one of its regions.
 */
function findNoneMs(
  state: DispatchState,
  request: ActiveRequest,
  entries: readonly EndpointEntry[],
): number | undefined {
  const inRegions = listInAllowedRegions(state, entries, request);
  return inRegions.length < entries.length
    ? Number.POSITIVE_INFINITY
    : undefined;
}

/**
 * Returns when the first of the endpoints that may serve a request will be open,
 * in ms; undefined if one may be open now, or if there are none at all. Infinity if
 * there are some in other regions only.
 */
export function findReopeningMs(
  state: DispatchState,
  request: ActiveRequest,
  entries: readonly EndpointEntry[],
  nowMs: number,
): number | undefined {
  const allowed = listServingEndpoints(state, request, entries, nowMs);
  if (allowed.length === 0) return findNoneMs(state, request, entries);
  let earliestMs = Number.POSITIVE_INFINITY;
  for (const entry of allowed) {
    if (isLastResort(state, entry, nowMs)) return undefined;
    let endMs = nowMs;
    for (const rule of endpointRules) {
      if (!rule.isInForce(state, entry, nowMs)) continue;
      endMs = Math.max(endMs, rule.getEndMs(entry, nowMs));
    }
    if (endMs <= nowMs) return undefined;
    earliestMs = Math.min(earliestMs, endMs);
  }
  return earliestMs;
}
