import {DispatchState} from '../dispatchState.js';
import {Effect} from '../effect.js';
import {applyCrashRecords, getSettledSinceMs} from './applyCrashRecords.js';
import {CrashTable} from './crashTable.js';
import {scheduleQuarantines} from './scheduleQuarantines.js';
import {writeCrashReports} from './writeCrashReports.js';

/** Time between two checks of the quarantines while no crash is news, in ms. */
const checkPeriodMs = 1000;

/**
 * Lets the quarantines be checked again if there are some: they may be over, or
 * have to be written to the store by this VM.
 */
function scheduleCheck(state: DispatchState, nowMs: number): void {
  const {isUpdateScheduled, quarantines, storedKey = ''} = state.crashes;
  if (isUpdateScheduled || (quarantines.length === 0 && storedKey === '')) {
    return;
  }
  state.timers.set('quarantines', '', nowMs + checkPeriodMs);
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

/** Updates the quarantines, here and in the store, and schedules the next update. */
export function updateQuarantines(
  state: DispatchState,
  _subject: string,
  nowMs: number,
): Effect[] {
  const table = state.crashes;
  table.isUpdateScheduled = false;
  const effects = applyCrashRecords(state, nowMs);
  const settledSinceMs = getSettledSinceMs(state, nowMs);
  if (hasCrashSince(table, settledSinceMs)) scheduleQuarantines(state, nowMs);
  else effects.push(...writeCrashReports(state, nowMs));
  scheduleCheck(state, nowMs);
  return effects;
}
