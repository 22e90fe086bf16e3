import TinyQueue from 'tinyqueue';

/** A timer. `P` is the union of purposes; each purpose has its own handler. */
export interface Timer<P extends string> {
  readonly purpose: P;
  /** What the timer applies to, such as a request ID. */
  readonly subject: string;
  readonly dueMs: number;
}

/** A timer as stored in the queue. */
interface QueuedTimer<P extends string> extends Timer<P> {
  /** Whether the timer was replaced or cleared. */
  isStale: boolean;
}

/**
 * Timers in order of due time. There is one timer per purpose and subject:
 * setting it again replaces it.
 */
export class TimerQueue<P extends string> {
  private readonly queue = new TinyQueue<QueuedTimer<P>>(
    [],
    (a, b) => a.dueMs - b.dueMs,
  );
  private readonly timersByKey = new Map<string, QueuedTimer<P>>();

  /** Sets or replaces a timer. */
  set(purpose: P, subject: string, dueMs: number): void {
    const key = `${purpose}/${subject}`;
    const replaced = this.timersByKey.get(key);
    if (replaced !== undefined) replaced.isStale = true;
    const timer = {purpose, subject, dueMs, isStale: false};
    this.timersByKey.set(key, timer);
    this.queue.push(timer);
  }

  /** Clears a timer; does nothing if it is not set. */
  clear(purpose: P, subject: string): void {
    const key = `${purpose}/${subject}`;
    const timer = this.timersByKey.get(key);
    if (timer === undefined) return;
    timer.isStale = true;
    this.timersByKey.delete(key);
  }

  /** Returns the due time of the next timer; undefined if none is set. */
  getNextDueMs(): number | undefined {
    this.removeStale();
    return this.queue.peek()?.dueMs;
  }

  /** Removes and returns the next due timer; undefined if none is due. */
  removeNextDue(nowMs: number): Timer<P> | undefined {
    this.removeStale();
    const timer = this.queue.peek();
    if (timer === undefined || timer.dueMs > nowMs) return undefined;
    this.queue.pop();
    this.timersByKey.delete(`${timer.purpose}/${timer.subject}`);
    return timer;
  }

  /** Removes replaced and cleared timers from the front of the queue. */
  private removeStale(): void {
    while (this.queue.peek()?.isStale === true) this.queue.pop();
  }
}

/** Handles a timer that fired; returns the resulting effects. */
export type TimerHandler<S, E> = (
  state: S,
  subject: string,
  nowMs: number,
) => E[];

/**
 * Runs every due timer, including those that the handlers set meanwhile.
 *
 * @param handleError returns the effects of an error that a handler throws, so
 *   that those of other timers are not lost; without it, the error is thrown
 */
export function runDueTimers<P extends string, S, E>(
  timers: TimerQueue<P>,
  handlers: Readonly<Record<P, TimerHandler<S, E>>>,
  state: S,
  nowMs: number,
  handleError?: (error: unknown, timer: Timer<P>) => E[],
): E[] {
  const effects: E[] = [];
  for (;;) {
    const timer = timers.removeNextDue(nowMs);
    if (timer === undefined) return effects;
    const handler = handlers[timer.purpose];
    try {
      effects.push(...handler(state, timer.subject, nowMs));
    } catch (error) {
      if (handleError === undefined) throw error;
      effects.push(...handleError(error, timer));
    }
  }
}
