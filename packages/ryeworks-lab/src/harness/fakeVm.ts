import {
  createNodeState,
  Effect,
  getNextDueMs,
  handleInput,
  Input,
  NodeState,
  SchedulerOptions,
  startNode,
} from '@ryeworks/scheduler';
import {EventQueue} from './eventQueue.js';

/** An entry VM in virtual time. */
export class FakeVm {
  readonly state: NodeState;
  isDead = false;
  isPaused = false;
  /** When the VM was last paused and went on, in virtual time, in ms. */
  lastPausedAtMs = Number.NEGATIVE_INFINITY;
  lastResumedAtMs = Number.NEGATIVE_INFINITY;
  isWatching = false;
  /** Version of each document that came into force last. */
  readonly appliedVersions = new Map<string, number>();
  /** Inputs that wait while the VM is paused. */
  private readonly held: Input[] = [];
  /** When the VM started, in virtual time, in ms. */
  readonly startedMs: number;
  private nextTimerMs = Number.POSITIVE_INFINITY;

  constructor(
    readonly options: SchedulerOptions,
    private readonly events: EventQueue,
    private readonly runEffect: (vm: FakeVm, effect: Effect) => void,
    private readonly clockOffsetMs: number,
  ) {
    this.startedMs = events.nowMs;
    const nowMs = this.readNowMs();
    this.state = createNodeState(options, nowMs, -clockOffsetMs);
  }

  get vm(): string {
    return this.options.vm;
  }

  get availabilityZone(): string {
    return this.options.availabilityZone;
  }

  /** Starts the periodic work. */
  start(): void {
    this.runEffects(startNode(this.state, this.readNowMs()));
  }

  /** Gives an input to the VM; held while it is paused. */
  submit(input: Input): void {
    if (this.isDead) return;
    if (this.isPaused) {
      this.held.push(input);
      return;
    }
    this.runEffects(handleInput(this.state, input, this.readNowMs()));
  }

  /** Pauses the VM. */
  pause(): void {
    this.isPaused = true;
    this.lastPausedAtMs = this.events.nowMs;
  }

  /** Lets a paused VM go on: what it was sent comes before its timers. */
  resume(): void {
    this.isPaused = false;
    this.lastResumedAtMs = this.events.nowMs;
    for (const input of this.held.splice(0)) this.submit(input);
    this.submit({kind: 'timerDue'});
  }

  /** Each VM has its own monotonic clock. */
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
    if (atMs >= this.nextTimerMs && this.nextTimerMs > this.events.nowMs)
      return;
    this.nextTimerMs = atMs;
    this.events.schedule(atMs - this.events.nowMs, () => {
      if (this.nextTimerMs === atMs)
        this.nextTimerMs = Number.POSITIVE_INFINITY;
      if (!this.isPaused) this.submit({kind: 'timerDue'});
    });
  }
}
