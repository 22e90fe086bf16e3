import {DispatchState} from '../dispatchState.js';
import {createCount, createLog, Effect} from '../effect.js';
import {getReportDelayMs} from '../peers/relayDigests.js';
import {CrashTable, Quarantine} from './crashTable.js';
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
/** Time between two updates while there are crashes that do not count yet, in ms. */
const updatePeriodMs = 100;

/** Returns the time until a crash that this VM has learned of counts, in ms. */
function getSettleMs(state: DispatchState): number {
  return Math.min(maxSettleMs, settleReports * getReportDelayMs(state));
}

/** Lets the quarantines be updated until the crashes learned of now count. */
export function scheduleQuarantines(state: DispatchState, nowMs: number): void {
  if (state.crashes.isUpdateScheduled) return;
  state.crashes.isUpdateScheduled = true;
  state.timers.set('quarantines', '', nowMs + updatePeriodMs);
}

/** Returns whether a crash was learned of after a time. */
function hasCrashSince({records}: CrashTable, sinceMs: number): boolean {
  for (const {crashes} of records.values()) {
    for (const learnedAtMs of crashes.values()) {
      if (learnedAtMs > sinceMs) return true;
    }
  }
  return false;
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

/** Updates the quarantines, and ends the requests that must not be sent on. */
export function updateQuarantines(
  state: DispatchState,
  _subject: string,
  nowMs: number,
): Effect[] {
  const table = state.crashes;
  table.isUpdateScheduled = false;
  dropOldRecords(table, nowMs);
  const effects = endOldQuarantines(state);
  const knownSinceMs = nowMs - getSettleMs(state);
  for (const parts of findCrashingParts(table.records, knownSinceMs)) {
    if (hasQuarantine(table.quarantines, parts)) continue;
    table.quarantines = [...table.quarantines, parts];
    effects.push(...startQuarantine(state, parts));
  }
  if (hasCrashSince(table, knownSinceMs)) scheduleQuarantines(state, nowMs);
  effects.push(...endQuarantinedRequests(state, nowMs));
  return effects;
}
