import {highestTier, Tier} from '@ryeworks/types';
import {createCount, Effect} from '../effect.js';
import {createSendPeer} from '../membership/createSendPeer.js';
import {SchedulerState} from '../schedulerState.js';
import {Cell, QueuedGrantRequest} from './admissionState.js';
import {
  createEndpointStats,
  isOnProbation,
  EndpointStats,
  estimateFirstTokenMs,
  getInterTokenMs,
  recordGrant,
} from './endpointStats.js';
import {
  estimateCallMs,
  estimateRetryAfterMs,
  estimateFastestCallMs,
} from './estimateWait.js';

/** Fraction of the concurrency of an endpoint that lower tiers may use. */
const lowerTierFraction = 0.9;
/** Fraction of the prefill time that a cached prefix saves. */
const prefixSaving = 0.5;
/** Time between two sweeps of a cell with waiting grant requests, in ms. */
const busySweepMs = 50;
/** Time without a report after which a grant expires, in ms. */
export const grantLeaseMs = 3500;

/** Returns the concurrency up to which an endpoint accepts calls of a tier. */
function getSlots(stats: EndpointStats, tier: Tier): number {
  if (tier === highestTier) return Math.floor(stats.concurrencyLimit);
  const lowerTierLimit = stats.concurrencyLimit * lowerTierFraction;
  return Math.max(1, Math.floor(lowerTierLimit));
}

/**
 * Returns the statistics of the endpoints that are in the cell now, created for
 * those that are new.
 */
export function getEndpointStats(
  state: SchedulerState,
  cell: Cell,
): EndpointStats[] {
  const members = state.admission.cellEndpoints.get(cell.cellKey) ?? [];
  const service = state.options.services.find(
    definition => definition.service === cell.service,
  );
  const allStats: EndpointStats[] = [];
  for (const {endpoint} of members) {
    let stats = cell.endpointStats.get(endpoint);
    if (stats === undefined) {
      const initial = service?.initialConcurrency ?? 1;
      stats = createEndpointStats(endpoint, initial);
      cell.endpointStats.set(endpoint, stats);
    }
    allStats.push(stats);
  }
  return allStats;
}

/** Returns whether an endpoint can serve a grant request now. */
function canServe(
  state: SchedulerState,
  stats: EndpointStats,
  request: QueuedGrantRequest,
  nowMs: number,
): boolean {
  if (stats.inFlight >= getSlots(stats, request.tier)) return false;
  if (stats.coolingDownUntilMs > nowMs) return false;
  if (isOnProbation(stats) && stats.inFlight > 0) return false;
  if (request.avoid.includes(stats.endpoint)) return false;
  if (nowMs + estimateCallMs(stats, request) > request.deadlineMs) return false;
  if (request.engines.length === 0) return true;
  const endpoint = state.admission.endpoints.get(stats.endpoint);
  return endpoint !== undefined && request.engines.includes(endpoint.engine);
}

/**
 * Picks the endpoint with the earliest estimated first token for a grant
 * request, or the busiest one with a free slot when the request is packed.
 */
function pickEndpoint(
  state: SchedulerState,
  allStats: readonly EndpointStats[],
  request: QueuedGrantRequest,
  nowMs: number,
): EndpointStats | undefined {
  let bestStats: EndpointStats | undefined;
  let bestScore = Number.POSITIVE_INFINITY;
  for (const stats of allStats) {
    if (!canServe(state, stats, request, nowMs)) continue;
    const isCached = stats.prefixes.has(request.prefixHash);
    const promptTokens =
      request.promptTokens * (isCached ? 1 - prefixSaving : 1);
    const firstTokenMs = estimateFirstTokenMs(stats, promptTokens, nowMs);
    const loadMs = stats.inFlight * getInterTokenMs(stats);
    const score = request.isPacked ? -stats.inFlight : firstTokenMs + loadMs;
    if (score >= bestScore) continue;
    bestStats = stats;
    bestScore = score;
  }
  return bestStats;
}

/** Returns whether every endpoint of a cell is cooling down after failures. */
export function isCellCoolingDown(
  allStats: readonly EndpointStats[],
  nowMs: number,
): boolean {
  return allStats.every(stats => stats.coolingDownUntilMs > nowMs);
}

/**
 * Refuses the grant requests whose calls can no longer complete in time, and
 * all of them while every endpoint is cooling down, so that their holders ask
 * other cells.
 */
export function refuseLateRequests(
  state: SchedulerState,
  cell: Cell,
  nowMs: number,
): Effect[] {
  const effects: Effect[] = [];
  const remaining: QueuedGrantRequest[] = [];
  const isCoolingDown = isCellCoolingDown(getEndpointStats(state, cell), nowMs);
  for (const request of cell.queue) {
    const latestStartMs =
      request.deadlineMs - estimateFastestCallMs(cell, request);
    if (latestStartMs >= nowMs && !isCoolingDown) {
      remaining.push(request);
      continue;
    }
    effects.push(
      createSendPeer(state, request.holder, {
        kind: 'grantRefusal',
        askId: request.askId,
        reason: isCoolingDown ? 'noEndpoint' : 'overloaded',
        retryAfterMs: estimateRetryAfterMs(state, cell),
        waitMs: 0,
      }),
      createCount('admission.refused', {
        reason: isCoolingDown ? 'resting' : 'too_late',
        tier: `${request.tier}`,
      }),
    );
  }
  cell.queue.splice(0, cell.queue.length, ...remaining);
  return effects;
}

/** Grants a slot of an endpoint to a grant request. */
function grantSlot(
  state: SchedulerState,
  cell: Cell,
  request: QueuedGrantRequest,
  stats: EndpointStats,
  nowMs: number,
): Effect {
  recordGrant(stats, request.promptTokens, request.prefixHash, nowMs);
  cell.grants.set(request.askId, {
    askId: request.askId,
    holder: request.holder,
    endpoint: stats.endpoint,
    tier: request.tier,
    promptTokens: request.promptTokens,
    grantedAtMs: nowMs,
    renewedAtMs: nowMs,
  });
  return createSendPeer(state, request.holder, {
    kind: 'grantOffer',
    askId: request.askId,
    endpoint: stats.endpoint,
  });
}

/** Returns whether any endpoint has a free slot for the highest tier. */
function hasFreeSlot(
  allStats: readonly EndpointStats[],
  nowMs: number,
): boolean {
  for (const stats of allStats) {
    if (stats.coolingDownUntilMs > nowMs) continue;
    if (stats.inFlight < getSlots(stats, highestTier)) return true;
  }
  return false;
}

/**
 * Grants waiting requests in order of tier and deadline while any endpoint has
 * a free slot.
 */
export function decideGrants(
  state: SchedulerState,
  cell: Cell,
  nowMs: number,
): Effect[] {
  const effects: Effect[] = [];
  const allStats = getEndpointStats(state, cell);
  let index = 0;
  while (index < cell.queue.length && hasFreeSlot(allStats, nowMs)) {
    const request = cell.queue[index];
    const stats = pickEndpoint(state, allStats, request, nowMs);
    if (stats === undefined) {
      index += 1;
      continue;
    }
    cell.queue.splice(index, 1);
    effects.push(grantSlot(state, cell, request, stats, nowMs));
  }
  scheduleSweep(state, cell, nowMs);
  return effects;
}

/** Schedules the next sweep of a cell, or keeps an earlier one. */
export function scheduleSweep(
  state: SchedulerState,
  cell: Cell,
  nowMs: number,
): void {
  const delayMs = cell.queue.length > 0 ? busySweepMs : grantLeaseMs;
  const dueMs = nowMs + delayMs;
  const isSooner = cell.sweepAtMs <= nowMs || dueMs < cell.sweepAtMs;
  if (!isSooner) return;
  cell.sweepAtMs = dueMs;
  state.timers.set('cellSweep', cell.cellKey, dueMs);
}
