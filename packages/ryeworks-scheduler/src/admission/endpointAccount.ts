/** Weight of a new sample in a running mean. */
const sampleWeight = 0.05;
/** Least factor by which an endpoint that is too slow loses concurrency. */
const leastSlowDownFactor = 0.5;
/** Least time between two cuts of the concurrency of an endpoint, in ms. */
const slowDownIntervalMs = 500;
/** Mean pace over the target above which concurrency is cut. */
const cutAbovePace = 0.9;
/** Mean pace over the target below which concurrency grows. */
const growBelowPace = 0.8;
/** Part of its concurrency from which an endpoint counts as in use. */
const inUseFraction = 0.8;
/** Concurrency gained with each call, for each unit of spare pace. */
const growthPerCall = 0.5;
/** Failures in a row after which an endpoint rests. */
const failuresBeforeRest = 3;
/** First and longest rest of a failing endpoint, in ms. */
const firstRestMs = 500;
const longestRestMs = 15_000;
/** Prefixes remembered for an endpoint. */
const rememberedPrefixes = 256;
/** Prompt length and first-token time that an unknown endpoint starts from. */
const initialPromptTokens = 400;
const initialFirstTokenMs = 50;
/** Mean time between tokens of an unknown endpoint, in ms. */
const initialInterTokenMs = 20;
/** Gaps between tokens of a call that an unknown endpoint starts from. */
const initialGaps = 20;

/** What the admission owner knows of one endpoint. */
export interface EndpointAccount {
  readonly endpoint: string;
  /** Grants in use. */
  inFlight: number;
  /** Concurrent calls that the endpoint takes without being too slow. */
  concurrencyLimit: number;
  /** When the prompts granted so far will have been read, in ms. */
  promptsReadAtMs: number;
  /** Running means over calls; their ratio is the reading speed. */
  meanPromptTokens: number;
  meanFirstTokenMs: number;
  /** Running means over calls; their ratio is the time between tokens. */
  meanGaps: number;
  meanSpanMs: number;
  failuresInRow: number;
  restingUntilMs: number;
  lastSlowDownMs: number;
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
export interface PaceTargets {
  readonly firstTokenTargetMs: number;
  readonly interTokenTargetMs: number;
}

/** Creates the account of an endpoint that was never used. */
export function createEndpointAccount(
  endpoint: string,
  initialConcurrency: number,
): EndpointAccount {
  return {
    endpoint,
    inFlight: 0,
    concurrencyLimit: initialConcurrency,
    promptsReadAtMs: 0,
    meanPromptTokens: initialPromptTokens,
    meanFirstTokenMs: initialFirstTokenMs,
    meanGaps: initialGaps,
    meanSpanMs: initialGaps * initialInterTokenMs,
    failuresInRow: 0,
    restingUntilMs: 0,
    lastSlowDownMs: 0,
    prefixes: new Set(),
  };
}

/** Moves a mean towards a sample. */
function mixSample(mean: number, sample: number): number {
  return mean + (sample - mean) * sampleWeight;
}

/** Returns how many prompt tokens an endpoint reads in a ms. */
export function getPromptTokensPerMs(account: EndpointAccount): number {
  return account.meanPromptTokens / account.meanFirstTokenMs;
}

/** Returns the mean time between the tokens of an endpoint, in ms. */
export function getInterTokenMs(account: EndpointAccount): number {
  return account.meanSpanMs / account.meanGaps;
}

/** Estimates the time to the first token of a prompt, in ms. */
export function estimateFirstTokenMs(
  account: EndpointAccount,
  promptTokens: number,
  nowMs: number,
): number {
  const waitMs = Math.max(0, account.promptsReadAtMs - nowMs);
  return waitMs + promptTokens / getPromptTokensPerMs(account);
}

/** Notes that a prompt was granted. */
export function recordGrant(
  account: EndpointAccount,
  promptTokens: number,
  prefixHash: number,
  nowMs: number,
): void {
  account.inFlight += 1;
  const startMs = Math.max(nowMs, account.promptsReadAtMs);
  account.promptsReadAtMs =
    startMs + promptTokens / getPromptTokensPerMs(account);
  account.prefixes.delete(prefixHash);
  account.prefixes.add(prefixHash);
  if (account.prefixes.size <= rememberedPrefixes) return;
  for (const oldest of account.prefixes) {
    account.prefixes.delete(oldest);
    break;
  }
}

/** Learns from a call that ends well, while it still counts as in flight. */
export function recordSample(
  account: EndpointAccount,
  sample: CallSample,
  targets: PaceTargets,
  nowMs: number,
): void {
  account.failuresInRow = 0;
  account.restingUntilMs = 0;
  if (sample.promptTokens > 0 && sample.firstTokenMs > 0) {
    const {meanPromptTokens, meanFirstTokenMs} = account;
    account.meanPromptTokens = mixSample(meanPromptTokens, sample.promptTokens);
    account.meanFirstTokenMs = mixSample(meanFirstTokenMs, sample.firstTokenMs);
  }
  if (sample.interTokenMs > 0) {
    const gaps = sample.outputTokens - 1;
    account.meanGaps = mixSample(account.meanGaps, gaps);
    const spanMs = gaps * sample.interTokenMs;
    account.meanSpanMs = mixSample(account.meanSpanMs, spanMs);
  }
  const pace = getPace(account, targets);
  if (pace > cutAbovePace) {
    reduceConcurrency(account, pace, nowMs);
    return;
  }
  const isInUse =
    account.inFlight + 1 > account.concurrencyLimit * inUseFraction;
  if (!isInUse || pace > growBelowPace) return;
  account.concurrencyLimit += (growBelowPace - pace) * growthPerCall;
}

/** Returns the mean pace of an endpoint over the target of its service. */
function getPace(account: EndpointAccount, targets: PaceTargets): number {
  const {firstTokenTargetMs, interTokenTargetMs} = targets;
  if (interTokenTargetMs > 0) {
    return getInterTokenMs(account) / interTokenTargetMs;
  }
  return account.meanFirstTokenMs / firstTokenTargetMs;
}

/** Cuts the concurrency of an endpoint in proportion to its slowness. */
function reduceConcurrency(
  account: EndpointAccount,
  pace: number,
  nowMs: number,
): void {
  if (nowMs - account.lastSlowDownMs < slowDownIntervalMs) return;
  account.lastSlowDownMs = nowMs;
  const factor = Math.max(leastSlowDownFactor, cutAbovePace / pace);
  account.concurrencyLimit = Math.max(1, account.concurrencyLimit * factor);
}

/** Tells whether an endpoint that failed gets one call at a time. */
export function isOnProbation(account: EndpointAccount): boolean {
  return account.failuresInRow >= failuresBeforeRest;
}

/** Rests an endpoint that fails again and again. */
export function recordFailure(account: EndpointAccount, nowMs: number): void {
  account.failuresInRow += 1;
  const excess = account.failuresInRow - failuresBeforeRest;
  if (excess < 0) return;
  const restMs = Math.min(longestRestMs, firstRestMs * 2 ** excess);
  account.restingUntilMs = nowMs + restMs;
}
