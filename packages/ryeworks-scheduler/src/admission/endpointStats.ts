import {updateMean} from '@ryeworks/utils';

/** Weight of a new sample in the running means. */
const sampleWeight = 0.05;
/** Smallest factor by which one cut reduces the concurrency of an endpoint. */
const minConcurrencyCutFactor = 0.5;
/** Minimum time between two concurrency cuts of an endpoint, in ms. */
const minConcurrencyCutIntervalMs = 500;
/** Ratio of mean latency to its target above which concurrency is cut. */
const cutAboveLatencyRatio = 0.9;
/** Ratio of mean latency to its target below which concurrency grows. */
const growBelowLatencyRatio = 0.8;
/**
 * Fraction of its concurrency limit above which an endpoint counts as in use.
 * Only endpoints in use gain concurrency.
 */
const inUseFraction = 0.8;
/**
 * Concurrency gained with each call, per unit by which the latency ratio is
 * below `growBelowLatencyRatio`.
 */
const growthPerCall = 0.5;
/** Consecutive failures after which an endpoint cools down. */
const failuresBeforeCooldown = 3;
/** First and longest cool-down of a failing endpoint, in ms. */
const initialCooldownMs = 500;
const maxCooldownMs = 15_000;
/** Maximum number of prefixes remembered for an endpoint. */
const maxRememberedPrefixes = 256;
/** Initial mean prompt length and first-token time (in ms) of an endpoint. */
const initialPromptTokens = 400;
const initialFirstTokenMs = 50;
/** Initial mean time between tokens of an endpoint, in ms. */
const initialInterTokenMs = 20;
/** Initial mean number of gaps between tokens per call of an endpoint. */
const initialTokenGaps = 20;

/** What the admission owner of a cell knows about one endpoint. */
export interface EndpointStats {
  readonly endpoint: string;
  /** Number of grants in use. */
  inFlight: number;
  /** Estimated number of concurrent calls that still meet the latency target. */
  concurrencyLimit: number;
  /** When the prefill of all prompts granted so far should be done, in ms. */
  prefillDoneAtMs: number;
  /** Running means per call; their ratio is the prefill speed. */
  meanPromptTokens: number;
  meanFirstTokenMs: number;
  /** Running means per call; their ratio is the time between tokens. */
  meanTokenGaps: number;
  meanOutputMs: number;
  consecutiveFailures: number;
  /** End of the latest cool-down after failures, in ms; 0 without one. */
  coolingDownUntilMs: number;
  /** When the concurrency limit was last reduced, in ms. */
  lastConcurrencyCutMs: number;
  /** Hashes of the prompt prefixes sent most recently, oldest first. */
  readonly prefixes: Set<number>;
}

/** What was observed of one successful call. */
export interface CallSample {
  readonly promptTokens: number;
  readonly firstTokenMs: number;
  readonly interTokenMs: number;
  readonly outputTokens: number;
}

/** Latency targets of a service. */
export interface LatencyTargets {
  readonly firstTokenTargetMs: number;
  readonly interTokenTargetMs: number;
}

/** Creates the statistics of an endpoint that was never used. */
export function createEndpointStats(
  endpoint: string,
  initialConcurrency: number,
): EndpointStats {
  return {
    endpoint,
    inFlight: 0,
    concurrencyLimit: initialConcurrency,
    prefillDoneAtMs: 0,
    meanPromptTokens: initialPromptTokens,
    meanFirstTokenMs: initialFirstTokenMs,
    meanTokenGaps: initialTokenGaps,
    meanOutputMs: initialTokenGaps * initialInterTokenMs,
    consecutiveFailures: 0,
    coolingDownUntilMs: 0,
    lastConcurrencyCutMs: 0,
    prefixes: new Set(),
  };
}

/** Adds a sample to a running mean. */
function addToMean(mean: number, sample: number): number {
  return updateMean(mean, sample, sampleWeight);
}

/** Returns how many prompt tokens an endpoint prefills per ms. */
export function getPromptTokensPerMs(stats: EndpointStats): number {
  return stats.meanPromptTokens / stats.meanFirstTokenMs;
}

/** Returns the mean time between output tokens of an endpoint, in ms. */
export function getInterTokenMs(stats: EndpointStats): number {
  return stats.meanOutputMs / stats.meanTokenGaps;
}

/** Estimates the time to the first token of a prompt, in ms. */
export function estimateFirstTokenMs(
  stats: EndpointStats,
  promptTokens: number,
  nowMs: number,
): number {
  const waitMs = Math.max(0, stats.prefillDoneAtMs - nowMs);
  return waitMs + promptTokens / getPromptTokensPerMs(stats);
}

/** Records a grant and the prompt that it sends to the endpoint. */
export function recordGrant(
  stats: EndpointStats,
  promptTokens: number,
  prefixHash: number,
  nowMs: number,
): void {
  stats.inFlight += 1;
  const startMs = Math.max(nowMs, stats.prefillDoneAtMs);
  stats.prefillDoneAtMs = startMs + promptTokens / getPromptTokensPerMs(stats);
  stats.prefixes.delete(prefixHash);
  stats.prefixes.add(prefixHash);
  if (stats.prefixes.size <= maxRememberedPrefixes) return;
  for (const oldest of stats.prefixes) {
    stats.prefixes.delete(oldest);
    break;
  }
}

/**
 * Updates the running means and the concurrency limit from a successful call,
 * which must still count as in flight.
 */
export function recordSample(
  stats: EndpointStats,
  sample: CallSample,
  targets: LatencyTargets,
  nowMs: number,
): void {
  stats.consecutiveFailures = 0;
  stats.coolingDownUntilMs = 0;
  if (sample.promptTokens > 0 && sample.firstTokenMs > 0) {
    const {meanPromptTokens, meanFirstTokenMs} = stats;
    stats.meanPromptTokens = addToMean(meanPromptTokens, sample.promptTokens);
    stats.meanFirstTokenMs = addToMean(meanFirstTokenMs, sample.firstTokenMs);
  }
  if (sample.interTokenMs > 0) {
    const gaps = sample.outputTokens - 1;
    stats.meanTokenGaps = addToMean(stats.meanTokenGaps, gaps);
    const outputMs = gaps * sample.interTokenMs;
    stats.meanOutputMs = addToMean(stats.meanOutputMs, outputMs);
  }
  const latencyRatio = getLatencyRatio(stats, targets);
  if (latencyRatio > cutAboveLatencyRatio) {
    reduceConcurrency(stats, latencyRatio, nowMs);
    return;
  }
  const isInUse = stats.inFlight + 1 > stats.concurrencyLimit * inUseFraction;
  if (!isInUse || latencyRatio > growBelowLatencyRatio) return;
  stats.concurrencyLimit +=
    (growBelowLatencyRatio - latencyRatio) * growthPerCall;
}

/**
 * Returns the ratio of the mean latency of an endpoint to the target of its
 * service: of the time between tokens when that has a target, else of the time
 * to the first token.
 */
function getLatencyRatio(
  stats: EndpointStats,
  targets: LatencyTargets,
): number {
  const {firstTokenTargetMs, interTokenTargetMs} = targets;
  if (interTokenTargetMs > 0) {
    return getInterTokenMs(stats) / interTokenTargetMs;
  }
  return stats.meanFirstTokenMs / firstTokenTargetMs;
}

/** Cuts the concurrency limit in inverse proportion to the latency ratio. */
function reduceConcurrency(
  stats: EndpointStats,
  latencyRatio: number,
  nowMs: number,
): void {
  if (nowMs - stats.lastConcurrencyCutMs < minConcurrencyCutIntervalMs) return;
  stats.lastConcurrencyCutMs = nowMs;
  const factor = Math.max(
    minConcurrencyCutFactor,
    cutAboveLatencyRatio / latencyRatio,
  );
  stats.concurrencyLimit = Math.max(1, stats.concurrencyLimit * factor);
}

/**
 * Returns whether an endpoint gets only one call at a time because its last
 * calls failed.
 */
export function isOnProbation(stats: EndpointStats): boolean {
  return stats.consecutiveFailures >= failuresBeforeCooldown;
}

/** Records a failure and starts a cool-down after several in a row. */
export function recordFailure(stats: EndpointStats, nowMs: number): void {
  stats.consecutiveFailures += 1;
  const extraFailures = stats.consecutiveFailures - failuresBeforeCooldown;
  if (extraFailures < 0) return;
  const cooldownMs = Math.min(
    maxCooldownMs,
    initialCooldownMs * 2 ** extraFailures,
  );
  stats.coolingDownUntilMs = nowMs + cooldownMs;
}
