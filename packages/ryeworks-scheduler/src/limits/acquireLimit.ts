import {highestTier, PlanLimits, Tier} from '@ryeworks/types';
import {findLimits} from '../documents/planLookups.js';
import {getOwnerCandidates} from '../membership/membershipState.js';
import {NodeState} from '../nodeState.js';
import {LocalUsage} from './limitsState.js';

/** Time over which an unused allowance builds up, in ms. */
const burstMs = 1000;

/** Part of the built-up allowance that only the highest tier may use. */
const reservedFraction = 0.2;

/** Answer to a request for a part of a customer's limit. */
export type LimitDecision =
  | {readonly isAllowed: true}
  | {
      readonly isAllowed: false;
      readonly limit: 'requests' | 'tokens' | 'concurrency';
      readonly retryAfterMs: number;
    };

/** Returns the share of a VM that no home has given one. */
export function getFallbackShare(state: NodeState): number {
  return 1 / Math.max(1, getOwnerCandidates(state.membership).length);
}

/** Returns the usage of a customer, created on first use. */
function getUsage(
  state: NodeState,
  customer: string,
  limits: PlanLimits,
  nowMs: number,
): LocalUsage {
  const known = state.limits.usage.get(customer);
  if (known !== undefined) return known;
  const share = getFallbackShare(state);
  const usage: LocalUsage = {
    requestAllowance: Math.max(1, limits.requestsPerSecond * share),
    tokenAllowance: limits.tokensPerSecond * share,
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

/** Changes the share of a VM; what has built up grows or shrinks with it. */
export function setShare(usage: LocalUsage, share: number): void {
  const ratio = share / usage.share;
  usage.requestAllowance *= ratio;
  usage.tokenAllowance *= ratio;
  usage.share = share;
}

/** Adds the allowance that time has brought. */
function refillAllowance(
  usage: LocalUsage,
  limits: PlanLimits,
  nowMs: number,
): void {
  const elapsedMs = Math.min(burstMs, nowMs - usage.refilledAtMs);
  usage.refilledAtMs = nowMs;
  const requestRate = limits.requestsPerSecond * usage.share;
  const tokenRate = limits.tokensPerSecond * usage.share;
  usage.requestAllowance = Math.min(
    Math.max(1, getBurst(requestRate)),
    usage.requestAllowance + (requestRate * elapsedMs) / 1000,
  );
  usage.tokenAllowance = Math.min(
    getBurst(tokenRate),
    usage.tokenAllowance + (tokenRate * elapsedMs) / 1000,
  );
}

/** Returns the most that builds up at a rate. */
function getBurst(ratePerSecond: number): number {
  return (ratePerSecond * burstMs) / 1000;
}

/** Returns the time until a rate has brought an amount, in ms. */
function getRefillMs(amount: number, ratePerSecond: number): number {
  return Math.ceil((amount / Math.max(ratePerSecond, 0.01)) * 1000);
}

/** Takes one request and its tokens from a customer's limits. */
export function acquireLimit(
  state: NodeState,
  customer: string,
  tier: Tier,
  tokens: number,
  nowMs: number,
): LimitDecision {
  const limits = findLimits(state.documents, customer);
  if (limits === undefined) return {isAllowed: true};
  const usage = getUsage(state, customer, limits, nowMs);
  if (nowMs > usage.shareExpiresAtMs) setShare(usage, getFallbackShare(state));
  refillAllowance(usage, limits, nowMs);
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
  if (usage.requestAllowance < 1 + requestReserve) {
    const missing = 1 + requestReserve - usage.requestAllowance;
    const retryAfterMs = getRefillMs(missing, requestRate);
    return {isAllowed: false, limit: 'requests', retryAfterMs};
  }
  const tokenReserve = getBurst(tokenRate) * reserve;
  if (usage.tokenAllowance <= tokenReserve) {
    const missing = tokens + tokenReserve - usage.tokenAllowance;
    const retryAfterMs = getRefillMs(missing, tokenRate);
    return {isAllowed: false, limit: 'tokens', retryAfterMs};
  }
  usage.requestAllowance -= 1;
  usage.tokenAllowance -= tokens;
  usage.concurrency.set(tier, inProgress + 1);
  return {isAllowed: true};
}

/** Ends one request of a customer. */
export function releaseLimit(
  state: NodeState,
  customer: string,
  tier: Tier,
): void {
  const usage = state.limits.usage.get(customer);
  if (usage === undefined) return;
  const inProgress = usage.concurrency.get(tier) ?? 0;
  usage.concurrency.set(tier, Math.max(0, inProgress - 1));
}
