import {createRandomSource, pickRandom, RandomSource} from '@ryeworks/utils';
import {CallResult, makeCall, PlannedCall} from './makeCall.js';
import {LoadOptions, pickCall} from './runLoad.js';

/** Maximum number of attempts of one call. */
const maxAttempts = 6;
/** Minimum time from an answer to the next attempt, in ms. */
const minRetryDelayMs = 100;

/** Errors after which a caller retries. */
const retryableErrors: ReadonlySet<string> = new Set([
  'overloaded',
  'noEndpoint',
  'notReady',
  'limitExceeded',
  'outcomeUnknown',
  'deadlineExceeded',
  'truncated',
]);

/** A call with the results of all its attempts. */
export interface RetriedCall {
  readonly call: PlannedCall;
  readonly attempts: readonly CallResult[];
}

/** Returns whether a caller retries after a result. */
function isRetryable(result: CallResult): boolean {
  return result.status === 0 || retryableErrors.has(result.error);
}

/**
 * Makes a call and retries it with the same idempotency key, each time at a
 * random VM, until it succeeds, fails with an error that is not retryable or has
 * used up its attempts.
 */
async function makeCallWithRetries(
  call: PlannedCall,
  listUrls: () => readonly string[],
  random: RandomSource,
): Promise<RetriedCall> {
  const attempts: CallResult[] = [];
  while (attempts.length < maxAttempts) {
    const attempt = attempts.length + 1;
    const url = pickRandom(random, listUrls())!;
    const result = await makeCall(url, {...call, attempt});
    attempts.push(result);
    if (!isRetryable(result)) break;
    const delayMs = Math.max(minRetryDelayMs, result.retryAfterMs);
    await new Promise(resolve => setTimeout(resolve, delayMs));
  }
  return {call, attempts};
}

/** Makes calls at a fixed rate and retries them. Waits for all answers. */
export async function runRetryingLoad(
  options: LoadOptions,
): Promise<RetriedCall[]> {
  const {plan, listUrls, callsPerSecond, durationMs, seed} = options;
  const random = createRandomSource(seed);
  const calls: Promise<RetriedCall>[] = [];
  const count = Math.round((callsPerSecond * durationMs) / 1000);
  for (let index = 0; index < count; index++) {
    calls.push(makeCallWithRetries(pickCall(plan, random), listUrls, random));
    await new Promise(resolve => setTimeout(resolve, 1000 / callsPerSecond));
  }
  return Promise.all(calls);
}
