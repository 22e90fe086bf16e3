import {highestTier, PlanLimits, Tier} from '@ryeworks/types';
import {findLimits} from '../documents/planLookups.js';
import {getOwnerCandidates} from '../membership/membershipState.js';
import {SchedulerState} from '../schedulerState.js';
import {LocalUsage} from './limitsState.js';

/** Time over which an unused allowance accumulates, in ms. */
const burstMs = 1000;

/** Fraction of the full allowance that only the highest tier may use. */
const reservedFraction = 0.2;

/** Decision on a request, with the limit that refuses it if any. */
export type LimitDecision =
  | {readonly isAllowed: true}
  | {
      readonly isAllowed: false;
      readonly limit: 'requests' | 'tokens' | 'concurrency';
      readonly retryAfterMs: number;
    };

/** Returns the even share that a VM uses when none was assigned to it. */
export function getFallbackShare(state: SchedulerState): number {
  return 1 / Math.max(1, getOwnerCandidates(state.membership).length);
}

/** Returns the usage of a customer, created on first use. */
function getUsage(
  state: SchedulerState,
  customer: string,
  limits: PlanLimits,
  nowMs: number,
): LocalUsage {
  const existing = state.limits.usage.get(customer);
  if (existing !== undefined) return existing;
  const share = getFallbackShare(state);
  const usage: LocalUsage = {
    availableRequests: Math.max(1, limits.requestsPerSecond * share),
    availableTokens: limits.tokensPerSecond * share,
    refilledAtMs: nowMs,
    concurrency: new Map(),
    demandedRequests: 0,
    demandedTokens: 0,
    share,
    shareExpiresAtMs: nowMs,
  };
  state.limits.usage.set(customer, usage);
  return usage;
}

/** Changes the share of this VM and scales the allowances in proportion. */
export function setShare(usage: LocalUsage, share: number): void {
  const ratio = share / usage.share;
  usage.availableRequests *= ratio;
  usage.availableTokens *= ratio;
  usage.share = share;
}

/** Adds the allowance accrued since the last refill. */
function refillAvailable(
  usage: LocalUsage,
  limits: PlanLimits,
  nowMs: number,
): void {
  const elapsedMs = Math.min(burstMs, nowMs - usage.refilledAtMs);
  usage.refilledAtMs = nowMs;
  const requestRate = limits.requestsPerSecond * usage.share;
  const tokenRate = limits.tokensPerSecond * usage.share;
  usage.availableRequests = Math.min(
    Math.max(1, getBurst(requestRate)),
    usage.availableRequests + (requestRate * elapsedMs) / 1000,
  );
  usage.availableTokens = Math.min(
    getBurst(tokenRate),
    usage.availableTokens + (tokenRate * elapsedMs) / 1000,
  );
}

/** Returns the maximum allowance that accumulates at a rate. */
function getBurst(ratePerSecond: number): number {
  return (ratePerSecond * burstMs) / 1000;
}

/** Returns how long a rate takes to refill an amount, in ms. */
function getRefillMs(amount: number, ratePerSecond: number): number {
  return Math.ceil((amount / Math.max(ratePerSecond, 0.01)) * 1000);
}

/**
 * Takes one request and its tokens from the allowances of a customer when the
 * customer's limits allow it. Each allowed request must later be released with
 * {@link releaseLimit}.
 */
export function acquireLimit(
  state: SchedulerState,
  customer: string,
  tier: Tier,
  tokens: number,
  nowMs: number,
): LimitDecision {
  const limits = findLimits(state.documents, customer);
  if (limits === undefined) return {isAllowed: true};
  const usage = getUsage(state, customer, limits, nowMs);
  if (nowMs > usage.shareExpiresAtMs) setShare(usage, getFallbackShare(state));
  refillAvailable(usage, limits, nowMs);
  usage.demandedRequests += 1;
  usage.demandedTokens += tokens;
  const maxConcurrency = Math.max(
    1,
    Math.round(limits.concurrency * usage.share),
  );
  const inProgress = usage.concurrency.get(tier) ?? 0;
  if (inProgress >= maxConcurrency) {
    return {isAllowed: false, limit: 'concurrency', retryAfterMs: 1000};
  }
  const requestRate = limits.requestsPerSecond * usage.share;
  const tokenRate = limits.tokensPerSecond * usage.share;
  const reserve = tier === highestTier ? 0 : reservedFraction;
  const requestReserve = Math.max(
    0,
    Math.min(getBurst(requestRate) * reserve, getBurst(requestRate) - 1),
  );
  if (usage.availableRequests < 1 + requestReserve) {
    const missing = 1 + requestReserve - usage.availableRequests;
    const retryAfterMs = getRefillMs(missing, requestRate);
    return {isAllowed: false, limit: 'requests', retryAfterMs};
  }
  const tokenReserve = getBurst(tokenRate) * reserve;
  if (usage.availableTokens <= tokenReserve) {
    const missing = tokens + tokenReserve - usage.availableTokens;
    const retryAfterMs = getRefillMs(missing, tokenRate);
    return {isAllowed: false, limit: 'tokens', retryAfterMs};
  }
  usage.availableRequests -= 1;
  usage.availableTokens -= tokens;
  usage.concurrency.set(tier, inProgress + 1);
  return {isAllowed: true};
}

/** Releases the concurrency that one request of a customer used. */
export function releaseLimit(
  state: SchedulerState,
  customer: string,
  tier: Tier,
): void {
  const usage = state.limits.usage.get(customer);
  if (usage === undefined) return;
  const inProgress = usage.concurrency.get(tier) ?? 0;
  usage.concurrency.set(tier, Math.max(0, inProgress - 1));
}
