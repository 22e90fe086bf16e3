import {FaultOptions, noFaults} from '@ryeworks/standins';
import {aerolithPlan} from '../deployment/deploymentPlan.js';
import {ScenarioHarness} from '../harness/scenarioHarness.js';
import {actionHandlers} from '../scenarios/actions.js';
import {metrics} from '../scenarios/metrics.js';

/** Start of the move, its deadline and the end of the run, in ms. */
const moveStartMs = 15_000;
const moveWindowMs = 60_000;
const runEndMs = 100_000;
/** Mean rate of the model calls, in calls a second. */
const callsPerSecond = 60;

const noRetry = {isRetrying: false, marksAttempts: true};

/** Ways in which a version can be bad, and a good one. */
export const versionKinds: Readonly<Record<string, FaultOptions>> = {
  good: noFaults,
  'fails at once': {...noFaults, failRate: 0.5},
  'fails later': {...noFaults, failRate: 0.5, afterCalls: 20},
  slow: {...noFaults, slowFactor: 3},
  'slow under load': {...noFaults, slowFactor: 4, fromBatch: 2},
  'fails on one route': {
    ...noFaults,
    failRate: 0.5,
    route: 'station summary',
  },
};

/** How one move went. */
export interface MoveResult {
  readonly version: string;
  readonly seed: number;
  readonly isWithdrawn: boolean;
  readonly isDoneInTime: boolean;
  /** Requests sent to the new version, and their share of the window's. */
  readonly newRequests: number;
  readonly share: number;
  /** Time from the first bad call to the last dispatch, in ms. */
  readonly exposureMs: number;
  readonly afterVerdict: number;
}

/** Runs one move to a version of some kind. */
export function measureMove(version: string, seed: number): MoveResult {
  const harness = new ScenarioHarness({plan: aerolithPlan, seed});
  const badness = versionKinds[version];
  for (const kind of aerolithPlan.calls) {
    if (kind.path !== '') continue;
    const rate = (callsPerSecond * kind.share) / 0.7;
    harness.callers.startLoad(kind, rate, runEndMs - 10_000, noRetry);
  }
  harness.runUntil(2000);
  actionHandlers['startVersion'](harness, {verb: '', version: 'v2'});
  for (const {endpoint, model} of harness.endpoints.values()) {
    if (endpoint.version === 'v2') model.faults = {...badness};
  }
  harness.runUntil(moveStartMs);
  const move = {verb: '', version: 'v2', durationMs: moveWindowMs};
  actionHandlers['startMove'](harness, move);
  harness.runUntil(runEndMs);
  return summarizeMove(harness, version, seed);
}

/** Summarizes a finished move. */
function summarizeMove(
  harness: ScenarioHarness,
  version: string,
  seed: number,
): MoveResult {
  const {ledger, platform} = harness;
  const [move] = platform.getContent('moves').moves;
  const inWindow = ledger.dispatches.filter(
    one => one.atMs >= moveStartMs && one.atMs <= moveStartMs + moveWindowMs,
  );
  const toNew = ledger.dispatches.filter(one => one.version === 'v2');
  const bad = toNew.filter(one => {
    const call = ledger.callByRequestId.get(one.requestId)!;
    return !ledger.wasAnsweredInTime(call);
  });
  const lastMs = toNew[toNew.length - 1]?.atMs ?? 0;
  const firstBadMs = bad[0]?.atMs ?? toNew[0]?.atMs ?? 0;
  const lateV1 = ledger.dispatches.filter(
    one => one.version === 'v1' && one.atMs > moveStartMs + moveWindowMs,
  );
  const isWithdrawn = move.phase === 'withdrawn';
  const inWindowNew = inWindow.filter(one => one.version === 'v2').length;
  return {
    version,
    seed,
    isWithdrawn,
    isDoneInTime: move.phase === 'done' && lateV1.length === 0,
    newRequests: toNew.length,
    share: inWindowNew / Math.max(1, inWindow.length),
    exposureMs: isWithdrawn ? lastMs - firstBadMs : 0,
    afterVerdict: metrics['dispatches after verdict'](harness, {}),
  };
}
