import TinyQueue from 'tinyqueue';

/** A callback that is due at a point in virtual time. */
interface ScheduledEvent {
  readonly atMs: number;
  /** Number of events scheduled before; orders events with the same time. */
  readonly order: number;
  readonly run: () => void;
}

/** Queue of events that advances the virtual time. */
export class EventQueue {
  private readonly queue = new TinyQueue<ScheduledEvent>(
    [],
    (a, b) => a.atMs - b.atMs || a.order - b.order,
  );
  private nextOrder = 0;
  /** Current virtual time, in ms. */
  nowMs = 0;

  /** Schedules a callback after a delay. */
  schedule(delayMs: number, run: () => void): void {
    const atMs = this.nowMs + Math.max(0, delayMs);
    this.queue.push({atMs, order: this.nextOrder++, run});
  }

  /** Runs all events that are due by a point in time and advances to it. */
  runUntil(endMs: number): void {
    for (;;) {
      const next = this.queue.peek();
      if (next === undefined || next.atMs > endMs) break;
      this.queue.pop();
      this.nowMs = next.atMs;
      next.run();
    }
    this.nowMs = endMs;
  }
}
