import {DispatchState} from '../dispatchState.js';
import {createCount, createLog, Effect} from '../effect.js';
import {getReportDelayMs} from '../peers/relayDigests.js';
import {Quarantine} from './crashTable.js';
import {endQuarantinedRequests} from './endQuarantinedRequests.js';
import {findCrashingParts} from './findCrashingParts.js';
import {dropOldRecords} from './partRecords.js';

/**
 * Time until a crash counts, as a multiple of the time that a report takes: peers
 * may know that a part is sound, or which other part was the cause.
 */
const settleReports = 1.5;
/** Maximum time until a crash counts, in ms. */
const maxSettleMs = 1200;

/**
 * Returns since when this VM must know of a crash for it to count, in ms.
 */
export function getSettledSinceMs(state: DispatchState, nowMs: number): number {
  const settleMs = settleReports * getReportDelayMs(state);
  return nowMs - Math.min(maxSettleMs, settleMs);
}

/** Returns whether a quarantine is among some others. */
function hasQuarantine(
  quarantines: readonly Quarantine[],
  parts: Quarantine,
): boolean {
  const key = parts.join();
  return quarantines.some(other => other.join() === key);
}

/** Starts the quarantine of parts that cause crashes. */
function startQuarantine(state: DispatchState, parts: Quarantine): Effect[] {
  const {records} = state.crashes;
  const crashes = records.get(parts[0])!.crashes.size;
  return [
    createCount('prompt_parts', {change: 'quarantined'}),
    createLog('prompt_parts_quarantined', {parts: parts.join(), crashes}),
  ];
}

/** Ends quarantines whose parts no request had for a long time. */
function endOldQuarantines(state: DispatchState): Effect[] {
  const {quarantines, records} = state.crashes;
  const isCurrent = (parts: Quarantine) =>
    parts.every(part => records.has(part));
  state.crashes.quarantines = quarantines.filter(isCurrent);
  const effects: Effect[] = [];
  for (const parts of quarantines) {
    if (isCurrent(parts)) continue;
    effects.push(
      createCount('prompt_parts', {change: 'expired'}),
      createLog('quarantine_expired', {parts: parts.join()}),
    );
  }
  return effects;
}

/**
 * Starts and ends quarantines by what is known of crashes, and ends the requests
 * that must not be sent on.
 */
export function applyCrashRecords(
  state: DispatchState,
  nowMs: number,
): Effect[] {
  const table = state.crashes;
  dropOldRecords(table, nowMs);
  const effects = endOldQuarantines(state);
  const settledSinceMs = getSettledSinceMs(state, nowMs);
  for (const parts of findCrashingParts(table.records, settledSinceMs)) {
    if (hasQuarantine(table.quarantines, parts)) continue;
    table.quarantines = [...table.quarantines, parts];
    effects.push(...startQuarantine(state, parts));
  }
  effects.push(...endQuarantinedRequests(state, nowMs));
  return effects;
}
