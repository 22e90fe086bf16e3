/**
 * What the life and the end of an endpoint's process tell of lost connections: a
 * process that answers a later call has not crashed; one whose place another process
 * has taken has, whatever accepts connections at its address.
 */
import {DispatchState} from '../dispatchState.js';
import {Effect} from '../effect.js';
import {Endpoint} from '../endpoints/endpoint.js';
import {isSameStart} from '../endpoints/noticeRecord.js';
import {ActiveCall} from '../requests/activeRequest.js';
import {
  CrashTable,
  getCalledProcess,
  getProcess,
  lossMemoryMs,
  maxEventsOfBeginning,
} from './crashTable.js';
import {
  isSimultaneous,
  recordConfirmedLoss,
  recordMoment,
} from './recordCrash.js';
import {listSuspects} from './soundParts.js';
import {resolveUnframedEnds} from './unframedEnds.js';

/** Time between the starts of processes that one cause explains, in ms. */
const restartToleranceMs = 1000;

/** How the end of a process shows itself. */
export const processEnd = {
  /** Another process is listed in its place. */
  replaced: 'replaced',
  /** Its entry was removed. */
  removed: 'removed',
} as const;

/** One of the ways in which the end of a process shows itself. */
export type ProcessEnd = (typeof processEnd)[keyof typeof processEnd];

/** Returns whether another process is listed in place of an endpoint's. */
export function isReplaced(
  {endpoints}: DispatchState,
  {id, startedAtMs}: Endpoint,
): boolean {
  const listed = endpoints.byId.get(id)?.endpoint;
  return listed !== undefined && !isSameStart(listed, startedAtMs);
}

/** Records that the process of a call lives, if it has answered. */
export function recordLife(
  state: DispatchState,
  call: ActiveCall,
  nowMs: number,
): Effect[] {
  const {uncheckedLosses, unframedEnds} = state.crashes;
  if (uncheckedLosses.size + unframedEnds.size === 0) return [];
  const process = getCalledProcess(call);
  const loss = uncheckedLosses.get(process);
  if (loss !== undefined && loss.atMs < call.startedAtMs) {
    uncheckedLosses.delete(process);
  }
  return resolveUnframedEnds(state, call, nowMs);
}

/** Takes the parts of the prompts that a process was working on when it ended. */
function consumeLostParts(
  table: CrashTable,
  process: string,
  nowMs: number,
): string[] {
  const parts: string[] = [];
  const loss = table.uncheckedLosses.get(process);
  table.uncheckedLosses.delete(process);
  const isRecent = (atMs: number) => nowMs - atMs <= lossMemoryMs;
  if (loss !== undefined && !loss.isSimultaneous && isRecent(loss.atMs)) {
    parts.push(...loss.parts);
  }
  const ends = table.unframedEnds.get(process) ?? [];
  table.unframedEnds.delete(process);
  for (const [part, {atMs}] of ends) {
    if (isRecent(atMs)) parts.push(part);
  }
  return parts;
}

/**
 * Lists the parts of the prompts whose calls are in flight at a process, but for
 * answers that have gone on for longer than the first events.
 */
function listCalledParts(state: DispatchState, process: string): string[] {
  const parts: string[] = [];
  for (const {calls, sharedParts} of state.requests.values()) {
    for (const call of calls) {
      if (getCalledProcess(call) !== process) continue;
      if (call.isSent && call.events <= maxEventsOfBeginning)
        parts.push(...sharedParts);
    }
  }
  return parts;
}

/**
 * Applies the end of an endpoint's process: the connections that it has lost, and
 * the calls that it has not answered, may show a crash. Several processes that are
 * replaced at once have had another cause.
 */
export function applyProcessEnd(
  state: DispatchState,
  endpoint: Endpoint,
  evidence: ProcessEnd,
  nowMs: number,
): Effect[] {
  const table = state.crashes;
  const process = getProcess(endpoint);
  const parts = consumeLostParts(table, process, nowMs);
  if (evidence === processEnd.replaced) {
    recordMoment(table.replacedAtMs, process, nowMs);
    const isOutage = isSimultaneous(
      table.replacedAtMs,
      nowMs,
      restartToleranceMs,
    );
    if (!isOutage) parts.push(...listCalledParts(state, process));
  }
  if (endpoint.isDraining) return [];
  const suspects = listSuspects(table, [...new Set(parts)], nowMs);
  if (suspects.length === 0) return [];
  return recordConfirmedLoss(state, process, suspects, {evidence}, nowMs);
}
