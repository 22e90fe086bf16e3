import {RoutingPolicy, routingPolicy} from '@ryeworks/scheduler';
import {aerolithPlan, CallKind} from '../deployment/deploymentPlan.js';
import {CallLedger, CallRecord} from '../harness/callLedger.js';
import {ScenarioHarness} from '../harness/scenarioHarness.js';
import {getPercentile} from '../report/summarizeCalls.js';
import {metrics} from '../scenarios/metrics.js';

/** Cost of a call on an engine of the first generation, in ms. */
const promptTokenCostMs = 1 / 20;
const outputTokenCostMs = 2.1;
/** Loads before this time are not counted, in ms. */
const warmUpMs = 5000;
/** End of the load, in ms. */
const loadEndMs = 25_000;
/** Time for the last calls to end, in ms. */
const drainMs = 20_000;
/** Rate that saturates every engine, in calls a second. */
const saturatingRate = 800;

const noRetry = {isRetrying: false, marksAttempts: true};
/**
 * Parts of the measured load by kind of call: the highest tier costs about a
 * quarter of it, so that it fits alone at three times the capacity.
 */
const callShares: Readonly<Record<string, number>> = {
  'clinic narrative': 0.08,
  'station summary': 0.52,
  'app alert': 0.4,
};

const modelCalls = aerolithPlan.calls
  .filter(kind => callShares[kind.name] !== undefined)
  .map(kind => ({...kind, share: callShares[kind.name]}));
const totalShare = modelCalls.reduce((sum, kind) => sum + kind.share, 0);

/** A fault in the middle of a run. */
export interface OverloadFault {
  readonly name: string;
  readonly apply: (harness: ScenarioHarness) => void;
}

/** Faults under which the routing policies are compared. */
export const overloadFaults: readonly OverloadFault[] = [
  {name: 'none', apply: () => {}},
  {name: 'VM dies', apply: harness => harness.killVm('lowland-1-0')},
  {
    name: 'engine slows tenfold',
    apply: harness => {
      const engine = harness.endpoints.get('engine-v1-lowland-1-1')!;
      engine.model.slowdown = 10;
    },
  },
  {
    name: 'zone cut off',
    apply: harness => {
      for (const zone of aerolithPlan.availabilityZones.slice(1)) {
        harness.network.addCut('lowland-1', zone);
      }
      harness.network.addCut('lowland-1', 'platform');
    },
  },
];

/** One run of one routing policy. */
export interface OverloadResult {
  readonly routing: RoutingPolicy;
  readonly factor: number;
  readonly fault: string;
  /** Goodput of the tiers 1 to 3. */
  readonly goodput: readonly number[];
  /** Cost of the calls answered in time over the engines' capacity. */
  readonly fill: number;
  /** Prompt tokens read for calls that were not answered in time. */
  readonly wastedPromptTokens: number;
  readonly firstTokenP50Ms: number;
  readonly firstTokenP95Ms: number;
  readonly interTokenP95Ms: number;
  readonly duplicates: number;
  readonly wrongNotRun: number;
  readonly inversions: number;
}

/** Returns the cost of a call, in ms of an engine. */
function getCostMs(call: CallRecord): number {
  return (
    call.promptTokens * promptTokenCostMs +
    call.outputTokens * outputTokenCostMs
  );
}

/** Lists the calls that began after the warm-up. */
function listCountedCalls(ledger: CallLedger): CallRecord[] {
  return ledger.calls.filter(call => call.startedMs >= warmUpMs);
}

/** Measures what the engines can do: the cost done in a second. */
export function measureCapacity(seed: number): {
  costPerSecond: number;
  callsPerSecond: number;
} {
  const harness = new ScenarioHarness({
    plan: aerolithPlan,
    seed,
    scheduler: {claimWindowMs: 600_000},
  });
  for (const kind of modelCalls) {
    const patient: CallKind = {...kind, tier: 2, deadlineMs: 200_000};
    const rate = (saturatingRate * kind.share) / totalShare;
    harness.callers.startLoad(patient, rate, loadEndMs, noRetry);
  }
  harness.runUntil(loadEndMs);
  let cost = 0;
  let calls = 0;
  for (const call of harness.ledger.calls) {
    const answer = harness.ledger.getFinalAnswer(call);
    if (answer?.outcome !== 'done' || answer.atMs < warmUpMs) continue;
    cost += getCostMs(call);
    calls += 1;
  }
  const seconds = (loadEndMs - warmUpMs) / 1000;
  return {costPerSecond: cost / seconds, callsPerSecond: calls / seconds};
}

/** Options of one run. */
export interface OverloadOptions {
  readonly routing: RoutingPolicy;
  readonly factor: number;
  readonly fault: OverloadFault;
  readonly capacityCostPerSecond: number;
  readonly seed: number;
  /** Sends the calls of the highest tier alone. */
  readonly isTopTierAlone: boolean;
}

/** Returns the mean cost of a call of the mix, in ms. */
function getMeanCostMs(calls: readonly CallRecord[]): number {
  const sum = calls.reduce((total, call) => total + getCostMs(call), 0);
  return sum / Math.max(1, calls.length);
}

/** Estimates the mean cost of the mix from a short run. */
export function measureMeanCostMs(seed: number): number {
  const harness = new ScenarioHarness({plan: aerolithPlan, seed});
  for (const kind of modelCalls) {
    const rate = (200 * kind.share) / totalShare;
    harness.callers.startLoad(kind, rate, 10_000, noRetry);
  }
  harness.runUntil(10_000);
  return getMeanCostMs(harness.ledger.calls);
}

/** Runs one load and summarizes it. */
export function measureOverload(
  options: OverloadOptions,
  meanCostMs: number,
): OverloadResult {
  const {routing, factor, fault, seed, capacityCostPerSecond} = options;
  const scheduler = {routing};
  const harness = new ScenarioHarness({plan: aerolithPlan, seed, scheduler});
  const callsPerSecond = (factor * capacityCostPerSecond) / meanCostMs;
  for (const kind of modelCalls) {
    if (options.isTopTierAlone && kind.tier !== 1) continue;
    const rate = (callsPerSecond * kind.share) / totalShare;
    harness.callers.startLoad(kind, rate, loadEndMs, noRetry);
  }
  harness.events.schedule(loadEndMs / 2, () => fault.apply(harness));
  harness.runUntil(loadEndMs + drainMs);
  return summarizeRun(harness, options);
}

/** Summarizes a finished run. */
function summarizeRun(
  harness: ScenarioHarness,
  options: OverloadOptions,
): OverloadResult {
  const {ledger} = harness;
  const counted = listCountedCalls(ledger);
  const good = counted.filter(call => ledger.wasAnsweredInTime(call));
  const seconds = (loadEndMs - warmUpMs) / 1000;
  const goodCost = good.reduce((sum, call) => sum + getCostMs(call), 0);
  const topTier = good.filter(call => call.kind.tier === 1);
  const firstTokens = topTier.map(call => call.firstTokenMs - call.startedMs);
  const interTokens = topTier.map(call => {
    const endMs = ledger.getFinalAnswer(call)!.atMs;
    return (endMs - call.firstTokenMs) / Math.max(1, call.outputTokens - 1);
  });
  let wasted = 0;
  for (const {requestId} of ledger.dispatches) {
    const call = ledger.callByRequestId.get(requestId)!;
    if (!ledger.wasAnsweredInTime(call)) wasted += call.promptTokens;
  }
  const goodputOf = (tier: number) => {
    const ofTier = counted.filter(call => call.kind.tier === tier);
    const goodOfTier = ofTier.filter(call => ledger.wasAnsweredInTime(call));
    return ofTier.length === 0 ? 1 : goodOfTier.length / ofTier.length;
  };
  return {
    routing: options.routing,
    factor: options.factor,
    fault: options.fault.name,
    goodput: [goodputOf(1), goodputOf(2), goodputOf(3)],
    fill: goodCost / seconds / options.capacityCostPerSecond,
    wastedPromptTokens: wasted,
    firstTokenP50Ms: getPercentile(firstTokens, 50),
    firstTokenP95Ms: getPercentile(firstTokens, 95),
    interTokenP95Ms: getPercentile(interTokens, 95),
    duplicates: metrics['duplicates'](harness, {}),
    wrongNotRun: metrics['wrong not-run'](harness, {}),
    inversions: metrics['inversions'](harness, {}),
  };
}

/** Routing policies that are compared, the baseline first. */
export const comparedPolicies: readonly RoutingPolicy[] = [
  routingPolicy.leastLoadedOfTwo,
  routingPolicy.grants,
];
