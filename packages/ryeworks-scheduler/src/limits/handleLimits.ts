import {Effect} from '../effect.js';
import {rankOwners} from '../membership/membershipState.js';
import {createSendPeer} from '../membership/createSendPeer.js';
import {NodeState} from '../nodeState.js';
import {LimitDemand, LimitReport, LimitShares} from '../peerMessage.js';
import {sumConcurrency} from './limitsState.js';
import {getFallbackShare, setShare} from './acquireLimit.js';

/** Time between two reports, in ms. */
const reportPeriodMs = 1000;
/** Time for which a share holds without a newer one, in ms. */
const shareLifetimeMs = 4000;
/** Part of a limit that is handed out evenly, whatever the demand. */
const evenFraction = 0.1;

/** Takes the demand since the last report. */
function flushDemands(state: NodeState): LimitDemand[] {
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

/** Reports the demand of each customer to the customer's home. */
export function reportLimits(
  state: NodeState,
  _subject: string,
  nowMs: number,
): Effect[] {
  state.timers.set('reportLimits', '', nowMs + reportPeriodMs);
  const byHome = new Map<string, LimitDemand[]>();
  for (const demand of flushDemands(state)) {
    const key = `limit/${demand.customer}`;
    const [home] = rankOwners(state.membership, key);
    const demands = byHome.get(home) ?? [];
    demands.push(demand);
    byHome.set(home, demands);
  }
  const effects: Effect[] = [];
  for (const [home, demands] of byHome) {
    const report: LimitReport = {kind: 'limitReport', demands};
    effects.push(createSendPeer(state, home, report));
  }
  return effects;
}

/** Divides each customer's limits by demand. */
export function handleLimitReport(
  state: NodeState,
  from: string,
  message: LimitReport,
  nowMs: number,
): Effect[] {
  const shares: {customer: string; share: number}[] = [];
  for (const demand of message.demands) {
    const weight = demand.tokensPerSecond + demand.concurrency + 1;
    const byVm = state.limits.demands.get(demand.customer) ?? new Map();
    byVm.set(from, {weight, reportedAtMs: nowMs});
    state.limits.demands.set(demand.customer, byVm);
    let total = 0;
    for (const [vm, known] of byVm) {
      if (nowMs - known.reportedAtMs > shareLifetimeMs) byVm.delete(vm);
      else total += known.weight;
    }
    const even = evenFraction / byVm.size;
    const share = even + (1 - evenFraction) * (weight / total);
    shares.push({customer: demand.customer, share});
  }
  const answer: LimitShares = {kind: 'limitShares', shares};
  return [createSendPeer(state, from, answer)];
}

/** Takes the shares that the homes gave. */
export function handleLimitShares(
  state: NodeState,
  _from: string,
  message: LimitShares,
  nowMs: number,
): Effect[] {
  const least = getFallbackShare(state) * evenFraction;
  for (const {customer, share} of message.shares) {
    const usage = state.limits.usage.get(customer);
    if (usage === undefined) continue;
    setShare(usage, Math.max(least, share));
    usage.shareExpiresAtMs = nowMs + shareLifetimeMs;
  }
  return [];
}
