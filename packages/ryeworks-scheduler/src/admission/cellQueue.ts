import {Cell, QueuedGrantRequest} from './admissionState.js';

/** Compares grant requests: higher tier first, then earlier deadline. */
function compareGrantRequests(
  a: QueuedGrantRequest,
  b: QueuedGrantRequest,
): number {
  return a.tier - b.tier || a.deadlineMs - b.deadlineMs;
}

/**
 * Finds the position of a grant request in the queue: behind those that
 * compare equal.
 */
function findPosition(
  queue: readonly QueuedGrantRequest[],
  request: QueuedGrantRequest,
): number {
  let low = 0;
  let high = queue.length;
  while (low < high) {
    const middle = (low + high) >> 1;
    if (compareGrantRequests(queue[middle], request) <= 0) low = middle + 1;
    else high = middle;
  }
  return low;
}

/** Inserts a grant request and returns how many requests are ahead of it. */
export function insertGrantRequest(
  cell: Cell,
  request: QueuedGrantRequest,
): number {
  const position = findPosition(cell.queue, request);
  cell.queue.splice(position, 0, request);
  return position;
}

/** Returns how many queued requests would be ahead of a grant request. */
export function countAhead(cell: Cell, request: QueuedGrantRequest): number {
  return findPosition(cell.queue, request);
}

/** Removes a grant request and returns whether it was queued. */
export function removeGrantRequest(cell: Cell, askId: string): boolean {
  const index = cell.queue.findIndex(request => request.askId === askId);
  if (index < 0) return false;
  cell.queue.splice(index, 1);
  return true;
}
