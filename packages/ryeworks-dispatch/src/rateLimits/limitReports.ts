import {DispatchState} from '../dispatchState.js';
import {Effect} from '../effect.js';
import {EndpointEntry} from '../endpoints/endpointTable.js';
import {LimitReport} from '../peers/peerMessage.js';
import {applyLift, applyNamedLimit} from './applyLimit.js';
import {isLimitOwner} from './permits.js';
import {RateLimit} from './rateLimit.js';

/** Time for which a VM reports what an answer to it has stated, in ms. */
const reportMs = 5000;
/**
 * Time by which a confirmation may seem older than what this VM knows, in ms: a
 * digest may wait at a relay.
 */
const confirmationSlackMs = 3000;

/** Creates the report of a limit for peers. */
export function createLimitReport(
  limit: RateLimit,
  nowMs: number,
): LimitReport {
  return {
    perSecond: limit.perSecond,
    isLifted: limit.liftedAtMs !== undefined,
    ageMs: Math.round(nowMs - limit.observedAtMs),
  };
}

/**
 * Creates the reports of a digest, by endpoint id: of the limits that this VM
 * owns, and of those that an answer to it has named lately. Other VMs know of a
 * limit only from these, so that they need not repeat it.
 */
export function createLimitReports(
  state: DispatchState,
  nowMs: number,
): Record<string, LimitReport> {
  const reports: Record<string, LimitReport> = {};
  for (const id of state.limitedEndpoints) {
    const limit = state.endpoints.byId.get(id)?.limit;
    if (limit === undefined) continue;
    const isRecent = nowMs - limit.ownObservedAtMs <= reportMs;
    if (!isRecent && !isLimitOwner(state, limit)) continue;
    reports[id] = createLimitReport(limit, nowMs);
  }
  return reports;
}

/** Applies a peer's report of a limit, unless this VM knows something newer. */
export function applyLimitReport(
  state: DispatchState,
  entry: EndpointEntry,
  {ageMs, isLifted, perSecond}: LimitReport,
  peer: string,
  nowMs: number,
): Effect[] {
  const observedAtMs = nowMs - ageMs;
  const {limit} = entry;
  const knownSinceMs = limit?.observedAtMs ?? entry.unlimitedAtMs;
  const confirms =
    limit !== undefined &&
    !isLifted &&
    observedAtMs >= limit.observedAtMs - confirmationSlackMs;
  if (confirms) limit.confirmedAtMs = nowMs;
  if (observedAtMs <= knownSinceMs) return [];
  const observation = {observedAtMs, source: peer};
  return isLifted
    ? applyLift(entry, observation, nowMs)
    : applyNamedLimit(state, entry, perSecond, observation, nowMs);
}

/** Applies the reports of a peer's digest. */
export function applyLimitReports(
  state: DispatchState,
  reports: Readonly<Record<string, LimitReport>>,
  peer: string,
  nowMs: number,
): Effect[] {
  const effects: Effect[] = [];
  for (const [id, report] of Object.entries(reports)) {
    const entry = state.endpoints.byId.get(id);
    if (entry === undefined) continue;
    effects.push(...applyLimitReport(state, entry, report, peer, nowMs));
  }
  return effects;
}
