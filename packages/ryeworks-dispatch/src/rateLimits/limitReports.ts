import {DispatchState} from '../dispatchState.js';
import {Effect} from '../effect.js';
import {EndpointEntry} from '../endpoints/endpointTable.js';
import {LimitReport} from '../peers/peerMessage.js';
import {applyLift, applyNamedLimit} from './applyLimit.js';
import {isLimitOwner} from './permits.js';
import {getAllowedPerSecond, isNamed, RateLimit} from './rateLimit.js';

/** Time for which a VM reports what an answer to it has stated, in ms. */
const observerReportMs = 5000;
/** Time for which a change is in each digest, in ms: datagrams may be lost. */
const newReportMs = 1000;
/** Time between two reports of a limit that has not changed, in ms. */
const reportPeriodMs = 1000;
/**
 * Time by which a confirmation of a VM that does not own the limit may seem older
 * than what this VM knows, in ms: a digest may wait at a relay.
 */
const confirmationSlackMs = 3000;

/** Creates the report of a limit for peers. */
export function createLimitReport(
  limit: RateLimit,
  nowMs: number,
): LimitReport {
  // The rate of a cold endpoint, if it has named none, is only sent in an ask.
  const perSecond = isNamed(limit)
    ? limit.perSecond
    : getAllowedPerSecond(limit, nowMs);
  return {
    perSecond,
    isLifted: limit.liftedAtMs !== undefined,
    ageMs: Math.round(nowMs - limit.observedAtMs),
  };
}

/** Returns whether the owner of a limit knows what an answer to this VM stated. */
function isKnownToOwner({liftedAtMs, ownerReport, perSecond}: RateLimit) {
  if (ownerReport === undefined) return false;
  const isLifted = liftedAtMs !== undefined;
  return (
    ownerReport.isLifted === isLifted && ownerReport.perSecond === perSecond
  );
}

/** Returns whether this VM has to report a limit at all. */
function isReporter(
  state: DispatchState,
  limit: RateLimit,
  nowMs: number,
): boolean {
  if (isLimitOwner(state, limit)) return true;
  const isRecent = nowMs - limit.ownObservedAtMs <= observerReportMs;
  return isRecent && !isKnownToOwner(limit);
}

/**
 * Creates the reports of a digest, by endpoint id, and marks them as reported. The
 * owner of a limit reports it, and until the owner does, so does each VM that an
 * answer has told of it. A report is in each digest while it is new, and in one
 * a second later on, for VMs that have just started.
 */
export function createLimitReports(
  state: DispatchState,
  nowMs: number,
): Record<string, LimitReport> {
  const reports: Record<string, LimitReport> = {};
  for (const id of state.limitedEndpoints) {
    const limit = state.endpoints.byId.get(id)?.limit;
    if (limit === undefined || !isNamed(limit)) continue;
    if (!isReporter(state, limit, nowMs)) continue;
    const isNew = nowMs - limit.changedAtMs <= newReportMs;
    const isDue = nowMs - limit.reportedAtMs >= reportPeriodMs;
    if (!isNew && !isDue) continue;
    limit.reportedAtMs = nowMs;
    reports[id] = createLimitReport(limit, nowMs);
  }
  return reports;
}

/** Applies a peer's report of a limit, unless this VM knows something newer. */
export function applyLimitReport(
  state: DispatchState,
  entry: EndpointEntry,
  report: LimitReport,
  peer: string,
  nowMs: number,
): Effect[] {
  const {ageMs, isLifted, perSecond} = report;
  const observedAtMs = nowMs - ageMs;
  const {limit} = entry;
  if (limit?.owner === peer) limit.ownerReport = report;
  const isKnown = limit !== undefined && isNamed(limit);
  const knownSinceMs = isKnown ? limit.observedAtMs : entry.unlimitedAtMs;
  const confirms =
    limit !== undefined &&
    !isLifted &&
    (limit.owner === peer ||
      observedAtMs >= limit.observedAtMs - confirmationSlackMs);
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
