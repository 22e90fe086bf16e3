import {DispatchState} from '../dispatchState.js';
import {createCount, createLog, Effect} from '../effect.js';
import {CrashTable, Quarantine} from './crashTable.js';
import {scheduleQuarantines} from './scheduleQuarantines.js';

/**
 * Time for which a complete answer shows that the parts of its prompt do not crash
 * endpoints, in ms. Later, the endpoints may have changed.
 */
const soundMs = 60_000;
/** Maximum number of sound parts that are remembered. */
const maxSoundParts = 4096;
/** Time for which a VM tells the others that a part is sound, in ms. */
const soundReportMs = 3000;

/** Returns whether a prompt with a part was answered completely of late. */
export function isSound(
  {soundAtMs}: CrashTable,
  part: string,
  nowMs: number,
): boolean {
  const atMs = soundAtMs.get(part);
  return atMs !== undefined && nowMs - atMs <= soundMs;
}

/** Remembers that a part is sound, and forgets the oldest ones. */
function markSound(table: CrashTable, part: string, nowMs: number): void {
  const {soundAtMs} = table;
  soundAtMs.delete(part);
  soundAtMs.set(part, nowMs);
  for (const [oldest, atMs] of soundAtMs) {
    const isOld = nowMs - atMs > soundMs;
    if (!isOld && soundAtMs.size <= maxSoundParts) return;
    soundAtMs.delete(oldest);
  }
}

/** Removes a part from all quarantines. Returns whether any had it. */
function removeFromQuarantines(table: CrashTable, part: string): boolean {
  const {quarantines} = table;
  if (!quarantines.some(parts => parts.includes(part))) return false;
  const remaining: Quarantine[] = [];
  for (const parts of quarantines) {
    const others = parts.filter(other => other !== part);
    if (others.length > 0) remaining.push(others);
  }
  table.quarantines = remaining;
  return true;
}

/**
 * Records that a part is sound: crashes under it have another cause.
 *
 * @param source attempt that was answered, or VM that reports it
 */
export function recordSoundPart(
  state: DispatchState,
  part: string,
  source: string,
  nowMs: number,
): Effect[] {
  const table = state.crashes;
  markSound(table, part, nowMs);
  if (!table.records.delete(part)) return [];
  const wasQuarantined = removeFromQuarantines(table, part);
  announceSound(table, part, nowMs);
  // Parts that were always together with it may be the cause.
  scheduleQuarantines(state, nowMs);
  return [
    createCount('prompt_parts', {change: 'cleared'}),
    createLog('prompt_part_cleared', {part, wasQuarantined, source}),
  ];
}

/** Lets this VM's next digests report that a part is sound. */
export function announceSound(
  {soundReportedUntilMs}: CrashTable,
  part: string,
  nowMs: number,
): void {
  soundReportedUntilMs.set(part, nowMs + soundReportMs);
}

/** Lists the parts that a digest reports as sound. */
export function listSoundReports(
  {soundReportedUntilMs}: CrashTable,
  nowMs: number,
): string[] {
  for (const [part, untilMs] of soundReportedUntilMs) {
    if (untilMs < nowMs) soundReportedUntilMs.delete(part);
  }
  return [...soundReportedUntilMs.keys()];
}
