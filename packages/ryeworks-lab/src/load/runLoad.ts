import {createRandomSource, pickRandom, RandomSource} from '@ryeworks/utils';
import {CallKind, DeploymentPlan} from '../deployment/deploymentPlan.js';
import {CallResult, createCall, makeCall, PlannedCall} from './makeCall.js';

/** A load on a deployment. */
export interface LoadOptions {
  readonly plan: DeploymentPlan;
  /** Addresses of the entry VMs; each call picks one. */
  readonly listUrls: () => readonly string[];
  readonly callsPerSecond: number;
  readonly durationMs: number;
  readonly seed: number;
}

/** Picks a kind of call by its share. */
function pickCallKind(
  calls: readonly CallKind[],
  random: RandomSource,
): CallKind {
  let remaining = random.next();
  for (const kind of calls) {
    remaining -= kind.share;
    if (remaining <= 0) return kind;
  }
  return calls[calls.length - 1];
}

/** Picks a size between two bounds, small sizes being more frequent. */
export function pickSize(
  [min, max]: readonly [number, number],
  random: RandomSource,
): number {
  if (max <= min) return min;
  const exponent = random.next();
  return Math.round(min * (max / Math.max(1, min)) ** exponent);
}

/** Picks the next call of a load. */
export function pickCall(
  plan: DeploymentPlan,
  random: RandomSource,
): PlannedCall {
  const kind = pickCallKind(plan.calls, random);
  const {apiKey} = pickRandom(random, plan.customers)!;
  return createCall(kind, apiKey, {
    promptTokens: pickSize(kind.promptTokens, random),
    outputTokens: pickSize(kind.outputTokens, random),
  });
}

/** Makes calls at random times at a mean rate; waits for all answers. */
export async function runLoad(options: LoadOptions): Promise<CallResult[]> {
  const random = createRandomSource(options.seed);
  const results: Promise<CallResult>[] = [];
  const startMs = performance.now();
  let nextMs = 0;
  while (nextMs < options.durationMs) {
    const waitMs = nextMs - (performance.now() - startMs);
    if (waitMs > 0) await new Promise(resolve => setTimeout(resolve, waitMs));
    const call = pickCall(options.plan, random);
    const url = pickRandom(random, options.listUrls())!;
    results.push(makeCall(url, call));
    const gapSeconds = -Math.log(1 - random.next()) / options.callsPerSecond;
    nextMs += gapSeconds * 1000;
  }
  return Promise.all(results);
}
