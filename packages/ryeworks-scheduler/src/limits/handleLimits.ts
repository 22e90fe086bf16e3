import {Effect} from '../effect.js';
import {rankOwners} from '../membership/membershipState.js';
import {createSendPeer} from '../membership/createSendPeer.js';
import {SchedulerState} from '../schedulerState.js';
import {LimitDemand, LimitReport, LimitShares} from '../peerMessage.js';
import {sumConcurrency} from './limitsState.js';
import {getFallbackShare, setShare} from './acquireLimit.js';

/** Time between two demand reports, in ms. */
const reportPeriodMs = 1000;
/** Time after which a share or a demand expires without a newer one, in ms. */
const shareLifetimeMs = 4000;
/** Fraction of a limit that is divided evenly, regardless of demand. */
const evenFraction = 0.1;

/**
 * Returns the demand of each customer since the last report and resets it.
 * Removes the usage of customers without demand and requests in progress.
 */
function flushDemands(state: SchedulerState): LimitDemand[] {
  const demands: LimitDemand[] = [];
  for (const [customer, usage] of state.limits.usage) {
    const concurrency = sumConcurrency(usage);
    const isIdle = usage.demandedRequests === 0 && concurrency === 0;
    if (isIdle) {
      state.limits.usage.delete(customer);
      continue;
    }
    demands.push({
      customer,
      requestsPerSecond: (usage.demandedRequests * 1000) / reportPeriodMs,
      tokensPerSecond: (usage.demandedTokens * 1000) / reportPeriodMs,
      concurrency,
    });
    usage.demandedRequests = 0;
    usage.demandedTokens = 0;
  }
  return demands;
}

/** Reports the demand of each customer to the owner of its limits. */
export function reportLimits(
  state: SchedulerState,
  _subject: string,
  nowMs: number,
): Effect[] {
  state.timers.set('reportLimits', '', nowMs + reportPeriodMs);
  const demandsByOwner = new Map<string, LimitDemand[]>();
  for (const demand of flushDemands(state)) {
    const key = `limit/${demand.customer}`;
    const [owner] = rankOwners(state.membership, key);
    const demands = demandsByOwner.get(owner) ?? [];
    demands.push(demand);
    demandsByOwner.set(owner, demands);
  }
  const effects: Effect[] = [];
  for (const [owner, demands] of demandsByOwner) {
    const report: LimitReport = {kind: 'limitReport', demands};
    effects.push(createSendPeer(state, owner, report));
  }
  return effects;
}

/**
 * Handles a demand report as the owner of the customers' limits and answers
 * with the share of the sender. A fixed fraction of each limit is divided
 * evenly, the remainder in proportion to demand.
 */
export function handleLimitReport(
  state: SchedulerState,
  from: string,
  message: LimitReport,
  nowMs: number,
): Effect[] {
  const shares: {customer: string; share: number}[] = [];
  for (const demand of message.demands) {
    const weight = demand.tokensPerSecond + demand.concurrency + 1;
    const demandsByVm = state.limits.demands.get(demand.customer) ?? new Map();
    demandsByVm.set(from, {weight, reportedAtMs: nowMs});
    state.limits.demands.set(demand.customer, demandsByVm);
    let total = 0;
    for (const [vm, entry] of demandsByVm) {
      if (nowMs - entry.reportedAtMs > shareLifetimeMs) demandsByVm.delete(vm);
      else total += entry.weight;
    }
    const evenShare = evenFraction / demandsByVm.size;
    const share = evenShare + (1 - evenFraction) * (weight / total);
    shares.push({customer: demand.customer, share});
  }
  const answer: LimitShares = {kind: 'limitShares', shares};
  return [createSendPeer(state, from, answer)];
}

/** Applies the shares that the owner of the customers' limits assigned. */
export function handleLimitShares(
  state: SchedulerState,
  _from: string,
  message: LimitShares,
  nowMs: number,
): Effect[] {
  const minShare = getFallbackShare(state) * evenFraction;
  for (const {customer, share} of message.shares) {
    const usage = state.limits.usage.get(customer);
    if (usage === undefined) continue;
    setShare(usage, Math.max(minShare, share));
    usage.shareExpiresAtMs = nowMs + shareLifetimeMs;
  }
  return [];
}
