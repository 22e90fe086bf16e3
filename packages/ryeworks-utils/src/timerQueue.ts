import TinyQueue from 'tinyqueue';

/** A timer that fired. `P` lists the purposes; each selects a handler. */
export interface Timer<P extends string> {
  readonly purpose: P;
  /** What the timer is about, such as a request id. */
  readonly subject: string;
  readonly dueMs: number;
}

/** Timers by due time; setting one again replaces it. */
export class TimerQueue<P extends string> {
  private readonly queue = new TinyQueue<Timer<P>>(
    [],
    (a, b) => a.dueMs - b.dueMs,
  );
  private readonly current = new Map<string, Timer<P>>();

  /** Sets or replaces a timer. */
  set(purpose: P, subject: string, dueMs: number): void {
    const timer = {purpose, subject, dueMs};
    this.current.set(`${purpose}/${subject}`, timer);
    this.queue.push(timer);
  }

  /** Forgets a timer. */
  clear(purpose: P, subject: string): void {
    this.current.delete(`${purpose}/${subject}`);
  }

  /** Returns the time of the next timer; undefined without one. */
  getNextDueMs(): number | undefined {
    this.dropReplaced();
    return this.queue.peek()?.dueMs;
  }

  /** Removes and returns the next timer that is due. */
  takeDue(nowMs: number): Timer<P> | undefined {
    this.dropReplaced();
    const timer = this.queue.peek();
    if (timer === undefined || timer.dueMs > nowMs) return undefined;
    this.queue.pop();
    this.current.delete(`${timer.purpose}/${timer.subject}`);
    return timer;
  }

  private dropReplaced(): void {
    for (;;) {
      const timer = this.queue.peek();
      if (timer === undefined) return;
      if (this.current.get(`${timer.purpose}/${timer.subject}`) === timer) {
        return;
      }
      this.queue.pop();
    }
  }
}
