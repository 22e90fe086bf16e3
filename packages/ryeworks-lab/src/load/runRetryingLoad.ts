import {createRandomSource, pickRandom, RandomSource} from '@ryeworks/utils';
import {CallResult, makeCall, PlannedCall} from './makeCall.js';
import {LoadOptions, pickCall} from './runLoad.js';

/** Most attempts of one call. */
const maxAttempts = 6;
/** Least time between two attempts, in ms. */
const minRetryDelayMs = 100;

/** Errors after which a caller tries again. */
const retryableErrors: ReadonlySet<string> = new Set([
  'overloaded',
  'noEndpoint',
  'notReady',
  'limitExceeded',
  'outcomeUnknown',
  'deadlineExceeded',
  'truncated',
]);

/** All attempts of one call. */
export interface RetriedCall {
  readonly call: PlannedCall;
  readonly attempts: readonly CallResult[];
}

/** Tells whether a caller tries again after an answer. */
function isRetryable(result: CallResult): boolean {
  return result.status === 0 || retryableErrors.has(result.error);
}

/** Makes a call again, with the same key and at any VM, until it succeeds. */
async function makeCallWithRetries(
  call: PlannedCall,
  urls: () => readonly string[],
  random: RandomSource,
): Promise<RetriedCall> {
  const attempts: CallResult[] = [];
  while (attempts.length < maxAttempts) {
    const attempt = attempts.length + 1;
    const url = pickRandom(random, urls())!;
    const result = await makeCall(url, {...call, attempt});
    attempts.push(result);
    if (!isRetryable(result)) break;
    const delayMs = Math.max(minRetryDelayMs, result.retryAfterMs);
    await new Promise(resolve => setTimeout(resolve, delayMs));
  }
  return {call, attempts};
}

/** Runs a load whose callers try again; waits for all answers. */
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
