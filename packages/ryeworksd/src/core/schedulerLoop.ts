import {Logger, Metrics} from '@ryeworks/logger';
import {
  Effect,
  getNextDueMs,
  handleInput,
  Input,
  SchedulerState,
  startScheduler,
} from '@ryeworks/scheduler';
import {Clock, startIoTimer} from '@ryeworks/utils';

/** Handles the effects of one kind. */
export type EffectHandler<K extends Effect['kind']> = (
  effect: Extract<Effect, {kind: K}>,
) => void;

/** A handler for each kind of effect. */
export type EffectHandlers = {[K in Effect['kind']]: EffectHandler<K>};

/** Delay until the next timer input if the scheduler has no timer set, in ms. */
const defaultTimerDelayMs = 1000;

/**
 * The event loop around the scheduler: passes inputs to the scheduler one at a
 * time and runs the effects that it returns. Each process has one such loop.
 */
export class SchedulerLoop {
  private handlers: EffectHandlers | undefined;
  private cancelTimer = () => {};
  private timerDueMs = Number.POSITIVE_INFINITY;
  private isStopped = false;

  constructor(
    readonly state: SchedulerState,
    private readonly clock: Clock,
  ) {}

  /** Starts the scheduler and its timers. */
  start(handlers: EffectHandlers): void {
    this.handlers = handlers;
    this.runEffects(startScheduler(this.state, this.clock.readNowMs()));
    this.scheduleTimer();
  }

  /** Passes an input to the scheduler and runs the resulting effects. */
  submit(input: Input): void {
    if (this.isStopped) return;
    const nowMs = this.clock.readNowMs();
    this.runEffects(handleInput(this.state, input, nowMs));
    this.scheduleTimer();
  }

  /** Stops the timers. Later inputs are ignored. */
  stop(): void {
    this.isStopped = true;
    this.cancelTimer();
  }

  private runEffects(effects: readonly Effect[]): void {
    const {handlers} = this;
    if (handlers === undefined) return;
    for (const effect of effects) {
      const handler = handlers[effect.kind] as EffectHandler<Effect['kind']>;
      handler(effect);
    }
  }

  private scheduleTimer(): void {
    if (this.isStopped) return;
    const nowMs = this.clock.readNowMs();
    const dueMs = getNextDueMs(this.state) ?? nowMs + defaultTimerDelayMs;
    if (dueMs === this.timerDueMs) return;
    this.cancelTimer();
    this.timerDueMs = dueMs;
    const delayMs = Math.max(0, Math.ceil(dueMs - nowMs));
    this.cancelTimer = startIoTimer(() => {
      this.timerDueMs = Number.POSITIVE_INFINITY;
      this.submit({kind: 'timerDue'});
    }, delayMs);
  }
}

/** Creates the handlers for the counter and log effects. */
export function createReportHandlers(
  logger: Logger,
  metrics: Metrics,
): Pick<EffectHandlers, 'count' | 'log'> {
  return {
    count: effect => metrics.count(effect.name, effect.tags, effect.amount),
    log: effect => logger.info(effect.event, effect.fields),
  };
}
