import {NodeState} from '../nodeState.js';
import {Cell, QueuedGrantRequest} from './admissionState.js';
import {
  EndpointStats,
  getInterTokenMs,
  getPromptTokensPerMs,
} from './endpointStats.js';

/** Least time after which a refused caller is told to come back, in ms. */
const minRetryAfterMs = 200;
/** Longest time after which a refused caller is told to come back, in ms. */
const maxRetryAfterMs = 10_000;
/** Factor over the mean time of a call that is allowed for. */
const callTimeMargin = 1.2;
/** Spread of the time to come back, as a fraction. */
const retryAfterJitter = 0.4;

/** Sums what the endpoints of a cell can run at the same time. */
function countSlots(accounts: Iterable<EndpointStats>): number {
  let slots = 0;
  for (const account of accounts) slots += Math.floor(account.concurrencyLimit);
  return Math.max(1, slots);
}

/** Estimates how long an ask waits behind others, in ms. */
export function estimateWaitMs(cell: Cell, asksAhead: number): number {
  const slots = countSlots(cell.endpointStats.values());
  const free = Math.max(0, slots - cell.grants.size);
  const behind = Math.max(0, asksAhead + 1 - free);
  return (behind * cell.meanHoldMs) / slots;
}

/** Estimates the time of a call on the fastest endpoint, in ms. */
export function estimateFastestCallMs(
  cell: Cell,
  ask: QueuedGrantRequest,
): number {
  let least = Number.POSITIVE_INFINITY;
  for (const account of cell.endpointStats.values()) {
    least = Math.min(least, estimateCallMs(account, ask));
  }
  return Number.isFinite(least) ? least : 0;
}

/** Estimates the time of a call on one endpoint, with a margin, in ms. */
export function estimateCallMs(
  account: EndpointStats,
  ask: QueuedGrantRequest,
): number {
  const promptMs = ask.promptTokens / getPromptTokensPerMs(account);
  const outputMs = ask.maxTokens * getInterTokenMs(account);
  return (promptMs + outputMs) * callTimeMargin;
}

/** Returns when a refused caller should come back, in ms from now. */
export function estimateRetryAfterMs(
  state: NodeState,
  cell: Cell | undefined,
): number {
  const drainMs =
    cell === undefined ? 1000 : estimateWaitMs(cell, cell.queue.length);
  const bounded = Math.min(maxRetryAfterMs, Math.max(minRetryAfterMs, drainMs));
  const jitter = 1 + retryAfterJitter * (state.random.next() - 0.5);
  return Math.round(bounded * jitter);
}
