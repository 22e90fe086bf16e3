import TinyQueue from 'tinyqueue';

/** Something that happens at a time. */
interface ScheduledEvent {
  readonly atMs: number;
  /** Order of events at the same time. */
  readonly order: number;
  readonly run: () => void;
}

/** Events in virtual time. */
export class EventQueue {
  private readonly queue = new TinyQueue<ScheduledEvent>(
    [],
    (a, b) => a.atMs - b.atMs || a.order - b.order,
  );
  private nextOrder = 0;
  /** Present virtual time, in ms. */
  nowMs = 0;

  /** Runs something after a delay. */
  schedule(delayMs: number, run: () => void): void {
    const atMs = this.nowMs + Math.max(0, delayMs);
    this.queue.push({atMs, order: this.nextOrder++, run});
  }

  /** Runs all events up to a time. */
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
