import {DispatchState} from '../dispatchState.js';
import {PermitAnswer, PermitAsk, permitOutcome} from '../peers/peerMessage.js';
import {getPermitRate} from './permits.js';
import {PendingAsk, RateLimit} from './rateLimit.js';

/** Maximum number of requests that wait for permits of one endpoint. */
const maxPendingAsks = 64;
/** Minimum time until the permits are assigned again, in ms. */
const minAssignDelayMs = 1;

/** Returns the number of waiting requests that go before one of a rank. */
function countPendingAhead(limit: RateLimit, rank: number): number {
  let count = 0;
  for (const ask of limit.pendingAsks) {
    if (ask.rank > rank) break;
    count += 1;
  }
  return count;
}

/** Inserts a request behind those of its rank that wait already. */
function insertPendingAsk(limit: RateLimit, ask: PendingAsk): void {
  const index = countPendingAhead(limit, ask.rank);
  limit.pendingAsks.splice(index, 0, ask);
}

/** Removes the requests that no longer wait, and an earlier ask of the same one. */
function dropPendingAsks(
  limit: RateLimit,
  requestId: string,
  nowMs: number,
): void {
  limit.pendingAsks = limit.pendingAsks.filter(
    ask => ask.expiresAtMs > nowMs && ask.requestId !== requestId,
  );
}

/** Schedules the time at which the next permit becomes available. */
function scheduleAssignment(
  state: DispatchState,
  limit: RateLimit,
  endpointId: string,
  nowMs: number,
): void {
  const rate = getPermitRate(state, limit, nowMs);
  const waitMs = limit.bucket.getWaitMs(1, rate, nowMs);
  const delayMs = Math.max(minAssignDelayMs, waitMs);
  state.timers.set('permits', endpointId, nowMs + delayMs);
}

/** Creates the answer to an ask. */
export function createAnswer(
  state: DispatchState,
  {endpointId, requestId}: Pick<PermitAsk, 'endpointId' | 'requestId'>,
  outcome: PermitAnswer['outcome'],
  waitMs: number,
): PermitAnswer {
  const {vm} = state.options;
  return {kind: 'permitAnswer', vm, endpointId, requestId, outcome, waitMs};
}

/**
 * Returns the answer to a request that can get no permit in time, with the time
 * at which it could: after those that wait and those that were told to come
 * back, as far as they go before it.
 */
function refuseAsk(
  state: DispatchState,
  limit: RateLimit,
  ask: PermitAsk,
  nowMs: number,
): PermitAnswer {
  const {rank} = ask;
  const ahead =
    countPendingAhead(limit, rank) + limit.returns.countAhead(rank, nowMs);
  const rate = getPermitRate(state, limit, nowMs);
  const waitMs = limit.bucket.getWaitMs(ahead + 1, rate, nowMs);
  const canReturn = waitMs <= ask.deadlineInMs;
  if (ask.isLast && canReturn) limit.returns.add(nowMs + waitMs, rank, nowMs);
  return createAnswer(state, ask, permitOutcome.refused, waitMs);
}

/** Decides on a request that asks the owner of a limit for a permit. */
export function decideAsk(
  state: DispatchState,
  limit: RateLimit,
  ask: PermitAsk,
  nowMs: number,
): PermitAnswer {
  const {address, endpointId, maxWaitMs, rank, requestId, vm} = ask;
  dropPendingAsks(limit, requestId, nowMs);
  const rate = getPermitRate(state, limit, nowMs);
  const ahead = countPendingAhead(limit, rank);
  if (ahead === 0 && limit.bucket.acquire(rate, nowMs)) {
    return createAnswer(state, ask, permitOutcome.granted, 0);
  }
  const waitMs = limit.bucket.getWaitMs(ahead + 1, rate, nowMs);
  const isFull = limit.pendingAsks.length >= maxPendingAsks;
  if (waitMs > maxWaitMs || isFull) return refuseAsk(state, limit, ask, nowMs);
  const expiresAtMs = nowMs + maxWaitMs;
  insertPendingAsk(limit, {vm, address, requestId, rank, expiresAtMs});
  scheduleAssignment(state, limit, endpointId, nowMs);
  return createAnswer(state, ask, permitOutcome.queued, waitMs);
}

/** A waiting request that gets a permit. */
export interface GrantedAsk {
  readonly ask: PendingAsk;
  readonly answer: PermitAnswer;
}

/** Assigns the available permits to waiting requests, most urgent first. */
export function assignPermits(
  state: DispatchState,
  limit: RateLimit,
  endpointId: string,
  nowMs: number,
): GrantedAsk[] {
  const granted: GrantedAsk[] = [];
  dropPendingAsks(limit, '', nowMs);
  const rate = getPermitRate(state, limit, nowMs);
  while (limit.pendingAsks.length > 0 && limit.bucket.acquire(rate, nowMs)) {
    const ask = limit.pendingAsks.shift()!;
    const {requestId} = ask;
    const asked = {endpointId, requestId};
    const answer = createAnswer(state, asked, permitOutcome.granted, 0);
    granted.push({ask, answer});
  }
  if (limit.pendingAsks.length > 0) {
    scheduleAssignment(state, limit, endpointId, nowMs);
  }
  return granted;
}
