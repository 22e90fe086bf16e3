import {DispatchState} from '../dispatchState.js';
import {Effect} from '../effect.js';
import {CrashReportsRead, CrashReportsWritten} from '../input.js';
import {CrashReport} from '../peers/peerMessage.js';
import {isStoreWriter} from '../peers/isStoreWriter.js';
import {applyCrashRecords} from './applyCrashRecords.js';
import {applyCrashReport} from './crashReports.js';
import {CrashTable, Quarantine} from './crashTable.js';
import {scheduleQuarantines} from './scheduleQuarantines.js';

/**
 * Number of crashes that are stored for a part: more than start a quarantine, as a
 * later one may need more to explain it.
 */
const storedCrashes = 16;

/** Returns the text by which two states of the quarantines are compared. */
function createKey(quarantines: readonly Quarantine[]): string {
  return quarantines
    .map(parts => parts.join())
    .sort()
    .join(' ');
}

/** Creates the reports to be stored: those of the parts under quarantine. */
function createStoredReports({records, quarantines}: CrashTable) {
  const reports: CrashReport[] = [];
  for (const part of new Set(quarantines.flat())) {
    const record = records.get(part);
    if (record === undefined) continue;
    const processes = [...record.crashes.keys()].slice(-storedCrashes);
    reports.push({part, seenAgoMs: 0, processes});
  }
  return reports;
}

/**
 * Writes the quarantines to the store if they have changed, for the case that all
 * VMs restart. One VM does it for all.
 */
export function writeCrashReports(
  state: DispatchState,
  nowMs: number,
): Effect[] {
  const table = state.crashes;
  const key = createKey(table.quarantines);
  const isStored = key === (table.storedKey ?? '');
  if (isStored || table.isWriting) return [];
  if (!isStoreWriter(state, nowMs)) return [];
  table.isWriting = true;
  table.storedKey = key;
  return [{kind: 'writeCrashReports', reports: createStoredReports(table)}];
}

/** Records whether the store has accepted the reports; otherwise writes again. */
export function handleCrashReportsWritten(
  state: DispatchState,
  {isWritten}: CrashReportsWritten,
): Effect[] {
  const table = state.crashes;
  table.isWriting = false;
  if (!isWritten) table.storedKey = undefined;
  return [];
}

/**
 * Applies the reports that VMs have stored before this one started. They count at
 * once.
 */
export function handleCrashReportsRead(
  state: DispatchState,
  {reports}: CrashReportsRead,
  nowMs: number,
): Effect[] {
  const table = state.crashes;
  for (const report of reports) {
    applyCrashReport(state, report, Number.NEGATIVE_INFINITY, nowMs);
  }
  const effects = applyCrashRecords(state, nowMs);
  table.storedKey = createKey(table.quarantines);
  if (table.storedKey !== '') scheduleQuarantines(state, nowMs);
  return effects;
}
