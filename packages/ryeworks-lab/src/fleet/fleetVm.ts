import {
  createDispatchState,
  DispatchOptions,
  DispatchState,
  Effect,
  getNextDueMs,
  handleInput,
  Input,
  RequestReceived,
  startDispatch,
} from '@ryeworks/dispatch';
import {EventQueue} from '../harness/eventQueue.js';

/** Carries out one effect of a VM. */
export type FleetEffectHandler = (vm: FleetVm, effect: Effect) => void;

/** One VM of a fleet in virtual time. */
export class FleetVm {
  readonly state: DispatchState;
  isDead = false;
  private readonly startedAtMs: number;
  private wakeAtMs = Number.POSITIVE_INFINITY;

  constructor(
    readonly options: DispatchOptions,
    private readonly events: EventQueue,
    private readonly runEffect: FleetEffectHandler,
  ) {
    this.state = createDispatchState(options);
    this.startedAtMs = events.nowMs;
  }

  /** Schedules the periodic tasks. */
  start(): void {
    startDispatch(this.state, this.readNowMs());
    this.scheduleWake();
  }

  /** Passes an input to the core and carries out the effects. */
  submit(input: Input): void {
    if (this.isDead) return;
    for (const effect of handleInput(this.state, input, this.readNowMs())) {
      this.runEffect(this, effect);
    }
    this.scheduleWake();
  }

  /** Passes a caller's request to the core. */
  submitRequest(request: Omit<RequestReceived, 'receivedAtMs'>): void {
    this.submit({...request, receivedAtMs: this.readNowMs()});
  }

  /** Returns the time of the process, which starts at 0, in ms. */
  private readNowMs(): number {
    return this.events.nowMs - this.startedAtMs;
  }

  private scheduleWake(): void {
    const dueMs = getNextDueMs(this.state);
    if (dueMs === undefined || dueMs >= this.wakeAtMs) return;
    this.wakeAtMs = dueMs;
    // In whole ms, like the timers of a process, so that a timer is never early.
    const delayMs = Math.ceil(dueMs - this.readNowMs());
    this.events.schedule(delayMs, () => {
      // A wake at an earlier time has replaced this one.
      if (this.wakeAtMs !== dueMs) return;
      this.wakeAtMs = Number.POSITIVE_INFINITY;
      this.submit({kind: 'timerDue'});
    });
  }
}
