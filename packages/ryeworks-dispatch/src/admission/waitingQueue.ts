import {ActiveRequest} from '../requests/activeRequest.js';

/** Requests waiting for an endpoint of one service, most urgent first. */
export type WaitingQueue = ActiveRequest[];

/** What decides about the place of a request, apart from its time of arrival. */
export type Urgency = Pick<ActiveRequest, 'rank' | 'startTag'>;

/** Criteria of the order of a queue, the most important first. */
const urgencyCriteria: ReadonlyArray<(request: Urgency) => number> = [
  ({rank}) => rank,
  ({startTag}) => startTag,
];

/** Compares requests by all criteria but the time of arrival. */
function compareUrgency(a: Urgency, b: Urgency): number {
  for (const getValue of urgencyCriteria) {
    const difference = getValue(a) - getValue(b);
    if (difference !== 0) return difference;
  }
  return 0;
}

/** Compares requests by urgency, then by time of arrival. */
function compareRequests(a: ActiveRequest, b: ActiveRequest): number {
  return compareUrgency(a, b) || a.receivedAtMs - b.receivedAtMs;
}

/** Returns whether a request goes before another one. */
export function isAhead(a: ActiveRequest, b: ActiveRequest): boolean {
  return compareRequests(a, b) < 0;
}

/**
 * Inserts a request in order of urgency. Returns whether it goes before a request
 * of another customer and the same rank that came earlier.
 */
export function insertWaiting(
  queue: WaitingQueue,
  request: ActiveRequest,
): boolean {
  let index = queue.length;
  while (index > 0 && compareRequests(queue[index - 1], request) > 0) {
    index -= 1;
  }
  queue.splice(index, 0, request);
  for (const {rank, receivedAtMs} of queue.slice(index + 1)) {
    if (rank !== request.rank) break;
    if (receivedAtMs < request.receivedAtMs) return true;
  }
  return false;
}

/**
 * Gives the start tags of a customer's waiting requests of one rank to them in order
 * of arrival, if a request that was just queued came earlier than others of them.
 */
export function assignOwnTags(
  queue: WaitingQueue,
  {customer, rank, receivedAtMs}: ActiveRequest,
): void {
  const own = queue.filter(
    other => other.customer === customer && other.rank === rank,
  );
  if (!own.some(other => other.receivedAtMs > receivedAtMs)) return;
  const tags = own.map(({startTag}) => startTag).sort((a, b) => a - b);
  own.sort((a, b) => a.receivedAtMs - b.receivedAtMs);
  for (const [index, request] of own.entries()) request.startTag = tags[index];
  queue.sort(compareRequests);
}

/**
 * Moves the later requests of a customer forward by the cost of one that left the
 * queue without a call: it has used none of the customer's share.
 */
export function reduceLaterTags(
  queue: WaitingQueue,
  {cost, customer, rank, startTag}: ActiveRequest,
): void {
  let isChanged = false;
  for (const other of queue) {
    if (other.customer !== customer || other.rank !== rank) continue;
    if (other.startTag <= startTag) continue;
    other.startTag -= cost;
    isChanged = true;
  }
  if (isChanged) queue.sort(compareRequests);
}

/** Counts the customers with requests in a queue. */
export function countCustomers(queue: WaitingQueue): number {
  return new Set(queue.map(({customer}) => customer)).size;
}

/** Removes a request if it is in the queue; returns whether it was. */
export function removeWaiting(
  queue: WaitingQueue,
  request: ActiveRequest,
): boolean {
  const index = queue.indexOf(request);
  if (index >= 0) queue.splice(index, 1);
  return index >= 0;
}

/** Returns whether a request of a rank between two ones, inclusive, waits. */
export function hasWaitingBetween(
  queue: WaitingQueue,
  firstRank: number,
  lastRank: number,
): boolean {
  return queue.some(({rank}) => rank >= firstRank && rank <= lastRank);
}

/**
 * Returns whether a request of the same customer and of a rank between an earlier
 * one and that of a new request, inclusive, waits.
 */
export function hasOwnWaiting(
  queue: WaitingQueue,
  firstRank: number,
  {customer, rank}: ActiveRequest,
): boolean {
  return queue.some(
    other =>
      other.customer === customer &&
      other.rank >= firstRank &&
      other.rank <= rank,
  );
}

/** Returns whether a request waits behind one of another customer in its rank. */
export function isBehindOthers(
  queue: WaitingQueue,
  request: ActiveRequest,
): boolean {
  for (const other of queue) {
    if (other === request) return false;
    if (other.rank !== request.rank) continue;
    if (other.customer !== request.customer) return true;
  }
  return false;
}

/** Counts the queued requests that go before a new one. */
export function countAhead(queue: WaitingQueue, added: Urgency): number {
  let count = 0;
  for (const request of queue) {
    if (compareUrgency(request, added) > 0) break;
    count += 1;
  }
  return count;
}
