import {
  createSchedulerState,
  Effect,
  getNextDueMs,
  handleInput,
  Input,
  SchedulerState,
  SchedulerOptions,
  startScheduler,
} from '@ryeworks/scheduler';
import {EventQueue} from './eventQueue.js';

/** Runs the scheduler of one entry VM in virtual time. */
export class FakeVm {
  readonly state: SchedulerState;
  isDead = false;
  isPaused = false;
  /** When the VM was last paused and last resumed, in virtual time, in ms. */
  lastPausedAtMs = Number.NEGATIVE_INFINITY;
  lastResumedAtMs = Number.NEGATIVE_INFINITY;
  /** Whether the VM watches the platform on behalf of its zone. */
  isWatching = false;
  /** Version of each document that the VM applied last. */
  readonly appliedVersions = new Map<string, number>();
  /** Inputs received while the VM is paused. */
  private readonly held: Input[] = [];
  /** When the VM started, in virtual time, in ms. */
  readonly startedMs: number;
  /** When the next timer is due, in virtual time, in ms. */
  private timerDueMs = Number.POSITIVE_INFINITY;

  constructor(
    readonly options: SchedulerOptions,
    private readonly events: EventQueue,
    private readonly runEffect: (vm: FakeVm, effect: Effect) => void,
    private readonly clockOffsetMs: number,
  ) {
    this.startedMs = events.nowMs;
    const nowMs = this.readNowMs();
    this.state = createSchedulerState(options, nowMs, -clockOffsetMs);
  }

  get vm(): string {
    return this.options.vm;
  }

  get availabilityZone(): string {
    return this.options.availabilityZone;
  }

  /** Starts the scheduler's periodic work. */
  start(): void {
    this.runEffects(startScheduler(this.state, this.readNowMs()));
  }

  /**
   * Passes an input to the scheduler. A paused VM handles it after it resumes;
   * a dead VM ignores it.
   */
  submit(input: Input): void {
    if (this.isDead) return;
    if (this.isPaused) {
      this.held.push(input);
      return;
    }
    this.runEffects(handleInput(this.state, input, this.readNowMs()));
  }

  /** Pauses the VM: it handles no inputs and no timers. */
  pause(): void {
    this.isPaused = true;
    this.lastPausedAtMs = this.events.nowMs;
  }

  /** Resumes a paused VM. It handles the held inputs before its timers. */
  resume(): void {
    this.isPaused = false;
    this.lastResumedAtMs = this.events.nowMs;
    for (const input of this.held.splice(0)) this.submit(input);
    this.submit({kind: 'timerDue'});
  }

  /** Reads the VM's own monotonic clock, in ms. */
  private readNowMs(): number {
    return this.events.nowMs + this.clockOffsetMs;
  }

  private runEffects(effects: readonly Effect[]): void {
    for (const effect of effects) this.runEffect(this, effect);
    this.scheduleTimer();
  }

  private scheduleTimer(): void {
    const dueMs = getNextDueMs(this.state);
    if (dueMs === undefined) return;
    const atMs = dueMs - this.clockOffsetMs;
    if (atMs >= this.timerDueMs && this.timerDueMs > this.events.nowMs) return;
    this.timerDueMs = atMs;
    this.events.schedule(atMs - this.events.nowMs, () => {
      if (this.timerDueMs === atMs) this.timerDueMs = Number.POSITIVE_INFINITY;
      if (!this.isPaused) this.submit({kind: 'timerDue'});
    });
  }
}
