import {highestTier, Tier} from '@ryeworks/types';
import {createCount, Effect} from '../effect.js';
import {createSendPeer} from '../membership/createSendPeer.js';
import {NodeState} from '../nodeState.js';
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

/** Part of an endpoint's concurrency that lower tiers may use. */
const lowerTierFraction = 0.9;
/** Part of the reading time that a cached prefix saves. */
const prefixSaving = 0.5;
/** Time between two looks at a cell with waiting asks, in ms. */
const busySweepMs = 50;
/** Time without a report after which a grant is taken as ended, in ms. */
export const grantLeaseMs = 3500;

/** Returns how many calls of a tier an endpoint may run at once. */
function getSlots(account: EndpointStats, tier: Tier): number {
  if (tier === highestTier) return Math.floor(account.concurrencyLimit);
  const fraction = account.concurrencyLimit * lowerTierFraction;
  return Math.max(1, Math.floor(fraction));
}

/** Returns the accounts of the endpoints that are in the cell now. */
export function getEndpointStats(
  state: NodeState,
  cell: Cell,
): EndpointStats[] {
  const members = state.admission.cellEndpoints.get(cell.cellKey) ?? [];
  const service = state.options.services.find(
    one => one.service === cell.service,
  );
  const accounts: EndpointStats[] = [];
  for (const {endpoint} of members) {
    let account = cell.endpointStats.get(endpoint);
    if (account === undefined) {
      const initial = service?.initialConcurrency ?? 1;
      account = createEndpointStats(endpoint, initial);
      cell.endpointStats.set(endpoint, account);
    }
    accounts.push(account);
  }
  return accounts;
}

/** Decides whether an endpoint can take an ask now. */
function canServe(
  state: NodeState,
  account: EndpointStats,
  ask: QueuedGrantRequest,
  nowMs: number,
): boolean {
  if (account.inFlight >= getSlots(account, ask.tier)) return false;
  if (account.coolingDownUntilMs > nowMs) return false;
  if (isOnProbation(account) && account.inFlight > 0) return false;
  if (ask.avoid.includes(account.endpoint)) return false;
  if (nowMs + estimateCallMs(account, ask) > ask.deadlineMs) return false;
  if (ask.engines.length === 0) return true;
  const endpoint = state.admission.endpoints.get(account.endpoint);
  return endpoint !== undefined && ask.engines.includes(endpoint.engine);
}

/**
 * Picks the endpoint with the earliest first token for an ask, or the busiest
 * one that has room for a packed ask.
 */
function pickEndpoint(
  state: NodeState,
  accounts: readonly EndpointStats[],
  ask: QueuedGrantRequest,
  nowMs: number,
): EndpointStats | undefined {
  let best: EndpointStats | undefined;
  let bestScore = Number.POSITIVE_INFINITY;
  for (const account of accounts) {
    if (!canServe(state, account, ask, nowMs)) continue;
    const isCached = account.prefixes.has(ask.prefixHash);
    const promptTokens = ask.promptTokens * (isCached ? 1 - prefixSaving : 1);
    const firstTokenMs = estimateFirstTokenMs(account, promptTokens, nowMs);
    const loadMs = account.inFlight * getInterTokenMs(account);
    const score = ask.isPacked ? -account.inFlight : firstTokenMs + loadMs;
    if (score >= bestScore) continue;
    best = account;
    bestScore = score;
  }
  return best;
}

/** Tells whether every endpoint of a cell rests after failures. */
export function isCellCoolingDown(
  accounts: readonly EndpointStats[],
  nowMs: number,
): boolean {
  return accounts.every(account => account.coolingDownUntilMs > nowMs);
}

/**
 * Removes asks that can no longer be answered in time, and all of them while
 * every endpoint rests, so that their holders ask elsewhere.
 */
export function refuseLateRequests(
  state: NodeState,
  cell: Cell,
  nowMs: number,
): Effect[] {
  const effects: Effect[] = [];
  const kept: QueuedGrantRequest[] = [];
  const isResting = isCellCoolingDown(getEndpointStats(state, cell), nowMs);
  for (const ask of cell.queue) {
    const latestStartMs = ask.deadlineMs - estimateFastestCallMs(cell, ask);
    if (latestStartMs >= nowMs && !isResting) {
      kept.push(ask);
      continue;
    }
    effects.push(
      createSendPeer(state, ask.holder, {
        kind: 'grantRefusal',
        askId: ask.askId,
        reason: isResting ? 'noEndpoint' : 'overloaded',
        retryAfterMs: estimateRetryAfterMs(state, cell),
        waitMs: 0,
      }),
      createCount('admission.refused', {
        reason: isResting ? 'resting' : 'too_late',
        tier: `${ask.tier}`,
      }),
    );
  }
  cell.queue.splice(0, cell.queue.length, ...kept);
  return effects;
}

/** Grants one ask. */
function grantSlot(
  state: NodeState,
  cell: Cell,
  ask: QueuedGrantRequest,
  account: EndpointStats,
  nowMs: number,
): Effect {
  recordGrant(account, ask.promptTokens, ask.prefixHash, nowMs);
  cell.grants.set(ask.askId, {
    askId: ask.askId,
    holder: ask.holder,
    endpoint: account.endpoint,
    tier: ask.tier,
    promptTokens: ask.promptTokens,
    grantedAtMs: nowMs,
    renewedAtMs: nowMs,
  });
  return createSendPeer(state, ask.holder, {
    kind: 'grantOffer',
    askId: ask.askId,
    endpoint: account.endpoint,
  });
}

/** Tells whether any endpoint has room for the highest tier. */
function hasFreeSlot(
  accounts: readonly EndpointStats[],
  nowMs: number,
): boolean {
  for (const account of accounts) {
    if (account.coolingDownUntilMs > nowMs) continue;
    if (account.inFlight < getSlots(account, highestTier)) return true;
  }
  return false;
}

/** Grants waiting asks in order of tier and deadline while there is room. */
export function decideGrants(
  state: NodeState,
  cell: Cell,
  nowMs: number,
): Effect[] {
  const effects: Effect[] = [];
  const accounts = getEndpointStats(state, cell);
  let index = 0;
  while (index < cell.queue.length && hasFreeSlot(accounts, nowMs)) {
    const ask = cell.queue[index];
    const account = pickEndpoint(state, accounts, ask, nowMs);
    if (account === undefined) {
      index += 1;
      continue;
    }
    cell.queue.splice(index, 1);
    effects.push(grantSlot(state, cell, ask, account, nowMs));
  }
  scheduleSweep(state, cell, nowMs);
  return effects;
}

/** Sets the next look at a cell, never later than the one that is set. */
export function scheduleSweep(
  state: NodeState,
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
