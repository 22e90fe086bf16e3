import {
  DispatchState,
  Effect,
  getNextDueMs,
  handleInput,
  Input,
  startDispatch,
} from '@ryeworks/dispatch';
import {Clock} from '@ryeworks/utils';

/** Carries out the effects of one kind. */
type EffectHandler<K extends Effect['kind']> = (
  effect: Extract<Effect, {kind: K}>,
) => void;

/** A handler for each kind of effect. */
export type EffectHandlers = {[K in Effect['kind']]: EffectHandler<K>};

/** Longest sleep without a timer, in ms. */
const defaultTimerDelayMs = 1000;

/**
 * The one loop of the process: gives inputs to the decision core one at a time
 * and carries out what it decides. Inputs that come up meanwhile are queued.
 */
export class DispatchLoop {
  private handlers: EffectHandlers | undefined;
  private readonly inputs: Input[] = [];
  private timer: NodeJS.Timeout | undefined;
  private timerDueMs = Number.POSITIVE_INFINITY;
  private isRunning = false;
  private isStopped = false;

  constructor(
    readonly state: DispatchState,
    private readonly clock: Clock,
  ) {}

  /** Starts the periodic work. */
  start(handlers: EffectHandlers): void {
    this.handlers = handlers;
    startDispatch(this.state, this.clock.readNowMs());
    this.scheduleTimer();
  }

  /** Decides on an input and carries out the effects. */
  submit(input: Input): void {
    if (this.isStopped) return;
    this.inputs.push(input);
    if (this.isRunning) return;
    this.isRunning = true;
    try {
      this.handleInputs();
    } finally {
      this.isRunning = false;
    }
    this.scheduleTimer();
  }

  /** Stops the timers; later inputs are left out. */
  stop(): void {
    this.isStopped = true;
    clearTimeout(this.timer);
  }

  private handleInputs(): void {
    for (;;) {
      const input = this.inputs.shift();
      if (input === undefined) return;
      const nowMs = this.clock.readNowMs();
      for (const effect of handleInput(this.state, input, nowMs)) {
        this.runEffect(effect);
      }
    }
  }

  private runEffect(effect: Effect): void {
    const handler = this.handlers?.[effect.kind] as
      EffectHandler<Effect['kind']> | undefined;
    handler?.(effect);
  }

  private scheduleTimer(): void {
    if (this.isStopped) return;
    const nowMs = this.clock.readNowMs();
    const dueMs = getNextDueMs(this.state) ?? nowMs + defaultTimerDelayMs;
    if (dueMs === this.timerDueMs) return;
    clearTimeout(this.timer);
    this.timerDueMs = dueMs;
    const delayMs = Math.max(0, Math.ceil(dueMs - nowMs));
    this.timer = setTimeout(() => {
      this.timerDueMs = Number.POSITIVE_INFINITY;
      this.submit({kind: 'timerDue'});
    }, delayMs);
  }
}
