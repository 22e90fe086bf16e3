import {Cell, QueuedAsk} from './admissionState.js';

/** Compares asks: the higher tier first, then the earlier deadline. */
function compareAsks(a: QueuedAsk, b: QueuedAsk): number {
  return a.tier - b.tier || a.deadlineMs - b.deadlineMs;
}

/** Finds where an ask belongs in the queue. */
function findPosition(queue: readonly QueuedAsk[], ask: QueuedAsk): number {
  let low = 0;
  let high = queue.length;
  while (low < high) {
    const middle = (low + high) >> 1;
    if (compareAsks(queue[middle], ask) <= 0) low = middle + 1;
    else high = middle;
  }
  return low;
}

/** Puts an ask in its place and returns how many are ahead of it. */
export function insertAsk(cell: Cell, ask: QueuedAsk): number {
  const position = findPosition(cell.queue, ask);
  cell.queue.splice(position, 0, ask);
  return position;
}

/** Returns how many asks would be ahead of an ask. */
export function countAhead(cell: Cell, ask: QueuedAsk): number {
  return findPosition(cell.queue, ask);
}

/** Removes an ask; returns whether it waited. */
export function removeAsk(cell: Cell, askId: string): boolean {
  const index = cell.queue.findIndex(ask => ask.askId === askId);
  if (index < 0) return false;
  cell.queue.splice(index, 1);
  return true;
}
