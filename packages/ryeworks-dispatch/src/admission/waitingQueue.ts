import {ActiveRequest} from '../requests/activeRequest.js';

/** Requests that wait for an endpoint of one service, most urgent first. */
export type WaitingQueue = ActiveRequest[];

/** Orders requests by rank, then by the time they came. */
function compareUrgency(a: ActiveRequest, b: ActiveRequest): number {
  return a.rank - b.rank || a.receivedAtMs - b.receivedAtMs;
}

/** Puts a request at its place. */
export function insertWaiting(
  queue: WaitingQueue,
  request: ActiveRequest,
): void {
  let index = queue.length;
  while (index > 0 && compareUrgency(queue[index - 1], request) > 0) index -= 1;
  queue.splice(index, 0, request);
}

/** Takes a request out, if it waits. */
export function removeWaiting(
  queue: WaitingQueue,
  request: ActiveRequest,
): void {
  const index = queue.indexOf(request);
  if (index >= 0) queue.splice(index, 1);
}

/** Counts the requests that go before a new one of a rank. */
export function countAhead(queue: WaitingQueue, rank: number): number {
  let count = 0;
  for (const request of queue) {
    if (request.rank > rank) break;
    count += 1;
  }
  return count;
}
