import TinyQueue from 'tinyqueue';

/** A timer that fired. `P` lists the purposes; each selects a handler. */
export interface Timer<P extends string> {
  readonly purpose: P;
  /** What the timer is about, such as a request id. */
  readonly subject: string;
  readonly dueMs: number;
}

/** A timer in the queue. */
interface QueuedTimer<P extends string> extends Timer<P> {
  /** Whether it was replaced or forgotten. */
  isDropped: boolean;
}

/** Timers by due time; setting one again replaces it. */
export class TimerQueue<P extends string> {
  private readonly queue = new TinyQueue<QueuedTimer<P>>(
    [],
    (a, b) => a.dueMs - b.dueMs,
  );
  private readonly current = new Map<string, QueuedTimer<P>>();

  /** Sets or replaces a timer. */
  set(purpose: P, subject: string, dueMs: number): void {
    const key = `${purpose}/${subject}`;
    const replaced = this.current.get(key);
    if (replaced !== undefined) replaced.isDropped = true;
    const timer = {purpose, subject, dueMs, isDropped: false};
    this.current.set(key, timer);
    this.queue.push(timer);
  }

  /** Forgets a timer. */
  clear(purpose: P, subject: string): void {
    const key = `${purpose}/${subject}`;
    const timer = this.current.get(key);
    if (timer === undefined) return;
    timer.isDropped = true;
    this.current.delete(key);
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
    while (this.queue.peek()?.isDropped === true) this.queue.pop();
  }
}

/** Decides what to do when a timer fires. */
export type TimerHandler<S, E> = (
  state: S,
  subject: string,
  nowMs: number,
) => E[];

/** Runs every timer that is due, also those that handlers set meanwhile. */
export function runDueTimers<P extends string, S, E>(
  timers: TimerQueue<P>,
  handlers: Readonly<Record<P, TimerHandler<S, E>>>,
  state: S,
  nowMs: number,
): E[] {
  const effects: E[] = [];
  for (;;) {
    const timer = timers.takeDue(nowMs);
    if (timer === undefined) return effects;
    const handler = handlers[timer.purpose];
    effects.push(...handler(state, timer.subject, nowMs));
  }
}
