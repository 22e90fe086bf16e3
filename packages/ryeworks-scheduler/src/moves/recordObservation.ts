import {Effect} from '../effect.js';
import {NodeState} from '../nodeState.js';
import {ActiveRequest} from '../requests/requestsState.js';
import {getServiceVersions} from './decideVersion.js';
import {ObservationCounts, LatencyBaseline} from './movesState.js';

/** Prompt length that stands for the fixed cost of a call, in tokens. */
const fixedCostTokens = 200;
/** Factor over the old version's 90th percentile from which a call is slow. */
const slowFactor = 1.5;
/** Calls from which a baseline can be trusted. */
const minBaselineSamples = 30;
/** Step of the running percentile, on a logarithmic scale. */
const percentileStep = 0.1;
const percentile = 0.9;

/** Moves a running percentile towards a sample. */
function updatePercentile(current: number, sample: number): number {
  if (current === 0) return sample;
  const isAbove = sample > current;
  const shift = percentileStep * (isAbove ? percentile : percentile - 1);
  return current * Math.exp(shift);
}

/** Returns the baseline of a route. */
function getBaseline(
  state: NodeState,
  request: ActiveRequest,
): LatencyBaseline {
  const key = `${request.service.service}|${request.route}`;
  const known = state.moves.baselines.get(key);
  if (known !== undefined) return known;
  const baseline = {samples: 0, firstTokenPerUnitMs: 0, interTokenMs: 0};
  state.moves.baselines.set(key, baseline);
  return baseline;
}

/** Adds an observation to the next report. */
function addObservation(
  state: NodeState,
  key: string,
  isFailed: boolean,
  isSlow: boolean,
): void {
  const none: ObservationCounts = {observed: 0, failed: 0, slow: 0};
  const counts = state.moves.unreportedCounts.get(key) ?? none;
  counts.observed += 1;
  if (isFailed) counts.failed += 1;
  if (isSlow) counts.slow += 1;
  state.moves.unreportedCounts.set(key, counts);
}

/** Creates the key of the observations of a route under a move. */
function createCountsKey(move: string, isNew: boolean, route: string): string {
  return `${move}|${isNew ? 'new' : 'old'}|${route}`;
}

/** Reads the key of the observations of a route under a move. */
export function parseCountsKey(key: string): {
  move: string;
  onNewVersion: boolean;
  route: string;
} {
  const [move, which, ...route] = key.split('|');
  return {move, onNewVersion: which === 'new', route: route.join('|')};
}

/** Notes how a call went, as evidence on its version. */
export function recordObservation(
  state: NodeState,
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
      const {firstTokenPerUnitMs, interTokenMs: known} = baseline;
      baseline.samples += 1;
      baseline.firstTokenPerUnitMs = updatePercentile(
        firstTokenPerUnitMs,
        perUnitMs,
      );
      baseline.interTokenMs = updatePercentile(known, interTokenMs);
    }
  }
  if (move === undefined) return [];
  const isNew = request.version === move.toVersion;
  if (!isNew && request.version !== move.fromVersion) return [];
  const key = createCountsKey(move.move, isNew, request.route);
  addObservation(state, key, !isSuccess, isSlow);
  return [];
}
