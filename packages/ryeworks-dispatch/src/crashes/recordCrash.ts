import {DispatchState} from '../dispatchState.js';
import {createCount, createLog, Effect} from '../effect.js';
import {addCrash} from './partRecords.js';
import {scheduleQuarantines} from './scheduleQuarantines.js';

/**
 * Number of processes at which a network path, or the power of a rack, explains what
 * happened to all of them at once.
 */
const minSimultaneous = 3;
/** Time for which the moments of processes are remembered, in ms. */
const memoryMs = 1000;
/** Maximum number of parts of a prompt in a log line. */
const maxLoggedParts = 32;

/** Moments at which something happened to processes, in ms, by process. */
export type ProcessMoments = Map<string, number>;

/** Records a moment of a process; forgets those of long ago. */
export function recordMoment(
  moments: ProcessMoments,
  process: string,
  nowMs: number,
): void {
  moments.set(process, nowMs);
  for (const [other, atMs] of moments) {
    if (nowMs - atMs > memoryMs) moments.delete(other);
  }
}

/** Returns whether the same happened to several processes at about a time. */
export function isSimultaneous(
  moments: ProcessMoments,
  atMs: number,
  toleranceMs: number,
): boolean {
  let count = 0;
  for (const otherMs of moments.values()) {
    if (Math.abs(otherMs - atMs) <= toleranceMs) count += 1;
  }
  return count >= minSimultaneous;
}

/** Creates the text of some parts for a log line. */
export function describeParts(parts: readonly string[]): string {
  return parts.slice(0, maxLoggedParts).join();
}

/** Records that a process has crashed under some parts. */
export function recordCrash(
  state: DispatchState,
  process: string,
  parts: readonly string[],
  nowMs: number,
): Effect[] {
  const table = state.crashes;
  for (const part of parts) {
    addCrash(table, part, process, nowMs);
    const record = table.records.get(part)!;
    record.lastSeenAtMs = nowMs;
    record.observedAtMs = nowMs;
  }
  scheduleQuarantines(state, nowMs);
  return [createCount('prompt_crashes')];
}

/**
 * Records that later signs show lost connections of a process to be a crash, under
 * the parts that are left of those of its prompts.
 *
 * @param evidence what shows it, for the log
 */
export function recordConfirmedLoss(
  state: DispatchState,
  process: string,
  parts: readonly string[],
  evidence: Readonly<Record<string, string>>,
  nowMs: number,
): Effect[] {
  const sharedParts = describeParts(parts);
  const fields = {process, ...evidence, sharedParts};
  return [
    createLog('connection_loss_confirmed', fields),
    ...(parts.length > 0 ? recordCrash(state, process, parts, nowMs) : []),
  ];
}
