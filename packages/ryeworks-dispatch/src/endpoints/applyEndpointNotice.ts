import {DispatchState} from '../dispatchState.js';
import {createCount, createLog, Effect} from '../effect.js';
import {withdrawUnsentCalls} from '../requests/withdrawUnsentCalls.js';
import {EndpointNotice, PauseStatement} from './endpointNotice.js';
import {hasStatedLeaving} from './noticeRecord.js';
import {EndpointEntry} from './endpointTable.js';

/** Longest pause that is kept to, in ms. */
const maxPauseMs = 300_000;
/** Pause of an endpoint that names a duration that cannot be read, in ms. */
const unreadablePauseMs = 1000;

/** Returns the length of the pause that a statement asks for, in ms. */
function getPauseMs(pause: PauseStatement): number {
  if (pause.kind === 'unreadable') return unreadablePauseMs;
  return Math.min(maxPauseMs, pause.durationMs);
}

/**
 * Starts the pause that an endpoint asks for, or extends the one that it is in. A
 * shorter one does not end it.
 */
function applyPause(
  state: DispatchState,
  entry: EndpointEntry,
  pause: PauseStatement,
  attemptId: string,
  nowMs: number,
): Effect[] {
  const {endpoint, notices} = entry;
  const pauseMs = getPauseMs(pause);
  notices.pausedUntilMs = Math.max(notices.pausedUntilMs, nowMs + pauseMs);
  return [
    createCount('endpoint_notices', {notice: 'pausing'}),
    createLog('endpoint_pausing', {
      endpoint: endpoint.id,
      request: attemptId,
      pauseMs: Math.round(pauseMs),
      remainingMs: Math.round(notices.pausedUntilMs - nowMs),
      unreadable: pause.kind === 'unreadable' ? pause.text : '',
    }),
    ...withdrawUnsentCalls(state, entry, nowMs),
  ];
}

/** Records whether an endpoint states that it is leaving. */
function applyLeaving(
  {endpoint, notices, removedAtMs}: EndpointEntry,
  isLeaving: boolean,
  attemptId: string,
  nowMs: number,
): Effect[] {
  // An answer that was made earlier may arrive later, so it ends no leaving.
  if (hasStatedLeaving(notices)) return [];
  if (!isLeaving) {
    notices.stayingAtMs = nowMs;
    notices.leavingReportedAtMs = Number.NEGATIVE_INFINITY;
    return [];
  }
  notices.leavingSinceMs = nowMs;
  return [
    createCount('endpoint_notices', {notice: 'leaving'}),
    createLog('endpoint_leaving', {
      endpoint: endpoint.id,
      source: attemptId,
      isListed: removedAtMs === undefined && !endpoint.isDraining,
    }),
  ];
}

/** Applies what an endpoint's answer states about further calls to it. */
export function applyEndpointNotice(
  state: DispatchState,
  entry: EndpointEntry,
  {isLeaving, pause}: EndpointNotice,
  attemptId: string,
  nowMs: number,
): Effect[] {
  const effects = applyLeaving(entry, isLeaving, attemptId, nowMs);
  if (pause === undefined) return effects;
  effects.push(...applyPause(state, entry, pause, attemptId, nowMs));
  return effects;
}
