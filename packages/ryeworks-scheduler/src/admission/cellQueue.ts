import {Cell, QueuedGrantRequest} from './admissionState.js';

/** Compares asks: the higher tier first, then the earlier deadline. */
function compareGrantRequests(
  a: QueuedGrantRequest,
  b: QueuedGrantRequest,
): number {
  return a.tier - b.tier || a.deadlineMs - b.deadlineMs;
}

/** Finds where an ask belongs in the queue. */
function findPosition(
  queue: readonly QueuedGrantRequest[],
  ask: QueuedGrantRequest,
): number {
  let low = 0;
  let high = queue.length;
  while (low < high) {
    const middle = (low + high) >> 1;
    if (compareGrantRequests(queue[middle], ask) <= 0) low = middle + 1;
    else high = middle;
  }
  return low;
}

/** Puts an ask in its place and returns how many are ahead of it. */
export function insertGrantRequest(
  cell: Cell,
  ask: QueuedGrantRequest,
): number {
  const position = findPosition(cell.queue, ask);
  cell.queue.splice(position, 0, ask);
  return position;
}

/** Returns how many asks would be ahead of an ask. */
export function countAhead(cell: Cell, ask: QueuedGrantRequest): number {
  return findPosition(cell.queue, ask);
}

/** Removes an ask; returns whether it waited. */
export function removeGrantRequest(cell: Cell, askId: string): boolean {
  const index = cell.queue.findIndex(ask => ask.askId === askId);
  if (index < 0) return false;
  cell.queue.splice(index, 1);
  return true;
}
