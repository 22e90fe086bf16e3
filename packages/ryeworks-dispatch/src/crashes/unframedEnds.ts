/**
 * Answers that only the end of their connection marks as complete. The end of a
 * process ends its connections in the same way, so that such an answer shows that its
 * prompt is sound only once the process has answered a later call.
 */
import {getOrCreate, removeOldest} from '@ryeworks/utils';
import {DispatchState} from '../dispatchState.js';
import {Effect} from '../effect.js';
import {ActiveCall, ActiveRequest} from '../requests/activeRequest.js';
import {CrashTable, getCalledProcess} from './crashTable.js';
import {recordAnsweredPart} from './soundParts.js';

/** Maximum number of parts that are remembered of a process, the newest ones. */
const maxParts = 512;
/** Time between such an end and the loss of connections in one crash, in ms. */
const sameCrashMs = 100;

/** Remembers the parts of a prompt whose answer has ended with its connection. */
export function recordUnframedEnd(
  {unframedEnds}: CrashTable,
  {attemptId, sharedParts}: ActiveRequest,
  call: ActiveCall,
  nowMs: number,
): void {
  if (sharedParts.length === 0) return;
  const ends = getOrCreate(
    unframedEnds,
    getCalledProcess(call),
    () => new Map(),
  );
  for (const part of sharedParts) {
    ends.delete(part);
    ends.set(part, {atMs: nowMs, attemptId});
    if (ends.size > maxParts) removeOldest(ends);
  }
}

/** Takes the parts whose answers have ended when connections of a process were lost. */
export function consumeEndedParts(
  {unframedEnds}: CrashTable,
  process: string,
  nowMs: number,
): string[] {
  const ends = unframedEnds.get(process);
  if (ends === undefined) return [];
  const parts: string[] = [];
  for (const [part, {atMs}] of ends) {
    if (nowMs - atMs > sameCrashMs) continue;
    ends.delete(part);
    parts.push(part);
  }
  return parts;
}

/**
 * Records the parts as sound whose answers had ended before a call that the same
 * process now answers.
 */
export function resolveUnframedEnds(
  state: DispatchState,
  call: ActiveCall,
  nowMs: number,
): Effect[] {
  const {unframedEnds} = state.crashes;
  const process = getCalledProcess(call);
  const ends = unframedEnds.get(process);
  if (ends === undefined) return [];
  const effects: Effect[] = [];
  for (const [part, {atMs, attemptId}] of ends) {
    if (atMs >= call.startedAtMs) continue;
    ends.delete(part);
    effects.push(...recordAnsweredPart(state, part, attemptId, nowMs));
  }
  if (ends.size === 0) unframedEnds.delete(process);
  return effects;
}
