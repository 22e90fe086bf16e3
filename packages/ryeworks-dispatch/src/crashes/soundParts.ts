import {DispatchState} from '../dispatchState.js';
import {createCount, createLog, Effect} from '../effect.js';
import {CrashTable, Quarantine, SoundPart} from './crashTable.js';
import {scheduleQuarantines} from './scheduleQuarantines.js';

/**
 * Time for which a complete answer shows that the parts of its prompt do not crash
 * endpoints, in ms. Later, the endpoints may have changed.
 */
const soundMs = 60_000;
/** Maximum number of sound parts that are remembered. */
const maxSoundParts = 4096;
/** A part that was never found to be sound. */
const neverSound: SoundPart = {
  answeredAtMs: Number.NEGATIVE_INFINITY,
  reportedAtMs: Number.NEGATIVE_INFINITY,
};
/** Time for which a VM tells the others that a part is sound, in ms. */
const soundReportMs = 3000;

/** Returns whether a prompt with a part was answered by this VM of late. */
export function isAnswered(
  {soundParts}: CrashTable,
  part: string,
  nowMs: number,
): boolean {
  const sound = soundParts.get(part);
  return sound !== undefined && nowMs - sound.answeredAtMs <= soundMs;
}

/** Returns whether a prompt with a part was answered by any VM of late. */
export function isSound(
  table: CrashTable,
  part: string,
  nowMs: number,
): boolean {
  const sound = table.soundParts.get(part);
  return sound !== undefined && nowMs - getLastMs(sound) <= soundMs;
}

/** Lists the parts that are not known to be sound. */
export function listSuspects(
  table: CrashTable,
  parts: readonly string[],
  nowMs: number,
): string[] {
  return parts.filter(part => !isSound(table, part, nowMs));
}

/** Returns when a part was last found to be sound, in ms. */
function getLastMs({answeredAtMs, reportedAtMs}: SoundPart): number {
  return Math.max(answeredAtMs, reportedAtMs);
}

/** Remembers that a part is sound, and forgets the oldest ones. */
function markSound(
  {soundParts}: CrashTable,
  part: string,
  change: Partial<SoundPart>,
  nowMs: number,
): void {
  const known = soundParts.get(part) ?? neverSound;
  soundParts.delete(part);
  soundParts.set(part, {...known, ...change});
  for (const [oldest, sound] of soundParts) {
    const isOld = nowMs - getLastMs(sound) > soundMs;
    if (!isOld && soundParts.size <= maxSoundParts) return;
    soundParts.delete(oldest);
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
 * Forgets the crashes under a part that is sound: they have another cause.
 *
 * @param source attempt that was answered, or VM that reports it
 */
function clearPart(
  state: DispatchState,
  part: string,
  source: string,
  nowMs: number,
): Effect[] {
  const table = state.crashes;
  if (!table.records.delete(part)) return [];
  const wasQuarantined = removeFromQuarantines(table, part);
  // Parts that were always together with it may be the cause.
  scheduleQuarantines(state, nowMs);
  return [
    createCount('prompt_parts', {change: 'cleared'}),
    createLog('prompt_part_cleared', {part, wasQuarantined, source}),
  ];
}

/** Records that this VM has got a complete answer to a prompt with a part. */
export function recordAnsweredPart(
  state: DispatchState,
  part: string,
  attemptId: string,
  nowMs: number,
): Effect[] {
  const table = state.crashes;
  markSound(table, part, {answeredAtMs: nowMs}, nowMs);
  if (table.records.has(part)) announceSound(table, part, nowMs);
  return clearPart(state, part, attemptId, nowMs);
}

/**
 * Records that a peer has got such an answer. This VM does not report it on, so
 * that it is forgotten once no VM gets such answers any more.
 */
export function recordReportedPart(
  state: DispatchState,
  part: string,
  peer: string,
  nowMs: number,
): Effect[] {
  markSound(state.crashes, part, {reportedAtMs: nowMs}, nowMs);
  return clearPart(state, part, peer, nowMs);
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
