import {getOrCreate, removeOldest} from '@ryeworks/utils';
import {HedgeBudget} from './hedgeBudget.js';
import {LearnedDelay} from './learnedDelay.js';
import {SharedSlowness} from './sharedSlowness.js';

/**
 * Largest number of routes and prompt classes whose delays are kept. Each takes
 * about 10 KB.
 */
const maxDelays = 400;
/** Largest number of services that are kept; a removed one is not used again. */
const maxServices = 200;
/** Prompts of fewer tokens are all in the first class. */
const firstClassTokens = 1000;
/** Highest class of prompts; each class spans a factor of two. */
const maxPromptClass = 6;

/** What a VM knows of one service for hedged requests. */
export interface ServiceHedging {
  readonly budget: HedgeBudget;
  readonly slowness: SharedSlowness;
}

/** What a VM has learned for hedged requests; empty while there are none. */
export interface HedgingState {
  /** Delays by route and prompt class. */
  readonly delays: Map<string, LearnedDelay>;
  readonly services: Map<string, ServiceHedging>;
}

/** Creates the state of a VM that has learned nothing yet. */
export function createHedgingState(): HedgingState {
  return {delays: new Map(), services: new Map()};
}

/** Forgets everything; hedged requests have been turned off. */
export function clearHedging({delays, services}: HedgingState): void {
  delays.clear();
  services.clear();
}

/** Returns the class of a prompt by its length. */
export function getPromptClass(promptTokens: number): number {
  const doublings = Math.log2(Math.max(1, promptTokens / firstClassTokens));
  const isAbove = promptTokens >= firstClassTokens;
  return isAbove ? Math.min(maxPromptClass, 1 + Math.floor(doublings)) : 0;
}

/** Returns the learned delay of a route and a prompt; creates it on first use. */
export function getLearnedDelay(
  {delays}: HedgingState,
  routeName: string,
  promptTokens: number,
  nowMs: number,
): LearnedDelay {
  const key = `${getPromptClass(promptTokens)} ${routeName}`;
  const delay = getOrCreate(delays, key, () => new LearnedDelay(nowMs));
  if (delays.size > maxDelays) removeOldest(delays);
  return delay;
}

/** Returns what is known of a service; creates it on first use. */
export function getServiceHedging(
  {services}: HedgingState,
  service: string,
): ServiceHedging {
  const known = getOrCreate(services, service, () => ({
    budget: new HedgeBudget(),
    slowness: new SharedSlowness(),
  }));
  if (services.size > maxServices) removeOldest(services);
  return known;
}
