import {ActiveRequest} from '../requests/activeRequest.js';

/** Requests waiting for an endpoint of one service, most urgent first. */
export type WaitingQueue = ActiveRequest[];

/** Compares requests by rank, then by time of arrival. */
function compareUrgency(a: ActiveRequest, b: ActiveRequest): number {
  return a.rank - b.rank || a.receivedAtMs - b.receivedAtMs;
}

/** Returns whether a request goes before another one. */
export function isAhead(a: ActiveRequest, b: ActiveRequest): boolean {
  return compareUrgency(a, b) < 0;
}

/** Inserts a request in order of urgency. */
export function insertWaiting(
  queue: WaitingQueue,
  request: ActiveRequest,
): void {
  let index = queue.length;
  while (index > 0 && compareUrgency(queue[index - 1], request) > 0) index -= 1;
  queue.splice(index, 0, request);
}

/** Removes a request if it is in the queue. */
export function removeWaiting(
  queue: WaitingQueue,
  request: ActiveRequest,
): void {
  const index = queue.indexOf(request);
  if (index >= 0) queue.splice(index, 1);
}

/** Returns whether a request of a rank between two ones, inclusive, waits. */
export function hasWaitingBetween(
  queue: WaitingQueue,
  firstRank: number,
  lastRank: number,
): boolean {
  return queue.some(({rank}) => rank >= firstRank && rank <= lastRank);
}

/** Counts the queued requests that go before a new request of a rank. */
export function countAhead(queue: WaitingQueue, rank: number): number {
  let count = 0;
  for (const request of queue) {
    if (request.rank > rank) break;
    count += 1;
  }
  return count;
}
