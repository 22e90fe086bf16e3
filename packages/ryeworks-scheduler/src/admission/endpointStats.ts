/** Weight of a new sample in a running mean. */
const sampleWeight = 0.05;
/** Least factor by which an endpoint that is too slow loses concurrency. */
const minConcurrencyCutFactor = 0.5;
/** Least time between two cuts of the concurrency of an endpoint, in ms. */
const minConcurrencyCutIntervalMs = 500;
/** Mean pace over the target above which concurrency is cut. */
const cutAboveLatencyRatio = 0.9;
/** Mean pace over the target below which concurrency grows. */
const growBelowLatencyRatio = 0.8;
/** Part of its concurrency from which an endpoint counts as in use. */
const inUseFraction = 0.8;
/** Concurrency gained with each call, for each unit of spare pace. */
const growthPerCall = 0.5;
/** Failures in a row after which an endpoint rests. */
const failuresBeforeCooldown = 3;
/** First and longest rest of a failing endpoint, in ms. */
const initialCooldownMs = 500;
const maxCooldownMs = 15_000;
/** Prefixes remembered for an endpoint. */
const maxRememberedPrefixes = 256;
/** Prompt length and first-token time that an unknown endpoint starts from. */
const initialPromptTokens = 400;
const initialFirstTokenMs = 50;
/** Mean time between tokens of an unknown endpoint, in ms. */
const initialInterTokenMs = 20;
/** Gaps between tokens of a call that an unknown endpoint starts from. */
const initialTokenGaps = 20;

/** What the admission owner knows of one endpoint. */
export interface EndpointStats {
  readonly endpoint: string;
  /** Grants in use. */
  inFlight: number;
  /** Concurrent calls that the endpoint takes without being too slow. */
  concurrencyLimit: number;
  /** When the prompts granted so far will have been read, in ms. */
  prefillDoneAtMs: number;
  /** Running means over calls; their ratio is the reading speed. */
  meanPromptTokens: number;
  meanFirstTokenMs: number;
  /** Running means over calls; their ratio is the time between tokens. */
  meanTokenGaps: number;
  meanOutputMs: number;
  consecutiveFailures: number;
  coolingDownUntilMs: number;
  lastConcurrencyCutMs: number;
  /** Hashes of prefixes sent lately, oldest first. */
  readonly prefixes: Set<number>;
}

/** What was observed of one call. */
export interface CallSample {
  readonly promptTokens: number;
  readonly firstTokenMs: number;
  readonly interTokenMs: number;
  readonly outputTokens: number;
}

/** Longest acceptable times of a service. */
export interface LatencyTargets {
  readonly firstTokenTargetMs: number;
  readonly interTokenTargetMs: number;
}

/** Creates the account of an endpoint that was never used. */
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

/** Moves a mean towards a sample. */
function updateMean(mean: number, sample: number): number {
  return mean + (sample - mean) * sampleWeight;
}

/** Returns how many prompt tokens an endpoint reads in a ms. */
export function getPromptTokensPerMs(account: EndpointStats): number {
  return account.meanPromptTokens / account.meanFirstTokenMs;
}

/** Returns the mean time between the tokens of an endpoint, in ms. */
export function getInterTokenMs(account: EndpointStats): number {
  return account.meanOutputMs / account.meanTokenGaps;
}

/** Estimates the time to the first token of a prompt, in ms. */
export function estimateFirstTokenMs(
  account: EndpointStats,
  promptTokens: number,
  nowMs: number,
): number {
  const waitMs = Math.max(0, account.prefillDoneAtMs - nowMs);
  return waitMs + promptTokens / getPromptTokensPerMs(account);
}

/** Notes that a prompt was granted. */
export function recordGrant(
  account: EndpointStats,
  promptTokens: number,
  prefixHash: number,
  nowMs: number,
): void {
  account.inFlight += 1;
  const startMs = Math.max(nowMs, account.prefillDoneAtMs);
  account.prefillDoneAtMs =
    startMs + promptTokens / getPromptTokensPerMs(account);
  account.prefixes.delete(prefixHash);
  account.prefixes.add(prefixHash);
  if (account.prefixes.size <= maxRememberedPrefixes) return;
  for (const oldest of account.prefixes) {
    account.prefixes.delete(oldest);
    break;
  }
}

/** Learns from a call that ends well, while it still counts as in flight. */
export function recordSample(
  account: EndpointStats,
  sample: CallSample,
  targets: LatencyTargets,
  nowMs: number,
): void {
  account.consecutiveFailures = 0;
  account.coolingDownUntilMs = 0;
  if (sample.promptTokens > 0 && sample.firstTokenMs > 0) {
    const {meanPromptTokens, meanFirstTokenMs} = account;
    account.meanPromptTokens = updateMean(
      meanPromptTokens,
      sample.promptTokens,
    );
    account.meanFirstTokenMs = updateMean(
      meanFirstTokenMs,
      sample.firstTokenMs,
    );
  }
  if (sample.interTokenMs > 0) {
    const gaps = sample.outputTokens - 1;
    account.meanTokenGaps = updateMean(account.meanTokenGaps, gaps);
    const spanMs = gaps * sample.interTokenMs;
    account.meanOutputMs = updateMean(account.meanOutputMs, spanMs);
  }
  const pace = getLatencyRatio(account, targets);
  if (pace > cutAboveLatencyRatio) {
    reduceConcurrency(account, pace, nowMs);
    return;
  }
  const isInUse =
    account.inFlight + 1 > account.concurrencyLimit * inUseFraction;
  if (!isInUse || pace > growBelowLatencyRatio) return;
  account.concurrencyLimit += (growBelowLatencyRatio - pace) * growthPerCall;
}

/** Returns the mean pace of an endpoint over the target of its service. */
function getLatencyRatio(
  account: EndpointStats,
  targets: LatencyTargets,
): number {
  const {firstTokenTargetMs, interTokenTargetMs} = targets;
  if (interTokenTargetMs > 0) {
    return getInterTokenMs(account) / interTokenTargetMs;
  }
  return account.meanFirstTokenMs / firstTokenTargetMs;
}

/** Cuts the concurrency of an endpoint in proportion to its slowness. */
function reduceConcurrency(
  account: EndpointStats,
  pace: number,
  nowMs: number,
): void {
  if (nowMs - account.lastConcurrencyCutMs < minConcurrencyCutIntervalMs)
    return;
  account.lastConcurrencyCutMs = nowMs;
  const factor = Math.max(minConcurrencyCutFactor, cutAboveLatencyRatio / pace);
  account.concurrencyLimit = Math.max(1, account.concurrencyLimit * factor);
}

/** Tells whether an endpoint that failed gets one call at a time. */
export function isOnProbation(account: EndpointStats): boolean {
  return account.consecutiveFailures >= failuresBeforeCooldown;
}

/** Rests an endpoint that fails again and again. */
export function recordFailure(account: EndpointStats, nowMs: number): void {
  account.consecutiveFailures += 1;
  const excess = account.consecutiveFailures - failuresBeforeCooldown;
  if (excess < 0) return;
  const restMs = Math.min(maxCooldownMs, initialCooldownMs * 2 ** excess);
  account.coolingDownUntilMs = nowMs + restMs;
}
