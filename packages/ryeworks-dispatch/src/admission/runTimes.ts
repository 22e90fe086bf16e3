import {updateMean} from '@ryeworks/utils';
import {Route} from '../desired/desiredState.js';

/** Weight of a new sample in the running means. */
const sampleWeight = 0.1;
/** Mean deviations by which few runs exceed the mean. */
const deviationFactor = 3;
/** Time that a run is assumed to take, as a fraction of the route's timeout. */
const unknownFraction = 0.3;

/** How long the calls of one route take from their start to their end. */
export interface RunTime {
  /** Running mean, in ms. */
  meanMs: number;
  /** Running mean of the absolute deviation from the mean, in ms. */
  deviationMs: number;
}

/** Run times by route name. */
export type RunTimes = Map<string, RunTime>;

/** Records a call that ended with a complete answer. */
export function recordRunTime(
  runTimes: RunTimes,
  routeName: string,
  elapsedMs: number,
): void {
  const known = runTimes.get(routeName);
  if (known === undefined) {
    runTimes.set(routeName, {meanMs: elapsedMs, deviationMs: 0});
    return;
  }
  const deviationMs = Math.abs(elapsedMs - known.meanMs);
  known.meanMs = updateMean(known.meanMs, elapsedMs, sampleWeight);
  known.deviationMs = updateMean(known.deviationMs, deviationMs, sampleWeight);
}

/** Returns the time within which nearly all calls of a route end, in ms. */
export function estimateRunTimeMs(
  runTimes: RunTimes,
  {name, timeoutMs}: Route,
): number {
  const known = runTimes.get(name);
  if (known === undefined) return timeoutMs * unknownFraction;
  return known.meanMs + deviationFactor * known.deviationMs;
}
