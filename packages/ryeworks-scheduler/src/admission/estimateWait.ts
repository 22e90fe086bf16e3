import {SchedulerState} from '../schedulerState.js';
import {Cell, QueuedGrantRequest} from './admissionState.js';
import {
  EndpointStats,
  getInterTokenMs,
  getPromptTokensPerMs,
} from './endpointStats.js';

/** Minimum time after which a refused caller is told to retry, in ms. */
const minRetryAfterMs = 200;
/** Maximum time after which a refused caller is told to retry, in ms. */
const maxRetryAfterMs = 10_000;
/** Safety factor on the estimated time of a call. */
const callTimeMargin = 1.2;
/** Width of the random spread of the retry time, as a fraction of it. */
const retryAfterJitter = 0.4;

/** Returns how many calls the endpoints of a cell can run concurrently. */
function countSlots(allStats: Iterable<EndpointStats>): number {
  let slots = 0;
  for (const stats of allStats) slots += Math.floor(stats.concurrencyLimit);
  return Math.max(1, slots);
}

/** Estimates how long a grant request waits for a slot, in ms. */
export function estimateWaitMs(cell: Cell, requestsAhead: number): number {
  const slots = countSlots(cell.endpointStats.values());
  const freeSlots = Math.max(0, slots - cell.grants.size);
  const requestsWithoutSlot = Math.max(0, requestsAhead + 1 - freeSlots);
  return (requestsWithoutSlot * cell.meanHoldMs) / slots;
}

/** Estimates the time of a call on the fastest endpoint, in ms. */
export function estimateFastestCallMs(
  cell: Cell,
  request: QueuedGrantRequest,
): number {
  let minMs = Number.POSITIVE_INFINITY;
  for (const stats of cell.endpointStats.values()) {
    minMs = Math.min(minMs, estimateCallMs(stats, request));
  }
  return Number.isFinite(minMs) ? minMs : 0;
}

/** Estimates the time of a call on one endpoint, with a margin, in ms. */
export function estimateCallMs(
  stats: EndpointStats,
  request: QueuedGrantRequest,
): number {
  const promptMs = request.promptTokens / getPromptTokensPerMs(stats);
  const outputMs = request.maxTokens * getInterTokenMs(stats);
  return (promptMs + outputMs) * callTimeMargin;
}

/** Estimates after what time a refused caller should retry, in ms. */
export function estimateRetryAfterMs(
  state: SchedulerState,
  cell: Cell | undefined,
): number {
  const drainMs =
    cell === undefined ? 1000 : estimateWaitMs(cell, cell.queue.length);
  const clampedMs = Math.min(
    maxRetryAfterMs,
    Math.max(minRetryAfterMs, drainMs),
  );
  const jitter = 1 + retryAfterJitter * (state.random.next() - 0.5);
  return Math.round(clampedMs * jitter);
}
