import {FaultOptions, noFaults} from '@ryeworks/standins';
import {aerolithPlan} from '../deployment/deploymentPlan.js';
import {ScenarioHarness} from '../harness/scenarioHarness.js';
import {actionHandlers} from '../scenarios/actions.js';
import {metrics} from '../scenarios/metrics.js';

/** Start of the move, in ms. */
const moveStartMs = 15_000;
/** Time within which the move must be done, in ms. */
const moveWindowMs = 60_000;
/** End of the run, in ms. */
const runEndMs = 100_000;
/** Mean rate of the model calls, in calls per second. */
const callsPerSecond = 60;

/** Behavior of callers that do not retry. */
const noRetry = {isRetrying: false, marksAttempts: true};

/** The measured kinds of versions and their faults; `good` has none. */
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

/** Result of one move. */
export interface MoveResult {
  /** Kind of the version, a key of {@link versionKinds}. */
  readonly version: string;
  readonly seed: number;
  readonly isWithdrawn: boolean;
  /**
   * Whether the move was done and the old version received no requests after
   * the move window.
   */
  readonly isDoneInTime: boolean;
  /** Number of requests dispatched to the new version. */
  readonly newRequests: number;
  /** Share of the new version in the requests dispatched in the move window. */
  readonly share: number;
  /**
   * Time from the first dispatch to the new version whose call was not answered
   * in time until the last dispatch to it, in ms. Counts from the first dispatch
   * if every call was answered in time; 0 unless the move was withdrawn.
   */
  readonly exposureMs: number;
  /**
   * Number of dispatches to the new version after the time by which every VM
   * should have received the verdict.
   */
  readonly afterVerdict: number;
}

/** Runs one move to a version of a kind and summarizes it. */
export function measureMove(version: string, seed: number): MoveResult {
  const harness = new ScenarioHarness({plan: aerolithPlan, seed});
  const faults = versionKinds[version];
  for (const kind of aerolithPlan.calls) {
    if (kind.path !== '') continue;
    // The shares of the model calls in the plan add up to 0.7.
    const rate = (callsPerSecond * kind.share) / 0.7;
    harness.callers.startLoad(kind, rate, runEndMs - 10_000, noRetry);
  }
  harness.runUntil(2000);
  actionHandlers['startVersion'](harness, {verb: '', version: 'v2'});
  for (const {endpoint, model} of harness.endpoints.values()) {
    if (endpoint.version === 'v2') model.faults = {...faults};
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
    dispatch =>
      dispatch.atMs >= moveStartMs &&
      dispatch.atMs <= moveStartMs + moveWindowMs,
  );
  const newDispatches = ledger.dispatches.filter(
    dispatch => dispatch.version === 'v2',
  );
  const failedDispatches = newDispatches.filter(dispatch => {
    const call = ledger.callByRequestId.get(dispatch.requestId)!;
    return !ledger.wasAnsweredInTime(call);
  });
  const lastMs = newDispatches[newDispatches.length - 1]?.atMs ?? 0;
  const firstFailedMs =
    failedDispatches[0]?.atMs ?? newDispatches[0]?.atMs ?? 0;
  const lateOldDispatches = ledger.dispatches.filter(
    dispatch =>
      dispatch.version === 'v1' && dispatch.atMs > moveStartMs + moveWindowMs,
  );
  const isWithdrawn = move.phase === 'withdrawn';
  const newInWindow = inWindow.filter(
    dispatch => dispatch.version === 'v2',
  ).length;
  return {
    version: version,
    seed,
    isWithdrawn,
    isDoneInTime: move.phase === 'done' && lateOldDispatches.length === 0,
    newRequests: newDispatches.length,
    share: newInWindow / Math.max(1, inWindow.length),
    exposureMs: isWithdrawn ? lastMs - firstFailedMs : 0,
    afterVerdict: metrics['dispatches after verdict'](harness, {}),
  };
}
