import {NodeState} from '../nodeState.js';
import {Cell, QueuedAsk} from './admissionState.js';
import {
  EndpointAccount,
  getInterTokenMs,
  getPromptTokensPerMs,
} from './endpointAccount.js';

/** Least time after which a refused caller is told to come back, in ms. */
const leastRetryAfterMs = 200;
/** Longest time after which a refused caller is told to come back, in ms. */
const longestRetryAfterMs = 10_000;
/** Spread of the time to come back, as a fraction. */
const retryAfterSpread = 0.4;

/** Sums what the endpoints of a cell can run at the same time. */
function countSlots(accounts: Iterable<EndpointAccount>): number {
  let slots = 0;
  for (const account of accounts) slots += Math.floor(account.concurrencyLimit);
  return Math.max(1, slots);
}

/** Estimates how long an ask waits behind others, in ms. */
export function estimateWaitMs(cell: Cell, asksAhead: number): number {
  const slots = countSlots(cell.accounts.values());
  const free = Math.max(0, slots - cell.grants.size);
  const behind = Math.max(0, asksAhead + 1 - free);
  return (behind * cell.meanHoldMs) / slots;
}

/** Estimates the time of a call once it is granted, in ms. */
export function estimateServiceMs(cell: Cell, ask: QueuedAsk): number {
  let least = Number.POSITIVE_INFINITY;
  for (const account of cell.accounts.values()) {
    const promptMs = ask.promptTokens / getPromptTokensPerMs(account);
    const outputMs = ask.maxTokens * getInterTokenMs(account);
    least = Math.min(least, promptMs + outputMs);
  }
  return Number.isFinite(least) ? least : 0;
}

/** Returns when a refused caller should come back, in ms from now. */
export function estimateRetryAfterMs(
  state: NodeState,
  cell: Cell | undefined,
): number {
  const drainMs =
    cell === undefined ? 1000 : estimateWaitMs(cell, cell.queue.length);
  const bounded = Math.min(
    longestRetryAfterMs,
    Math.max(leastRetryAfterMs, drainMs),
  );
  const jitter = 1 + retryAfterSpread * (state.random.next() - 0.5);
  return Math.round(bounded * jitter);
}
