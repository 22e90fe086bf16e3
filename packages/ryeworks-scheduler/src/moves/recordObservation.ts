import {Effect} from '../effect.js';
import {SchedulerState} from '../schedulerState.js';
import {ActiveRequest} from '../requests/requestsState.js';
import {getServiceVersions} from './decideVersion.js';
import {ObservationCounts, LatencyBaseline} from './movesState.js';

/** Prompt length that is equivalent to the fixed cost of a call, in tokens. */
const fixedCostTokens = 200;
/** A call is slow above this multiple of the old version's 90th percentile. */
const slowFactor = 1.5;
/** Minimum number of calls for a baseline to be used. */
const minBaselineSamples = 30;
/** Step size of the running percentile, on a logarithmic scale. */
const percentileStep = 0.1;
const percentile = 0.9;

/** Updates a running percentile with a sample and returns the new value. */
function updatePercentile(current: number, sample: number): number {
  if (current === 0) return sample;
  const isAbove = sample > current;
  const shift = percentileStep * (isAbove ? percentile : percentile - 1);
  return current * Math.exp(shift);
}

/** Returns the latency baseline of a route, created on first use. */
function getBaseline(
  state: SchedulerState,
  request: ActiveRequest,
): LatencyBaseline {
  const key = `${request.service.service}|${request.route}`;
  const existing = state.moves.baselines.get(key);
  if (existing !== undefined) return existing;
  const baseline = {samples: 0, firstTokenPerUnitMs: 0, interTokenMs: 0};
  state.moves.baselines.set(key, baseline);
  return baseline;
}

/** Adds one observation to those of the next report. */
function addObservation(
  state: SchedulerState,
  key: string,
  isFailed: boolean,
  isSlow: boolean,
): void {
  const empty: ObservationCounts = {observed: 0, failed: 0, slow: 0};
  const counts = state.moves.unreportedCounts.get(key) ?? empty;
  counts.observed += 1;
  if (isFailed) counts.failed += 1;
  if (isSlow) counts.slow += 1;
  state.moves.unreportedCounts.set(key, counts);
}

/** Creates the key for the observations of one route and version of a move. */
function createCountsKey(move: string, isNew: boolean, route: string): string {
  return `${move}|${isNew ? 'new' : 'old'}|${route}`;
}

/** Parses the key for the observations of one route and version of a move. */
export function parseCountsKey(key: string): {
  move: string;
  onNewVersion: boolean;
  route: string;
} {
  const [move, versionLabel, ...route] = key.split('|');
  return {move, onNewVersion: versionLabel === 'new', route: route.join('|')};
}

/**
 * Records the result of a call as evidence on its version, and updates the
 * latency baseline with calls to the current version.
 */
export function recordObservation(
  state: SchedulerState,
  request: ActiveRequest,
  isSuccess: boolean,
  outputTokens: number,
  nowMs: number,
): Effect[] {
  const {current, move} = getServiceVersions(state, request.service.service);
  const baseline = getBaseline(state, request);
  let isSlow = false;
  if (isSuccess && request.firstTokenAtMs > 0) {
    const firstTokenMs = request.firstTokenAtMs - request.dispatchedAtMs;
    const units = fixedCostTokens + request.promptTokens;
    const perUnitMs = firstTokenMs / units;
    const spanMs = nowMs - request.firstTokenAtMs;
    const interTokenMs = outputTokens > 1 ? spanMs / (outputTokens - 1) : 0;
    isSlow =
      baseline.samples >= minBaselineSamples &&
      (perUnitMs > slowFactor * baseline.firstTokenPerUnitMs ||
        interTokenMs > slowFactor * baseline.interTokenMs);
    if (request.version === current) {
      const {firstTokenPerUnitMs, interTokenMs: oldInterTokenMs} = baseline;
      baseline.samples += 1;
      baseline.firstTokenPerUnitMs = updatePercentile(
        firstTokenPerUnitMs,
        perUnitMs,
      );
      baseline.interTokenMs = updatePercentile(oldInterTokenMs, interTokenMs);
    }
  }
  if (move === undefined) return [];
  const isNew = request.version === move.toVersion;
  if (!isNew && request.version !== move.fromVersion) return [];
  const key = createCountsKey(move.move, isNew, request.route);
  addObservation(state, key, !isSuccess, isSlow);
  return [];
}
