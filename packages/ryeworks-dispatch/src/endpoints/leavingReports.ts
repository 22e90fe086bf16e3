import {DispatchState} from '../dispatchState.js';
import {createCount, createLog, Effect} from '../effect.js';
import {findProcessEntry} from './formerEntries.js';
import {hasStatedLeaving, recordLeavingReport} from './noticeRecord.js';

/**
 * Creates the reports of a digest: the start times of the endpoints that have
 * stated to this VM that they are leaving, by id. What peers have reported is not
 * repeated, so that a wrong report ends with its source.
 */
export function createLeavingReports(
  state: DispatchState,
): Record<string, number> {
  const reports: Record<string, number> = {};
  for (const [id, {notices}] of state.endpoints.byId) {
    if (hasStatedLeaving(notices)) reports[id] = notices.startedAtMs;
  }
  return reports;
}

/** Applies the reports of a peer's digest. */
export function applyLeavingReports(
  state: DispatchState,
  reports: Readonly<Record<string, number>>,
  peer: string,
  nowMs: number,
): Effect[] {
  const effects: Effect[] = [];
  for (const [id, startedAtMs] of Object.entries(reports)) {
    const entry = findProcessEntry(state.endpoints, {id, startedAtMs});
    if (entry === undefined) continue;
    if (!recordLeavingReport(entry.notices, nowMs)) continue;
    effects.push(
      createCount('endpoint_notices', {notice: 'leaving_reported'}),
      createLog('endpoint_leaving', {endpoint: id, source: peer}),
    );
  }
  return effects;
}
