import {callKind, Route} from '../desired/desiredState.js';
import {RequestReceived} from '../input.js';
import {ActiveRequest} from '../requests/activeRequest.js';
import {estimateRunTimeMs, RunTimes} from './runTimes.js';
import {insertWaiting, removeWaiting, WaitingQueue} from './waitingQueue.js';

/**
 * Callers give up a stream without an event after the longest of this time, in
 * ms, this many latency targets and this many gaps.
 */
const minPatienceMs = 2000;
const patienceTargets = 4;
const patienceGaps = 8;

/**
 * Returns for how long the caller of a request has already been waiting, in ms: a
 * caller that was refused returns with the rest of its time.
 */
export function getElapsedMs(
  {timeoutMs}: Route,
  {deadlineInMs = timeoutMs}: RequestReceived,
): number {
  return Math.max(0, timeoutMs - deadlineInMs);
}

/**
 * Returns the time until which a request may wait for an endpoint, in ms. One that
 * is sent later would be cut by its timeout.
 */
export function decideKeepUntilMs(
  runTimes: RunTimes,
  route: Route,
  startedAtMs: number,
  timeoutAtMs: number,
): number {
  const endMs = timeoutAtMs - estimateRunTimeMs(runTimes, route);
  if (route.kind !== callKind.stream) return endMs;
  const patienceMs = Math.max(
    minPatienceMs,
    patienceTargets * route.latencyTargetMs,
    patienceGaps * route.maxGapMs,
  );
  return Math.min(endMs, startedAtMs + 0.8 * patienceMs);
}

/**
 * Marks a waiting request whose answer can no longer be on time, and moves it
 * behind those of its rank that still can be. Returns whether it was marked.
 */
export function updateLateness(
  queue: WaitingQueue,
  request: ActiveRequest,
  nowMs: number,
): boolean {
  if (request.isLate || nowMs <= request.lateAtMs) return false;
  request.isLate = true;
  removeWaiting(queue, request);
  insertWaiting(queue, request);
  return true;
}
