import {RoutingPolicy, routingPolicy} from '@ryeworks/scheduler';
import {aerolithPlan, CallKind} from '../deployment/deploymentPlan.js';
import {CallLedger, CallRecord} from '../harness/callLedger.js';
import {ScenarioHarness} from '../harness/scenarioHarness.js';
import {getPercentile} from '../report/summarizeCalls.js';
import {metrics} from '../scenarios/metrics.js';

/** Time per prompt token on an engine of the first generation, in ms. */
const promptTokenCostMs = 1 / 20;
/** Time per output token on an engine of the first generation, in ms. */
const outputTokenCostMs = 2.1;
/** Calls that start before this time are not counted, in ms. */
const warmUpMs = 5000;
/** End of the load, in ms. */
const loadEndMs = 25_000;
/** Time after the end of the load in which the last calls can end, in ms. */
const drainMs = 20_000;
/** Rate that saturates every engine, in calls per second. */
const saturatingRate = 800;

/** Behavior of callers that do not retry. */
const noRetry = {isRetrying: false, marksAttempts: true};

/**
 * Share of each kind of call in the load. The highest tier causes about a
 * quarter of the cost, so that the engines can serve all calls of that tier when
 * the load is three times their capacity.
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

/** A fault that occurs in the middle of a run. */
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

/** Result of one run with one routing policy. */
export interface OverloadResult {
  readonly routing: RoutingPolicy;
  /** Load as a multiple of the engines' capacity. */
  readonly factor: number;
  /** Name of the fault. */
  readonly fault: string;
  /** Goodput of tiers 1 to 3: the share of calls answered in time. */
  readonly goodput: readonly number[];
  /** Cost of the calls answered in time, relative to the engines' capacity. */
  readonly fill: number;
  /** Prompt tokens of dispatches whose calls were not answered in time. */
  readonly wastedPromptTokens: number;
  readonly firstTokenP50Ms: number;
  readonly firstTokenP95Ms: number;
  readonly interTokenP95Ms: number;
  /** Number of extra runs of calls that may run only once. */
  readonly duplicates: number;
  /** Number of calls that ran although their answers said `not-run`. */
  readonly wrongNotRun: number;
  /**
   * Number of calls of the highest tier that were shed while the same service
   * served a lower tier.
   */
  readonly inversions: number;
}

/** Returns the cost of a call, in ms of engine time. */
function getCostMs(call: CallRecord): number {
  return (
    call.promptTokens * promptTokenCostMs +
    call.outputTokens * outputTokenCostMs
  );
}

/** Lists the calls that started after the warm-up. */
function listCountedCalls(ledger: CallLedger): CallRecord[] {
  return ledger.calls.filter(call => call.startedMs >= warmUpMs);
}

/**
 * Measures the capacity of the engines: the calls that they complete per second
 * and the cost of these calls, in ms of engine time.
 */
export function measureCapacity(seed: number): {
  costPerSecond: number;
  callsPerSecond: number;
} {
  const harness = new ScenarioHarness({
    plan: aerolithPlan,
    seed,
    // The scheduler limits deadlines to half the claim window.
    scheduler: {claimWindowMs: 600_000},
  });
  for (const kind of modelCalls) {
    const longDeadlineKind: CallKind = {...kind, tier: 2, deadlineMs: 200_000};
    const rate = (saturatingRate * kind.share) / totalShare;
    harness.callers.startLoad(longDeadlineKind, rate, loadEndMs, noRetry);
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

/** Options of {@link measureOverload}. */
export interface OverloadOptions {
  readonly routing: RoutingPolicy;
  /** Load as a multiple of the engines' capacity. */
  readonly factor: number;
  readonly fault: OverloadFault;
  /** Capacity of all engines, in ms of engine time per second. */
  readonly capacityCostPerSecond: number;
  readonly seed: number;
  /** Whether to send only the calls of the highest tier. */
  readonly isTopTierAlone: boolean;
}

/** Returns the mean cost of the calls, in ms of engine time. */
function getMeanCostMs(calls: readonly CallRecord[]): number {
  const sum = calls.reduce((total, call) => total + getCostMs(call), 0);
  return sum / Math.max(1, calls.length);
}

/**
 * Estimates the mean cost of a call of the load from a short run, in ms of
 * engine time.
 */
export function measureMeanCostMs(seed: number): number {
  const harness = new ScenarioHarness({plan: aerolithPlan, seed});
  for (const kind of modelCalls) {
    const rate = (200 * kind.share) / totalShare;
    harness.callers.startLoad(kind, rate, 10_000, noRetry);
  }
  harness.runUntil(10_000);
  return getMeanCostMs(harness.ledger.calls);
}

/** Runs one load with a fault in the middle of it and summarizes the run. */
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
  const callsInTime = counted.filter(call => ledger.wasAnsweredInTime(call));
  const seconds = (loadEndMs - warmUpMs) / 1000;
  const costInTime = callsInTime.reduce(
    (sum, call) => sum + getCostMs(call),
    0,
  );
  const topTierCalls = callsInTime.filter(call => call.kind.tier === 1);
  const firstTokenDelaysMs = topTierCalls.map(
    call => call.firstTokenMs - call.startedMs,
  );
  const interTokenDelaysMs = topTierCalls.map(call => {
    const endMs = ledger.getFinalAnswer(call)!.atMs;
    return (endMs - call.firstTokenMs) / Math.max(1, call.outputTokens - 1);
  });
  let wastedTokens = 0;
  for (const {requestId} of ledger.dispatches) {
    const call = ledger.callByRequestId.get(requestId)!;
    if (!ledger.wasAnsweredInTime(call)) wastedTokens += call.promptTokens;
  }
  const getGoodput = (tier: number) => {
    const tierCalls = counted.filter(call => call.kind.tier === tier);
    const tierCallsInTime = tierCalls.filter(call =>
      ledger.wasAnsweredInTime(call),
    );
    return tierCalls.length === 0
      ? 1
      : tierCallsInTime.length / tierCalls.length;
  };
  return {
    routing: options.routing,
    factor: options.factor,
    fault: options.fault.name,
    goodput: [getGoodput(1), getGoodput(2), getGoodput(3)],
    fill: costInTime / seconds / options.capacityCostPerSecond,
    wastedPromptTokens: wastedTokens,
    firstTokenP50Ms: getPercentile(firstTokenDelaysMs, 50),
    firstTokenP95Ms: getPercentile(firstTokenDelaysMs, 95),
    interTokenP95Ms: getPercentile(interTokenDelaysMs, 95),
    duplicates: metrics['duplicates'](harness, {}),
    wrongNotRun: metrics['wrong not-run'](harness, {}),
    inversions: metrics['inversions'](harness, {}),
  };
}

/** The routing policies that are compared, the baseline first. */
export const comparedPolicies: readonly RoutingPolicy[] = [
  routingPolicy.leastLoadedOfTwo,
  routingPolicy.grants,
];
