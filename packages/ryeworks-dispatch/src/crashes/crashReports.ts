import {DispatchState} from '../dispatchState.js';
import {Effect} from '../effect.js';
import {CrashReport} from '../peers/peerMessage.js';
import {PartRecord} from './crashTable.js';
import {addCrash, quarantineMs} from './partRecords.js';
import {
  announceSound,
  isAnswered,
  isSound,
  recordReportedPart,
} from './soundParts.js';
import {scheduleQuarantines} from './scheduleQuarantines.js';

/** Time for which a crash that this VM has seen is in each digest, in ms. */
const newReportMs = 3000;
/**
 * Time between two reports of all records, for all VMs together, in ms: VMs that
 * have just started learn of them in this time.
 */
const allReportsIntervalMs = 250;
/** Maximum number of records in a digest. */
const maxReports = 128;
/** Maximum number of crashes in a report, the newest ones. */
const maxProcesses = 24;
/**
 * Age up to which a record is reported, in ms. It is shorter than a quarantine, so
 * that VMs do not remind each other of a part that all are about to forget.
 */
const maxReportedAgeMs = quarantineMs / 2;
/**
 * Difference above which a peer has seen a part later than this VM, in ms. A report
 * may be underway for seconds, so that times seem later than they are.
 */
const lastSeenSlackMs = 10_000;

/** Returns the time between two reports of all records by this VM, in ms. */
function getAllReportsPeriodMs(state: DispatchState): number {
  const vmCount = state.peers.byVm.size + 1;
  return allReportsIntervalMs * vmCount * (0.5 + state.random.next());
}

/**
 * Orders parts by their number of crashes, most first, and then by the time of
 * their last report, so that all of them are reported in turn.
 */
function compareRecords(
  [, a]: [string, PartRecord],
  [, b]: [string, PartRecord],
): number {
  const difference = b.crashes.size - a.crashes.size;
  return difference !== 0 ? difference : a.reportedAtMs - b.reportedAtMs;
}

/**
 * Creates the reports of a digest: crashes that this VM has just seen, or from time
 * to time all that it knows of.
 */
export function createCrashReports(
  state: DispatchState,
  nowMs: number,
): CrashReport[] {
  const table = state.crashes;
  if (table.records.size === 0) return [];
  const isAllDue = nowMs >= table.allReportedAtMs;
  if (isAllDue) table.allReportedAtMs = nowMs + getAllReportsPeriodMs(state);
  const reported = [...table.records].filter(
    ([, {lastSeenAtMs, observedAtMs}]) =>
      nowMs - observedAtMs <= newReportMs ||
      (isAllDue && nowMs - lastSeenAtMs <= maxReportedAgeMs),
  );
  const reports: CrashReport[] = [];
  for (const [part, record] of reported.sort(compareRecords)) {
    if (reports.length === maxReports) break;
    const {crashes, lastSeenAtMs} = record;
    record.reportedAtMs = nowMs;
    const seenAgoMs = Math.round(nowMs - lastSeenAtMs);
    const processes = [...crashes.keys()].slice(-maxProcesses);
    reports.push({part, seenAgoMs, processes});
  }
  return reports;
}

/**
 * Applies a report of the crashes under a part, of a peer or from the store.
 *
 * @param learnedAtMs since when this VM knows of crashes that are news to it
 */
export function applyCrashReport(
  state: DispatchState,
  {part, processes, seenAgoMs}: CrashReport,
  learnedAtMs: number,
  nowMs: number,
): void {
  const table = state.crashes;
  if (isAnswered(table, part, nowMs)) announceSound(table, part, nowMs);
  if (isSound(table, part, nowMs)) return;
  let isNews = false;
  for (const process of processes) {
    if (addCrash(table, part, process, learnedAtMs)) isNews = true;
  }
  const record = table.records.get(part);
  if (record === undefined) return;
  const seenAtMs = nowMs - seenAgoMs;
  if (seenAtMs > record.lastSeenAtMs + lastSeenSlackMs) {
    record.lastSeenAtMs = seenAtMs;
  }
  if (isNews) scheduleQuarantines(state, nowMs);
}

/** Applies what a peer's digest tells of crashes and of sound parts. */
export function applyCrashReports(
  state: DispatchState,
  reports: readonly CrashReport[],
  soundParts: readonly string[],
  peer: string,
  nowMs: number,
): Effect[] {
  const effects: Effect[] = [];
  for (const part of soundParts) {
    effects.push(...recordReportedPart(state, part, peer, nowMs));
  }
  for (const report of reports) applyCrashReport(state, report, nowMs, nowMs);
  return effects;
}
